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
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/internal/standin/fleetstandin"
	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

var ratesPool = directory.Pool{Service: "llm", Model: "large"}

// rateNode is a node with the last sum of its peers' starts.
type rateNode struct {
	*Gossiper
	own, peerStarts float64
	reports         int
}

// newRateNode returns a node that measures the given starts per second, or one of an earlier version
// if they are zero.
func newRateNode(i int, dc serving.DataCentre, cores, starts float64) *rateNode {
	n := &rateNode{own: starts}
	var rates RateExchange
	if starts > 0 {
		rates.Own = func(time.Time) map[directory.Pool]relay.PoolRates { return poolRates{ratesPool: {Starts: starts}} }
		rates.OnPeerRates = func(sum map[directory.Pool]relay.PoolRates, _ time.Time) {
			n.peerStarts = sum[ratesPool].Starts
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
	exchangeRates(t, nodes)
	return nodes
}

// exchangeRates makes each node call the relays of its data centre, and relays those of the other,
// until all have complete sums.
func exchangeRates(t *testing.T, nodes []*rateNode) {
	t.Helper()
	const rounds = 4
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
}

// Guards against sums that count a node twice or not at all: each node's rate is a different power of
// two.
func TestPeerRates_CountEachNodeOnce(t *testing.T) {
	const earlierVersion = 3
	tests := map[string]struct {
		starts func(i int) float64
		total  float64
	}{
		"all nodes": {func(i int) float64 { return math.Exp2(float64(i)) }, 255},
		"one node of an earlier version": {func(i int) float64 {
			if i == earlierVersion {
				return 0
			}
			return math.Exp2(float64(i))
		}, 255 - 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for i, n := range newRateNodes(t, test.starts) {
				if n.own > 0 {
					require.Equal(t, test.total-n.own, n.peerStarts, "node %d", i)
				}
			}
		})
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
	reports := member.reports
	silence(member, 0)
	silence(member, 1)
	member.updateAggregates(time.Now())
	require.Equal(t, reports, member.reports)
}

// Guards against the time of a sum that hides the age of the relay's last message.
func TestRatesComputedAt(t *testing.T) {
	nodes := newRateNodes(t, func(int) float64 { return 1 })
	now := time.Now()
	require.Equal(t, now, nodes[0].ratesComputedAt(true, now))
	heard := now.Add(-time.Second)
	nodes[2].peers[nodes[0].config.Address].lastHeard = heard
	require.Equal(t, heard, nodes[2].ratesComputedAt(false, now))
}

// sampleRates returns the rates of a customer's pools: three pools with four pairs of pool and level,
// of 24 workspaces each.
func sampleRates() poolRates {
	level := func(l admission.Level, requests float64) admission.LevelDemand {
		out := admission.LevelDemand{Level: l, Rates: admission.Rates{New: requests, Tokens: 674 * requests}}
		for i := range uint32(24) {
			out.Workspaces = append(out.Workspaces, admission.WorkspaceDemand{Workspace: (i + 1) << 27, Requests: requests / 24})
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
	valid := &sharepb.LevelRates{Level: 4, New: 1}
	withLevel := func(l *sharepb.LevelRates) *sharepb.PoolRates {
		return &sharepb.PoolRates{Model: "m", Levels: []*sharepb.LevelRates{l, valid}}
	}
	tests := map[string]struct {
		pool   *sharepb.PoolRates
		levels int
	}{
		"negative starts":       {&sharepb.PoolRates{Model: "m", Starts: -1}, -1},
		"starts not a number":   {&sharepb.PoolRates{Model: "m", Starts: nan}, -1},
		"infinite tokens":       {&sharepb.PoolRates{Model: "m", TokensRead: inf}, -1},
		"offset not a number":   {&sharepb.PoolRates{Model: "m", OffsetMs: nan}, -1},
		"offset too large":      {&sharepb.PoolRates{Model: "m", OffsetMs: 2e6}, -1},
		"infinite weight":       {&sharepb.PoolRates{Model: "m", OffsetWeight: inf}, -1},
		"pool twice":            {&sharepb.PoolRates{Model: "good"}, -1},
		"level too high":        {withLevel(&sharepb.LevelRates{Level: 10}), 1},
		"level too large":       {withLevel(&sharepb.LevelRates{Level: math.MaxUint32}), 1},
		"level twice":           {&sharepb.PoolRates{Model: "m", Levels: []*sharepb.LevelRates{valid, valid}}, 1},
		"negative arrivals":     {withLevel(&sharepb.LevelRates{New: -0.1}), 1},
		"returning too large":   {withLevel(&sharepb.LevelRates{Returning: 1e12}), 1},
		"tokens not a number":   {withLevel(&sharepb.LevelRates{Tokens: nan}), 1},
		"lists of two lengths":  {withLevel(&sharepb.LevelRates{Workspaces: []uint32{1, 2}, WorkspaceRequests: []float32{1}}), 1},
		"infinite workspace":    {withLevel(&sharepb.LevelRates{Workspaces: []uint32{1}, WorkspaceRequests: []float32{inf}}), 1},
		"workspace twice":       {withLevel(&sharepb.LevelRates{Workspaces: []uint32{1, 1}, WorkspaceRequests: []float32{1, 1}}), 1},
		"too many workspaces":   {withLevel(&sharepb.LevelRates{Workspaces: []uint32{1, 2, 3, 4, 5, 6, 7, 8, 9}, WorkspaceRequests: make([]float32, 9)}), 1},
		"nothing but valid one": {nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := []*sharepb.PoolRates{{Model: "good", Starts: 1}}
			want := 0
			if test.pool != nil {
				list, want = append(list, test.pool), 1
			}
			rates, invalid := fromRates(list)
			require.Equal(t, want, invalid)
			require.Equal(t, 1.0, rates[directory.Pool{Model: "good"}].Starts)
			bad, kept := rates[directory.Pool{Model: "m"}]
			require.Equal(t, test.levels > 0, kept)
			require.Len(t, bad.Levels, max(0, test.levels))
		})
	}
	many := make([]*sharepb.PoolRates, maxRatePools+3)
	for i := range many {
		many[i] = &sharepb.PoolRates{Model: fmt.Sprint(i), Starts: 1}
	}
	rates, invalid := fromRates(many)
	require.Len(t, rates, maxRatePools)
	require.Equal(t, 3, invalid)
}

// Guards against a log that one faulty peer fills: one line per message.
func TestDecodeRates_LogsOnce(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	n := newRateNode(0, "north", 1, 1)
	n.log = logging.For("peers")
	bad := &sharepb.PoolRates{Starts: -1}
	n.decodeRates(&peers.ShareMessage{Rates: []*sharepb.PoolRates{bad, bad}, RelayedRates: []*sharepb.PoolRates{bad}})
	require.Equal(t, 1, strings.Count(log.String(), "\n"))
	require.Contains(t, log.String(), "entries=3")
}

// Guards against any change of a message while the feature is off, also at a relay whose peers send
// rates.
func TestBuildMessage_UnchangedWithoutRates(t *testing.T) {
	own := func(time.Time) map[directory.Pool]relay.PoolRates { return sampleRates() }
	ignore := func(map[directory.Pool]relay.PoolRates, time.Time) {}
	for name, exchange := range map[string]RateExchange{"neither": {}, "no callback": {Own: own}, "no source": {OnPeerRates: ignore}} {
		t.Run(name, func(t *testing.T) {
			n := newRateNode(0, "north", 1, 0)
			n.rates = exchange
			sender := newRateNode(1, "north", 0.2, 5)
			m := sender.buildMessage(nil)
			require.NotEmpty(t, m.Rates)
			m.RelayedRates = m.Rates
			p := n.applyMessage(m, sender.config.Address)
			n.updateAggregates(time.Now())
			encode := func() []byte {
				p.sentMessages = 0
				message := n.buildMessage(p)
				require.True(t, message.Relays)
				out, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
				require.NoError(t, err)
				return out
			}
			with := encode()
			p.own.rates, p.relayed.rates = nil, nil
			n.rates = RateExchange{}
			require.Equal(t, encode(), with)
			require.NotContains(t, string(with), ratesPool.Model)
		})
	}
}
