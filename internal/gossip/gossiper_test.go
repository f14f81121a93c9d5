package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// newTestGossiper returns a node that knows sixty others of three data centres.
func newTestGossiper(now time.Time) *Gossiper {
	s := &Gossiper{
		directory:       directory.New(directory.Codec{}),
		quarantine:      quarantine.NewQuarantine(func() bool { return false }),
		config:          Config{DataCentre: "dc0", Address: "10.0.0.100:1"},
		peers:           map[string]*peer{},
		dataCentreNodes: map[serving.DataCentre]int{},
		throttle:        throttle.NewTracker(throttle.Options{}),
		controller:      notController{},
		neighbours:      map[string]namedNeighbour{},
		runsForwarded:   func() bool { return true },
	}
	for i := range 60 {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		s.peers[address] = &peer{
			id:         fmt.Sprintf("n%d", i),
			address:    address,
			dataCentre: serving.DataCentre(fmt.Sprintf("dc%d", i%3)),
			lastHeard:  now,
		}
	}
	return s
}

// Without a controller, nodes used to call all others, which saturated the links. They must only
// call the standby relays of their data centre.
func TestDuePeers_StandbyRelaysWithoutController(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	s.config.Incarnation = "n99"
	called := map[string]bool{}
	for range 300 {
		for _, p := range s.duePeers(now) {
			called[p.id] = true
			p.calling = false
			p.lastHeard = now
		}
		now = now.Add(tick)
	}
	require.Equal(t, map[string]bool{"n0": true, "n12": true}, called, "the first two by name of its data centre")
}

// The next in rank take over from relays that do not respond.
func TestRelaysOf_SkipsUnreachableRelays(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	s.config.Incarnation = "n99"
	for _, address := range []string{"10.0.0.0:1", "10.0.0.12:1"} {
		s.peers[address].lastFailed = now.Add(time.Millisecond)
	}
	require.Equal(t, "n15", s.relaysOf("dc0", false, now)[0].id)
	s.config.Incarnation = "n14"
	require.True(t, s.isRelay(false, now), "this node is the next in rank")
}

// A relay calls the relays of the other data centres, and up to callsPerTick silent nodes of its
// own.
func TestDuePeers_RelayCallsRelaysAndSilentNodes(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now.Add(-2 * silenceTimeout))
	called := map[string]int{}
	for range 40 {
		duePeers := s.duePeers(now)
		others := 0
		for _, p := range duePeers {
			called[p.id]++
			p.calling = false
			if p.dataCentre == "dc0" && p.id != "n0" {
				others++
			}
		}
		require.LessOrEqual(t, others, callsPerTick)
		now = now.Add(tick)
	}
	for id := range called {
		p := s.peers["10.0.0."+id[1:]+":1"]
		require.True(t, p.dataCentre == "dc0" || id == "n1" || id == "n10" || id == "n11" || id == "n14", id)
	}
	require.Len(t, called, 24, "twenty of its own, and two relays of each other data centre")
}

// After a change of the leaseholder, nodes used to keep calling the previous relays and received
// no loads.
func TestNameRelays_RedirectsMisdirectedNodes(t *testing.T) {
	now := time.Now()
	first := newTestGossiper(now)
	first.config.Address, first.config.Incarnation = "10.0.0.0:1", "n0"
	delete(first.peers, "10.0.0.0:1")
	third := first.peers["10.0.0.15:1"]
	third.controls, third.relays = true, true

	other := newTestGossiper(now)
	other.config.Incarnation = "n99"
	require.Equal(t, "n0", other.relaysOf("dc0", false, now)[0].id, "it knows no controller")
	m := &peers.ShareMessage{From: other.peers["10.0.0.0:1"].toNode()}
	first.nameRelays(m, &peer{id: "n99", address: "10.0.0.100:1", dataCentre: "dc0"})
	other.directory = directory.New(directory.Codec{})
	other.applyMessage(m, "10.0.0.0:1")
	require.Equal(t, "n15", other.relaysOf("dc0", false, now)[0].id)

	other.applyMessage(&peers.ShareMessage{From: third.toNode()}, third.address)
	require.Equal(t, "n0", other.relaysOf("dc0", false, now)[0].id, "it reports itself that it is no relay")
}

