package groupcontrol

import (
	"context"
	"errors"
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
	// busy endpoints are in an operation.
	busy map[serving.EndpointID]string
	// dead endpoints did not answer lately; the time is when that was found.
	dead map[serving.EndpointID]time.Time
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
	epoch    uint64
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
	c.reset(0)
	return c
}

// reset forgets what an earlier hold of the lease knew.
func (c *Controller) reset(epoch uint64) {
	c.epoch = epoch
	c.since = time.Now()
	c.formed = 0
	c.busy = map[serving.EndpointID]string{}
	c.dead = map[serving.EndpointID]time.Time{}
	c.probed = map[string]time.Time{}
	c.unopened = map[string]time.Time{}
	c.standing = map[string]time.Time{}
	c.known = map[serving.EndpointID]knownState{}
	c.taken = map[serving.EndpointID]time.Time{}
	c.firstSeen = map[serving.EndpointID]time.Time{}
	c.staged = map[serving.EndpointID]stagingOrder{}
	c.reserved = map[string]reservation{}
}

// Holds reports whether this node is the controller now.
func (c *Controller) Holds() bool {
	_, held := c.lease.Held(time.Now())
	return held
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
	ticker := time.NewTicker(c.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.lease.step(ctx, time.Now())
		}
	}
}

// Release gives up the lease; the controller must have stopped.
func (c *Controller) Release(ctx context.Context) { c.lease.release(ctx) }

// tick looks at the view once and starts the operations that it asks for.
func (c *Controller) tick(ctx context.Context, now time.Time) {
	epoch, held := c.lease.Held(now)
	if !held {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch {
		c.reset(epoch)
	}
	view := c.directory.View()
	if view.Configuration == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(view.Configuration.Services)) {
		service := view.Configuration.Services[name]
		if service.Engine != nil {
			c.tickService(ctx, view, service, now)
		}
	}
}

func (c *Controller) tickService(ctx context.Context, view *directory.View, service serving.Service, now time.Time) {
	s := situation{
		service: service.Name,
		engine:  service.Engine,
		working: map[string]map[string]float64{},

		elsewhere: map[string]float64{},
		growing:   map[string]bool{},
		staging:   c.stagingNow(view, now),
	}
	// Only what is started for the first time waits for loads.
	s.open = !c.options.Unpaced()
	groups := map[string]*group{}
	for _, e := range view.Endpoints {
		if e.Service != service.Name {
			continue
		}
		if e.DataCentre != c.options.DataCentre {
			if e.Membership.Group != "" {
				s.elsewhere[e.Model]++
			}
			continue
		}
		if _, ok := c.firstSeen[e.ID]; !ok {
			c.firstSeen[e.ID] = now
		}
		if now.Sub(c.firstSeen[e.ID]) < growingFor {
			s.growing[e.Domain] = true
		}
		if e.Membership.State == serving.MemberOpen {
			s.open = true
		}
		if e.Membership.Group == "" || c.isBusy(e.ID) {
			c.addFree(&s, e, now)
			continue
		}
		c.addMember(groups, service.Engine, e)
	}
	c.addLapsed(view, groups, service, now)
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		c.lookAtGroup(ctx, &s, groups[key], now)
	}
	c.countOperations(&s, view)
	s.reserved = c.reservedNow(now)
	d := plan(s)
	for _, f := range d.formations {
		delete(c.reserved, f.members[0].Domain)
		c.startForm(ctx, f, service.Engine, now)
	}
	for _, t := range d.takeovers {
		c.startTakeover(ctx, t, now)
	}
	c.startStagings(ctx, &s, d.stagings, now)
	for _, r := range d.rehearsals {
		if s.staging[r.endpoint.ID] == "" {
			c.startRehearsal(ctx, r)
		}
	}
}

// startTakeover ends groups and keeps their members for another.
func (c *Controller) startTakeover(ctx context.Context, t takeover, now time.Time) {
	c.reserved[t.domain] = reservation{t.model.Name, now.Add(reservedFor)}
	for _, g := range t.groups {
		c.startDissolve(ctx, g, reasonTakeover)
	}
}

// reservation keeps the free endpoints of a domain for a model.
type reservation struct {
	model string
	until time.Time
}

