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

// routingPolicy is routing.Router or a baseline.
type routingPolicy uint8

const (
	policyRouter routingPolicy = iota
	// policyLeastReported picks the group with the lowest reported load.
	policyLeastReported
	// policyRandom picks a group at random.
	policyRandom
)

const (
	routingNodes       = 9
	routingGroups      = 9
	routingSlots       = 8
	reportLag          = 500 * time.Millisecond
	routingServiceTime = time.Second
	routingSlowdown    = 4
	routingLoad        = 0.7
	routingDuration    = 5 * time.Minute
)

// RoutingResult is the response-time percentiles of a policy.
type RoutingResult struct{ P50, P99 time.Duration }

type simGroup struct {
	slowdown  float64
	busySlots int
	queue     []func(now time.Time)
}

type routingSimulation struct {
	eventLoop
	policy        routingPolicy
	random        *rand.Rand
	groups        []*simGroup
	reported      []int
	version       uint64
	routers       []*routing.Router
	responseTimes []time.Duration
}

// RunRouting simulates a policy on nine nodes and nine groups, one of them slow,
// with delayed load reports.
func RunRouting(policy routingPolicy, seed uint64) RoutingResult {
	r := &routingSimulation{policy: policy, random: rand.New(rand.NewPCG(seed, 6)), reported: make([]int, routingGroups)}
	for i := range routingGroups {
		g := &simGroup{slowdown: 1}
		if i == 0 {
			g.slowdown = routingSlowdown
		}
		r.groups = append(r.groups, g)
	}
	for range routingNodes {
		r.routers = append(r.routers, routing.New())
	}
	r.now = simulationStart
	r.publishReports(simulationStart)
	capacity := (routingGroups - 1 + 1.0/routingSlowdown) * routingSlots / routingServiceTime.Seconds()
	r.scheduleArrivals(simulationStart, capacity*routingLoad)
	r.run(simulationStart.Add(routingDuration))
	sort.Slice(r.responseTimes, func(i, j int) bool { return r.responseTimes[i] < r.responseTimes[j] })
	return RoutingResult{r.responseTimes[len(r.responseTimes)/2], r.responseTimes[len(r.responseTimes)*99/100]}
}

// publishReports sends all nodes the loads recorded one lag ago and records the
// current ones.
func (r *routingSimulation) publishReports(now time.Time) {
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
		r.reported[i] = g.busySlots + len(g.queue)
	}
	r.schedule(now.Add(reportLag), r.publishReports)
}

func groupName(i int) fleet.GroupID { return fleet.GroupID(fmt.Sprintf("g%d", i)) }

func (r *routingSimulation) scheduleArrivals(from time.Time, rate float64) {
	gap := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	r.schedule(from.Add(gap), func(now time.Time) {
		r.send(now, r.random.IntN(routingNodes))
		r.scheduleArrivals(now, rate)
	})
}

func (r *routingSimulation) choose(now time.Time, node int) int {
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

func (r *routingSimulation) send(now time.Time, node int) {
	i := r.choose(now, node)
	g := r.groups[i]
	r.routers[node].Started(groupName(i))
	service := time.Duration((0.5 + r.random.Float64()) * float64(routingServiceTime) * g.slowdown)
	start := func(at time.Time) {
		g.busySlots++
		r.schedule(at.Add(service), func(done time.Time) {
			g.busySlots--
			r.responseTimes = append(r.responseTimes, done.Sub(now))
			r.routers[node].Finished(done, groupName(i), done.Sub(now), true)
			if len(g.queue) > 0 {
				next := g.queue[0]
				g.queue = g.queue[1:]
				next(done)
			}
		})
	}
	if g.busySlots < routingSlots {
		start(now)
		return
	}
	g.queue = append(g.queue, start)
}

// Routing prints a table of the results of all policies.
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
