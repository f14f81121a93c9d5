package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// floodState returns the state of a pool that reads 5,600 prompt tokens per second of the 10,000 that it
// could, 0.3 s after the demand rose.
func floodState(demand ...LevelDemand) PoolState {
	return PoolState{Slots: 128, Running: 35, Unread: 2800, ReadRate: 10000, Slack: 400 * time.Millisecond,
		Starts: 56, TokensRead: 5600, Demand: demand}
}

// prompts returns a demand with 100 prompt tokens per request.
func prompts(l Level, requests float64) LevelDemand {
	return LevelDemand{Level: l, Rates: Rates{New: requests, Tokens: 100 * requests}}
}

// Guards against urgent requests being shed to correct the backlog of a flood of the least urgent
// level, and against an excess of the urgent ones that is not corrected.
func TestPlan_CorrectsBacklogAtItsLevel(t *testing.T) {
	for name, test := range map[string]struct {
		urgent, flood float64
		expected      float64 // of the urgent requests
	}{
		// 5,600 tokens/s less the excess of 1,200 in 0.5 s are 32 requests/s.
		"flood of the least urgent": {50, 60, 1},
		"excess of the urgent":      {100, 0, 0.32},
	} {
		t.Run(name, func(t *testing.T) {
			var p Plan
			s := floodState(prompts(0, test.urgent), prompts(1, test.flood))
			for range 3 {
				p.Update(s, testPolicy)
				s.Elapsed = 100 * time.Millisecond
			}
			assert.InDelta(t, test.expected, p.Fraction(0, 1, false), 0.01)
			assert.True(t, p.Short())
			if test.flood > 0 {
				assert.Less(t, p.Fraction(1, 1, false), 0.2)
			}
		})
	}
}

// Guards against the backlog of a flood counting as urgent as soon as the plan sheds the flood, before
// its prompts are read, and against the flood counting for good.
func TestPlanAhead_FollowsAdmitted(t *testing.T) {
	var p Plan
	assert.Equal(t, 1.0, p.Ahead(0), "without evidence")
	s := floodState(prompts(0, 50), prompts(1, 150))
	p.Update(s, testPolicy)
	s.Elapsed = 100 * time.Millisecond
	assert.InDelta(t, 0.25, p.Ahead(0), 0.01)
	assert.Equal(t, 1.0, p.Ahead(1))
	p.Update(s, testPolicy)
	assert.Less(t, p.Ahead(0), 0.35, "0.1 s later")
	for range 30 {
		p.Update(s, testPolicy)
	}
	assert.Greater(t, p.Ahead(0), 0.8, "3 s later")
}
