package platform

import (
	"encoding/json"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Paths of the platform's service.
const (
	PathGet       = "/table/get"
	PathScan      = "/table/scan"
	PathCommit    = "/table/commit"
	PathInstances = "/instances"
)

// Row is one row of the table. Version 0 stands for an absent row.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Condition asks that a row still has a version; 0 asks that it is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// CommitRequest is one transaction: all conditions hold and all writes take
// effect, or none does.
type CommitRequest struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// CommitResponse is the outcome. Version is that of all written rows.
type CommitResponse struct {
	Committed bool   `json:"committed"`
	Version   uint64 `json:"version,omitempty"`
	// Failed lists the conditions that did not hold, with the rows as they are.
	Failed []Row `json:"failed,omitempty"`
}

// GetRequest asks for rows by key; the answer has one row for each.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for all rows with a prefix.
type ScanRequest struct {
	Prefix string `json:"prefix"`
}

// RowsResponse answers a get or a scan.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// InstancesRequest asks for the endpoints of one data centre and for all
// entry instances, unless the list is still at the version given.
type InstancesRequest struct {
	DataCentre fleet.DataCentre `json:"data_centre,omitempty"`
	Version    uint64           `json:"version"`
}

// InstancesResponse is the platform's instance list; it lags.
type InstancesResponse struct {
	Version   uint64           `json:"version"`
	Instances []fleet.Instance `json:"instances,omitempty"`
}
