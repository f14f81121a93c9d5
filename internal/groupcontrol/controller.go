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
	lease     *leaseKeeper
	log       logging.Logger
	// wake has an entry when something happened that the plan depends on.
	wake chan struct{}

	mu sync.Mutex
	// busy has the operation that each endpoint is in.
	busy map[serving.EndpointID]*operation
	// dead endpoints did not answer lately.
	dead map[serving.EndpointID]death
	// probed is when the members of a suspected group were last asked.
	probed map[string]time.Time
	// unopened is since when a group has been seen unopened or headless
	// without an operation on it.
	unopened map[string]time.Time
	// standing is since when a group has been seen without fault.
	standing map[string]time.Time
	// known is what each endpoint was at a number of orders, where that is
	// known from the endpoint itself.
	known map[serving.EndpointID]knownState
	// taken endpoints said that they are in a group, against their row.
	taken map[serving.EndpointID]time.Time
	// firstSeen is when each endpoint was first listed.
	firstSeen map[serving.EndpointID]time.Time
	// staged is what each spare was last told to stage.
	staged map[serving.EndpointID]stagingOrder
	// reserved domains, by name.
	reserved map[string]reservation
	// takenOver is when groups were last ended for another model.
	takenOver time.Time
	epoch     uint64
	// since is when this hold of the lease began.
	since    time.Time
	formed   uint64
	nextLoad time.Time
	running  sync.WaitGroup
}

// New returns a controller that has not started. suspects returns the
// endpoints that traffic finds silent or failing.
func New(o Options, store table.Store, endpoints Endpoints, d *directory.Directory, suspects func() []serving.EndpointID) *Controller {
	c := &Controller{
		options:   o,
		endpoints: endpoints,
		directory: d,
		suspects:  suspects,
		lease:     newLeaseKeeper(store, o),
		log:       logging.For("groups").With("data_centre", string(o.DataCentre)),
		wake:      make(chan struct{}, 1),
	}
	c.lease.seenEpoch = c.seenEpoch
	c.reset(0)
	return c
}

// seenEpoch is the highest lease epoch that the data centre's endpoints tell of by their groups.
func (c *Controller) seenEpoch() uint64 {
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
	c.since = time.Now()
	c.formed = 0
	c.busy = map[serving.EndpointID]*operation{}
	c.dead = map[serving.EndpointID]death{}
	c.probed = map[string]time.Time{}
	c.unopened = map[string]time.Time{}
	c.standing = map[string]time.Time{}
	c.known = map[serving.EndpointID]knownState{}
	c.taken = map[serving.EndpointID]time.Time{}
	c.firstSeen = map[serving.EndpointID]time.Time{}
	c.staged = map[serving.EndpointID]stagingOrder{}
	c.reserved = map[string]reservation{}
}

// HoldsLease reports whether this node is the controller now.
func (c *Controller) HoldsLease() bool { return c.Epoch() != 0 }

// HoldsPastExpiry reports whether this node acts under an expired lease because the store
// does not answer.
func (c *Controller) HoldsPastExpiry() bool { return c.lease.holdsOver() }

// Epoch returns the epoch under which this node acts, or zero.
func (c *Controller) Epoch() uint64 {
	epoch, _ := c.lease.Held()
	return epoch
}

// ObserveController records that another node of the data centre acts under an epoch. A
// later epoch than this node's ends a hold past expiry.
func (c *Controller) ObserveController(epoch uint64) {
	c.lease.heardEpoch(epoch)
	if epoch > c.Epoch() {
		c.lease.stepDown("another node acts under a later epoch")
	}
}

// Run acts until the context ends.
func (c *Controller) Run(ctx context.Context) {
	leaseDone := make(chan struct{})
	go func() {
		defer close(leaseDone)
		c.keepLease(ctx)
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

// hurry has the next tick come soon.
func (c *Controller) hurry() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Controller) keepLease(ctx context.Context) {
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
		c.since = now
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
	c.reserved[t.domain] = reservation{t.model.Name, now.Add(reservedFor)}
	if t.crosses() {
		c.takenOver = now
	}
	for _, g := range t.groups {
		c.startDissolve(ctx, g, reasonTakeover)
	}
}

// startStagings begins loads to hosts, as many as may run at once.
func (c *Controller) startStagings(ctx context.Context, s *situation, stagings []staging, now time.Time) {
	for _, st := range stagings {
		if len(s.staging) >= c.loadsAtOnce(s.engine) {
			return
		}
		if st.lacking == otherLacking && !c.maySpareLoad(s) {
			return
		}
		if s.staging[st.endpoint.ID] == "" {
			s.staging[st.endpoint.ID] = st.model.Name
			c.startStage(ctx, st, s.engine, now)
		}
	}
}

// maySpareLoad reports whether a load may begin that completes no group and
// makes no spare: only a part of the loads that may run at once, and at the
// start once all groups are formed.
func (c *Controller) maySpareLoad(s *situation) bool {
	if c.options.Unpaced() {
		return len(c.busy) == 0
	}
	return len(s.staging) < max(1, c.loadsAtOnce(s.engine)/otherLoadsPart)
}

// otherLoadsPart divides the loads at once for those of members of groups.
const otherLoadsPart = 3

// loadsAtOnce is how many loads this data centre runs at a time: more would
// slow each other down, and those of the other data centres.
func (c *Controller) loadsAtOnce(engine *serving.Engine) int {
	if engine.LoadsAtOnce <= 0 || c.options.Unpaced() {
		return math.MaxInt
	}
	return max(1, engine.LoadsAtOnce/c.options.DataCentres)
}

func (c *Controller) isBusy(id serving.EndpointID) bool { return c.busy[id] != nil }
