// Package gateway admits callers' requests and runs them on endpoints.
//
// A request goes through authentication, admission, a claim if it may run
// only once, the choice of a group, and one or more attempts. Every error
// response states whether the request ran.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/claims"
	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/internal/forward"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/reachability"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/routing"
)

// Options of a Gateway.
type Options struct {
	Node   string
	Engine *engine.Client
	Peers  *peers.Client
	Claims *claims.Store
	// Quarantine lists the requests that crash the endpoints that run them.
	Quarantine *quarantine.Quarantine
	Metrics    *metrics.Metrics
	// MaxBody bounds a request's body, in bytes.
	MaxBody int
	// MaxAttempts bounds the attempts of one repeatable request.
	MaxAttempts int
	// RetryShare bounds retries as a share of requests.
	RetryShare float64
}

const (
	tickInterval  = 50 * time.Millisecond
	rateInterval  = time.Second
	rateSmoothing = 0.3
	// maxRetryBudget is also the initial budget, so that a node with little
	// traffic can retry.
	maxRetryBudget = 10
)

// Gateway runs requests. It is safe for concurrent use.
type Gateway struct {
	options       Options
	log           logging.Logger
	snapshot      atomic.Pointer[control.Snapshot]
	crashDetector *quarantine.Detector
	// links watches this node's links to the endpoints.
	links *reachability.Monitor
	// lastEvent is when any endpoint last sent this node something, in Unix nanoseconds.
	lastEvent atomic.Int64
	chooser   *forward.Chooser
	// stopping rejects new requests; inFlight counts the current ones.
	stopping atomic.Bool
	inFlight atomic.Int64
	// stopped is cancelled when the requests in flight are ended.
	stopped context.Context
	stop    context.CancelFunc

	mu        sync.Mutex
	admission *admission.Machine
	router    *routing.Router
	nextID    admission.ID
	waiting   map[admission.ID]chan admission.Decision
	arrivals  map[string]int
	rates     map[string]float64
	// retryBudget is the number of retries allowed now; each request adds
	// RetryShare.
	retryBudget float64
	classes     map[classKey]*metrics.Class
}

type classKey struct{ workspace, class string }

// New returns a gateway without capacity.
func New(options Options) *Gateway {
	g := &Gateway{
		options:     options,
		log:         logging.For("gateway").With("node", options.Node),
		admission:   admission.New(),
		router:      routing.New(),
		waiting:     map[admission.ID]chan admission.Decision{},
		arrivals:    map[string]int{},
		rates:       map[string]float64{},
		retryBudget: maxRetryBudget,
		classes:     map[classKey]*metrics.Class{},
		chooser:     forward.NewChooser(),
	}
	g.snapshot.Store(&control.Snapshot{})
	g.stopped, g.stop = context.WithCancel(context.Background())
	g.links = reachability.New(reachability.Options{Addresses: g.targetAddresses, Probe: g.probe, LastEvent: g.lastEventAt})
	g.crashDetector = quarantine.NewDetector(options.Quarantine, g.replaced, g.dialEndpoint, g.links.Confirm)
	return g
}

// Publish replaces the snapshot of the control state.
func (g *Gateway) Publish(s *control.Snapshot) {
	last := g.snapshot.Swap(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.SetTargets(s.Targets)
	now := time.Now()
	for pool := range last.Slots {
		if _, ok := s.Slots[pool]; !ok {
			g.deliver(g.admission.SetSlots(now, pool, 0))
		}
	}
	for pool, slots := range s.Slots {
		g.deliver(g.admission.SetSlots(now, pool, slots))
	}
}

// Load returns the load of each pool, for the control state.
func (g *Gateway) Load() map[string]control.PoolLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]control.PoolLoad, len(g.rates))
	for pool, rate := range g.rates {
		load := g.admission.Load(pool)
		out[pool] = control.PoolLoad{Slots: load.Slots, InFlight: load.InFlight, Queued: load.Queued, Rate: rate}
	}
	for pool := range g.snapshot.Load().Slots {
		if _, ok := out[pool]; !ok {
			out[pool] = control.PoolLoad{Slots: g.admission.Load(pool).Slots}
		}
	}
	return out
}

