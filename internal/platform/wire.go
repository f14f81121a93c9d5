package platform

import (
	"encoding/json"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Paths of the platform's HTTP interface.
const (
	PathGet       = "/table/get"
	PathScan      = "/table/scan"
	PathCommit    = "/table/commit"
	PathInstances = "/instances"
)

// Row is one row of the table. Version 0 means that the row does not exist.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Condition requires that a row has a version; 0 requires that it does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// CommitRequest is one transaction: the writes take effect if all conditions hold.
type CommitRequest struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// CommitResponse is the result. Version is the version of all written rows.
type CommitResponse struct {
	Committed bool   `json:"committed"`
	Version   uint64 `json:"version,omitempty"`
	// Failed has the current rows of the failed conditions.
	Failed []Row `json:"failed,omitempty"`
}

// GetRequest reads rows by key; the response has one row for each key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest reads all rows with a key prefix.
type ScanRequest struct {
	Prefix string `json:"prefix"`
}

// RowsResponse is the response to a get or a scan.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// InstancesRequest reads the endpoints of one data centre and all entry instances,
// unless the list is still at the given version.
type InstancesRequest struct {
	DataCentre fleet.DataCentre `json:"data_centre,omitempty"`
	Version    uint64           `json:"version"`
}

// InstancesResponse is the platform's instance list, which may be stale.
type InstancesResponse struct {
	Version   uint64           `json:"version"`
	Instances []fleet.Instance `json:"instances,omitempty"`
}
