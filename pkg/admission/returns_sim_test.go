package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// retry is the second request of a caller.
type retry struct {
	at         float64 // seconds
	source     int
	recognized bool // as returning
}

// callers return once, after the time that they are told when they are rejected.
type callers struct {
	constant time.Duration // return time, 0 for the schedule
	pending  []retry
	// The results: callers, those served in time by either request, those that
	// returned, and those of them that were served in time.
	all, inTime, returned, returnedInTime float64
}

// due returns the requests that come again at a time.
func (c *callers) due(now float64) []retry {
	if c == nil {
		return nil
	}
	var due []retry
	c.pending = slices.DeleteFunc(c.pending, func(r retry) bool {
		if r.at <= now {
			due = append(due, r)
		}
		return r.at <= now
	})
	return due
}

// count counts a request and schedules the next one of a caller that was
// rejected for the first time.
func (c *callers) count(s *simulation, n *simNode, source int, admitted, again bool) {
	if again {
		c.returned++
		return
	}
	c.all++
	if admitted {
		return
	}
	after := c.constant
	if after == 0 {
		now := start.Add(time.Duration(s.now * float64(time.Second)))
		after, _ = n.returns.RetryAfter(now, n.plan.Outlook(), 1/float64(len(s.nodes)), caller)
	}
	recognized := caller.Remaining-after < 4*caller.Timeout/5
	c.pending = append(c.pending, retry{s.now + after.Seconds(), source, recognized})
}

func (c *callers) countInTime(again bool) {
	c.inTime++
	if again {
		c.returnedInTime++
	}
}

// Callers that are rejected in a peak must not all return within it: scheduled
// return times must serve more of them in time than a constant one, and more
// callers in all. One seed says little, since a queue that forms early makes all later callers late.
func TestReturns_ServedInTime(t *testing.T) {
	const calm, peak, seeds = 0.6, 6, 8
	for _, demand := range []float64{1.2, 1.6} {
		for _, nodes := range []int{3, 85} {
			play := func(name string, constant time.Duration) callers {
				var sum callers
				for seed := range uint64(seeds) {
					s := newSimulation(seed, nodes, 0, workspaces(calm*simCapacity, demand/calm))
					s.policy, s.surgeEnd, s.callers = DefaultPolicy(), simCalm+peak, &callers{constant: constant}
					s.run()
					sum.add(s.callers)
				}
				t.Logf("demand %v, %d nodes, %s: %.2f of %.0f returning callers in time, %.3f of all callers",
					demand, nodes, name, sum.returnedInTime/sum.returned, sum.returned, sum.inTime/sum.all)
				return sum
			}
			before, now := play("constant", 100*ms), play("schedule", 0)
			assert.Greater(t, now.returnedInTime/now.returned, before.returnedInTime/before.returned, "demand %v, %d nodes", demand, nodes)
			assert.Greater(t, now.inTime/now.all, before.inTime/before.all, "demand %v, %d nodes", demand, nodes)
		}
	}
}

// add adds the counts of another run.
func (c *callers) add(other *callers) {
	c.all += other.all
	c.inTime += other.inTime
	c.returned += other.returned
	c.returnedInTime += other.returnedInTime
}
