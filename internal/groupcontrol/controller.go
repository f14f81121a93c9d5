package groupcontrol

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Controller forms, repairs and dissolves the replica groups of one data centre while its node
// holds the lease.
type Controller struct {
	options   Options
	endpoints Endpoints
	directory *directory.Directory
	suspects  func() []serving.EndpointID
	lease     *leaseManager
	log       logging.Logger
	// wake requests an early tick.
	wake chan struct{}

	mu sync.Mutex
	// busy maps an endpoint to the operation that it takes part in.
	busy map[serving.EndpointID]*operation
	// dead has the endpoints that failed to respond lately.
	dead map[serving.EndpointID]deadMark
	// lastProbe is when the members of a suspect group were last probed.
	lastProbe map[string]time.Time
	// unopenedSince is when a group was first seen unopened or without a head while no
	// operation worked on it.
	unopenedSince map[string]time.Time
	// healthySince is when a group was first seen without a fault.
	healthySince map[string]time.Time
	// knownStates has the states that the endpoints themselves reported last.
	knownStates map[serving.EndpointID]knownState
	// inOtherGroup is when an endpoint reported a group although its row shows none.
	inOtherGroup map[serving.EndpointID]time.Time
	// firstSeen is when each endpoint was first listed.
	firstSeen map[serving.EndpointID]time.Time
	// stagingOrders has the last model that each endpoint was ordered to stage.
	stagingOrders map[serving.EndpointID]stagingOrder
	// reservations are keyed by domain.
	reservations map[string]reservation
	// lastTakeover is when groups were last dissolved in favour of another model.
	lastTakeover time.Time
	epoch        uint64
	// leaseSince is when this node acquired the lease.
	leaseSince   time.Time
	groupsFormed uint64
	nextLoad     time.Time
	running      sync.WaitGroup
	// implausible has the endpoints whose epochs were ignored last, so that each is logged once. Only the goroutine of
	// the lease uses it.
	implausible map[serving.EndpointID]bool
}

// New returns a controller that has not started. suspects returns the endpoints that fail or
// stall according to request traffic.
func New(o Options, store table.Store, endpoints Endpoints, d *directory.Directory, suspects func() []serving.EndpointID) *Controller {
	c := &Controller{
		options:   o,
		endpoints: endpoints,
		directory: d,
		suspects:  suspects,
		lease:     newLeaseManager(store, o),
		log:       logging.For("groups").With("data_centre", string(o.DataCentre)),
		wake:      make(chan struct{}, 1),
	}
	c.lease.maxSeenEpoch = c.maxSeenEpoch
	c.reset(0)
	return c
}

// maxLeaseEpoch is far beyond any lease epoch, and far below one whose group epochs overflow.
const maxLeaseEpoch = 1 << 40

// maxSeenEpoch returns the highest lease epoch among the memberships that endpoints report. It ignores those that no
// controller can have assigned: group epochs that follow from them would overflow, and no endpoint accepts a lower epoch.
func (c *Controller) maxSeenEpoch() uint64 {
	highest := uint64(0)
	implausible := map[serving.EndpointID]bool{}
	for id, e := range c.directory.View().Endpoints {
		epoch := e.Membership.Epoch / epochsPerLease
		switch {
		case e.DataCentre != c.options.DataCentre:
		case epoch <= maxLeaseEpoch:
			highest = max(highest, epoch)
		default:
			implausible[id] = true
			if !c.implausible[id] {
				c.log.Warn("ignoring the implausible epoch of an endpoint's group", "endpoint", string(id), "group", e.Membership.Group, "epoch", e.Membership.Epoch)
			}
		}
	}
	c.implausible = implausible
	return highest
}

// reset discards the state of an earlier tenure of the lease.
func (c *Controller) reset(epoch uint64) {
	c.epoch = epoch
	c.leaseSince = time.Now()
	c.groupsFormed = 0
	c.busy = map[serving.EndpointID]*operation{}
	c.dead = map[serving.EndpointID]deadMark{}
	c.lastProbe = map[string]time.Time{}
	c.unopenedSince = map[string]time.Time{}
	c.healthySince = map[string]time.Time{}
	c.knownStates = map[serving.EndpointID]knownState{}
	c.inOtherGroup = map[serving.EndpointID]time.Time{}
	c.firstSeen = map[serving.EndpointID]time.Time{}
	c.stagingOrders = map[serving.EndpointID]stagingOrder{}
	c.reservations = map[string]reservation{}
}

// HoldsLease reports whether this node is the controller now.
func (c *Controller) HoldsLease() bool { return c.Epoch() != 0 }

