// Package gossip keeps entry instances informed of each other, and of what each learns: loads,
// demand, rows, observations, the configuration, advisories of endpoints and the quarantine.
//
// One node of each data centre relays: the others swap messages with it, and relays swap sums
// with each other (relays.go). It also allocates permits at the endpoints of its data centre, and
// keeps the quarantine in the platform's table.
package gossip

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgehinge/ridgehinge/internal/delta"
	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Times of the exchanges between nodes. Each node talks to the relay of its data
// centre alone, and relays talk to each other, so that the messages grow with the
// nodes and not with their square (relays.go).
const (
	tick = 50 * time.Millisecond
	// relayInterval is the time between two calls of a relay, for up to FullRateNodes
	// that call it; it grows with them to maxRelayInterval.
	relayInterval = 100 * time.Millisecond
	// It is half of loadTTL.
	maxRelayInterval = time.Second
	// relayBytes is what a relay is to send to the nodes of its data centre in a second: with
	// many endpoints a message is large, and the number of nodes alone says too little.
	relayBytes = 2 << 20
	// DefaultFullRateNodes is how many nodes a relay hears ten times a second with a small part
	// of a core (BenchmarkRelayMessage).
	DefaultFullRateNodes = 25
	// introInterval is for a node of which only the address is known.
	introInterval = 300 * time.Millisecond
	// silentAfter is for nodes that should have called and have not.
	silentAfter = 2 * time.Second
	// never is for nodes whose news comes through a relay.
	never         = math.MaxInt64
	failedBackoff = 2 * time.Second
	callTimeout   = 800 * time.Millisecond
	// callsPerTick bounds the calls that begin at once, beside those of
	// relays. Without it sixty nodes that had lost their controller, or were
	// ten seconds old, called each other at the same moment, and none of them
	// answered anybody for a second.
	callsPerTick = 2
	// acquaintEvery is the number of messages to a peer of which one names the
	// nodes that it may need.
	acquaintEvery = 20
	// largeAfter is how long a peer may lack all endpoints before it is sent
	// them: it most likely reads them from the store meanwhile.
	largeAfter = 400 * time.Millisecond
	// sayAllAfter is the silence of a peer after which what it knows is not
	// taken for known.
	sayAllAfter = 5 * time.Second
	// loadTTL is how long a peer's figures count.
	loadTTL = 2 * time.Second
	// controllerTTL is how long the word of a controller spares the others
	// a look at the lease.
	controllerTTL = 1300 * time.Millisecond
	// sumPause is the time between two sums of what peers told while nothing comes
	// from them: what they told expires.
	sumPause = 250 * time.Millisecond
	// forgetPeer is after how much silence a peer that does not answer is
	// forgotten.
	forgetPeer = 30 * time.Second
)

// peer is another node.
type peer struct {
	id         string
	dataCentre serving.DataCentre
	address    string
	heard      time.Time
	// called is when it was last called, failed when it last did not answer.
	called time.Time
	failed time.Time
	busy   bool
	lost   bool
	// messages counts those to it; spoke is set once one came from it.
	messages int
	spoke    bool
	// cores is the part of a processor that it may use.
	cores float32
	// controls is set for the controller of its data centre, relays for a node
	// that tells the others of each other.
	controls bool
	relays   bool
	// toldRelay is when another node last named it as a relay.
	toldRelay time.Time
	// epoch is that under which it acts.
	epoch uint64
	// homeNodes is how many nodes of its data centre it relays for, storeSeen
	// when the store last answered it, as it told.
	homeNodes int
	storeSeen time.Time
	// its last message, and the versions that it had then.
	own           work
	relayed       work
	suspects      []serving.EndpointID
	cutOff        []serving.DataCentre
	peerReports   relay.PeerReports
	configuration uint64
	// answerBytes is the size of its last answer to a call of this node.
	answerBytes int
	rows        uint64
	// observations is the version of its observations that this node has, and
	// observationsSeen that of this node's that it has.
	observations     uint64
	observationsSeen uint64
	// quarantine and advisories track what was exchanged of them.
	quarantine delta.Cursor
	advisories delta.Cursor
	// behindSince is when it was first found to lack all endpoints, zero while
	// it does not.
	behindSince time.Time
}

