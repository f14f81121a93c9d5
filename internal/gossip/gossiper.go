// Package gossip exchanges state between entry instances: loads, demand, rows, observations, the
// configuration, advisories of endpoints and the quarantine.
//
// One node of each data centre is its relay: the others exchange messages with it, and relays
// exchange totals with each other (relays.go). The relay also allocates permits for the endpoints
// of its data centre, and stores the quarantine in the platform's table.
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
	"github.com/ridgehinge/ridgehinge/internal/notices"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/quarantinetable"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Timing of exchanges. Nodes only call the relay of their data centre, and relays call each other,
// so that the number of messages grows linearly with the nodes.
const (
	tick = 50 * time.Millisecond
	// relayInterval is the time between two calls of a node to its relay, for up to
	// FullRateNodes nodes; with more it grows up to maxRelayInterval.
	relayInterval = 100 * time.Millisecond
	// maxRelayInterval is half of loadTTL, so that the last figures of a peer still count.
	maxRelayInterval = time.Second
	// maxRelayBytesPerSecond bounds what a relay sends to the nodes of its data centre, since
	// messages are large with many endpoints.
	maxRelayBytesPerSecond = 2 << 20
	// DefaultFullRateNodes is the number of nodes up to which they call a relay at relayInterval.
	DefaultFullRateNodes = 25
	// unknownPeerInterval applies to a peer whose id is still unknown.
	unknownPeerInterval = 300 * time.Millisecond
	// silenceTimeout is how long a relay waits for a node's call before it calls the node.
	silenceTimeout = 2 * time.Second
	// never applies to nodes whose state arrives through a relay.
	never         = math.MaxInt64
	failedBackoff = 2 * time.Second
	callTimeout   = 800 * time.Millisecond
	// callsPerTick bounds the calls to nodes other than relays that start at once. Without it,
	// all nodes call each other at the same moment when they lose their controller, and of sixty
	// none answers for a second.
	callsPerTick = 2
	// knownNodesEvery is the number of messages to a peer per message that lists known nodes.
	knownNodesEvery = 20
	// snapshotDelay is how long a peer may lack all endpoints before it is sent a snapshot; it
	// most likely reads them from the store meanwhile.
	snapshotDelay = 400 * time.Millisecond
	// peerStateTTL is how long after its last message a peer's reported versions are trusted.
	peerStateTTL = 5 * time.Second
	// loadTTL is how long a peer's loads and demand count.
	loadTTL = 2 * time.Second
	// controllerTTL is how long after a controller's message the other nodes need not read
	// the lease.
	controllerTTL = 1300 * time.Millisecond
	// maxAggregateAge is the time after which totals are computed again without new messages,
	// since peers' figures expire.
	maxAggregateAge = 250 * time.Millisecond
	// forgetPeerAfter is how long an unreachable peer is remembered.
	forgetPeerAfter = 30 * time.Second
)

// peer is another node.
type peer struct {
	id         string
	dataCentre serving.DataCentre
	address    string
	lastHeard  time.Time
	// lastFailed is when it last did not respond to a call.
	lastCalled time.Time
	lastFailed time.Time
	// failures counts the calls that failed since the last successful one.
	failures    int
	calling     bool
	unreachable bool
	// sentMessages counts the messages to it; hasSent is set once it has sent one.
	sentMessages int
	hasSent      bool
	// cores is the number of processor cores that it may use.
	cores float32
	// controls is set for the controller of its data centre, relays for a relay.
	controls bool
	relays   bool
	// runsForwarded is set for a node that runs requests of others.
	runsForwarded bool
	// relayedAt is when it last said that it was a relay.
	relayedAt time.Time
	// namedRelayAt is when another node last named it as a relay.
	namedRelayAt time.Time
	// epoch is the lease epoch under which it acts.
	epoch uint64
	// localNodes is the number of nodes of its data centre, storeSeen when the store last
	// responded to it, both as it reported them.
	localNodes int
	storeSeen  time.Time
	// own and what follows is from its last message; configuration, evacuations and rows are
	// versions.
	own                    work
	relayed                work
	suspects               []serving.EndpointID
	unreachableDataCentres []serving.DataCentre
	peerReports            relay.PeerReports
	configuration          uint64
	evacuations            uint64
	// responseBytes is the size of its last response to a call of this node.
	responseBytes       int
	rows                uint64
	readsCompressedRows bool
	// observations is the version of its observations that this node has received,
	// observationsSeen the version of this node's observations that it has acknowledged.
	observations     uint64
	observationsSeen uint64
	quarantine       delta.Cursor
	advisories       delta.Cursor
	// rowsMissingSince is when it was first found to lack all endpoints, zero if it does not.
	rowsMissingSince time.Time
}