// HoldsPastExpiry reports whether this node acts under an expired lease because the store does
// not respond.
func (c *Controller) HoldsPastExpiry() bool { return c.lease.heldPastExpiry() }

// Epoch returns the lease epoch under which this node acts, or zero.
func (c *Controller) Epoch() uint64 {
	epoch, _ := c.lease.Held()
	return epoch
}

// ObserveController records the epoch under which another node of the data centre acts. If it
// is later than this node's epoch, a lease held past expiry is given up.
func (c *Controller) ObserveController(epoch uint64) {
	c.lease.observeEpoch(epoch)
	if epoch > c.Epoch() {
		c.lease.stepDown("another node acts under a later epoch")
	}
}

// Run runs the controller until the context is cancelled.
func (c *Controller) Run(ctx context.Context) {
	leaseDone := make(chan struct{})
	go func() {
		defer close(leaseDone)
		c.runLease(ctx)
	}()
	ticker := time.NewTicker(c.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.running.Wait()
			<-leaseDone
			return
		case <-ticker.C:
			c.tick(ctx, time.Now())
		case <-c.wake:
			// Operations that finish at the same time share one tick.
			if pause(ctx, c.options.Tick/10) == nil {
				c.tick(ctx, time.Now())
			}
		}
	}
}

// requestTick makes the next tick run soon.
func (c *Controller) requestTick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Controller) runLease(ctx context.Context) {
	if pause(ctx, c.options.FirstReadDelay) != nil {
		return
	}
	ticker := time.NewTicker(c.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if c.handsOver(now) {
				// It has no effect unless this node holds the lease.
				c.lease.release(ctx)
				continue
			}
			c.lease.step(ctx)
		}
	}
}

// Release releases the lease; the controller must have stopped.
func (c *Controller) Release(ctx context.Context) { c.lease.release(ctx) }

// tick plans once from the current view and starts the resulting operations.
func (c *Controller) tick(ctx context.Context, now time.Time) {
	epoch, held := c.lease.Held()
	if !held || c.linksLost() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch {
		c.reset(epoch)
	}
	view := c.directory.View()
	if version, _ := c.directory.TableVersion(); version == 0 || view.Configuration == nil {
		// Rows that came from a peer are only part of the table: groups would seem to have
		// lost the members whose rows are missing. The grace for lagging rows starts with the
		// complete table.
		c.leaseSince = now
		return
	}
	for _, name := range slices.Sorted(maps.Keys(view.Configuration.Services)) {
		service := view.Configuration.Services[name]
		if service.Engine != nil {
			c.tickService(ctx, view, service, now)
		}
	}
}

// startTakeover dissolves groups and reserves their members' domain for another group.
func (c *Controller) startTakeover(ctx context.Context, t takeover, now time.Time) {
	c.reservations[t.domain] = reservation{t.model.Name, now.Add(reservationTTL)}
	if t.changesModel() {
		c.lastTakeover = now
	}
	for _, g := range t.groups {
		c.startDissolve(ctx, g, reasonTakeover)
	}
}

// startStagings starts model loads up to the limit of concurrent loads.
func (c *Controller) startStagings(ctx context.Context, s *situation, stagings []staging, now time.Time) {
	for _, st := range stagings {
		if len(s.staging) >= c.maxConcurrentLoads(s.engine) {
			return
		}
		if st.priority == secondModelPriority && !c.allowsSecondModelLoad(s) {
			return
		}
		if s.staging[st.endpoint.ID] == "" {
			s.staging[st.endpoint.ID] = st.model.Name
			c.startStaging(ctx, st, s.engine, now)
		}
	}
}

// allowsSecondModelLoad reports whether an endpoint may load a second model, which neither
// completes a group nor provides a spare. Such loads get only part of the concurrent loads,
// and while loads are unpaced they wait until no operation runs.
func (c *Controller) allowsSecondModelLoad(s *situation) bool {
	if c.options.Unpaced() {
		return len(c.busy) == 0
	}
	return len(s.staging) < max(1, c.maxConcurrentLoads(s.engine)/secondModelLoadDivisor)
}

// secondModelLoadDivisor limits loads of second models to a fraction of the concurrent loads.
const secondModelLoadDivisor = 3

// maxConcurrentLoads returns this data centre's share of the concurrent loads; further loads
// would slow all of them down.
func (c *Controller) maxConcurrentLoads(engine *serving.Engine) int {
	if engine.MaxConcurrentLoads <= 0 || c.options.Unpaced() {
		return math.MaxInt
	}
	return max(1, engine.MaxConcurrentLoads/c.options.DataCentres)
}

func (c *Controller) isBusy(id serving.EndpointID) bool { return c.busy[id] != nil }
