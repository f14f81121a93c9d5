package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// testPolicy keeps the expected figures independent of the default settings.
var testPolicy = Policy{Occupancy: 0.85, Backlog: 0.4, Correction: 500 * time.Millisecond, MinShare: 0.05, ReturnShare: 0.15}

// overloaded returns the state of a pool of which slots admit 80 requests/s.
func overloaded(demand ...LevelDemand) PoolState {
	return PoolState{Slots: 100, Running: 95, Starts: 100, Demand: demand, ReadRate: 1000, Slack: 250 * time.Millisecond}
}

func level(l Level, requests, returning float64, workspaces ...WorkspaceDemand) LevelDemand {
	rates := Rates{New: requests - returning, Returning: returning, Tokens: 10 * requests}
	return LevelDemand{Level: l, Rates: rates, Workspaces: workspaces}
}

// A calm pool must not shed, and wrong evidence must not stop a pool for good.
func TestPlanUpdate_Limit(t *testing.T) {
	tests := []struct {
		name   string
		change func(*PoolState)
		want   float64
	}{
		{"slots short", func(*PoolState) {}, 0.4},
		{"at occupancy", func(s *PoolState) { s.Running = 85 }, 1},
		{"a fifth of the starts remains", func(s *PoolState) { s.Running = 10000 }, 0.1},
		{"no starts", func(s *PoolState) { s.Starts = 0 }, 1},
		{"no slots", func(s *PoolState) { s.Slots = 0 }, 0.1},
		{"enough for all", func(s *PoolState) { s.Starts = 300 }, 1},
		{"prompts short", func(s *PoolState) { s.TokensRead, s.Unread = 600, 150 }, 0.25},
		{"prompts at target", func(s *PoolState) { s.Running, s.TokensRead, s.Unread = 80, 600, 100 }, 1},
		{"a fifth of the tokens remains", func(s *PoolState) { s.TokensRead, s.Unread = 600, 10000 }, 0.06},
		{"least slack", func(s *PoolState) { s.Slack, s.Running, s.TokensRead, s.Unread = 0, 0, 600, 8 }, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := overloaded(level(1, 200, 0))
			test.change(&s)
			var p Plan
			p.Update(s, testPolicy)
			assert.InDelta(t, test.want, p.Fraction(1, 7, false), 1e-9)
			assert.Equal(t, test.want < 1, p.Short())
		})
	}
}

// The admissible rate must be used in full, by urgency, with a minimum for each level.
func TestPlanFraction_Classes(t *testing.T) {
	workspaces := []WorkspaceDemand{{1, 60}, {2, 10}}
	s := overloaded(level(0, 50, 0), level(1, 100, 50, workspaces...), level(2, 80, 0), level(3, 2, 0))
	var p Plan
	for range 2 { // the second time in used memory
		p.Update(s, testPolicy)
	}
	assert.Equal(t, 1.0, p.Fraction(0, 1, false))
	assert.InDelta(t, 4.0/80, p.Fraction(2, 1, false), 1e-9, "minimum of a level")
	assert.Equal(t, 1.0, p.Fraction(3, 1, false), "demand below the minimum")
	assert.Equal(t, 1.0, p.Fraction(9, 1, false), "level without demand")
	// Level 1 gets 24, of which 3.6 is for returning requests first. The rest is
	// five equal shares: workspace 1, workspace 2 and three of its size for others.
	assert.InDelta(t, 20.4/5/(60*0.964), p.Fraction(1, 1, false), 1e-9)
	assert.InDelta(t, 20.4/5/(10*0.964), p.Fraction(1, 2, false), 1e-9)
	assert.Equal(t, p.Fraction(1, 2, false), p.Fraction(1, 99, false), "workspace that is not named")
	first := 3.6 / 50
	assert.InDelta(t, first+(1-first)*p.Fraction(1, 1, false), p.Fraction(1, 1, true), 1e-9)
}

// Small demands must be met in full and nothing of the capacity be lost.
func TestMaxMinShare(t *testing.T) {
	claims := []claim{{1, 1, 1}, {2, 4, 2}, {3, 10, 1}}
	for capacity, want := range map[float64]float64{-1: 0, 0: 0, 2: 0.5, 10: 3, 14: 5, 50: 10} {
		assert.InDelta(t, want, maxMinShare(claims, capacity), 1e-9, "capacity %v", capacity)
	}
}

// Workspaces above their share must pay for the correction, others only if the
// starts don't suffice for them.
func TestDivide(t *testing.T) {
	claims := []claim{{1, 10, 2}, {2, 30, 1}, {3, 200, 1}} // the share of 100 is 50
	tests := []struct {
		name                           string
		granted, sustainable, draining float64
		small, middle, large           float64
	}{
		{"all of the sustainable rate", 100, 100, 0, 1, 1, 50.0 / 200},
		{"correction", 60, 100, 0, 1, 1, 10.0 / 200},
		{"correction beyond the large one", 40, 100, 0, 1, 20.0 / 30, 0},
		{"starts suffice for the others", 40, 100, 80, 1, 1, 0},
		{"starts suffice for some", 10, 100, 40, 1, 20.0 / 30, 0},
		{"more than the sustainable rate", 150, 100, 80, 1, 1, 100.0 / 200},
		{"nobody above the share", 100, 300, 240, 1, 1, 50.0 / 200},
		{"sustainable rate unknown", 40, math.Inf(1), 0, 1, 10.0 / 30, 10.0 / 200},
		{"nothing lasts", 40, 0, 0, 1, 10.0 / 30, 10.0 / 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := divide(claims, test.granted, test.sustainable, test.draining)
			assert.InDelta(t, test.small, s.fraction(10), 1e-9)
			assert.InDelta(t, test.middle, s.fraction(30), 1e-9)
			assert.InDelta(t, test.large, s.fraction(200), 1e-9)
		})
	}
}

