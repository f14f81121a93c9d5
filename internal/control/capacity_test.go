package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ridgehinge/ridgehinge/internal/engine"
	netlink "github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
	"github.com/ridgehinge/ridgehinge/internal/peers/peerpb"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/standin/enginestandin"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// The benchmarks that `make capacity` runs. They drive the loops of a data
// centre without sockets: all polls succeed, and messages are encoded, decoded
// and applied as on the wire.

const testGroupSize = 8

// testDataCentre has all loops of one data centre without changes.
type testDataCentre struct {
	loops     []*Loop
	instances []fleet.Instance
	endpoints int
	now       time.Time
}

func newTestDataCentre(nodes, endpoints int) *testDataCentre {
	c := &testDataCentre{now: time.Now(), endpoints: endpoints}
	var groups []fleet.Group
	for i := range endpoints {
		id := fleet.InstanceID(fmt.Sprintf("engine-%05d", i))
		c.instances = append(c.instances, fleet.Instance{
			ID: id, DataCentre: "dc", Domain: fmt.Sprintf("rack-%d", i/32), Address: "10.0.0.1:80",
			Kind: fleet.KindEngine, Accelerators: 4, ChecksFences: true,
		})
		if i%testGroupSize == 0 && i+testGroupSize <= endpoints {
			n := uint64(len(groups) + 1)
			groups = append(groups, fleet.Group{
				ID: fleet.GroupID(fmt.Sprintf("dc-1-%d", n)), DataCentre: "dc", Domain: fmt.Sprintf("rack-%d", i/32),
				Template: "t", Weights: "m@1", Role: fleet.RoleMixed, Epoch: 1, Generation: n, Revision: n,
			})
		}
		if i/testGroupSize < len(groups) {
			g := &groups[i/testGroupSize]
			g.Members = append(g.Members, fleet.Member{Instance: id, Incarnation: 1})
		}
	}
	for i := range nodes {
		c.loops = append(c.loops, newTestLoop(i))
	}
	for _, l := range c.loops {
		self := l.options.Self
		c.instances = append(c.instances, fleet.Instance{ID: fleet.InstanceID(self.ID), DataCentre: "dc", Address: self.Address, Kind: fleet.KindEntry})
	}
	for _, l := range c.loops {
		l.applyGroups(fleet.GroupsDelta{To: uint64(max(1, len(groups))), Groups: groups})
		l.setInstances(c.now, c.instances)
	}
	for range 3 {
		c.exchangeAll()
	}
	return c
}

func newTestLoop(i int) *Loop {
	self := membership.Node{ID: membership.NodeID(fmt.Sprintf("node-%02d", i)), DataCentre: "dc", Address: "10.0.0.2:70"}
	options := Options{
		Self: self, Incarnation: uint64(i + 1), Intervals: DefaultIntervals(),
		Quarantine: quarantine.NewQuarantine(func() bool { return false }),
		Membership: membership.DefaultOptions(self, 1, time.Time{}), Placement: placement.DefaultOptions(),
		LeaseTTL: time.Second,
		Load:     func() map[string]PoolLoad { return map[string]PoolLoad{"model/t": {Slots: 8, Rate: 50}} },
	}
	l := New(options)
	l.store.Apply(configuration.Delta{To: 1})
	return l
}

// report returns the report of an endpoint whose group serves.
func (c *testDataCentre) report(i int) fleet.Report {
	r := fleet.Report{Instance: c.instances[i].ID, Incarnation: 1, Version: 2, Phase: fleet.PhaseReady, Weights: "m@1", Slots: 16}
	if g := i / testGroupSize; (g+1)*testGroupSize <= c.endpoints {
		r.Group, r.Generation = fleet.GroupID(fmt.Sprintf("dc-1-%d", g+1)), uint64(g+1)
	}
	return r
}

