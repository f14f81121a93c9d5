package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	simStep         = 10 * time.Millisecond
	simLoadInterval = 100 * time.Millisecond
	// simLoadRounds is after how many load intervals a node knows the loads of others.
	simLoadRounds = 3
	simFirstEvent = 50 * time.Millisecond
	simDuration   = 500 * time.Millisecond
	simIdleLimit  = 1500 * time.Millisecond
	simPrompt     = 674
)

var simPool = directory.Pool{Service: "llm", Model: "m"}

// simRun is a request of a simulation in flight at a head.
type simRun struct {
	request *activeRequest
	address string
	first   time.Time
	end     time.Time
}

// simNode is one node of a simulation with its connections.
type simNode struct {
	balancer *Balancer
	demand   *Demand
	rate     float64
	next     time.Time
	running  []simRun
	// idle has the times at which idle connections expire, by address.
	idle map[string][]time.Time
}

// simReport has the loads of all nodes together and of each node at one time.
type simReport struct {
	total map[serving.EndpointID]PeerLoad
	own   []map[serving.EndpointID]PeerLoad
}

// simulation runs requests of many nodes before the heads of one data centre, with the real draw.
type simulation struct {
	heads  []*directory.Head
	nodes  []*simNode
	random *rand.Rand
	// reports are the loads at the last rounds, oldest first.
	reports []simReport
	// chosen counts requests by head; opened counts new connections.
	chosen   map[serving.EndpointID]int
	requests int
	opened   int
}

func simHeads(n int) []*directory.Head {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, PerSequence: 45 * time.Microsecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	var heads []*directory.Head
	for i := range n {
		id := fmt.Sprintf("i-%04d", i)
		heads = append(heads, &directory.Head{Endpoint: &serving.Endpoint{ID: serving.EndpointID(id), Address: id, Service: simPool.Service, DataCentre: "north", Slots: 30},
			Model: serving.Model{Name: simPool.Model}, Engine: engine, TimeFactor: 0.6})
	}
	return heads
}

// newSimulation returns a simulation of nodes with the given requests per second.
func newSimulation(heads int, rates []float64, affinity float64, start time.Time) *simulation {
	weights := DefaultWeights
	weights.Affinity = affinity
	s := &simulation{heads: simHeads(heads), random: rand.New(rand.NewPCG(1, 2)), chosen: map[serving.EndpointID]int{}}
	for i, rate := range rates {
		n := &simNode{balancer: NewBalancer("north", rand.NewPCG(uint64(i), 1), weights), demand: NewDemand(), rate: rate, idle: map[string][]time.Time{}}
		n.balancer.SetAffinitySources(AffinitySources{Node: fmt.Sprintf("n%d", i), Demand: n.demand.Requests, HasIdle: n.hasIdle})
		n.next = start.Add(s.gap(rate))
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (s *simulation) gap(rate float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

func (n *simNode) hasIdle(address string, now time.Time) bool {
	return slices.ContainsFunc(n.idle[address], now.Before)
}

// run simulates the given time, and counts only after warmUp.
func (s *simulation) run(start time.Time, warmUp, length time.Duration) {
	for at := time.Duration(0); at < length; at += simStep {
		now := start.Add(at)
		if at == warmUp {
			clear(s.chosen)
			s.requests, s.opened = 0, 0
		}
		if at%simLoadInterval == 0 {
			s.exchangeLoads()
		}
		for _, n := range s.nodes {
			n.advance(now)
			for ; !n.next.After(now); n.next = n.next.Add(s.gap(n.rate)) {
				s.request(n, now)
			}
		}
	}
}

// exchangeLoads gives each node the loads that the others had simLoadRounds ago.
func (s *simulation) exchangeLoads() {
	report := simReport{total: map[serving.EndpointID]PeerLoad{}}
	for _, n := range s.nodes {
		own := map[serving.EndpointID]PeerLoad{}
		for id, l := range n.balancer.loads {
			own[id] = PeerLoad{Running: l.running, Unread: l.unread}
			report.total[id] = report.total[id].Add(own[id])
		}
		report.own = append(report.own, own)
	}
	s.reports = append(s.reports, report)
	if len(s.reports) <= simLoadRounds {
		return
	}
	known := s.reports[0]
	s.reports = s.reports[1:]
	for i, n := range s.nodes {
		others := map[serving.EndpointID]PeerLoad{}
		for id, total := range known.total {
			own := known.own[i][id]
			others[id] = PeerLoad{Running: total.Running - own.Running, Unread: total.Unread - own.Unread}
		}
		n.balancer.SetPeerLoads(others)
	}
}

// advance delivers the events that are due, and ends requests.
func (n *simNode) advance(now time.Time) {
	n.running = slices.DeleteFunc(n.running, func(r simRun) bool {
		if r.request.prefilling && !now.Before(r.first) {
			r.request.recordEvent(now)
		}
		if now.Before(r.end) {
			return false
		}
		r.request.end()
		n.idle[r.address] = append(n.idle[r.address], now.Add(simIdleLimit))
		return true
	})
}

// request sends one request of a node.
func (s *simulation) request(n *simNode, now time.Time) {
	size := RequestSize{Prompt: simPrompt, Objective: 200 * time.Millisecond}
	n.demand.RecordRequest(simPool, 0, now)
	h := n.balancer.ChooseHead(s.heads, size, nil, false, now).Head
	if h == nil {
		return
	}
	s.requests++
	s.chosen[h.ID]++
	idle := slices.DeleteFunc(n.idle[h.Address], func(expiry time.Time) bool { return !now.Before(expiry) })
	if len(idle) == 0 {
		s.opened++
	} else {
		idle = idle[:len(idle)-1]
	}
	n.idle[h.Address] = idle
	n.running = append(n.running, simRun{n.balancer.begin(h.Endpoint, size, now), h.Address, now.Add(simFirstEvent), now.Add(simDuration)})
}

// busiest returns the requests of the busiest head relative to the mean.
func (s *simulation) busiest() float64 {
	most := 0
	for _, n := range s.chosen {
		most = max(most, n)
	}
	return float64(most) * float64(len(s.heads)) / float64(s.requests)
}

func (s *simulation) openedPerRequest() float64 { return float64(s.opened) / float64(s.requests) }
