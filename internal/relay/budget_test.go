package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/standin/retrylog"
)

// The retry budget of all nodes together: retries up to a fifth of the requests of any window, plus
// the slack.
const (
	testRatio  = 0.2
	testSlack  = 136
	testWindow = 10 * time.Second
	testNodes  = 9
)

var testBudget = retrylog.Budget{Ratio: testRatio, Slack: testSlack, Window: testWindow}

// crashSchedule reports whether a node crashes at a step; it restarts after restartDelay.
type crashSchedule func(random *rand.Rand, step, node int) bool

const (
	stepDuration    = 50 * time.Millisecond
	simulationSteps = 800
	// maxRequestsPerStep is the maximum number of requests of a node in a step; the mean is
	// half of it.
	maxRequestsPerStep = 2
	restartDelay       = 500 * time.Millisecond
)

// loadPattern returns the factor by which the load is multiplied at a step.
type loadPattern func(step int) int

// steadyLoad and burstLoad are load patterns; burstLoad triples the load for three of every eight seconds.
func steadyLoad(int) int { return 1 }

func burstLoad(step int) int {
	if step%stepAt(8*time.Second) < stepAt(3*time.Second) {
		return 3
	}
	return 1
}

// stepAt returns the step at a time of the simulation.
func stepAt(t time.Duration) int { return int(t / stepDuration) }

// cluster is a number of nodes that receive requests.
type cluster struct {
	nodes int
	// stepsPerRequest is the mean number of steps between a node's requests.
	stepsPerRequest int
	// retryFraction is the fraction of requests that ask for a retry.
	retryFraction float64
}

// nineNodes ask for a retry of every request.
var nineNodes = cluster{nodes: testNodes, stepsPerRequest: 1, retryFraction: 1}

// simulate runs a cluster whose nodes crash by a schedule and retry what they may from second 12 on.
func simulate(seed uint64, c cluster, pattern loadPattern, crashed crashSchedule) *retrylog.Log {
	random := rand.New(rand.NewPCG(seed, 0))
	chance := rand.New(rand.NewPCG(seed, 1))
	begin := func() *Budget {
		b := NewBudget(testRatio, testSlack, testWindow, c.nodes)
		b.randFloat = chance.Float64
		return b
	}
	log := &retrylog.Log{}
	budgets := make([]*Budget, c.nodes)
	crashedAt := make([]time.Time, c.nodes)
	for node := range budgets {
		budgets[node] = begin()
	}
	for step := range simulationSteps {
		time.Sleep(stepDuration)
		now := time.Now()
		for node := range budgets {
			switch {
			case crashed(random, step, node):
				budgets[node], crashedAt[node] = nil, now
			case budgets[node] == nil && now.Sub(crashedAt[node]) >= restartDelay:
				budgets[node] = begin()
			}
			budget := budgets[node]
			if budget == nil || c.stepsPerRequest > 1 && random.IntN(c.stepsPerRequest) > 0 {
				continue
			}
			for range pattern(step) * random.IntN(maxRequestsPerStep+1) {
				budget.RecordRequest("llm", now)
				log.RecordRequest(now)
				wanted := c.retryFraction >= 1 || random.Float64() < c.retryFraction
				if wanted && step >= stepAt(12*time.Second) && acquireRetry(budget, "llm", now) {
					log.RecordRetry(now)
				}
			}
		}
	}
	return log
}

func noCrashes(*rand.Rand, int, int) bool { return false }

func allCrashAt(step int) crashSchedule {
	return func(_ *rand.Rand, now, _ int) bool { return now == step }
}

// With many nodes, each has less than one whole retry. Guards against the budget then granting far
// fewer retries than are asked for, also after all nodes have restarted.
func TestBudget_GrantsRetriesAtManyNodes(t *testing.T) {
	manyNodes := cluster{nodes: 300, stepsPerRequest: 20, retryFraction: 0.05}
	for _, test := range []struct {
		name        string
		crashed     crashSchedule
		minFraction float64
	}{
		{"aged processes", noCrashes, 0.6},
		{"all crash at the start", allCrashAt(stepAt(11 * time.Second)), 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := simulate(1, manyNodes, steadyLoad, test.crashed)
				retries, requests := log.Counts()
				wanted := manyNodes.retryFraction * float64(requests) * 28 / 40
				t.Logf("%d of about %.0f wanted retries", retries, wanted)
				require.Greater(t, float64(retries), test.minFraction*wanted)
				require.LessOrEqual(t, log.Worst(testBudget).Excess(), 0.0)
			})
		})
	}
}

// Retries that are granted by a random draw must stay within the bound, even when every node asks
// for all it can get.
func TestBudget_BoundsProbabilisticRetries(t *testing.T) {
	for _, c := range []cluster{{nodes: 300, stepsPerRequest: 20, retryFraction: 1}, {nodes: 100, stepsPerRequest: 5, retryFraction: 1}, {nodes: 30, stepsPerRequest: 2, retryFraction: 1}} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d nodes, seed %d", c.nodes, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					for _, pattern := range []loadPattern{steadyLoad, burstLoad} {
						for _, crashed := range []crashSchedule{noCrashes, allCrashAt(stepAt(17 * time.Second))} {
							worst := simulate(seed, c, pattern, crashed).Worst(testBudget)
							require.Less(t, worst.Excess(), -0.05*worst.Allowed, "%s: the margin is much larger than random variation", worst)
						}
					}
				})
			})
		}
	}
}