// exchangeAll polls every endpoint once and runs one exchange for every pair;
// it returns the size of the messages in bytes.
func (c *testDataCentre) exchangeAll() (bytes int) {
	c.now = c.now.Add(DefaultIntervals().Exchange)
	for _, l := range c.loops {
		l.assignWatches(c.now)
		for i, in := range c.instances[:c.endpoints] {
			if l.watches[in.ID] != nil {
				l.tracker.Observe(c.now, c.report(i))
			}
		}
	}
	for i, a := range c.loops {
		for _, b := range c.loops[i+1:] {
			bytes += exchangeOnce(c.now, a, b)
		}
	}
	return bytes
}

func exchangeOnce(now time.Time, a, b *Loop) int {
	conf, groups := a.tracker.Revisions(b.options.Self.ID)
	request, n := encodeAndDecode(a.buildMessage(now, b.options.Self.ID, conf, groups))
	e := exchangeRequest{request, make(chan *peers.Message, 1)}
	e.apply(b, now)
	response, m := encodeAndDecode(<-e.reply)
	a.applyPeerMessage(now, response)
	return n + m
}

func encodeAndDecode(m *peers.Message) (*peers.Message, int) {
	text, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	out := &peerpb.ExchangeMessage{}
	if err := proto.Unmarshal(text, out); err != nil {
		panic(err)
	}
	return out, len(text)
}

// dataCentreSizes are the entry instances and endpoints of one data centre.
var dataCentreSizes = []struct{ nodes, endpoints int }{
	{3, 18}, {9, 50}, {18, 450}, {36, 900}, {72, 1833},
}

// BenchmarkExchange measures one exchange without changes: the work of both
// sides and the size of both messages.
func BenchmarkExchange(b *testing.B) {
	for _, s := range dataCentreSizes {
		b.Run(fmt.Sprintf("nodes=%d/endpoints=%d", s.nodes, s.endpoints), func(b *testing.B) {
			c := newTestDataCentre(s.nodes, s.endpoints)
			x, y := c.loops[0], c.loops[1]
			bytes := 0
			b.ResetTimer()
			for range b.N {
				bytes = exchangeOnce(c.now, x, y)
			}
			b.ReportMetric(float64(bytes), "B/exchange")
		})
	}
}

// BenchmarkPublish measures one snapshot with all groups serving.
func BenchmarkPublish(b *testing.B) {
	for _, s := range dataCentreSizes {
		b.Run(fmt.Sprintf("nodes=%d/endpoints=%d", s.nodes, s.endpoints), func(b *testing.B) {
			c := newTestDataCentre(s.nodes, s.endpoints)
			l := c.loops[0]
			l.publishNow(c.now)
			require.Len(b, l.Snapshot().Targets, s.endpoints/testGroupSize)
			b.ResetTimer()
			for i := range b.N {
				l.publishNow(c.now.Add(time.Duration(i)))
			}
		})
	}
}

// BenchmarkPlan measures one placement step of the controller without changes.
func BenchmarkPlan(b *testing.B) {
	for _, s := range dataCentreSizes {
		b.Run(fmt.Sprintf("nodes=%d/endpoints=%d", s.nodes, s.endpoints), func(b *testing.B) {
			c := newTestDataCentre(s.nodes, s.endpoints)
			l := c.loops[0]
			demand := placement.Demand{Template: "t", Weights: "m@1", Size: testGroupSize, Want: s.endpoints / testGroupSize, Soon: s.endpoints / testGroupSize, WeightDowntime: 1, WeightStranded: 1}
			b.ResetTimer()
			for range b.N {
				v := l.view(c.now)
				v.Demands = []placement.Demand{demand}
				l.planner.Step(v)
			}
		})
	}
}