// Gossiper keeps the nodes informed of each other.
type Gossiper struct {
	config     Config
	directory  *directory.Directory
	balancer   *relay.Balancer
	demand     *relay.Demand
	budget     *relay.Budget
	quarantine *quarantineTable
	throttle   *throttle.Tracker
	store      table.Store
	client     *peers.Client
	log        logging.Logger

	// urgent has an entry when the relay should hear from this node now.
	urgent chan struct{}

	mu      sync.Mutex
	peers   map[string]*peer // by address
	leaving bool
	// heardController is when the controller of this data centre last spoke.
	heardController time.Time
	// storeSeen is when the store last answered this node.
	storeSeen time.Time
	// rowsHeard is when a peer last brought news of the endpoint table.
	rowsHeard time.Time
	// rank is this node's place among those of its data centre, as the relay
	// told it, and ranked is set once it did.
	rank   int
	ranked bool
	// began is when this node started.
	began time.Time
	// nodes is how many nodes there are in all, as far as relays told, and toldNodes is
	// set once one of this data centre did. nodesOf is the most that the relays of the
	// other data centres told of theirs.
	nodes     int
	toldNodes bool
	nodesOf   map[serving.DataCentre]int
	// aggregated is what several nodes of this data centre find, as a relay heard it.
	aggregated relay.PeerReports
	// ranks is the place of each other node of this data centre, by address.
	ranks      map[string]int
	controller Controller
	// dirty is set when a message came since the sums were last made, and summed is
	// when that was.
	dirty  bool
	summed time.Time
	// compressed is the configuration as it is sent.
	compressed compressedConfiguration
	// asked is set once a peer told of requests that callers send.
	asked atomic.Bool
}

// Controller is what a Gossiper asks of the part that controls the data centre, and tells it.
type Controller interface {
	// Epoch is that under which this node acts, or zero.
	Epoch() uint64
	// HoldsPastExpiry reports whether the node acts under an expired lease.
	HoldsPastExpiry() bool
	// ObserveController records that another node of the data centre acts under an epoch.
	ObserveController(epoch uint64)
}

// controls reports whether this node controls its data centre.
func (g *Gossiper) controls() bool { return g.controller.Epoch() != 0 }

// ControllerAlive reports whether the data centre's controller, another node,
// spoke lately.
func (g *Gossiper) ControllerAlive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.heardController) < controllerTTL
}

// Config is what a Gossiper is set up with.
type Config struct {
	// Incarnation names this process, other than those before it on the same node.
	Incarnation string
	// Address is this node's for its peers, Key what all of them share, Seeds the addresses of
	// some others.
	Address string
	Key     string
	Seeds   []string
	// DataCentre is this node's, DataCentreNames are all.
	DataCentre      serving.DataCentre
	DataCentreNames []serving.DataCentre
	// Cores is the part of a processor that this node may use.
	Cores float64
	// Nodes is how many nodes there are at least, in all data centres.
	Nodes int
	// FirstStart is set if no node ran before.
	FirstStart bool
	// RetryWindow is that of the retry budget.
	RetryWindow time.Duration
	// FullRateNodes is up to how many nodes call a relay as often as they can.
	FullRateNodes int
}

// Parts are those of an entry instance that a Gossiper reads, and tells what peers sent.
type Parts struct {
	Directory *directory.Directory
	Balancer  *relay.Balancer
	Demand    *relay.Demand
	Budget    *relay.Budget
	Store     table.Store
	Links     link.Bounds
	Metrics   *metrics.Metrics
}

