package relay

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// overloadPolicy keeps the expected figures independent of the default settings.
var overloadPolicy = admission.Policy{Occupancy: 0.85, Backlog: 0.4, Correction: 500 * time.Millisecond, MinShare: 0.05, ReturnShare: 0.15}

// overloadSim is the overload control of one node with simulated time and peers.
type overloadSim struct {
	*Overload
	heads []*directory.Head
	now   time.Time
	// rates and running are what the peers report about the pool and about each head.
	rates   PoolRates
	running int
}

// newOverloadSim returns a node without evidence and a pool of heads with 30 slots each.
func newOverloadSim(heads int) *overloadSim {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	s := &overloadSim{Overload: NewOverload(overloadPolicy, NewArrivals(), b, rand.NewPCG(1, 2)), now: time.Now()}
	for i := range heads {
		e := &serving.Endpoint{ID: serving.EndpointID(fmt.Sprintf("h%d", i)), DataCentre: "north", Slots: 30}
		s.heads = append(s.heads, &directory.Head{Endpoint: e, Engine: engine, TimeFactor: 1})
	}
	return s
}

// newShortSim returns a node whose peers report a pool of 300 slots, 290 of them in use: it may admit 70
// requests per second less than it starts.
func newShortSim(starts float64, levels ...admission.LevelDemand) *overloadSim {
	s := newOverloadSim(10)
	s.running = 29
	s.rates = PoolRates{Starts: starts, Levels: levels}
	s.report()
	return s
}

// report delivers what the peers report.
func (s *overloadSim) report() {
	loads := map[serving.EndpointID]PeerLoad{}
	for _, h := range s.heads {
		loads[h.ID] = PeerLoad{Running: s.running}
	}
	s.balancer.SetPeerLoads(loads)
	s.SetPeerRates(map[directory.Pool]PoolRates{testPool: s.rates}, s.now)
}

// IsShort reports whether the plan of a pool sheds load.
func (s *overloadSim) IsShort(pool directory.Pool) bool {
	p := s.pools[pool]
	return p != nil && p.plan.Short()
}

// admit asks for one request.
func (s *overloadSim) admit(level admission.Level, workspace uint32, returning bool) bool {
	q := overloadRequest{pool: testPool, heads: s.heads, level: level, workspace: workspace, objective: 300 * time.Millisecond, returning: returning}
	return s.Admit(q, s.now)
}

// admitted returns the fraction of requests of one class that are admitted, at ten per second.
func (s *overloadSim) admitted(level admission.Level, workspace uint32, returning bool) float64 {
	const requests = 100
	count := 0
	for range requests {
		s.now = s.now.Add(planInterval)
		s.report()
		if s.admit(level, workspace, returning) {
			count++
		}
	}
	return float64(count) / requests
}

func demandAt(level admission.Level, fresh, returning float64, workspaces ...admission.WorkspaceDemand) admission.LevelDemand {
	return admission.LevelDemand{Level: level, Rates: admission.Rates{New: fresh, Returning: returning}, Workspaces: workspaces}
}

// Guards against urgent requests being shed while less urgent ones are admitted, and against a level
// that is shed entirely.
func TestOverload_ShedsLeastUrgentFirst(t *testing.T) {
	// The node adds 10 requests per second at the level. Of the 70 admissible ones, 3.5 are for level 2.
	for level, want := range map[admission.Level]float64{0: 1, 1: 26.5 / 50, 2: 3.5 / 50} {
		s := newShortSim(140, demandAt(0, 40, 0), demandAt(1, 40, 0), demandAt(2, 40, 0))
		require.InDelta(t, want, s.admitted(level, 1, false), 0.03, "level %d", level)
		require.True(t, s.IsShort(testPool))
	}
}

