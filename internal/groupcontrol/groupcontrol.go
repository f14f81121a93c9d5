// Package groupcontrol decides which endpoints of a data centre form which
// replica groups, and has them do so.
//
// One node of a data centre holds the lease and acts (controller.go). A plan
// is pure (plan.go); an operation (form.go, dissolve.go) carries one plan out
// and ends. The endpoints themselves hold the state of the groups: a new
// controller reads it from them and takes over groups that stand.
//
// Three things keep an order that is carried out late from doing harm. It
// names the number of orders that its endpoint must have taken, so it is
// refused once another has been. It carries the lease's epoch as its fence.
// And a controller opens only groups whose members it had join itself, so no
// order of an earlier controller to one of them can still be under way.
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
	// ErrNoAnswer means that a call may have been carried out, or may be yet.
	ErrNoAnswer = errors.New("the endpoint did not answer")
	// ErrOtherIncarnation means that another incarnation of the endpoint has its address.
	ErrOtherIncarnation = errors.New("another incarnation of the endpoint answered")
	// ErrRefused means that an order does not fit the endpoint's state.
	ErrRefused = errors.New("the order does not fit the endpoint's state")
	// ErrFenced means that the endpoint has seen a newer controller or epoch.
	ErrFenced = errors.New("the order is older than one that the endpoint has taken")
)

// Endpoints calls endpoints.
type Endpoints interface {
	// Report asks an endpoint about itself.
	Report(ctx context.Context, address string, id serving.EndpointID) (serving.Report, error)
	// Order gives an order; done says that it already holds.
	Order(ctx context.Context, address string, id serving.EndpointID, o serving.Order) (done bool, err error)
}

// Demand is what callers ask for of one model.
type Demand struct {
	// Groups is the work, in groups that would be busy with it all the time.
	Groups float64
	// Requests is how many come a second.
	Requests float64
	// InTime is the fraction of requests that were served in time lately, and Measured the
	// number of requests it is based on, older ones weighted less.
	InTime   float64
	Measured float64
}

// Options of a Controller.
type Options struct {
	Node string
	// Address is where other nodes reach this one; the lease names it.
	Address    string
	DataCentre serving.DataCentre
	// DataCentres is how many data centres share the weight store.
	DataCentres int
	// Unpaced reports whether loads need not be paced: nothing is served yet.
	Unpaced func() bool
	// HolderAlive reports whether another node that holds the lease was heard from lately;
	// nil means that this is unknown.
	HolderAlive func() bool
	// OnHolderRead, unless nil, is called with each lease row that is read.
	OnHolderRead func(row lease.Row)
	// Rank is this node's place in the order in which those of the data centre
	// look at a lease whose holder is silent; nil means that it is the first.
	Rank func() int
	// FirstReadDelay is how long the node waits before it first reads the lease.
	FirstReadDelay time.Duration
	// IsEarlierIncarnation reports whether a holder of the lease is an earlier incarnation
	// of this node that no longer runs; nil means that this is unknown.
	IsEarlierIncarnation func(holder string) bool
	// Now is the clock by which the lease is held, which counts time in which the machine
	// was suspended; nil means the monotonic clock, which does not.
	Now func() time.Time
	// Demand returns what callers ask for of each model over all data centres.
	Demand func() map[directory.Pool]Demand
	// LastEvent returns when an endpoint last sent any node something of a request,
	// zero if none is known; nil means that nobody knows.
	LastEvent func(serving.EndpointID) time.Time
	// Limit returns how many requests a second an endpoint takes that limits them, zero if it
	// does not; nil means that nobody knows of any.
	Limit func(*serving.Endpoint) float64
	// Weights are those of the plan.
	Weights Weights
	// LeaseTTL is how long the lease of a silent holder lasts.
	LeaseTTL time.Duration
	// LeaseOutageExtension is how long a holder keeps an expired lease while the store does
	// not answer; zero disables this. Two holders cannot harm a group, because an order
	// names the number of orders that its endpoint has accepted.
	LeaseOutageExtension time.Duration
	// CallTimeout bounds one report or order.
	CallTimeout time.Duration
	// Tick is the time between two looks at the view.
	Tick time.Duration
	// DrainWait is the longest wait for the requests of a group with a
	// leaving member.
	DrainWait time.Duration
}