func TestRelaysOf_PrefersMostCores(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	s.config.Incarnation = "n99"
	s.peers["10.0.0.57:1"].cores = 0.8
	require.Equal(t, "n57", s.relaysOf("dc0", false, now)[0].id)
}

// The number of known nodes in a message must not grow with the nodes.
func TestAddKnownNodes_IsBounded(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	m := &peers.ShareMessage{}
	s.addKnownNodes(m, s.peers["10.0.0.1:1"], now)
	require.LessOrEqual(t, len(m.Known), 3*standbyRelays+maxKnownNodes)
	require.NotEmpty(t, m.Known)
}

func TestDuePeers_OnlyControllerIfAlive(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	controller := s.peers["10.0.0.3:1"]
	controller.controls = true
	for range 200 {
		controller.lastHeard, s.controllerHeard = now, now
		for _, p := range s.duePeers(now) {
			require.Equal(t, controller, p)
			p.calling = false
		}
		now = now.Add(tick)
	}
}

// One controller reads the endpoint table for all; the others must read it when what they know of it
// becomes old, since the store may be unavailable to it alone.
func TestReadsEndpoints_TakesOverWithoutNotices(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	s.config.DataCentre = "dc1"
	reader := s.peers["10.0.0.3:1"]
	reader.controls, reader.epoch = true, 1
	s.directory.ApplyNotices(directory.Update{}, now, now)
	require.False(t, s.readsEndpoints(now.Add(400*time.Millisecond)))
	for _, p := range s.peers {
		p.lastHeard = now.Add(2 * time.Second)
	}
	require.True(t, s.readsEndpoints(now.Add(2*time.Second)), "it is alive but sends no notices")
	s.directory.ApplyNotices(directory.Update{}, now.Add(2*time.Second), now.Add(2*time.Second))
	require.False(t, s.readsEndpoints(now.Add(2*time.Second)))
	reader.controls = false
	require.True(t, s.readsEndpoints(now.Add(2*time.Second)), "there is no other controller")
}

// Guards against a controller without other readers that reads only once a second, because its own reads, of
// which its nodes tell it, look like those of others.
func TestReadsEndpoints_OwnReadsAreNoOthers(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	s.config.DataCentre = "dc1"
	reader := s.peers["10.0.0.3:1"]
	reader.controls, reader.epoch = true, 1
	s.directory.ApplyNotices(directory.Update{}, now, now)
	now = now.Add(1100 * time.Millisecond)
	for range 10 {
		for _, p := range s.peers {
			p.lastHeard = now
		}
		require.True(t, s.readsEndpoints(now))
		s.directory.RecordRead(now, now)
		echoedAt := now.Add(20 * time.Millisecond)
		s.directory.ApplyNotices(directory.Update{}, echoedAt, echoedAt)
		now = now.Add(300 * time.Millisecond)
	}
}

func TestAggregateReports_RequiresTwoReporters(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	s.peers["10.0.0.0:1"].suspects = []serving.EndpointID{"a", "b"}
	s.peers["10.0.0.3:1"].suspects = []serving.EndpointID{"b"}
	s.peers["10.0.0.6:1"].unreachableDataCentres = []serving.DataCentre{"dc1"}
	s.peers["10.0.0.1:1"].suspects = []serving.EndpointID{"a", "c"} // In another data centre.
	reports := s.aggregateReports([]serving.EndpointID{"c"}, []serving.DataCentre{"dc1", "dc2"}, now)
	m := &peers.ShareMessage{}
	addPeerReports(m, reports)
	want := relay.PeerReports{Suspects: map[serving.EndpointID]bool{"b": true}, Unreachable: map[serving.DataCentre]bool{"dc1": true}}
	require.Equal(t, want, peerReportsFrom(m))
}