// A rise of all workspaces, as after a partition, must not look like a flood of one.
func TestTrendExtrapolate(t *testing.T) {
	before := []WorkspaceDemand{{1, 40}, {2, 20}}
	tests := []struct {
		name  string
		level float64 // requests per second
		after []WorkspaceDemand
		want  float64 // of workspace 1
	}{
		{"calm", 100, before, 40},
		{"flood", 260, []WorkspaceDemand{{1, 200}, {2, 20}}, 200 + trendLead*160},
		{"within the noise", 110, []WorkspaceDemand{{1, 50}, {2, 20}}, 50},
		{"all rise", 300, []WorkspaceDemand{{1, 120}, {2, 60}}, 120},
		{"the others fall", 70, []WorkspaceDemand{{1, 40}, {2, 10}}, 40},
		{"more nodes name it", 100, []WorkspaceDemand{{1, 80}, {2, 20}}, 80},
		{"no others", 400, []WorkspaceDemand{{1, 400}}, 400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var tr trend
			for range 3 {
				tr.extrapolate([]LevelDemand{level(1, 100, 0, before...)}, 100*time.Millisecond)
			}
			d := tr.extrapolate([]LevelDemand{level(0, 5, 0), level(1, test.level, 10, test.after...)}, 100*time.Millisecond)[1]
			assert.InDelta(t, test.want, d.Workspaces[0].Requests, 1e-9)
			lead := test.want - test.after[0].Requests
			assert.InDelta(t, test.level-10+lead, d.New, 1e-9)
			assert.InDelta(t, 10*(test.level+lead), d.Tokens, 1e-9)
		})
	}
}

// The plan must not depend on a holding time from the start of a node, nor on the
// queue in front of full groups.
func TestSustainableRate(t *testing.T) {
	var c sustainableRate
	s := overloaded(level(1, 200, 0))
	s.Running, s.Elapsed = 150, minObserved/10
	for range 10 {
		assert.False(t, c.fillsSoon(&s, testPolicy, s.arrivals()))
		assert.True(t, math.IsInf(c.fraction(&s, testPolicy, s.arrivals()), 1))
		assert.Zero(t, c.drainingFraction(&s, s.arrivals(), false))
		c.observe(&s)
	}
	assert.InDelta(t, 0.85*100/200, c.fraction(&s, testPolicy, s.arrivals()), 1e-9, "a request holds a slot for 1 s")
	s.Running = 40
	assert.True(t, c.fillsSoon(&s, testPolicy, s.arrivals()))
	assert.False(t, c.fillsSoon(&s, testPolicy, Rates{New: 85}))
	assert.InDelta(t, 0.4, c.drainingFraction(&s, s.arrivals(), false), 1e-9)
}

// A stall of the groups must not leave the pool short once they start requests again, and a pool without
// usable groups or without starts must not count as short.
func TestSustainableRate_Stall(t *testing.T) {
	var c sustainableRate
	s := overloaded(level(1, 60, 0))
	s.Running, s.Starts, s.Elapsed = 60, 60, 100*time.Millisecond
	for range 20 {
		c.observe(&s)
	}
	stalled := s
	for range 20 {
		stalled.Starts *= math.Exp(-stalled.Elapsed.Seconds() / rateWindow)
		c.observe(&stalled)
	}
	assert.Greater(t, c.fraction(&s, testPolicy, s.arrivals()), 1.0)
	for _, idle := range []PoolState{{Starts: 60}, {Slots: 100}} {
		assert.True(t, math.IsInf(c.fraction(&idle, testPolicy, s.arrivals()), 1))
	}
}

// A node with three requests per second must keep to the fraction, and nodes
// must not all reject their first request.
func TestGateAdmit_KeepsToFraction(t *testing.T) {
	var p Plan
	p.Update(overloaded(level(1, 200, 0)), testPolicy)
	first, random := 0, rand.New(rand.NewPCG(1, 2))
	for range 85 {
		admitted, gate := 0, NewGate(random)
		for i := range 3 * 10 {
			if gate.Admit(&p, 1, uint32(i), false) {
				admitted++
			}
			if i == 0 {
				first += admitted
			}
		}
		assert.InDelta(t, 0.4*30, admitted, 1)
	}
	assert.InDelta(t, 0.4*85, first, 12)
}

// largeState returns the evidence of 24 workspaces at 3 levels.
func largeState() PoolState {
	s := overloaded()
	for l := range Level(3) {
		d := level(l, 100, 10)
		for i := range 24 {
			d.Workspaces = append(d.Workspaces, WorkspaceDemand{uint32(i * 7 % 24), float64(i * 5 % 17)})
		}
		s.Demand = append(s.Demand, d)
	}
	return s
}

func BenchmarkPlanUpdate(b *testing.B) {
	b.ReportAllocs()
	var p Plan
	s := largeState()
	for b.Loop() {
		p.Update(s, testPolicy)
	}
}

func BenchmarkGateAdmit(b *testing.B) {
	b.ReportAllocs()
	var p Plan
	p.Update(largeState(), testPolicy)
	gate := NewGate(rand.New(rand.NewPCG(1, 2)))
	for b.Loop() {
		gate.Admit(&p, 2, 5, false)
	}
}