// Guards against returning callers being treated as new ones, and against shares that depend on a
// workspace's demand.
func TestOverload_SharesWithinLevel(t *testing.T) {
	demand := demandAt(0, 90, 10, admission.WorkspaceDemand{Workspace: 1, Requests: 90}, admission.WorkspaceDemand{Workspace: 2, Requests: 5})
	fraction := func(workspace uint32, returning bool) float64 {
		return newShortSim(100, demand).admitted(0, workspace, returning)
	}
	require.Greater(t, fraction(1, true), fraction(1, false)+0.15)
	require.Greater(t, fraction(2, false), 3*fraction(1, false))
}

// Guards against the rates or loads of peers counting after they have become stale, and against
// control that does not resume with the next report.
func TestOverload_DropsStaleEvidence(t *testing.T) {
	s := newShortSim(100, demandAt(0, 1000, 0))
	for range 20 {
		s.arrivals.RecordStart(testPool, 0, s.now)
	}
	s.admit(0, 1, false)
	require.True(t, s.IsShort(testPool))
	s.now = s.now.Add(maxEvidenceAge)
	s.admit(0, 1, false)
	require.True(t, s.IsShort(testPool), "evidence still counts")
	s.now = s.now.Add(planInterval)
	for range 50 {
		require.True(t, s.admit(0, 1, false))
		s.now = s.now.Add(planInterval / 10)
	}
	require.False(t, s.IsShort(testPool))
	s.report()
	s.now = s.now.Add(planInterval)
	s.admit(0, 1, false)
	require.True(t, s.IsShort(testPool))
}

// Guards against a node that hears nobody admitting more than its own requests show to be possible.
func TestOverload_HearsNobody(t *testing.T) {
	s := newOverloadSim(1)
	for range 30 {
		s.balancer.begin(s.heads[0].Endpoint, RequestSize{}, s.now)
	}
	count := 0
	for i := range 200 {
		s.now = s.now.Add(20 * time.Millisecond)
		if i%2 == 0 {
			s.arrivals.RecordStart(testPool, 0, s.now)
		}
		if s.admit(0, 1, false) {
			count++
		}
	}
	require.True(t, s.IsShort(testPool))
	require.InDelta(t, 0.32, float64(count)/200, 0.15, "25 starts less 9 of 50 requests per second")
	require.InDelta(t, 1, s.pools[testPool].part, 0)
}

// Guards against a fresh node that rejects requests before its first evidence.
func TestOverload_FreshNodeAdmitsAll(t *testing.T) {
	s := newOverloadSim(2)
	for range 50 {
		require.True(t, s.admit(0, 1, false))
		s.now = s.now.Add(planInterval / 5)
	}
	s.running, s.rates = 29, PoolRates{Starts: 10, Levels: []admission.LevelDemand{demandAt(0, 100, 0)}}
	s.report()
	s.now = s.now.Add(planInterval)
	s.admit(0, 1, false)
	require.True(t, s.IsShort(testPool))
}

// Guards against groups that a cut-off or broken node can't use counting as capacity.
func TestPoolLoad_CountsUsableGroups(t *testing.T) {
	for name, change := range map[string]func(s *overloadSim){
		"incomplete": func(s *overloadSim) { s.heads[1].Incomplete = true },
		"suspect":    func(s *overloadSim) { s.balancer.Suspect("h1", s.now) },
		"cut off": func(s *overloadSim) {
			s.heads[1].DataCentre = "south"
			for range 20 {
				s.balancer.recordRemoteFailure("south", s.now)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newOverloadSim(2)
			s.running = 3
			s.report()
			s.balancer.begin(s.heads[0].Endpoint, RequestSize{Prompt: 7}, s.now)
			change(s)
			require.Equal(t, poolLoad{slots: 30, running: 4, unread: 7, readRate: 50_000}, s.balancer.poolLoad(s.heads, s.now))
		})
	}
}

// Guards against a plan that is computed for each request, or that is kept for too long.
func TestOverload_UpdatesPlanAtInterval(t *testing.T) {
	s := newShortSim(100, demandAt(0, 1000, 0))
	s.admit(0, 1, false)
	require.True(t, s.IsShort(testPool))
	s.running, s.rates = 0, PoolRates{Starts: 100, Levels: []admission.LevelDemand{demandAt(0, 10, 0)}}
	s.report()
	s.now = s.now.Add(planInterval - time.Millisecond)
	s.admit(0, 1, false)
	require.True(t, s.IsShort(testPool))
	s.now = s.now.Add(time.Millisecond)
	s.admit(0, 1, false)
	require.False(t, s.IsShort(testPool))
}