// Run does the gateway's periodic work until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { g.links.Run(ctx) })
	defer running.Wait()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	rate := time.NewTicker(rateInterval)
	defer rate.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.mu.Lock()
			g.deliver(g.admission.Tick(time.Now()))
			g.mu.Unlock()
		case <-rate.C:
			g.measureRates()
		}
	}
}

func (g *Gateway) measureRates() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for pool := range g.arrivals {
		if _, ok := g.rates[pool]; !ok {
			g.rates[pool] = 0
		}
	}
	for pool, rate := range g.rates {
		sample := float64(g.arrivals[pool]) / rateInterval.Seconds()
		g.rates[pool] = (1-rateSmoothing)*rate + rateSmoothing*sample
	}
	clear(g.arrivals)
}

// deliver passes decisions to the requests that wait for them. The caller
// must hold g.mu.
func (g *Gateway) deliver(list []admission.Decision) {
	for _, d := range list {
		if reply, ok := g.waiting[d.ID]; ok {
			delete(g.waiting, d.ID)
			reply <- d
		}
	}
}

// admit requests a slot from admission and waits in its queue. It returns
// false if the context is done first.
func (g *Gateway) admit(ctx context.Context, q admission.Request) (admission.Decision, bool) {
	now := time.Now()
	g.mu.Lock()
	g.nextID++
	q.ID = g.nextID
	g.arrivals[q.Pool]++
	g.retryBudget = min(g.retryBudget+g.options.RetryShare, maxRetryBudget)
	d := g.admission.Arrive(now, q)
	if d.Outcome != admission.OutcomeQueued {
		g.mu.Unlock()
		return d, true
	}
	reply := make(chan admission.Decision, 1)
	g.waiting[q.ID] = reply
	g.mu.Unlock()
	select {
	case d := <-reply:
		return d, true
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, q.ID)
	g.deliver(g.admission.Cancel(time.Now(), q.Pool, q.ID))
	return admission.Decision{ID: q.ID}, false
}

func (g *Gateway) finishAdmission(id admission.ID, served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.admission.Finish(time.Now(), id, served))
}

// acquireRetry takes one retry from the budget. It keeps retries within their
// share of requests even when many groups fail at once.
func (g *Gateway) acquireRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retryBudget < 1 {
		return false
	}
	g.retryBudget--
	return true
}

func (g *Gateway) choose(pool string, prefix uint64, failed []routing.Failure) (routing.Target, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	target, ok := g.router.Choose(time.Now(), routing.Request{
		Pool:   pool,
		Prefix: prefix,
		Random: rand.Uint64(),
		Failed: failed,
	})
	if ok {
		g.router.Started(target.Group)
	}
	return target, ok
}

// recordUnused returns a place that choose has given to a request which did not use it.
func (g *Gateway) recordUnused(id fleet.GroupID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Unused(id)
}

func (g *Gateway) recordFinished(id fleet.GroupID, duration time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Finished(time.Now(), id, duration, ok)
}

func (g *Gateway) class(workspace, class string) *metrics.Class {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := classKey{workspace, class}
	c := g.classes[key]
	if c == nil {
		c = g.options.Metrics.Class(workspace, class)
		g.classes[key] = c
	}
	return c
}

// Stop rejects new requests and waits until those in flight have finished or
// the context is done. Then it ends them, each with a response, and returns how many.
func (g *Gateway) Stop(ctx context.Context) (ended int64) {
	g.stopping.Store(true)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for g.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			ended = g.inFlight.Load()
			g.stop()
			return ended
		case <-ticker.C:
		}
	}
	return 0
}