// New returns a Gossiper that has not begun. SetController must be called before Run.
func New(c Config, p Parts) *Gossiper {
	g := &Gossiper{
		config:    c,
		directory: p.Directory,
		balancer:  p.Balancer,
		demand:    p.Demand,
		budget:    p.Budget,
		store:     p.Store,
		client:    peers.NewClient([]byte(c.Key), p.Links),
		log:       logging.For("peers"),
		peers:     map[string]*peer{},
		urgent:    make(chan struct{}, 1),
		nodesOf:   map[serving.DataCentre]int{},
		began:     time.Now(),
	}
	g.quarantine = newQuarantineTable(quarantine.NewQuarantine(g.triesQuarantined), p.Store)
	g.throttle = throttle.NewTracker(throttle.Options{Ask: g.askPermit, Nodes: g.allNodes, OnDraining: p.Directory.Invalidate, Metrics: p.Metrics})
	p.Directory.SetDraining(g.throttle.Draining)
	p.Balancer.OnSuspect(g.callRelayNow)
	p.Balancer.SetHold(g.throttle.Hold)
	g.AddSeeds(c.Seeds)
	return g
}

// SetController sets the part that controls the data centre.
func (g *Gossiper) SetController(c Controller) { g.controller = c }

// Throttle returns what is known of endpoints' advisories.
func (g *Gossiper) Throttle() *throttle.Tracker { return g.throttle }

// Quarantine returns what is known of requests that crash endpoints.
func (g *Gossiper) Quarantine() *quarantine.Quarantine { return g.quarantine.list }

// PeersHaveRequests reports whether any peer has reported demand.
func (g *Gossiper) PeersHaveRequests() bool { return g.asked.Load() }

// AddSeeds makes the addresses of the settings known.
func (g *Gossiper) AddSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, seed := range seeds {
		g.meet(seed, "", "")
	}
}

// meet makes a node known; the caller holds the lock.
func (g *Gossiper) meet(address, id, dataCentre string) *peer {
	if address == "" || address == g.config.Address {
		return nil
	}
	p := g.peers[address]
	if p == nil {
		p = &peer{address: address, heard: time.Now()}
		g.peers[address] = p
	}
	if id != "" {
		p.id, p.dataCentre = id, serving.DataCentre(dataCentre)
	}
	return p
}

func (g *Gossiper) Run(ctx context.Context) {
	defer g.client.Close()
	var running sync.WaitGroup
	running.Go(func() { g.followRelays(ctx) })
	running.Go(func() { g.keepQuarantine(ctx) })
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			running.Wait()
			return
		case now := <-ticker.C:
			for _, p := range g.due(now) {
				running.Go(func() { g.call(ctx, p) })
			}
			if g.needsSum(now) {
				g.sum(now)
			}
		case <-g.urgent:
			if p := g.ownRelay(time.Now()); p != nil {
				running.Go(func() { g.call(ctx, p) })
			}
		}
	}
}

// callRelayNow has the relay of this data centre hear from this node at once:
// what it is told of silent endpoints takes groups out of service.
func (g *Gossiper) callRelayNow() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// call swaps messages with one peer.
func (g *Gossiper) call(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := g.client.Share(ctx, p.address, g.message(p))
	if err == nil {
		g.take(answer, p.address)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p.busy = false
	p.answerBytes = proto.Size(answer)
	if err != nil {
		p.failed = time.Now()
	}
	if lost := err != nil; lost != p.lost && ctx.Err() != context.Canceled {
		p.lost = lost
		g.log.Info("a peer's state has changed", "peer", p.id, "address", p.address, "lost", lost, "silent", time.Since(p.heard), "error", err)
	}
}

// Share implements peers.ShareHandler.
func (g *Gossiper) Share(_ context.Context, m *peers.ShareMessage) (*peers.ShareMessage, error) {
	p := g.take(m, m.GetFrom().GetAddress())
	answer := g.message(p)
	if p != nil && !answer.Relays {
		g.nameRelays(answer, p)
	}
	return answer, nil
}