// A new suspicion is sent at once, not with the next scheduled message.
func TestCallRelayNow_SendsNewSuspicionOnce(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	s.config.Incarnation = "n99"
	s.urgent = make(chan struct{}, 1)
	balancer := relay.NewBalancer("dc0", rand.NewPCG(1, 1), relay.DefaultWeights)
	balancer.OnSuspect(s.callRelayNow)
	balancer.Suspect("e", now)
	require.Len(t, s.urgent, 1)
	require.Equal(t, "n0", s.claimRelayCall(now).id, "no controller is known: the first in rank is called")
	controller := s.peers["10.0.0.3:1"]
	controller.controls = true
	controller.lastCalled = now
	require.Equal(t, controller, s.claimRelayCall(now))
	require.Nil(t, s.claimRelayCall(now), "it is already being called")
	<-s.urgent
	balancer.Suspect("e", now.Add(time.Second))
	require.Empty(t, s.urgent, "sent once")
}

func TestForgetUnreachable_KeepsSilentPeers(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	now = now.Add(forgetPeerAfter + time.Second)
	s.peers["10.0.0.1:1"].lastFailed = now.Add(-time.Second)
	s.duePeers(now)
	require.Len(t, s.peers, 59)
	require.NotContains(t, s.peers, "10.0.0.1:1")
}

// A restarted peer usually reads the endpoints from the store. Sending snapshots at once made
// rolling restarts expensive.
func TestLacksRows_DelaysSnapshot(t *testing.T) {
	now := time.Now()
	p := &peer{configuration: 3, rows: 9}
	require.False(t, p.lacksRows(now))
	p.rows = 0
	now = now.Add(time.Minute)
	require.False(t, p.lacksRows(now))
	require.False(t, p.lacksRows(now.Add(snapshotDelay-time.Millisecond)))
	require.True(t, p.lacksRows(now.Add(snapshotDelay)))
	p.rows = 9
	require.False(t, p.lacksRows(now.Add(snapshotDelay)))
}

// notController is a Controller without a lease.
type notController struct{}

func (notController) Epoch() uint64            { return 0 }
func (notController) HoldsPastExpiry() bool    { return false }
func (notController) ObserveController(uint64) {}

// Times must reach a peer unchanged, whatever its clock shows.
func TestLoads_RoundTripAsAges(t *testing.T) {
	now := time.Now().Round(time.Millisecond)
	loads := map[serving.EndpointID]relay.PeerLoad{
		"busy":   {Running: 3, Unread: 700, LastEvent: now.Add(-40 * time.Millisecond), Epoch: 9, Tally: health.Tally{Served: 4, Failed: 0.5}, Pace: health.Pace{Took: 2, Expected: 0.5}},
		"silent": {Running: 1},
	}
	// The receiver's clock differs.
	there := now.Add(3 * time.Hour)
	received := fromLoads(toLoads(loads, now), there)
	require.Equal(t, there.Add(-40*time.Millisecond), received["busy"].LastEvent)
	require.True(t, received["silent"].LastEvent.IsZero())
	busy := received["busy"]
	busy.LastEvent = loads["busy"].LastEvent
	require.Equal(t, loads["busy"], busy)
}

// Loads that are sent less often than requests complete route requests to full groups, so small
// data centres use the minimum interval.
func TestCallInterval_GrowsWithNodes(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	s.config.FullRateNodes = DefaultFullRateNodes
	for _, c := range []struct {
		nodes int
		want  time.Duration
	}{{3, 100 * time.Millisecond}, {26, 100 * time.Millisecond}, {59, 232 * time.Millisecond}, {400, maxRelayInterval}} {
		for address := range s.peers {
			delete(s.peers, address)
		}
		relayNode := &peer{id: "n1", dataCentre: "dc0", lastHeard: now}
		s.peers["10.0.0.1:1"] = relayNode
		s.applyRelayed(relayNode, &peers.ShareMessage{Relays: true, HomeNodes: uint32(c.nodes)}, now)
		require.Equal(t, c.want, s.callInterval(false), "%d nodes", c.nodes)
	}
}

