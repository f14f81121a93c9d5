package gossip

import (
	"bytes"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/internal/standin/fleetstandin"
	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

var ratesPool = directory.Pool{Service: "llm", Model: "large"}

// rateNode is a node with the last sum of its peers' starts.
type rateNode struct {
	*Gossiper
	own, peerStarts float64
	at              time.Time
	reports         int
}

// newRateNode returns a node that measures the given starts per second, or one of an earlier version
// if they are zero.
func newRateNode(i int, dc serving.DataCentre, cores, starts float64) *rateNode {
	n := &rateNode{own: starts}
	var rates RateExchange
	if starts > 0 {
		rates.Own = func(time.Time) map[directory.Pool]relay.PoolRates { return poolRates{ratesPool: {Starts: starts}} }
		rates.OnPeerRates = func(sum map[directory.Pool]relay.PoolRates, at time.Time) {
			n.peerStarts, n.at = sum[ratesPool].Starts, at
			n.reports++
		}
	}
	n.Gossiper = New(Config{Incarnation: fmt.Sprintf("n%d/x", i), Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: dc, Cores: cores, Nodes: 1}, Parts{
		Directory: directory.New(fleetstandin.Codec()),
		Balancer:  relay.NewBalancer(dc, rand.NewPCG(uint64(i), 1), relay.DefaultWeights),
		Demand:    relay.NewDemand(),
		Rates:     rates,
		Budget:    relay.NewBudget(0.1, 10, 10*time.Second, 1),
		Store:     memtable.New(),
		Links:     link.New(nil),
	})
	n.SetController(notController{})
	return n
}

// newRateNodes returns four nodes in each of two data centres that have exchanged messages as they
// do without a controller: the first two of each are its relays.
func newRateNodes(t *testing.T, starts func(i int) float64) []*rateNode {
	t.Helper()
	var nodes []*rateNode
	for i := range 8 {
		dc := []serving.DataCentre{"north", "south"}[i/4]
		nodes = append(nodes, newRateNode(i, dc, []float64{0.8, 0.8, 0.2, 0.2}[i%4], starts(i)))
	}
	const rounds = 4 // until the last node has the rates of all
	for range rounds {
		for i, from := range nodes {
			for j, to := range nodes {
				if i != j && j%4 < 2 && (i/4 == j/4 || i%4 < 2) {
					exchange(t, from.Gossiper, to.Gossiper)
				}
			}
		}
	}
	for _, n := range nodes {
		n.updateAggregates(time.Now())
	}
	return nodes
}

// Guards against sums that count a node twice or not at all: each node's rate is a different power of
// two.
func TestPeerRates_CountEachNodeOnce(t *testing.T) {
	for _, earlierVersion := range []int{-1, 3} {
		total := 0.0
		nodes := newRateNodes(t, func(i int) float64 {
			if i == earlierVersion {
				return 0
			}
			total += math.Exp2(float64(i))
			return math.Exp2(float64(i))
		})
		for i, n := range nodes {
			if i != earlierVersion {
				require.Equal(t, total-n.own, n.peerStarts, "node %d without rates of node %d", i, earlierVersion)
			}
		}
	}
}

// Guards against sums that keep the rates of nodes that have stopped, and against a node without a
// relay that reports an incomplete sum as new evidence.
func TestPeerRates_LeaveOutSilentNodes(t *testing.T) {
	nodes := newRateNodes(t, func(i int) float64 { return math.Exp2(float64(i)) })
	first, member := nodes[0], nodes[2]
	silence := func(n *rateNode, silent int) {
		n.peers[nodes[silent].config.Address].lastHeard = time.Now().Add(-loadTTL - time.Millisecond)
	}
	silence(first, 3)
	first.updateAggregates(time.Now())
	require.Equal(t, 255.0-1-8, first.peerStarts, "a node of its own data centre")
	for i := 4; i < 6; i++ {
		silence(first, i)
	}
	first.updateAggregates(time.Now())
	require.Equal(t, 2.0+4, first.peerStarts, "both relays of the other data centre")
	exchange(t, member.Gossiper, first.Gossiper)
	member.updateAggregates(time.Now())
	require.Equal(t, 1.0+2, member.peerStarts, "the relay's message leaves them out")
	require.Equal(t, member.peers[first.config.Address].lastHeard, member.at, "not when it was added up here")
	reports := member.reports
	silence(member, 0)
	silence(member, 1)
	member.updateAggregates(time.Now())
	require.Equal(t, reports, member.reports)
}

// sampleRates returns the rates of a customer's pools: three pools with four pairs of pool and level,
// of 24 workspaces of uneven size each.
func sampleRates() poolRates {
	level := func(l admission.Level, requests float64) admission.LevelDemand {
		out := admission.LevelDemand{Level: l, Rates: admission.Rates{New: requests, Tokens: 674 * requests}}
		for i := range uint32(24) {
			out.Workspaces = append(out.Workspaces, admission.WorkspaceDemand{Workspace: (i + 1) << 27, Requests: requests / 2.354 / float64(i+3)})
		}
		return out
	}
	return poolRates{
		{Service: "llm", Model: "large"}:    {Starts: 40, TokensRead: 9e4, Levels: []admission.LevelDemand{level(1, 24), level(2, 16)}, Offset: 115 * time.Millisecond, OffsetWeight: 60},
		{Service: "llm", Model: "small"}:    {Starts: 422, TokensRead: 3e5, Levels: []admission.LevelDemand{level(0, 422)}, Offset: 20 * time.Millisecond, OffsetWeight: 90},
		{Service: "orders", Model: "plain"}: {Starts: 42, Levels: []admission.LevelDemand{level(0, 42)}},
	}
}

// Guards against messages that grow beyond the links of small nodes.
func TestToRates_Size(t *testing.T) {
	const (
		calmBytes  = 150
		shortBytes = 450
	)
	size := func(nearlyShort func(directory.Pool) bool) int {
		return proto.Size(&peers.ShareMessage{Rates: toRates(sampleRates(), nearlyShort)})
	}
	calm := size(func(directory.Pool) bool { return false })
	short := size(func(directory.Pool) bool { return true })
	t.Logf("calm %d bytes, short %d bytes", calm, short)
	require.LessOrEqual(t, calm, calmBytes)
	require.LessOrEqual(t, short, shortBytes)
	require.Equal(t, calm, size(nil))
	one := size(func(p directory.Pool) bool { return p.Model == "small" })
	require.Greater(t, one, calm)
	require.Less(t, one, short)
}

// Guards against traffic between data centres, which is billed, that grows by more than a tenth. The
// relay has requests of its own at 15 of 33 heads.
func TestBuildMessage_TrafficBetweenDataCentres(t *testing.T) {
	now := time.Now()
	loads := map[serving.EndpointID]relay.PeerLoad{}
	for i := range 33 {
		id := serving.EndpointID(fmt.Sprintf("i-%010d", i))
		loads[id] = relay.PeerLoad{Running: 9, Unread: 900, LastEvent: now, Epoch: 300, Tally: health.Tally{Served: 4}, Pace: health.Pace{Took: 2, Expected: 1}}
	}
	demand := map[directory.Pool]relay.ModelDemand{}
	for pool := range sampleRates() {
		demand[pool] = relay.ModelDemand{Groups: 3, Requests: 20, InTime: 20, Late: 2}
	}
	size := func(rates RateExchange) float64 {
		g := newTestRelay(now)
		g.rates = rates
		// What peers send depends on what they know of the pool, as for this node.
		for id, l := range loads {
			// An age above 127 ms takes a byte more per load.
			l.LastEvent = time.Now()
			loads[id] = l
		}
		received, _ := fromRates(toRates(sampleRates(), rates.NearlyShort))
		for _, p := range g.peers {
			p.own = work{loads, demand, received}
		}
		m := g.buildMessage(g.peers["10.0.0.60:1"])
		m.Loads = toLoads(loads, now)[:15]
		m.Demand = toDemand(demand)
		return float64(proto.Size(m))
	}
	rates := RateExchange{
		Own:         func(time.Time) map[directory.Pool]relay.PoolRates { return sampleRates() },
		OnPeerRates: func(map[directory.Pool]relay.PoolRates, time.Time) {},
	}
	before := size(RateExchange{})
	calm := size(rates)
	rates.NearlyShort = func(p directory.Pool) bool { return p.Model == "small" }
	oneShort := size(rates)
	rates.NearlyShort = func(directory.Pool) bool { return true }
	allShort := size(rates)
	t.Logf("without rates %v bytes, calm %v, one pool short %v, all short %v", before, calm, oneShort, allShort)
	require.LessOrEqual(t, calm, 1.1*before)
	require.LessOrEqual(t, oneShort, 1.1*before)
	require.Greater(t, allShort, calm)
	require.LessOrEqual(t, allShort, 1.1*before)
}

// Guards against a message between data centres that names other workspaces than plans use, and against
// a change of the sums of this node.
func TestWithLargestWorkspaces(t *testing.T) {
	rates := sampleRates()
	for pool, r := range withLargestWorkspaces(rates, relay.MaxSharedWorkspaces) {
		for i, l := range r.Levels {
			require.Equal(t, rates[pool].Levels[i].Workspaces[:relay.MaxSharedWorkspaces], l.Workspaces)
			require.Equal(t, rates[pool].Levels[i].Rates, l.Rates)
			require.Len(t, rates[pool].Levels[i].Workspaces, 24)
		}
	}
}

// Guards against values that change on the wire, and against sending negligible ones.
func TestToRates_RoundTrip(t *testing.T) {
	want := sampleRates()
	for _, r := range want {
		for i := range r.Levels {
			r.Levels[i].Workspaces = r.Levels[i].Workspaces[:relay.MaxNamedWorkspaces]
			for j := range r.Levels[i].Workspaces {
				r.Levels[i].Workspaces[j].Requests = float64(j + 1)
			}
		}
	}
	sent := toRates(want, func(directory.Pool) bool { return true })
	got, invalid := fromRates(sent)
	require.Zero(t, invalid)
	require.Equal(t, want, got)

	negligible := []admission.LevelDemand{{Rates: admission.Rates{New: 0.04, Returning: 0.04, Tokens: 50}}}
	require.Empty(t, toRates(poolRates{ratesPool: {Starts: 0.04, TokensRead: 30, Levels: negligible, OffsetWeight: 0.04}}, nil))
}

// Guards against bad values that reach the sums, and against dropping valid entries with them.
func TestFromRates_DropsInvalid(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	pools := map[string]*sharepb.PoolRates{
		"negative starts":      {Starts: -1},
		"starts not a number":  {Starts: nan},
		"infinite tokens":      {TokensRead: inf},
		"offset not a number":  {OffsetMs: nan},
		"offset too large":     {OffsetMs: 2e6},
		"infinite weight":      {OffsetWeight: inf},
		"repeats another pool": {Model: "good", Starts: 7},
	}
	levels := map[string]*sharepb.LevelRates{
		"too high":             {Level: 10},
		"overflows":            {Level: 256 + 5},
		"repeats another":      {Level: 4, New: 7},
		"negative arrivals":    {Level: 5, New: -0.1},
		"returning too large":  {Level: 5, Returning: 1e12},
		"tokens not a number":  {Level: 5, Tokens: nan},
		"lists of two lengths": {Level: 5, Workspaces: []uint32{1, 2}, WorkspaceRequests: []float32{1}},
		"infinite workspace":   {Level: 5, Workspaces: []uint32{1}, WorkspaceRequests: []float32{inf}},
		"workspace twice":      {Level: 5, Workspaces: []uint32{1, 1}, WorkspaceRequests: []float32{1, 1}},
		"too many workspaces":  {Level: 5, Workspaces: []uint32{1, 2, 3, 4, 5, 6, 7, 8, 9}, WorkspaceRequests: make([]float32, 9)},
	}
	valid := &sharepb.LevelRates{Level: 4, New: 1}
	good := &sharepb.PoolRates{Model: "good", Starts: 1, Levels: []*sharepb.LevelRates{valid}}
	want, _ := fromRates([]*sharepb.PoolRates{good})
	for name, pool := range pools {
		got, invalid := fromRates([]*sharepb.PoolRates{good, pool})
		require.Equal(t, 1, invalid, name)
		require.Equal(t, want, got, name)
	}
	for name, level := range levels {
		got, invalid := fromRates([]*sharepb.PoolRates{{Model: "good", Starts: 1, Levels: []*sharepb.LevelRates{valid, level}}})
		require.Equal(t, 1, invalid, name)
		require.Equal(t, want, got, name)
	}
	many := make([]*sharepb.PoolRates, maxRatePools+3)
	for i := range many {
		many[i] = &sharepb.PoolRates{Model: fmt.Sprint(i), Starts: 1}
	}
	got, invalid := fromRates(many)
	require.Len(t, got, maxRatePools)
	require.Equal(t, 3, invalid)
}

// Guards against a log that one faulty peer fills, and against dropped entries that no line counts.
func TestDecodeRates_LogsRarely(t *testing.T) {
	var log bytes.Buffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	bad := &sharepb.PoolRates{Starts: -1}
	m := &peers.ShareMessage{Rates: []*sharepb.PoolRates{bad, bad}, RelayedRates: []*sharepb.PoolRates{bad}}
	n, now := newRateNode(0, "north", 1, 1), time.Now()
	n.decodeRates(m, now)
	require.Equal(t, 1, strings.Count(log.String(), "\n"))
	require.Contains(t, log.String(), "entries=3 messages=1")
	for range 99 {
		n.decodeRates(m, now.Add(invalidRatesInterval-1))
	}
	require.Equal(t, 1, strings.Count(log.String(), "\n"))
	n.decodeRates(m, now.Add(invalidRatesInterval))
	require.Equal(t, 2, strings.Count(log.String(), "\n"))
	require.Contains(t, log.String(), "entries=300 messages=100")
}

// Guards against any change of a message while the feature is off, also at a relay whose peers send
// rates.
func TestBuildMessage_UnchangedWithoutRates(t *testing.T) {
	n := newRateNode(0, "north", 1, 0)
	sender := newRateNode(1, "north", 0.2, 5)
	encode := func(rates RateExchange) []byte {
		n.rates = rates
		m := sender.buildMessage(nil)
		require.NotEmpty(t, m.Rates)
		m.RelayedRates = m.Rates
		p := n.applyMessage(m, sender.config.Address)
		require.Empty(t, p.own.rates)
		n.updateAggregates(time.Now())
		p.sentMessages = 0
		message := n.buildMessage(p)
		require.True(t, message.Relays)
		require.Empty(t, append(message.Rates, message.RelayedRates...))
		out, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		require.NoError(t, err)
		return out
	}
	off := encode(RateExchange{})
	require.Equal(t, off, encode(RateExchange{Own: sender.rates.Own}))
	require.Equal(t, off, encode(RateExchange{OnPeerRates: sender.rates.OnPeerRates}))
}

// Guards against a relay without requests of its own for a pool that drops the workspaces that others
// named, and against one that names its own ones of a calm pool.
func TestBuildMessage_RelaysNamedWorkspaces(t *testing.T) {
	level := func(workspaces ...uint32) poolRates {
		l := admission.LevelDemand{Rates: admission.Rates{New: 10}}
		for _, w := range workspaces {
			l.Workspaces = append(l.Workspaces, admission.WorkspaceDemand{Workspace: w, Requests: 2})
		}
		return poolRates{ratesPool: {Starts: 5, Levels: []admission.LevelDemand{l}}}
	}
	n := newRateNode(0, "north", 1, 1)
	n.rates.Own = func(time.Time) map[directory.Pool]relay.PoolRates { return level(1, 2) }
	n.rates.NearlyShort = func(directory.Pool) bool { return false }
	sender := newRateNode(1, "north", 0.2, 1)
	m := sender.buildMessage(nil)
	m.Rates = toRates(level(3, 4), func(directory.Pool) bool { return true })
	n.applyMessage(m, sender.config.Address)
	far := n.applyMessage(newRateNode(4, "south", 1, 1).buildMessage(nil), "10.0.0.4:1")
	n.updateAggregates(time.Now())
	message := n.buildMessage(far)
	require.True(t, message.Relays)
	got, _ := fromRates(message.RelayedRates)
	require.InDelta(t, 20, got[ratesPool].Levels[0].New, 1e-3)
	require.Equal(t, level(3, 4)[ratesPool].Levels[0].Workspaces, got[ratesPool].Levels[0].Workspaces)
}
