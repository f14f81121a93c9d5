// Package groupcontrol decides which endpoints of a data centre form which replica groups, and
// forms and dissolves these groups.
//
// One node of each data centre holds the lease and is the controller (controller.go). plan.go
// computes plans as a pure function; an operation carries out one plan (operations.go). The
// endpoints store the state of the groups: a new controller reads it from them and takes over
// the existing groups.
//
// Three checks make a delayed order harmless. It carries the number of orders that its
// endpoint is expected to have accepted, so it is rejected if another one was accepted first.
// It carries the lease epoch as its fencing token. And a controller opens only groups whose
// members it ordered to join itself, so no order of an earlier controller to them can still be
// in flight.
package groupcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/lease"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Errors of Endpoints.
var (
	// ErrNoResponse means that the call may or may not have taken effect, or still may.
	ErrNoResponse = errors.New("the endpoint did not respond")
	// ErrRefused means that nothing listens at the endpoint's address. Errors that wrap it wrap
	// ErrNoResponse too.
	ErrRefused = errors.New("the endpoint refused the connection")
	// ErrOtherIncarnation means that another incarnation of the endpoint has its address.
	ErrOtherIncarnation = errors.New("another incarnation of the endpoint responded")
	// ErrRejected means that the order was rejected because it does not fit the endpoint's
	// state.
	ErrRejected = errors.New("the order does not fit the endpoint's state")
	// ErrFenced means that the endpoint has seen a later lease epoch.
	ErrFenced = errors.New("the endpoint has seen a later fencing token than that of the order")
)

// Endpoints sends requests to endpoints.
type Endpoints interface {
	// Report returns an endpoint's report about itself.
	Report(ctx context.Context, address string, id serving.EndpointID) (serving.Report, error)
	// Order sends an order; done means that its effect already holds.
	Order(ctx context.Context, address string, id serving.EndpointID, o serving.Order) (done bool, err error)
}

// Demand is the measured demand for one model.
type Demand struct {
	// Groups is the work, in groups that would be fully busy with it.
	Groups float64
	// Requests is the number of requests per second.
	Requests float64
	// InTime is the recent fraction of requests that were served in time, and Measured the
	// number of requests it is based on, with older ones weighted less.
	InTime   float64
	Measured float64
}

// Options of a Controller.
type Options struct {
	Node string
	// Address is the address of this node for other nodes; the lease row contains it.
	Address    string
	DataCentre serving.DataCentre
	// DataCentres is the number of data centres that share the weight store.
	DataCentres int
	// Unpaced reports whether loads need no pacing because nothing is served yet.
	Unpaced func() bool
	// HolderAlive reports whether a recent message shows that another node, the leaseholder,
	// is alive; nil means that this is unknown.
	HolderAlive func() bool
	// OnHolderRead, unless nil, is called with each lease row that is read.
	OnHolderRead func(row lease.Row)
	// Rank is this node's position in the order in which the nodes of the data centre read the
	// lease of a silent holder; nil means the first.
	Rank func() int
	// FirstReadDelay is how long the node waits before its first read of the lease.
	FirstReadDelay time.Duration
	// IsEarlierIncarnation reports whether a holder of the lease is an earlier incarnation of
	// this node that no longer runs; nil means that this is unknown.
	IsEarlierIncarnation func(holder string) bool
	// Now is the clock for the lease, which must count time during which the machine was
	// suspended; nil means time.Now, which does not.
	Now func() time.Time
	// Demand returns the demand for each model over all data centres.
	Demand func() map[directory.Pool]Demand
	// LastEvent returns when any node last received a response event from an endpoint, zero if
	// that is unknown; nil means that it is unknown for all.
	LastEvent func(serving.EndpointID) time.Time
	// Limit returns the rate limit of an endpoint in requests per second, zero if it has none;
	// nil means that no endpoint has one.
	Limit func(*serving.Endpoint) float64
	// Links is what is known of this node's links to the endpoints; nil means that they are never lost.
	Links *Links
	// SilenceTolerance is how long an endpoint may be silent that refuses no connection before it counts
	// as dead: a sound one may pause for a second.
	SilenceTolerance time.Duration
	// Weights are the weights of the planner.
	Weights Weights
	// LeaseTTL is how long the lease of a silent holder lasts.
	LeaseTTL time.Duration
	// LeaseOutageExtension is how long a holder keeps an expired lease while the store does
	// not respond; zero disables this. Two holders cannot harm a group, because an order
	// carries the number of orders that its endpoint has accepted.
	LeaseOutageExtension time.Duration
	// CallTimeout bounds one report or order.
	CallTimeout time.Duration
	// Tick is the interval between two plans.
	Tick time.Duration
	// RecheckDead requests reports from listed endpoints that are marked as dead and uses them again once
	// they respond. Otherwise they are excluded for deadTTL.
	RecheckDead bool
	// DrainWait is the longest wait for the requests of a group with a draining member.
	DrainWait time.Duration
}