// Large responses to many nodes would overload a relay, so it is called less often.
func TestCallInterval_GrowsWithAnswerBytes(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	s.config.FullRateNodes = DefaultFullRateNodes
	for address := range s.peers {
		delete(s.peers, address)
	}
	controller := &peer{id: "n1", dataCentre: "dc0", lastHeard: now, responseBytes: 4 << 10}
	s.peers["10.0.0.1:1"] = controller
	s.applyRelayed(controller, &peers.ShareMessage{Relays: true, HomeNodes: 100}, now)
	require.Equal(t, 396*time.Millisecond, s.callInterval(false))
	controller.responseBytes = 16 << 10
	require.Equal(t, 781250*time.Microsecond, s.callInterval(false))
	controller.responseBytes = 40 << 10
	require.Equal(t, maxRelayInterval, s.callInterval(false))
	require.Less(t, 2*maxRelayInterval, loadTTL+time.Millisecond, "the last loads still count")
	remote := &peer{id: "n2", dataCentre: "dc1", lastHeard: now, relays: true}
	require.Equal(t, maxRelayInterval, s.interval(remote, true, true, maxRelayInterval, now))
}

// Nodes that are partitioned from the start must not split the retry budget's slack among only
// the nodes that they can reach.
func TestCountNodes_EstimatesUnheardDataCentres(t *testing.T) {
	const window = 10 * time.Second
	now := time.Now()
	s := newTestGossiper(now)
	s.startedAt = now
	s.config.RetryWindow = window
	s.config.DataCentreNames = []serving.DataCentre{"dc0", "dc1", "dc2"}
	local := 21 // Twenty peers and itself.
	require.Equal(t, local, s.countNodes(now), "a node that has just started does not estimate")
	require.Equal(t, 3*local, s.countNodes(now.Add(window)))

	relayNode := s.peers["10.0.0.1:1"]
	relayNode.relays, relayNode.localNodes, relayNode.lastHeard = true, 5, now.Add(window)
	require.Equal(t, local+5+local, s.countNodes(now.Add(window)), "a reported number replaces the estimate")
	require.Equal(t, local+5+local, s.countNodes(now.Add(3*window)), "and counts while the relay is not heard")

	s.nodesReported = true
	require.Equal(t, local+5, s.countNodes(now.Add(3*window)), "its own relay has reported the rest")
}

// State received before a suspension must not look fresh: stale loads, a crashed controller.
func TestHandleSuspension_BackdatesPeerState(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	s.config.Incarnation = "n99"
	s.controllerHeard = now
	p := s.peers["10.0.0.0:1"]
	p.controls, p.relays = true, true
	p.own = work{loads: map[serving.EndpointID]relay.PeerLoad{"e": {Running: 4}}}
	require.True(t, s.ControllerAlive())
	require.NotNil(t, s.controllerOf("dc0", now))
	require.Equal(t, 4, s.peerWork(false, nil, now).loads["e"].Running)
	s.HandleSuspension(5 * time.Second)
	require.False(t, s.ControllerAlive())
	require.Nil(t, s.controllerOf("dc0", now))
	require.Empty(t, s.peerWork(false, nil, now).loads)
	require.True(t, p.storeSeen.IsZero(), "a zero time stays zero")
}

// Model loads are unpaced before the first request of all nodes. A controller that only counted
// its own requests started too many loads under traffic.
func TestApplyMessage_RecordsPeerDemand(t *testing.T) {
	s := newTestGossiper(time.Now())
	s.directory = directory.New(directory.Codec{})
	from := s.peers["10.0.0.0:1"].toNode()
	s.applyMessage(&peers.ShareMessage{From: from}, from.GetAddress())
	require.False(t, s.demandReported.Load())
	s.applyMessage(&peers.ShareMessage{From: from, RelayedDemand: []*sharepb.Demand{{Service: "llm", Model: "m", Groups: 0.1}}}, from.GetAddress())
	require.True(t, s.demandReported.Load())
}

