// Package control has the node's control state and the goroutine that owns it.
//
// Loop drives the pure state machines (membership, lease, placement,
// configuration) with events that other goroutines post: responses of
// endpoints, peers and the platform. It publishes an immutable Snapshot for
// request handling.
//
// The files: watch (endpoints), exchange (peers), reads (platform), lease,
// controller (placement), orders, snapshot, status.
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/peerpb"
	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/lease"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// Intervals of the loop's periodic work.
type Intervals struct {
	// Tick is the time between two checks for due work.
	Tick time.Duration
	// Poll is the time between two status polls of one endpoint.
	Poll time.Duration
	// Exchange is the time between two exchanges with a peer of the same
	// data centre, Remote with one of another.
	Exchange time.Duration
	Remote   time.Duration
	// Head is the time between two reads of the table's head rows.
	Head time.Duration
	// Instances is the time between two reads of the instance list.
	Instances time.Duration
	// Plan is the time between two placement steps.
	Plan time.Duration
	// Publish is the minimum time between two snapshots, Refresh the time to
	// the next one when nothing changes.
	Publish time.Duration
	Refresh time.Duration
	// Order is the time after which an order is sent again.
	Order time.Duration
}

// DefaultIntervals returns intervals for small data centres; Loop scales them
// to the size.
func DefaultIntervals() Intervals {
	return Intervals{
		Tick:      50 * time.Millisecond,
		Poll:      400 * time.Millisecond,
		Exchange:  400 * time.Millisecond,
		Remote:    2 * time.Second,
		Head:      time.Second,
		Instances: 2 * time.Second,
		Plan:      500 * time.Millisecond,
		Publish:   100 * time.Millisecond,
		Refresh:   500 * time.Millisecond,
		Order:     time.Second,
	}
}

// PoolLoad is this node's load and demand of one pool.
type PoolLoad struct {
	Slots    int
	InFlight int
	Queued   int
	// Rate is the recent requests per second.
	Rate float64
}

// Options of a Loop.
type Options struct {
	Self        membership.Node
	Incarnation uint64
	Intervals   Intervals
	Membership  membership.Options
	Placement   placement.Options
	LeaseTTL    time.Duration
	// UnfencedWait is how long a new controller waits before its first order
	// to an endpoint that does not check fences: longer than an order of the
	// previous controller can be in flight.
	UnfencedWait time.Duration
	// CallTimeout bounds one poll, order or exchange.
	CallTimeout time.Duration
	// Bootstrap are the nodes listed in the settings.
	Bootstrap []membership.Node
	Platform  *platform.Client
	Engine    *engine.Client
	Peers     *peers.Client
	// Quarantine lists the requests that crash the endpoints that run them. The caller expires its
	// records.
	Quarantine *quarantine.Quarantine
	// Load returns the current load by pool.
	Load func() map[string]PoolLoad
	// Publish is called on the loop's goroutine with each new snapshot.
	Publish func(*Snapshot)
}

// event is a result or request from another goroutine that the loop applies.
type event interface {
	apply(l *Loop, now time.Time)
}

const eventBuffer = 1024

// Loop owns the control state. Only its own goroutine touches the fields from
// start on; others post events and read the snapshot.
type Loop struct {
	options  Options
	log      logging.Logger
	events   chan event
	ctx      context.Context
	running  sync.WaitGroup
	snapshot atomic.Pointer[Snapshot]
	// intervals are the options' intervals scaled to the data centre's size.
	intervals Intervals

	start   time.Time
	random  *rand.Rand
	tracker *membership.Tracker
	lease   *lease.Machine
	// loggedLease is the lease as it was logged last.
	loggedLease leaseStatus
	planner     *placement.Planner
	store       *configuration.Store
	groups      *fleet.Groups
	instances   map[fleet.InstanceID]fleet.Instance
	// unlisted are instances that are no longer listed but still respond.
	unlisted map[fleet.InstanceID]bool
	// instancesChangedAt is when the set of instances last changed.
	instancesChangedAt time.Time
	watches            map[fleet.InstanceID]*watch
	watchKey           string
	links              map[membership.NodeID]*peerLink
	remotes            map[membership.NodeID]*remote
	quarantineSyncs    map[membership.NodeID]*quarantineSync
	stopping           bool
	// published is the state on which the last snapshot is based.
	published state
	// matched records since when each member has matched its group.
	matched    map[fleet.InstanceID]match
	reads      platformReads
	controller controllerState
	orders     map[fleet.InstanceID]time.Time
	next       schedule
}

