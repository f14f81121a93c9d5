package experiments

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/routing"
)

// routingPolicy is the router, or a plain baseline.
type routingPolicy uint8

const (
	policyRouter routingPolicy = iota
	// policyLeastReported sends to the group that last reported least.
	policyLeastReported
	// policyRandom sends anywhere.
	policyRandom
)

const (
	routingNodes  = 9
	routingGroups = 9
	routingSlots  = 8
	routingLag    = 500 * time.Millisecond
	routingTime   = time.Second
	routingSlow   = 4
	routingLoad   = 0.7
	routingLength = 5 * time.Minute
)

// RoutingResult is the response times that a policy gave.
type RoutingResult struct{ P50, P99 time.Duration }

type simGroup struct {
	slow  float64
	busy  int
	queue []func(now time.Time)
}

type routingRun struct {
	clock
	policy   routingPolicy
	random   *rand.Rand
	groups   []*simGroup
	reported []int
	version  uint64
	routers  []*routing.Router
	times    []time.Duration
}

// RunRouting runs a policy on nine nodes before nine groups, one of which is
// slow, with load reports that are late.
func RunRouting(policy routingPolicy, seed uint64) RoutingResult {
	r := &routingRun{policy: policy, random: rand.New(rand.NewPCG(seed, 6)), reported: make([]int, routingGroups)}
	for i := range routingGroups {
		g := &simGroup{slow: 1}
		if i == 0 {
			g.slow = routingSlow
		}
		r.groups = append(r.groups, g)
	}
	for range routingNodes {
		r.routers = append(r.routers, routing.New())
	}
	r.now = hallStart
	r.report(hallStart)
	capacity := (routingGroups - 1 + 1.0/routingSlow) * routingSlots / routingTime.Seconds()
	r.arrivals(hallStart, capacity*routingLoad)
	r.run(hallStart.Add(routingLength))
	sort.Slice(r.times, func(i, j int) bool { return r.times[i] < r.times[j] })
	return RoutingResult{r.times[len(r.times)/2], r.times[len(r.times)*99/100]}
}

// report tells all nodes the load as it was one lag ago.
func (r *routingRun) report(now time.Time) {
	r.version++
	var targets []routing.Target
	for i := range r.groups {
		targets = append(targets, routing.Target{
			Group: groupName(i), Pool: "p", Slots: routingSlots, Load: r.reported[i], ReportVersion: r.version, Until: now.Add(time.Hour),
		})
	}
	for _, router := range r.routers {
		router.SetTargets(targets)
	}
	for i, g := range r.groups {
		r.reported[i] = g.busy + len(g.queue)
	}
	r.at(now.Add(routingLag), r.report)
}

func groupName(i int) fleet.GroupID { return fleet.GroupID(fmt.Sprintf("g%d", i)) }

func (r *routingRun) arrivals(from time.Time, rate float64) {
	gap := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	r.at(from.Add(gap), func(now time.Time) {
		r.send(now, r.random.IntN(routingNodes))
		r.arrivals(now, rate)
	})
}

func (r *routingRun) choose(now time.Time, node int) int {
	switch r.policy {
	case policyLeastReported:
		best := 0
		for i, n := range r.reported {
			if n < r.reported[best] {
				best = i
			}
		}
		return best
	case policyRandom:
		return r.random.IntN(routingGroups)
	}
	t, _ := r.routers[node].Choose(now, routing.Request{Pool: "p", Random: r.random.Uint64()})
	var i int
	_, _ = fmt.Sscanf(string(t.Group), "g%d", &i)
	return i
}

func (r *routingRun) send(now time.Time, node int) {
	i := r.choose(now, node)
	g := r.groups[i]
	r.routers[node].Started(groupName(i))
	service := time.Duration((0.5 + r.random.Float64()) * float64(routingTime) * g.slow)
	start := func(at time.Time) {
		g.busy++
		r.at(at.Add(service), func(done time.Time) {
			g.busy--
			r.times = append(r.times, done.Sub(now))
			r.routers[node].Finished(done, groupName(i), done.Sub(now), true)
			if len(g.queue) > 0 {
				next := g.queue[0]
				g.queue = g.queue[1:]
				next(done)
			}
		})
	}
	if g.busy < routingSlots {
		start(now)
		return
	}
	g.queue = append(g.queue, start)
}

// Routing prints the policies side by side.
func Routing(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tp50\tp99\t")
	for _, row := range []struct {
		name   string
		policy routingPolicy
	}{{"ridgehinge", policyRouter}, {"least reported load", policyLeastReported}, {"random", policyRandom}} {
		res := RunRouting(row.policy, 1)
		fmt.Fprintf(w, "%s\t%s\t%s\t\n", row.name, res.P50.Round(time.Millisecond), res.P99.Round(time.Millisecond))
	}
	_ = w.Flush()
}