// Guards against a pool without groups being shed instead of rejected for its own cause.
func TestOverload_AdmitsWithoutGroups(t *testing.T) {
	s := newShortSim(100, demandAt(0, 1000, 0))
	s.heads = nil
	for range 20 {
		require.True(t, s.admit(0, 1, false))
	}
	require.False(t, s.IsShort(testPool))
}

// Guards against workspaces being sent to peers only after the pool has become short.
func TestOverload_NearlyShort(t *testing.T) {
	for running, want := range map[int]bool{15: false, 16: true} {
		s := newOverloadSim(2)
		s.running = running
		require.False(t, s.NearlyShort(testPool), "no evidence")
		s.report()
		s.admit(0, 1, false)
		require.Equal(t, want, s.NearlyShort(testPool), "%d of 30 slots", running)
		require.False(t, s.IsShort(testPool))
	}
}

// Guards against a log that ends with a state which the pool has left, and against more than one
// line per second.
func TestOverload_LogsLastState(t *testing.T) {
	out := captureLog(t)
	s := newShortSim(100, demandAt(0, 1000, 0))
	s.admit(0, 1, false)
	s.running, s.rates = 0, PoolRates{Starts: 100, Levels: []admission.LevelDemand{demandAt(0, 10, 0)}}
	for range 30 {
		s.now = s.now.Add(planInterval)
		s.report()
		s.admit(0, 1, false)
	}
	require.Equal(t, 2, strings.Count(out.text.String(), "overload of a pool changed"))
	require.Equal(t, 1, strings.Count(out.text.String(), "short=true"))
	require.Equal(t, 1, strings.Count(out.text.String(), "short=false"))
}

// Guards against a minimum that outlasts the requests it comes from, or that ignores the last ones.
func TestRecentMinimum(t *testing.T) {
	start := time.Now()
	var m recentMinimum
	require.Zero(t, m.value(start))
	for _, step := range []struct {
		at          time.Duration
		value, want time.Duration
	}{
		{0, 0, 0},
		{0, 300, 300},
		{time.Second, 200, 200},
		{2 * time.Second, -5, 200},
		{2 * time.Second, 400, 200},
		{minimumWindow, 500, 200},
		{2*minimumWindow - 1, 600, 200},
		{2 * minimumWindow, 0, 500},
		{4 * minimumWindow, 0, 0},
		{4 * minimumWindow, 700, 700},
	} {
		now := start.Add(step.at)
		m.record(step.value, now)
		require.Equal(t, step.want, m.value(now), "at %s", step.at)
	}
}

// BenchmarkOverloadAdmit includes an update of the plan for each tenth of a second of simulated time,
// at a thousand requests per second.
func BenchmarkOverloadAdmit(b *testing.B) {
	var named []admission.WorkspaceDemand
	for w := range uint32(24) {
		named = append(named, admission.WorkspaceDemand{Workspace: w, Requests: float64(10 + w)})
	}
	for name, interval := range map[string]time.Duration{"with updates": time.Millisecond, "without updates": 0, "updates only": planInterval} {
		b.Run(name, func(b *testing.B) {
			s := newOverloadSim(300)
			s.running = 29
			s.rates = PoolRates{Starts: 3000, Levels: []admission.LevelDemand{demandAt(0, 1000, 100, named...), demandAt(1, 1000, 100, named...), demandAt(2, 3000, 100, named...)}}
			s.report()
			i := 0
			run := func() {
				s.peersAt, s.now = s.now, s.now.Add(interval)
				s.admit(admission.Level(i%3), uint32(i%24), i%8 == 0)
				i++
			}
			for range 1000 {
				run()
			}
			require.True(b, s.IsShort(testPool))
			b.ReportAllocs()
			for b.Loop() {
				run()
			}
		})
	}
}
