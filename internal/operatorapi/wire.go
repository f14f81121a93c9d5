package operatorapi

import (
	"github.com/ridgehinge/ridgehinge/internal/confstore"
	"github.com/ridgehinge/ridgehinge/internal/inicheck"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
)

// Paths of the operator API.
const (
	PathTemplates = "/operator/templates"
	PathStatus    = "/operator/status"
)

// Query parameters of the submit and diff calls.
const (
	QueryBase      = "base"
	QueryRequestID = "request_id"
	QueryFile      = "file"
	QueryFrom      = "from"
	QueryTo        = "to"
)

// ErrorBody is the response to a failed call, with mistakes or a conflict as
// details if there are any.
type ErrorBody struct {
	Message  string              `json:"message"`
	Mistakes []inicheck.Mistake  `json:"mistakes,omitempty"`
	Conflict *confstore.Conflict `json:"conflict,omitempty"`
}

// HistoryBody is the response to a history call.
type HistoryBody struct {
	Changes []confstore.Change `json:"changes"`
}

// ListBody is the response to a list call.
type ListBody struct {
	Revision configuration.Revision `json:"revision"`
	Entries  []configuration.Entry  `json:"entries"`
}

// DiffBody is the response to a diff call.
type DiffBody struct {
	Differences []configuration.Difference `json:"differences"`
}