// reservedFor is how long the members of groups that were ended for another may
// take to leave.
const reservedFor = 1500 * time.Millisecond

// reservedNow returns the model that each domain's free endpoints are kept for.
func (c *Controller) reservedNow(now time.Time) map[string]string {
	out := map[string]string{}
	for domain, r := range c.reserved {
		if now.After(r.until) {
			delete(c.reserved, domain)
			continue
		}
		out[domain] = r.model
	}
	return out
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
	return len(s.staging) < c.loadsAtOnce(s.engine)/otherLoadsPart
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

// growingFor is how long after a new endpoint its domain may have more soon.
const growingFor = 1500 * time.Millisecond

func (c *Controller) isBusy(id serving.EndpointID) bool { return c.busy[id] != "" }

// takenFor is how long an endpoint is left alone that is in a group although
// its row says otherwise: rows lag less.
const takenFor = time.Second

// addFree adds an endpoint that may be used for new groups.
func (c *Controller) addFree(s *situation, e *serving.Endpoint, now time.Time) {
	if e.Leaving || c.isDead(e.ID, now) || now.Sub(c.taken[e.ID]) < takenFor {
		return
	}
	if c.busy[e.ID] == busyDissolving {
		s.soon = append(s.soon, e)
		return
	}
	if c.isBusy(e.ID) {
		return
	}
	s.free = append(s.free, e)
}

// countOperations counts the groups that are being formed.
func (c *Controller) countOperations(s *situation, view *directory.View) {
	for id, what := range c.busy {
		e := view.Endpoints[id]
		if _, ok := s.engine.Model(what); ok && e != nil {
			s.count(e.Domain, what, 1)
		}
	}
}

// stagingOrder is a staging that was ordered.
type stagingOrder struct {
	model string
	// until is when it is given up.
	until time.Time
}

// stagingNow returns the models that are on their way to hosts.
func (c *Controller) stagingNow(view *directory.View, now time.Time) map[serving.EndpointID]string {
	out := map[serving.EndpointID]string{}
	for id, order := range c.staged {
		e := view.Endpoints[id]
		if e == nil || !now.Before(order.until) || slices.Contains(e.Staged, order.model) {
			delete(c.staged, id)
			continue
		}
		out[id] = order.model
	}
	return out
}

// report asks an endpoint about itself.
func (c *Controller) report(ctx context.Context, e *serving.Endpoint) (serving.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	report, err := c.endpoints.Report(ctx, e.Address, e.ID)
	if err == nil {
		c.observe(e, report)
		c.noteState(e.ID, knownState{report.Orders, report.Membership})
	}
	return report, err
}

// knownState is an endpoint's membership once it had taken a number of orders.
// An order that names the number reaches the endpoint in that very state, or
// is refused.
type knownState struct {
	orders     uint64
	membership serving.Membership
}

func (c *Controller) noteState(id serving.EndpointID, state knownState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[id] = state
}

// stateOf returns an endpoint's last known state, if there is one.
func (c *Controller) stateOf(id serving.EndpointID) (knownState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.known[id]
	return state, ok
}

func (c *Controller) forgetState(id serving.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.known, id)
}

// observe lets the directory know what an endpoint said, ahead of its row.
func (c *Controller) observe(e *serving.Endpoint, r serving.Report) {
	c.directory.Observe(directory.Observation{
		ID:         e.ID,
		Model:      r.Model,
		Membership: r.Membership,
		Orders:     r.Orders,
	}, true, time.Now())
}

// order gives one order, if this node still holds the lease at this moment.
func (c *Controller) order(ctx context.Context, e *serving.Endpoint, o serving.Order) (done bool, err error) {
	epoch, held := c.lease.Held(time.Now())
	if !held || epoch != o.Fence {
		return false, errLeaseLost
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	done, err = c.endpoints.Order(ctx, e.Address, e.ID, o)
	c.log.Info("gave an order", "order", o.Kind.String(), "endpoint", string(e.ID), "group", o.Group, "epoch", o.Epoch,
		"model", o.Model, "fence", o.Fence, "expected", o.Expected, "done", done, "error", err)
	return done, err
}

var errLeaseLost = errors.New("the lease is not held any more")