// Guards against restarted nodes spending their share of the slack once per incarnation, which
// exceeds the budget of the cluster.
func TestBudget_BoundsRetriesAcrossRestarts(t *testing.T) {
	all := func(times ...time.Duration) crashSchedule {
		return func(_ *rand.Rand, step, _ int) bool {
			for _, crashAt := range times {
				if step == stepAt(crashAt) {
					return true
				}
			}
			return false
		}
	}
	for _, test := range []struct {
		name    string
		crashed crashSchedule
	}{
		{"none", all()},
		{"all at once", all(17 * time.Second)},
		{"all at once, after they have spent the maximum", all(12500 * time.Millisecond)},
		{"all, twice", all(17*time.Second, 20*time.Second)},
		{"all, four times", all(13*time.Second, 15*time.Second, 17*time.Second, 19*time.Second)},
		{"in rotation", func(_ *rand.Rand, step, node int) bool {
			return step >= stepAt(12*time.Second) && step%stepAt(9*time.Second) == node*stepAt(time.Second)
		}},
		{"at random, each every four seconds", func(random *rand.Rand, _, _ int) bool { return random.IntN(stepAt(4*time.Second)) == 0 }},
		{"half of them at random", func(random *rand.Rand, step, _ int) bool {
			return step%stepAt(3*time.Second) == 0 && random.IntN(2) == 0
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(5) {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						require.LessOrEqual(t, simulate(seed, nineNodes, steadyLoad, test.crashed).Worst(testBudget).Excess(), 0.0, "retries over the bound in the worst window")
						require.LessOrEqual(t, simulate(seed, nineNodes, burstLoad, test.crashed).Worst(testBudget).Excess(), 0.0, "the same under burst load")
					})
				})
			}
		})
	}
}

// deterministicBudget returns a budget that grants only whole retries.
func deterministicBudget(ratio, slack float64, nodes int) *Budget {
	b := NewBudget(ratio, slack, testWindow, nodes)
	b.randFloat = nil
	return b
}

// agedBudget returns a deterministic budget whose process has run for two windows.
func agedBudget(ratio, slack float64, nodes int) *Budget {
	b := deterministicBudget(ratio, slack, nodes)
	b.start = b.start.Add(-2 * testWindow)
	return b
}

// countGranted returns how many of a hundred retries are granted at once.
func countGranted(b *Budget, now time.Time) int {
	n := 0
	for range 100 {
		if acquireRetry(b, "llm", now) {
			n++
		}
	}
	return n
}

func TestBudget_BoundsRetries(t *testing.T) {
	b := agedBudget(0.2, 20, 2)
	now := time.Now()
	for range 100 {
		b.RecordRequest("llm", now)
	}
	// 2/3 x 0.2 x 100 are earned, 0.85 x 20 / 2 are slack.
	require.Equal(t, 13+8, countGranted(b, now))
	require.Zero(t, countGranted(b, now.Add(9*time.Second)))
	// The slack is restored after the window, and nothing is earned.
	require.Equal(t, 8, countGranted(b, now.Add(12*time.Second)))
	// More nodes share the slack; the number never falls.
	b.SetNodes(10)
	b.SetNodes(3)
	require.Equal(t, 10, b.nodes)
	require.Equal(t, 1, countGranted(b, now.Add(24*time.Second)))
}

func TestBudget_EarnedRetriesExpire(t *testing.T) {
	b := deterministicBudget(0.2, 0, 1)
	now := time.Now()
	for range 100 {
		b.RecordRequest("llm", now)
	}
	require.True(t, acquireRetry(b, "llm", now.Add(4*time.Second)))
	require.False(t, acquireRetry(b, "llm", now.Add(5*time.Second)))
}

func TestBudget_WithholdsSlackAfterStart(t *testing.T) {
	b := deterministicBudget(0.2, 20, 2)
	now := time.Now()
	require.Zero(t, countGranted(b, now))
	for range 10 {
		b.RecordRequest("llm", now)
	}
	require.Equal(t, 1, countGranted(b, now), "it may spend what its own requests have earned")
	require.Zero(t, countGranted(b, now.Add(9900*time.Millisecond)))
	require.Equal(t, 8, countGranted(b, now.Add(10100*time.Millisecond)))
}

func TestBudget_IsPerService(t *testing.T) {
	b := agedBudget(0.2, 20, 2)
	now := time.Now()
	require.Equal(t, 8, countGranted(b, now))
	require.True(t, acquireRetry(b, "shop", now))
	state := b.Tightest(now)
	require.Equal(t, 8, state.Retries)
	require.InDelta(t, 8.5, state.Allowed(), 1e-9)
}

func TestBudget_ToleratesTimesOutOfOrder(t *testing.T) {
	b := agedBudget(0, 100, 1)
	now := time.Now()
	b.RecordRequest("llm", now)
	// Goroutines read the clock before they take the lock.
	b.RecordRequest("llm", now.Add(-time.Second))
	require.True(t, acquireRetry(b, "llm", now.Add(-2*time.Second)))
	require.True(t, acquireRetry(b, "llm", now.Add(time.Second)))
}

func acquireRetry(b *Budget, service string, now time.Time) bool {
	_, granted := b.AcquireRetry(service, now)
	return granted
}

func TestRefund_RestoresBudget(t *testing.T) {
	start := time.Now()
	b := NewBudget(0.2, 2, 10*time.Second, 1)
	b.randFloat = nil
	now := start.Add(20 * time.Second)
	for range 8 {
		b.RecordRequest("llm", now)
	}
	before := b.State("llm", now)
	for range 50 {
		charge, granted := b.AcquireRetry("llm", now)
		require.True(t, granted)
		b.Refund("llm", charge, now)
	}
	after := b.State("llm", now)
	require.InDelta(t, before.Earned, after.Earned, 1e-9)
	require.InDelta(t, before.Slack, after.Slack, 1e-9)
	require.Equal(t, before.Retries, after.Retries)
	b.Refund("llm", Charge{}, now)
	require.Equal(t, after, b.State("llm", now))
}
