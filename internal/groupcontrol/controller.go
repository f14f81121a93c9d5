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

// Controller forms, repairs and ends the groups of one data centre while its
// node holds the lease.
type Controller struct {
	options   Options
	endpoints Endpoints
	directory *directory.Directory
	suspects  func() []serving.EndpointID
	lease     *leaseManager
	log       logging.Logger
	// wake has an entry when something happened that the plan depends on.
	wake chan struct{}

	mu sync.Mutex
	// busy has the operation that each endpoint is in.
	busy map[serving.EndpointID]*operation
	// dead endpoints did not answer lately.
	dead map[serving.EndpointID]deadMark
	// probed is when the members of a suspected group were last asked.
	lastProbe map[string]time.Time
	// unopened is since when a group has been seen unopened or headless
	// without an operation on it.
	unopenedSince map[string]time.Time
	// standing is since when a group has been seen without fault.
	healthySince map[string]time.Time
	// known is what each endpoint was at a number of orders, where that is
	// known from the endpoint itself.
	knownStates map[serving.EndpointID]knownState
	// taken endpoints said that they are in a group, against their row.
	inOtherGroup map[serving.EndpointID]time.Time
	// firstSeen is when each endpoint was first listed.
	firstSeen map[serving.EndpointID]time.Time
	// staged is what each spare was last told to stage.
	stagingOrders map[serving.EndpointID]stagingOrder
	// reserved domains, by name.
	reservations map[string]reservation
	// takenOver is when groups were last ended for another model.
	lastTakeover time.Time
	epoch        uint64
	// since is when this hold of the lease began.
	leaseSince   time.Time
	groupsFormed uint64
	nextLoad     time.Time
	running      sync.WaitGroup
}

// New returns a controller that has not started. suspects returns the
// endpoints that traffic finds silent or failing.
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

// maxSeenEpoch is the highest lease epoch that the data centre's endpoints tell of by their groups.
func (c *Controller) maxSeenEpoch() uint64 {
	highest := uint64(0)
	for _, e := range c.directory.View().Endpoints {
		if e.DataCentre == c.options.DataCentre {
			highest = max(highest, e.Membership.Epoch/epochsPerLease)
		}
	}
	return highest
}

// reset forgets what an earlier hold of the lease knew.
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

// HoldsPastExpiry reports whether this node acts under an expired lease because the store
// does not answer.
func (c *Controller) HoldsPastExpiry() bool { return c.lease.heldPastExpiry() }

// Epoch returns the epoch under which this node acts, or zero.
func (c *Controller) Epoch() uint64 {
	epoch, _ := c.lease.Held()
	return epoch
}

// ObserveController records that another node of the data centre acts under an epoch. A
// later epoch than this node's ends a hold past expiry.
func (c *Controller) ObserveController(epoch uint64) {
	c.lease.observeEpoch(epoch)
	if epoch > c.Epoch() {
		c.lease.stepDown("another node acts under a later epoch")
	}
}

// Run acts until the context ends.
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
			// Others that end at the same time are seen together.
			if pause(ctx, c.options.Tick/10) == nil {
				c.tick(ctx, time.Now())
			}
		}
	}
}

// requestTick has the next tick come soon.
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
		case <-ticker.C:
			c.lease.step(ctx)
		}
	}
}

// Release gives up the lease; the controller must have stopped.
func (c *Controller) Release(ctx context.Context) { c.lease.release(ctx) }

// tick looks at the view once and starts the operations that it asks for.
func (c *Controller) tick(ctx context.Context, now time.Time) {
	epoch, held := c.lease.Held()
	if !held {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch {
		c.reset(epoch)
	}
	view := c.directory.View()
	if version, _ := c.directory.TableVersion(); version == 0 || view.Configuration == nil {
		// What a peer brought of the table is a part of it: groups of which this node
		// knows some members alone would look as if they had lost the others. Its grace
		// for rows that lag begins with the whole.
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

// startTakeover ends groups and keeps their members for another.
func (c *Controller) startTakeover(ctx context.Context, t takeover, now time.Time) {
	c.reservations[t.domain] = reservation{t.model.Name, now.Add(reservationTTL)}
	if t.changesModel() {
		c.lastTakeover = now
	}
	for _, g := range t.groups {
		c.startDissolve(ctx, g, reasonTakeover)
	}
}

// startStagings begins loads to hosts, as many as may run at once.
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

// allowsSecondModelLoad reports whether a load may begin that completes no group and
// makes no spare: only a part of the loads that may run at once, and at the
// start once all groups are formed.
func (c *Controller) allowsSecondModelLoad(s *situation) bool {
	if c.options.Unpaced() {
		return len(c.busy) == 0
	}
	return len(s.staging) < max(1, c.maxConcurrentLoads(s.engine)/secondModelLoadDivisor)
}

// secondModelLoadDivisor divides the loads at once for those of members of groups.
const secondModelLoadDivisor = 3

// maxConcurrentLoads is how many loads this data centre runs at a time: more would
// slow each other down, and those of the other data centres.
func (c *Controller) maxConcurrentLoads(engine *serving.Engine) int {
	if engine.LoadsAtOnce <= 0 || c.options.Unpaced() {
		return math.MaxInt
	}
	return max(1, engine.LoadsAtOnce/c.options.DataCentres)
}

func (c *Controller) isBusy(id serving.EndpointID) bool { return c.busy[id] != nil }