// Gossiper exchanges state with the peers of one node.
type Gossiper struct {
	config          Config
	directory       *directory.Directory
	balancer        *relay.Balancer
	demand          *relay.Demand
	rates           RateExchange
	invalidRates    invalidRates
	budget          *relay.Budget
	quarantine      *quarantine.Quarantine
	quarantineTable *quarantinetable.Table
	throttle        *throttle.Tracker
	notices         *notices.Exchange
	announced       announcements
	store           table.Store
	client          *peers.Client
	log             logging.Logger

	// urgent has an entry when the relay is to be called at once.
	urgent chan struct{}

	mu       sync.Mutex
	peers    map[string]*peer // by address
	stopping bool
	// controllerHeard is when the controller of this data centre last sent a message.
	controllerHeard time.Time
	// storeSeen is when the store last responded to this node.
	storeSeen time.Time
	// rank is this node's rank in its data centre, as assigned by the relay; ranked is set
	// once it is known.
	rank      int
	ranked    bool
	startedAt time.Time
	// nodes is the number of nodes of all data centres; nodesReported is set once a relay of
	// this data centre has reported it. dataCentreNodes is the maximum number of nodes that
	// the relays of each data centre have reported for it.
	nodes           int
	nodesReported   bool
	dataCentreNodes map[serving.DataCentre]int
	// heard is set once any peer has sent a message.
	heard bool
	// aggregated has the reports on which several nodes of this data centre agree.
	aggregated relay.PeerReports
	// publishedSuspects has the endpoints of aggregated, for notices.
	publishedSuspects atomic.Pointer[[]string]
	// ranks has the rank of each other node of this data centre by address, at a relay.
	ranks      map[string]int
	controller Controller
	// dirty is set when a message arrived since lastAggregated, when the totals were last
	// computed.
	dirty          bool
	lastAggregated time.Time
	compressed     compressedConfiguration
	compressedRows compressedRows
	// neighbours has the nodes that run requests of others, as relays named them, by address.
	neighbours    map[string]namedNeighbour
	search        neighbourSearch
	runsForwarded func() bool
	// demandReported is set once a peer has reported demand.
	demandReported atomic.Bool
}

// Controller is the group controller of this node, as a Gossiper uses it.
type Controller interface {
	// Epoch returns the lease epoch under which this node acts, or zero.
	Epoch() uint64
	// HoldsPastExpiry reports whether the node acts under an expired lease.
	HoldsPastExpiry() bool
	// ObserveController records that another node of the data centre acts under an epoch.
	ObserveController(epoch uint64)
}

// controls reports whether this node controls its data centre.
func (g *Gossiper) controls() bool { return g.controller.Epoch() != 0 }

// ControllerAlive reports whether a message from the data centre's controller, another node,
// arrived within controllerTTL.
func (g *Gossiper) ControllerAlive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.controllerHeard) < controllerTTL
}

// Config configures a Gossiper.
type Config struct {
	// Incarnation identifies this process; a restart of the node has another one.
	Incarnation string
	// Address is where this node listens for peers, Key the secret that all share, Seeds the
	// addresses of some other nodes.
	Address string
	Key     string
	Seeds   []string
	// DataCentre is this node's, DataCentreNames has all of them.
	DataCentre      serving.DataCentre
	DataCentreNames []serving.DataCentre
	// Cores is the number of processor cores that this node may use.
	Cores float64
	// Nodes is the minimum number of nodes in all data centres.
	Nodes int
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// RetryWindow is the window of the retry budget.
	RetryWindow time.Duration
	// FullRateNodes is the number of nodes up to which they call a relay at the full rate.
	FullRateNodes int
}

// Parts are the components of an entry instance that a Gossiper reads and updates.
type Parts struct {
	Directory *directory.Directory
	Balancer  *relay.Balancer
	Demand    *relay.Demand
	Rates     RateExchange
	Budget    *relay.Budget
	// RunsForwarded reports whether this node runs requests of others now; nil means never.
	RunsForwarded func() bool
	Store         table.Store
	Links         link.Bounds
	Metrics       *metrics.Metrics
}

