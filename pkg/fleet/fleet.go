// Package fleet has the plain types that the coordination packages share: instances, replica
// groups and the reports of endpoints.
//
// The types have no behaviour beyond small pure helpers, so that each package can be read and
// tested by itself.
package fleet

import (
	"slices"
	"time"
)

// InstanceID identifies an instance across all data centres.
type InstanceID string

// GroupID identifies a replica group; it is never reused.
type GroupID string

// DataCentre is the name of a data centre.
type DataCentre string

// Kind is what runs on an endpoint.
type Kind uint8

// The kinds of endpoint.
const (
	KindEngine Kind = iota
	KindService
	// KindEntry is an entry instance of the system itself; peers call its address.
	KindEntry
)

// Role is the work that a replica group does for its model.
type Role string

// RoleMixed is prefill and decode in one group, the only supported role.
const RoleMixed Role = "mixed"

// Instance is one row of the platform's instance list.
type Instance struct {
	ID         InstanceID `json:"id"`
	DataCentre DataCentre `json:"data_centre"`
	// Domain is the fabric domain; a replica group never spans two.
	Domain string `json:"domain"`
	// Address is the IP and port of the endpoint.
	Address string `json:"address"`
	Kind    Kind   `json:"kind"`
	// Service names the plain service that a KindService instance runs.
	Service      string `json:"service,omitempty"`
	Accelerators int    `json:"accelerators"`
	// Draining is set by the platform before it removes the instance.
	Draining bool `json:"leaving,omitempty"`
	// ChecksFences reports whether the endpoint rejects orders with a lower fencing token than
	// it has seen.
	ChecksFences bool `json:"checks_fences"`
}

// Phase is the progress of an endpoint with its last order.
type Phase uint8

// The phases of an endpoint.
const (
	PhaseIdle Phase = iota
	PhaseLoading
	PhaseReady
	PhaseLost
)

// String returns the phase in lower case for logs and status pages.
func (p Phase) String() string {
	switch p {
	case PhaseIdle:
		return "idle"
	case PhaseLoading:
		return "loading"
	case PhaseReady:
		return "ready"
	default:
		return "lost"
	}
}

// Fence is the fencing token of orders to one endpoint; the higher one takes precedence.
type Fence struct {
	Epoch      uint64 `json:"epoch"`
	Generation uint64 `json:"generation"`
}

// Less reports whether f is lower than other.
func (f Fence) Less(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Generation < other.Generation
}

// Report is the last state that an endpoint reported.
type Report struct {
	Instance InstanceID `json:"instance"`
	// Incarnation changes whenever the process behind the endpoint starts.
	Incarnation uint64 `json:"incarnation"`
	// Version is incremented by every change within one incarnation.
	Version    uint64  `json:"version"`
	Phase      Phase   `json:"phase"`
	Group      GroupID `json:"group,omitempty"`
	Generation uint64  `json:"generation,omitempty"`
	Draining   bool    `json:"leaving,omitempty"`
	// Weights names the model and version whose weights are in memory.
	Weights string `json:"weights,omitempty"`
	// Slots is how many requests the endpoint runs at once.
	Slots int `json:"slots,omitempty"`
	// Load is the number of requests that run or are queued; it lags.
	Load int `json:"load,omitempty"`
}

// EqualExceptLoad reports whether two reports are equal apart from the load and the version,
// which changes with it.
func (r Report) EqualExceptLoad(other Report) bool {
	r.Load, r.Version = other.Load, other.Version
	return r == other
}

// Newer reports whether r describes a later state of the endpoint than other.
func (r Report) Newer(other Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Version > other.Version
}

// Member is one instance of a replica group, bound to one incarnation.
type Member struct {
	Instance    InstanceID `json:"instance"`
	Incarnation uint64     `json:"incarnation"`
}

// Group is one replica group as committed to the table.
type Group struct {
	ID         GroupID    `json:"id"`
	DataCentre DataCentre `json:"data_centre"`
	Domain     string     `json:"domain"`
	Template   string     `json:"template"`
	// Weights names the model and version that the group serves.
	Weights string `json:"weights"`
	Role    Role   `json:"role"`
	// Epoch is the lease epoch of the controller that last changed the group.
	Epoch uint64 `json:"epoch"`
	// Generation is incremented by every change of members; orders carry it.
	Generation uint64 `json:"generation"`
	// Members are in rank order; callers' requests go to the first.
	Members []Member `json:"members"`
	// Draining groups accept no new requests and are dissolved when they are empty.
	Draining bool `json:"draining,omitempty"`
	// Deleted marks a tombstone, which is kept so that peers receive the deletion.
	Deleted bool `json:"gone,omitempty"`
	// Revision is the data centre's group revision of the last change.
	Revision uint64 `json:"revision"`
	// CreatedAt is when the group was first committed.
	CreatedAt time.Time `json:"since"`
}

// Fence returns the fencing token that orders for the group carry.
func (g Group) Fence() Fence {
	return Fence{Epoch: g.Epoch, Generation: g.Generation}
}

// Leader returns the member that callers' requests go to.
func (g Group) Leader() InstanceID {
	if len(g.Members) == 0 {
		return ""
	}
	return g.Members[0].Instance
}

// Has reports whether the instance is a member.
func (g Group) Has(id InstanceID) bool {
	return slices.ContainsFunc(g.Members, func(m Member) bool { return m.Instance == id })
}

// Matches reports whether a report shows the member serving in the group: same incarnation,
// same group and generation, and ready. A draining member matches: it finishes the requests of its
// group, which must not be cut off.
func (g Group) Matches(m Member, r Report) bool {
	return r.Incarnation == m.Incarnation &&
		r.Phase == PhaseReady &&
		r.Group == g.ID &&
		r.Generation == g.Generation
}