// BenchmarkMemory measures the heap size of one node's control state.
func BenchmarkMemory(b *testing.B) {
	for _, s := range dataCentreSizes {
		b.Run(fmt.Sprintf("nodes=%d/endpoints=%d", s.nodes, s.endpoints), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				c := newTestDataCentre(s.nodes, s.endpoints)
				for _, l := range c.loops {
					l.publishNow(c.now)
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(s.nodes)/1024, "KB/node")
				runtime.KeepAlive(c)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkPoll measures one status poll over a real connection and its size.
func BenchmarkPoll(b *testing.B) {
	server := enginestandin.New(enginestandin.DefaultOptions("engine-00001", 1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	serving := &http.Server{Handler: server.Handler()}
	go func() { _ = serving.Serve(listener) }()
	defer serving.Close()
	client := engine.New(nil)
	defer client.Close()
	ctx := context.Background()
	_, tag, _, err := client.Status(ctx, listener.Addr().String(), "")
	require.NoError(b, err)
	counter := client.ControlBytes()
	read, written := counter.Read.Load(), counter.Written.Load()
	b.ResetTimer()
	for range b.N {
		if _, _, _, err := client.Status(ctx, listener.Addr().String(), tag); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(counter.Read.Load()-read)/float64(b.N), "B-read/poll")
	b.ReportMetric(float64(counter.Written.Load()-written)/float64(b.N), "B-written/poll")
}

// fixedResponseHandler responds to all exchanges with the same message.
type fixedResponseHandler struct{ response *peers.Message }

func (h fixedResponseHandler) Exchange(context.Context, *peers.Message) (*peers.Message, error) {
	return h.response, nil
}

func (h fixedResponseHandler) Forward(*forwardpb.Request, peers.ForwardStream) error {
	return nil
}

// BenchmarkWire measures one exchange over a real connection and the framing
// overhead.
func BenchmarkWire(b *testing.B) {
	c := newTestDataCentre(3, 18)
	message := c.loops[0].buildMessage(c.now, c.loops[1].options.Self.ID, 1, 99)
	key := []byte("0123456789abcdef")
	server, err := peers.Listen("127.0.0.1:0", key, netlink.New(nil), fixedResponseHandler{message})
	require.NoError(b, err)
	defer server.Close()
	client := peers.NewClient(key, netlink.New(nil))
	defer client.Close()
	ctx := context.Background()
	_, err = client.Exchange(ctx, server.Address(), message)
	require.NoError(b, err)
	read, written := client.Bytes().Read.Load(), client.Bytes().Written.Load()
	b.ResetTimer()
	for range b.N {
		if _, err := client.Exchange(ctx, server.Address(), message); err != nil {
			b.Fatal(err)
		}
	}
	total := client.Bytes().Read.Load() - read + client.Bytes().Written.Load() - written
	b.ReportMetric(float64(total)/float64(b.N)-float64(2*proto.Size(message)), "B-framing/exchange")
}

// The scaled intervals must keep a node's traffic within its budgets, and the
// message size they assume must hold.
func TestScaleIntervals_FitsTrafficBudget(t *testing.T) {
	ttl := membership.TTLs{Own: 1200 * time.Millisecond, Vouch: 3 * time.Second, Peer: 1500 * time.Millisecond}
	for _, c := range []struct {
		nodes, watched int
		exchange, poll time.Duration
	}{
		{3, 12, 400 * time.Millisecond, 400 * time.Millisecond},
		{9, 12, 400 * time.Millisecond, 400 * time.Millisecond},
		{72, 51, 2743181818, 1700 * time.Millisecond},
	} {
		got, ttls := scaleIntervals(DefaultIntervals(), ttl, c.nodes, c.watched)
		require.Equal(t, c.exchange, got.Exchange)
		require.Equal(t, c.poll, got.Poll)
		require.GreaterOrEqual(t, ttls.Own, 2*got.Poll)
		require.GreaterOrEqual(t, ttls.Vouch, 2*got.Exchange)
		require.GreaterOrEqual(t, ttls.Peer, 2*got.Exchange)
	}
	c := newTestDataCentre(9, 50)
	bytes := exchangeOnce(c.now, c.loops[0], c.loops[1])
	require.LessOrEqual(t, bytes/2+28, exchangeBytes, "the size of an unchanged heartbeat has grown; measure it and update exchangeBytes")
}
