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

// acquainted returns a node that knows sixty others of three data centres.
func acquainted(now time.Time) *Gossiper {
	s := &Gossiper{
		quarantine: newQuarantineTable(quarantine.NewQuarantine(func() bool { return false }), nil),
		config:     Config{DataCentre: "dc0", Address: "10.0.0.100:1"},
		peers:      map[string]*peer{},
		nodesOf:    map[serving.DataCentre]int{},
		throttle:   throttle.NewTracker(throttle.Options{}),
		controller: standby{},
	}
	for i := range 60 {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		s.peers[address] = &peer{
			id:         fmt.Sprintf("n%d", i),
			address:    address,
			dataCentre: serving.DataCentre(fmt.Sprintf("dc%d", i%3)),
			heard:      now,
		}
	}
	return s
}

// Nodes that have lost their controller called all others, each with a list of all
// nodes: 295 of them moved 3.4 GB in seven seconds. Only the first two in rank of each
// data centre relay now, and the others call just them.
func TestGossip_CallsOnlyStandbyRelaysWithoutAController(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	s.config.Incarnation = "n99"
	called := map[string]bool{}
	for range 300 {
		for _, p := range s.due(now) {
			called[p.id] = true
			p.busy = false
			p.heard = now
		}
		now = now.Add(tick)
	}
	require.Equal(t, map[string]bool{"n0": true, "n12": true}, called, "the first two by name of its data centre")
}

// The next in rank relay once those before them do not answer.
func TestGossip_ReplacesSilentRelays(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	s.config.Incarnation = "n99"
	for _, address := range []string{"10.0.0.0:1", "10.0.0.12:1"} {
		s.peers[address].failed = now.Add(time.Millisecond)
	}
	require.Equal(t, "n15", s.relaysOf("dc0", false, now)[0].id)
	s.config.Incarnation = "n14"
	require.True(t, s.relaysHere(false, now), "this node is the next")
}