// schedule is when each periodic task runs next.
type schedule struct {
	publish, refresh, plan, watches, expire time.Time
}

// New returns a loop; call Run to start it.
func New(options Options) *Loop {
	start := time.Now()
	options.Membership.Self = options.Self
	options.Membership.Incarnation = options.Incarnation
	options.Membership.Start = start
	l := &Loop{
		options:         options,
		intervals:       options.Intervals,
		log:             logging.For("control").With("node", string(options.Self.ID)),
		events:          make(chan event, eventBuffer),
		start:           start,
		random:          rand.New(rand.NewPCG(options.Incarnation, uint64(start.UnixNano()))),
		tracker:         membership.New(options.Membership),
		planner:         placement.New(options.Placement),
		store:           configuration.NewStore(),
		groups:          fleet.NewGroups(),
		instances:       map[fleet.InstanceID]fleet.Instance{},
		unlisted:        map[fleet.InstanceID]bool{},
		watches:         map[fleet.InstanceID]*watch{},
		links:           map[membership.NodeID]*peerLink{},
		remotes:         map[membership.NodeID]*remote{},
		quarantineSyncs: map[membership.NodeID]*quarantineSync{},
		matched:         map[fleet.InstanceID]match{},
		orders:          map[fleet.InstanceID]time.Time{},
	}
	l.lease = lease.New(lease.Options{
		Self:          string(options.Self.ID),
		TTL:           options.LeaseTTL,
		RenewInterval: options.LeaseTTL / 4,
		Guard:         options.LeaseTTL / 4,
	})
	l.setKnownNodes(start, nil)
	l.snapshot.Store(&Snapshot{CreatedAt: start})
	return l
}

// Snapshot returns the last published state.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Run runs the loop until the context is done.
func (l *Loop) Run(ctx context.Context) {
	l.ctx = ctx
	ticker := time.NewTicker(l.options.Intervals.Tick)
	defer ticker.Stop()
	l.log.Info("started", "data_centre", string(l.options.Self.DataCentre))
	for {
		select {
		case <-ctx.Done():
			l.running.Wait()
			return
		case e := <-l.events:
			e.apply(l, time.Now())
		case <-ticker.C:
			l.tick(time.Now())
		}
	}
}

func (l *Loop) tick(now time.Time) {
	l.tracker.Expire(now)
	l.watchEndpoints(now)
	l.exchangeWithPeers(now)
	l.readPlatform(now)
	l.runLease(now)
	l.logLease(now)
	l.runController(now)
	l.publish(now)
	if now.After(l.next.expire) {
		l.next.expire = now.Add(time.Minute)
		l.tracker.Forget(now, 5*time.Minute)
		l.expireQuarantineSyncs(now)
	}
}

// post sends an event to the loop unless the loop has stopped.
func (l *Loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// async runs work on another goroutine and posts its result.
func (l *Loop) async(work func(ctx context.Context) event) {
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		ctx, cancel := context.WithTimeout(l.ctx, l.options.CallTimeout)
		defer cancel()
		if e := work(ctx); e != nil {
			l.post(e)
		}
	}()
}

// jitter varies an interval by up to 5% in either direction, so that nodes
// that started together drift apart.
func (l *Loop) jitter(d time.Duration) time.Duration {
	return d - d/20 + time.Duration(l.random.Int64N(int64(d/10)+1))
}

// stopRequest marks the node as stopping and releases its lease.
type stopRequest struct{ done chan struct{} }

func (e stopRequest) apply(l *Loop, now time.Time) {
	l.stopping = true
	l.releaseLease(now, e.done)
}

// Leave marks this node as stopping for its peers and releases the lease. It
// returns when the lease row has been written or the context is done.
func (l *Loop) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case l.events <- stopRequest{done}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// poolLoads converts the current load to its wire form.
func (l *Loop) poolLoads() []*peerpb.PoolLoad {
	var out []*peerpb.PoolLoad
	for name, load := range l.options.Load() {
		out = append(out, &peerpb.PoolLoad{
			Pool:     name,
			Slots:    int32(load.Slots),
			InFlight: int32(load.InFlight),
			Queued:   int32(load.Queued),
		})
	}
	return out
}