// Permit requests go to the relay of the endpoint's data centre, through a node's own relay. A
// node that has just started takes itself for the relay and must not allocate.
func TestAllocator_ReturnsRelayOfDataCentre(t *testing.T) {
	now := time.Now()
	withRemoteRelay := func(g *Gossiper) { g.peers["10.0.0.1:1"].relays = true }
	tests := map[string]struct {
		id      string
		prepare func(*Gossiper)
		age     time.Duration
		dc      serving.DataCentre
		want    string
		self    bool
		unknown bool
	}{
		"a node calls its relay":                {id: "n99", dc: "dc0", age: time.Minute, want: "10.0.0.0:1"},
		"also for other data centres":           {id: "n99", dc: "dc1", age: time.Minute, want: "10.0.0.0:1"},
		"a relay allocates for its own":         {id: "a", dc: "dc0", age: time.Minute, want: "10.0.0.100:1", self: true},
		"a relay calls the remote relay":        {id: "a", dc: "dc1", age: time.Minute, prepare: withRemoteRelay, want: "10.0.0.1:1"},
		"remote relay unknown":                  {id: "a", dc: "dc1", age: time.Minute, unknown: true},
		"a starting node allocates none":        {id: "a", dc: "dc0", age: allocatorWarmup / 2, unknown: true},
		"a starting node calls its relay":       {id: "n99", dc: "dc0", age: allocatorWarmup / 2, want: "10.0.0.0:1"},
		"a starting relay calls a remote relay": {id: "a", dc: "dc1", age: allocatorWarmup / 2, prepare: withRemoteRelay, want: "10.0.0.1:1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestGossiper(now)
			s.config.Incarnation, s.startedAt = test.id, now.Add(-test.age)
			if test.prepare != nil {
				test.prepare(s)
			}
			address, self, err := s.allocator(test.dc, now)
			require.Equal(t, test.unknown, err != nil)
			require.Equal(t, test.want, address)
			require.Equal(t, test.self, self)
		})
	}
}

// A new relay knows few nodes at first. If they all called it at the full rate until it knew the
// others, several hundred would overload it.
func TestCallInterval_KeepsSizeAcrossRelays(t *testing.T) {
	now := time.Now()
	s := newTestGossiper(now)
	s.config.FullRateNodes = DefaultFullRateNodes
	before, after := s.peers["10.0.0.0:1"], s.peers["10.0.0.3:1"]
	s.applyRelayed(before, &peers.ShareMessage{Relays: true, HomeNodes: 214}, now)
	interval := s.callInterval(false)
	require.Greater(t, interval, 800*time.Millisecond)
	s.applyRelayed(before, &peers.ShareMessage{}, now)
	s.applyRelayed(after, &peers.ShareMessage{Relays: true, Controls: true, HomeNodes: 4}, now)
	require.Equal(t, interval, s.callInterval(false))
}

// The nodes of a data centre do not know a new relay. It has to reach them all within the same time
// however many they are, or they lack configurations meanwhile.
func TestDuePeers_NewRelayReachesAllNodes(t *testing.T) {
	for _, nodes := range []int{20, 214, 1000} {
		now := time.Now()
		s := newTestGossiper(now)
		clear(s.peers)
		s.config.Cores = 2
		for i := range nodes {
			address := fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
			s.peers[address] = &peer{id: fmt.Sprintf("n%04d", i), address: address, dataCentre: "dc0", lastHeard: now.Add(-silenceTimeout)}
		}
		called := map[string]bool{}
		most := 0
		for at := time.Duration(0); at < silenceTimeout+2*tick; at += tick {
			now = now.Add(tick)
			due := s.duePeers(now)
			most = max(most, len(due))
			for _, p := range due {
				called[p.id] = true
				p.calling, p.lastHeard = false, now
			}
		}
		require.Len(t, called, nodes)
		require.LessOrEqual(t, most, max(callsPerTick, nodes/30)+standbyRelays, "they are spread over the time")
	}
}

// The first calls to seeds that are starting as well are refused. With the backoff for known peers,
// all nodes would know nobody for two seconds, and each would read the store.
func TestBackoff_ShortForUnknownPeers(t *testing.T) {
	p := &peer{failures: 1}
	require.Equal(t, unknownPeerInterval, p.backoff())
	p.failures = 3
	require.Equal(t, 3*unknownPeerInterval, p.backoff())
	p.failures = 1000
	require.Equal(t, failedBackoff, p.backoff(), "a stale seed is called rarely")
	p.id = "n1"
	require.Equal(t, failedBackoff, p.backoff())
}

func TestRank_OfUnheardNode(t *testing.T) {
	s := newTestGossiper(time.Now())
	s.config.Incarnation = "n99"
	require.Equal(t, unheardRank, s.Rank())
	s.heard = true
	require.Positive(t, s.Rank())
	clear(s.peers)
	s.heard = false
	require.Zero(t, s.Rank(), "there is nobody to wait for")
}