// A relay calls the relays of the other data centres, and those of its own that it
// should have heard, a few at a time.
func TestGossip_RelayCallsRelaysAndSilentNodes(t *testing.T) {
	now := time.Now()
	s := acquainted(now.Add(-2 * silentAfter))
	called := map[string]int{}
	for range 40 {
		due := s.due(now)
		others := 0
		for _, p := range due {
			called[p.id]++
			p.busy = false
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

// A node that takes another for a relay is told who relays, and calls that one. After the
// lease had passed to the third in rank, the nodes of its data centre called the first two
// for eleven seconds and heard of nobody's load.
func TestGossip_NamesRelaysToMisdirectedNodes(t *testing.T) {
	now := time.Now()
	first := acquainted(now)
	first.config.Address, first.config.Incarnation = "10.0.0.0:1", "n0"
	delete(first.peers, "10.0.0.0:1")
	third := first.peers["10.0.0.15:1"]
	third.controls, third.relays = true, true

	other := acquainted(now)
	other.config.Incarnation = "n99"
	require.Equal(t, "n0", other.relaysOf("dc0", false, now)[0].id, "it knows of no controller")
	m := &peers.ShareMessage{From: other.peers["10.0.0.0:1"].named()}
	first.nameRelays(m, &peer{id: "n99", address: "10.0.0.100:1", dataCentre: "dc0"})
	other.directory = directory.New(directory.Codec{})
	other.take(m, "10.0.0.0:1")
	require.Equal(t, "n15", other.relaysOf("dc0", false, now)[0].id)

	other.take(&peers.ShareMessage{From: third.named()}, third.address)
	require.Equal(t, "n0", other.relaysOf("dc0", false, now)[0].id, "it says itself that it does not")
}

// The nodes with the most processor come first.
func TestGossip_FastestNodesRelay(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	s.config.Incarnation = "n99"
	s.peers["10.0.0.57:1"].cores = 0.8
	require.Equal(t, "n57", s.relaysOf("dc0", false, now)[0].id)
}

// A node names to another only those that it may need, however many it knows.
func TestGossip_NamesFewNodes(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	m := &peers.ShareMessage{}
	s.addKnownNodes(m, s.peers["10.0.0.1:1"], now)
	require.LessOrEqual(t, len(m.Known), 3*standbyRelays+namedNodes)
	require.NotEmpty(t, m.Known)
}

func TestGossip_NodeWithAControllerCallsOnlyIt(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	controller := s.peers["10.0.0.3:1"]
	controller.controls = true
	for range 200 {
		controller.heard, s.heardController = now, now
		for _, p := range s.due(now) {
			require.Equal(t, controller, p)
			p.busy = false
		}
		now = now.Add(tick)
	}
}

// One controller reads the endpoints for all, and all others do once its news stays away:
// the store may turn just that one away.
func TestDuty_ControllersReadOnceNoRowsCome(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	s.config.DataCentre = "dc1"
	reader := s.peers["10.0.0.3:1"]
	reader.controls, reader.epoch = true, 1
	s.rowsHeard = now
	require.False(t, s.readsEndpoints(now.Add(400*time.Millisecond)))
	for _, p := range s.peers {
		p.heard = now.Add(2 * time.Second)
	}
	require.True(t, s.readsEndpoints(now.Add(2*time.Second)), "it is heard, and brings nothing")
	s.rowsHeard = now.Add(2 * time.Second)
	require.False(t, s.readsEndpoints(now.Add(2*time.Second)))
	reader.controls = false
	require.True(t, s.readsEndpoints(now.Add(2*time.Second)), "there is no other")
}

// A relay tells what two nodes find, and not what one does.
func TestReports_RelayAggregatesSuspicions(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	s.peers["10.0.0.0:1"].suspects = []serving.EndpointID{"a", "b"}
	s.peers["10.0.0.3:1"].suspects = []serving.EndpointID{"b"}
	s.peers["10.0.0.6:1"].cutOff = []serving.DataCentre{"dc1"}
	s.peers["10.0.0.1:1"].suspects = []serving.EndpointID{"a", "c"} // Of another data centre.
	found := s.aggregate([]serving.EndpointID{"c"}, []serving.DataCentre{"dc1", "dc2"}, now)
	m := &peers.ShareMessage{}
	addPeerReports(m, found)
	want := relay.PeerReports{Suspects: map[serving.EndpointID]bool{"b": true}, Unreachable: map[serving.DataCentre]bool{"dc1": true}}
	require.Equal(t, want, toPeerReports(m))
}

// What a node finds silent is told at once, and not with the next message.
func TestGossip_SendsANewSuspicionAtOnce(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	s.config.Incarnation = "n99"
	s.urgent = make(chan struct{}, 1)
	balancer := relay.NewBalancer("dc0", rand.NewPCG(1, 1), relay.DefaultWeights)
	balancer.OnSuspect(s.callRelayNow)
	balancer.Suspect("e", now)
	require.Len(t, s.urgent, 1)
	require.Equal(t, "n0", s.ownRelay(now).id, "no controller is known: the first in rank hears it")
	controller := s.peers["10.0.0.3:1"]
	controller.controls = true
	controller.called = now
	require.Equal(t, controller, s.ownRelay(now))
	require.Nil(t, s.ownRelay(now), "it is being called")
	<-s.urgent
	balancer.Suspect("e", now.Add(time.Second))
	require.Empty(t, s.urgent, "it is told once")
}

func TestGossip_ForgetsUnreachablePeersOnly(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	now = now.Add(forgetPeer + time.Second)
	s.peers["10.0.0.1:1"].failed = now.Add(-time.Second)
	s.due(now)
	require.Len(t, s.peers, 59)
	require.NotContains(t, s.peers, "10.0.0.1:1")
}

// All endpoints are sent only to a peer that has lacked them for a while: most read
// them from the store. Rolling restarts of sixty nodes took 1.3 GB between data
// centres.
func TestGossip_SendsLargeSnapshotsOnlyToStalePeers(t *testing.T) {
	now := time.Now()
	p := &peer{configuration: 3, rows: 9}
	require.False(t, p.lacksRows(now))
	p.rows = 0
	now = now.Add(time.Minute)
	require.False(t, p.lacksRows(now))
	require.False(t, p.lacksRows(now.Add(largeAfter-time.Millisecond)))
	require.True(t, p.lacksRows(now.Add(largeAfter)))
	p.rows = 9
	require.False(t, p.lacksRows(now.Add(largeAfter)))
}

// standby is a node that controls nothing.
type standby struct{}

func (standby) Epoch() uint64            { return 0 }
func (standby) HoldsPastExpiry() bool    { return false }
func (standby) ObserveController(uint64) {}

// Loads are told with the ages of events, and come back as they were.
func TestLoads_CarryAges(t *testing.T) {
	now := time.Now().Round(time.Millisecond)
	loads := map[serving.EndpointID]relay.PeerLoad{
		"busy":   {Running: 3, Unread: 700, LastEvent: now.Add(-40 * time.Millisecond), Epoch: 9, Tally: health.Tally{Served: 4, Failed: 0.5}, Pace: health.Pace{Took: 2, Expected: 0.5}},
		"silent": {Running: 1},
	}
	// The receiver's clock may show any other time.
	there := now.Add(3 * time.Hour)
	told := fromLoads(toLoads(loads, now), there)
	require.Equal(t, there.Add(-40*time.Millisecond), told["busy"].LastEvent)
	require.True(t, told["silent"].LastEvent.IsZero())
	busy := told["busy"]
	busy.LastEvent = loads["busy"].LastEvent
	require.Equal(t, loads["busy"], busy)
}

// The nodes of a data centre of 26 tell their relay ten times a second what they have
// under way. At 0.6 s, as long as a request runs, full groups were sent requests that
// others had places for: of five days with trouble 15 in 100 requests were late, and 8
// at 0.1 s.
func TestLoads_AreSentWhileTheyCount(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	s.config.FullRateNodes = DefaultFullRateNodes
	for _, c := range []struct {
		nodes int
		want  time.Duration
	}{{3, 100 * time.Millisecond}, {26, 100 * time.Millisecond}, {59, 232 * time.Millisecond}, {400, maxRelayInterval}} {
		for address := range s.peers {
			delete(s.peers, address)
		}
		s.peers["10.0.0.1:1"] = &peer{id: "n1", dataCentre: "dc0", heard: now, relays: true, homeNodes: c.nodes}
		require.Equal(t, c.want, s.pace(false), "%d nodes", c.nodes)
	}
}

// Where loads are large, a relay of many nodes is called more seldom: 100 nodes that each
// fetched 40 KB two and a half times a second took all its processor.
func TestLoads_LargeOnesAreSentLessOften(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	s.config.FullRateNodes = DefaultFullRateNodes
	for address := range s.peers {
		delete(s.peers, address)
	}
	controller := &peer{id: "n1", dataCentre: "dc0", heard: now, relays: true, homeNodes: 100, answerBytes: 4 << 10}
	s.peers["10.0.0.1:1"] = controller
	require.Equal(t, 396*time.Millisecond, s.pace(false))
	controller.answerBytes = 16 << 10
	require.Equal(t, 781250*time.Microsecond, s.pace(false))
	controller.answerBytes = 40 << 10
	require.Equal(t, maxRelayInterval, s.pace(false))
	require.Less(t, 2*maxRelayInterval, loadTTL+time.Millisecond, "what was told last still counts")
	away := &peer{id: "n2", dataCentre: "dc1", heard: now, relays: true}
	require.Equal(t, maxRelayInterval, s.interval(away, true, true, maxRelayInterval, now))
}

// Nodes that were cut off from the other data centres from their first moment split the
// slack of the retry budget between those that they heard, and so did the others.
func TestCountNodes_IncludesUnheardDataCentres(t *testing.T) {
	const window = 10 * time.Second
	now := time.Now()
	s := acquainted(now)
	s.began = now
	s.config.RetryWindow = window
	s.config.DataCentreNames = []serving.DataCentre{"dc0", "dc1", "dc2"}
	home := 21 // Twenty and itself.
	require.Equal(t, home, s.countNodes(now), "a node that has just started does not guess")
	require.Equal(t, 3*home, s.countNodes(now.Add(window)))

	word := s.peers["10.0.0.1:1"]
	word.relays, word.homeNodes, word.heard = true, 5, now.Add(window)
	require.Equal(t, home+5+home, s.countNodes(now.Add(window)), "what a relay tells goes before the guess")
	require.Equal(t, home+5+home, s.countNodes(now.Add(3*window)), "and counts while it is not heard")

	s.toldNodes = true
	require.Equal(t, home+5, s.countNodes(now.Add(3*window)), "its own relay has told the rest")
}

// A machine is suspended for five seconds. What its peers had told before would look as if it
// had just come: loads that were over, a controller that had ended.
func TestSuspended_AgesPeerReports(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	s.config.Incarnation = "n99"
	s.heardController = now
	p := s.peers["10.0.0.0:1"]
	p.controls, p.relays = true, true
	p.own = work{loads: map[serving.EndpointID]relay.PeerLoad{"e": {Running: 4}}}
	require.True(t, s.ControllerAlive())
	require.NotNil(t, s.controllerOf("dc0", now))
	require.Equal(t, 4, s.othersWork(false, nil, now).loads["e"].Running)
	s.HandleSuspension(5 * time.Second)
	require.False(t, s.ControllerAlive())
	require.Nil(t, s.controllerOf("dc0", now))
	require.Empty(t, s.othersWork(false, nil, now).loads)
	require.True(t, p.storeSeen.IsZero(), "what was never seen stays so")
}

// Loads are not paced before the first request of all. With three hundred nodes each gets less
// than one a second: a controller that went by its own first request alone had 25 loads begin
// in the first half second of traffic, which others had met already.
func TestHeardRequests_CountsPeers(t *testing.T) {
	s := acquainted(time.Now())
	s.directory = directory.New(directory.Codec{})
	from := s.peers["10.0.0.0:1"].named()
	s.take(&peers.ShareMessage{From: from}, from.GetAddress())
	require.False(t, s.asked.Load())
	s.take(&peers.ShareMessage{From: from, RelayedDemand: []*sharepb.Demand{{Service: "llm", Model: "m", Groups: 0.1}}}, from.GetAddress())
	require.True(t, s.asked.Load())
}

// Who is asked for a permit at an endpoint that limits what it takes: the relay of its data
// centre, by other nodes through their own. A node that has just started knows nobody, and
// takes itself for the relay.
func TestAllocator_IsTheRelayOfTheDataCentre(t *testing.T) {
	now := time.Now()
	other := func(g *Gossiper) { g.peers["10.0.0.1:1"].relays = true }
	tests := map[string]struct {
		life    string
		prepare func(*Gossiper)
		age     time.Duration
		dc      serving.DataCentre
		want    string
		self    bool
		unknown bool
	}{
		"a node asks its relay":                      {life: "n99", dc: "dc0", age: time.Minute, want: "10.0.0.0:1"},
		"and for other data centres too":             {life: "n99", dc: "dc1", age: time.Minute, want: "10.0.0.0:1"},
		"the relay allocates its own":                {life: "a", dc: "dc0", age: time.Minute, want: "10.0.0.100:1", self: true},
		"and asks the relay of the other":            {life: "a", dc: "dc1", age: time.Minute, prepare: other, want: "10.0.0.1:1"},
		"which it may not hear":                      {life: "a", dc: "dc1", age: time.Minute, unknown: true},
		"one that has just started allocates none":   {life: "a", dc: "dc0", age: allocateAfter / 2, unknown: true},
		"one that has just started may ask its own":  {life: "n99", dc: "dc0", age: allocateAfter / 2, want: "10.0.0.0:1"},
		"one that has just started may ask an other": {life: "a", dc: "dc1", age: allocateAfter / 2, prepare: other, want: "10.0.0.1:1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := acquainted(now)
			s.config.Incarnation, s.began = test.life, now.Add(-test.age)
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
