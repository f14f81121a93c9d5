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

// Query parameters of a submission and of a difference.
const (
	QueryBase      = "base"
	QueryRequestID = "request_id"
	QueryFile      = "file"
	QueryFrom      = "from"
	QueryTo        = "to"
)

// ErrorBody is the answer to a call that failed; one of the details is set
// where there is more to say than the message.
type ErrorBody struct {
	Message  string              `json:"message"`
	Mistakes []inicheck.Mistake  `json:"mistakes,omitempty"`
	Conflict *confstore.Conflict `json:"conflict,omitempty"`
}

// HistoryBody is the answer to a history call.
type HistoryBody struct {
	Changes []confstore.Change `json:"changes"`
}

// ListBody is the answer to a list call.
type ListBody struct {
	Revision configuration.Revision `json:"revision"`
	Entries  []configuration.Entry  `json:"entries"`
}

// DiffBody is the answer to a difference call.
type DiffBody struct {
	Differences []configuration.Difference `json:"differences"`
}