// New returns a Gossiper. SetController must be called before Run.
func New(c Config, p Parts) *Gossiper {
	g := &Gossiper{
		config:          c,
		directory:       p.Directory,
		balancer:        p.Balancer,
		demand:          p.Demand,
		rates:           p.Rates,
		budget:          p.Budget,
		store:           p.Store,
		client:          peers.NewClient([]byte(c.Key), p.Links),
		log:             logging.For("peers"),
		peers:           map[string]*peer{},
		neighbours:      map[string]namedNeighbour{},
		runsForwarded:   p.RunsForwarded,
		urgent:          make(chan struct{}, 1),
		dataCentreNodes: map[serving.DataCentre]int{},
		startedAt:       time.Now(),
	}
	if g.runsForwarded == nil {
		g.runsForwarded = func() bool { return false }
	}
	g.quarantine = quarantine.NewQuarantine(g.sendsTrials)
	g.quarantineTable = quarantinetable.New(g.quarantine, p.Store)
	g.throttle = throttle.NewTracker(throttle.Options{RequestPermit: g.requestPermit, Nodes: g.nodeCount, OnDraining: p.Directory.Invalidate, OnChange: func() { g.notices.Wake() }, Metrics: p.Metrics})
	g.notices = notices.New(notices.Options{
		Self:            g.self().toNode(),
		Client:          g.client,
		Directory:       p.Directory,
		Throttle:        g.throttle,
		Quarantine:      g.quarantine,
		OwnSuspects:     g.ownSuspects,
		RelayedSuspects: g.relayedSuspects,
		OnSuspects:      g.applySuspects,
		Targets:         g.followTargets,
		OnConfiguration: func(address string, version uint64) { g.announced.add(address, version, time.Now()) },
	})
	p.Directory.SetDraining(g.throttle.Draining)
	p.Balancer.OnSuspect(func() {
		g.notices.Wake()
		g.callRelayNow()
	})
	p.Balancer.SetHold(g.throttle.Hold)
	g.AddSeeds(c.Seeds)
	return g
}

// SetController sets the group controller of this node.
func (g *Gossiper) SetController(c Controller) { g.controller = c }

// Throttle returns the tracker of endpoints' advisories.
func (g *Gossiper) Throttle() *throttle.Tracker { return g.throttle }

// Quarantine returns the records of requests that crash endpoints.
func (g *Gossiper) Quarantine() *quarantine.Quarantine { return g.quarantine }

// PeersHaveRequests reports whether any peer has reported demand.
func (g *Gossiper) PeersHaveRequests() bool { return g.demandReported.Load() }

// AddSeeds adds peers by address.
func (g *Gossiper) AddSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, seed := range seeds {
		g.addPeer(seed, "", "")
	}
}

// addPeer returns the peer at an address, adding or updating it; nil for this node itself. The
// caller holds the lock.
func (g *Gossiper) addPeer(address, id, dataCentre string) *peer {
	if address == "" || address == g.config.Address {
		return nil
	}
	p := g.peers[address]
	if p == nil {
		p = &peer{address: address, lastHeard: time.Now()}
		g.peers[address] = p
	}
	if id != "" {
		p.id, p.dataCentre = id, serving.DataCentre(dataCentre)
	}
	return p
}

// Run exchanges messages with peers until the context is cancelled.
func (g *Gossiper) Run(ctx context.Context) {
	defer g.client.Close()
	var running sync.WaitGroup
	running.Go(func() { g.findControllers(ctx) })
	running.Go(func() { g.notices.Run(ctx) })
	running.Go(func() { g.runQuarantine(ctx) })
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			running.Wait()
			return
		case now := <-ticker.C:
			for _, p := range g.duePeers(now) {
				running.Go(func() { g.call(ctx, p) })
			}
			if g.needsAggregation(now) {
				g.updateAggregates(now)
			}
		case <-g.urgent:
			if p := g.claimRelayCall(time.Now()); p != nil {
				running.Go(func() { g.call(ctx, p) })
			}
		}
	}
}

// callRelayNow requests an immediate call to the relay of this data centre, since suspected
// endpoints take groups out of service.
func (g *Gossiper) callRelayNow() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// call exchanges messages with one peer.
func (g *Gossiper) call(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := g.client.Share(ctx, p.address, g.buildMessage(p))
	if err == nil {
		g.applyMessage(answer, p.address)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p.calling = false
	p.responseBytes = proto.Size(answer)
	if err != nil {
		p.lastFailed = time.Now()
		p.failures++
	} else {
		p.failures = 0
	}
	if unreachable := err != nil; unreachable != p.unreachable && ctx.Err() != context.Canceled {
		p.unreachable = unreachable
		g.log.Info("a peer's reachability changed", "peer", p.id, "address", p.address, "lost", unreachable, "silent", time.Since(p.lastHeard), "error", err)
	}
}

// Follow implements peers.ShareHandler.
func (g *Gossiper) Follow(stream peers.NoticeStream) error { return g.notices.Follow(stream) }

// Share implements peers.ShareHandler.
func (g *Gossiper) Share(_ context.Context, m *peers.ShareMessage) (*peers.ShareMessage, error) {
	p := g.applyMessage(m, m.GetFrom().GetAddress())
	answer := g.buildMessage(p)
	if p != nil && !answer.Relays {
		g.nameRelays(answer, p)
	}
	return answer, nil
}
