// Package experiments compares the placement, admission and routing policies
// with baselines in seeded discrete-event simulations, without a cluster.
package experiments

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// Policy plans the replica groups of a data centre; placement.Planner is one.
type Policy interface {
	Step(v placement.View) []placement.Action
}

// PlacementTrace describes the simulated failures and demand of a data centre.
type PlacementTrace struct {
	Seed uint64
	// Days is the length of the trace.
	Days int
	// Domains are the sizes of the fabric domains.
	Domains []int
	// FailuresPerDay and RestartsPerDay are rates for each instance. A failed
	// instance is down for RepairTime; a restart takes no time.
	FailuresPerDay float64
	RestartsPerDay float64
	RepairTime     time.Duration
	// RackFailureInterval is the time between failures of a domain, 0 for none.
	RackFailureInterval time.Duration
	RackRepairTime      time.Duration
	// OutageStart and OutageDuration are the daily platform outage, during which
	// no action can be committed.
	OutageStart, OutageDuration time.Duration
	LoadTime                    time.Duration
	Templates                   []placement.Demand
	// GroupsAt returns the number of groups wanted at an hour since the start, of
	// want at peak.
	GroupsAt func(hour float64, want int) int
}

// PlacementResult is the cost of a policy over a trace.
type PlacementResult struct {
	// Downtime is the time for which wanted groups were not serving, in
	// group-minutes.
	Downtime float64
	// Stranded is the time for which accelerators of healthy instances were in no
	// serving group, in accelerator-hours.
	Stranded float64
	Loads    int
	Moves    int
	// WastedLoads counts the weights that were dropped before their instance was
	// in a serving group.
	WastedLoads int
}

const tickInterval = 5 * time.Second

var simulationStart = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

type simInstance struct {
	placement.Instance
	repairedAt time.Time
	loadedAt   time.Time
	served     bool
}

type placementSimulation struct {
	trace           PlacementTrace
	random          *rand.Rand
	now             time.Time
	instances       []*simInstance
	byID            map[fleet.InstanceID]*simInstance
	groups          map[fleet.GroupID]fleet.Group
	lastID          uint64
	result          PlacementResult
	nextRackFailure time.Time
}

// RunPlacement simulates a policy over a trace.
func RunPlacement(trace PlacementTrace, policy Policy) PlacementResult {
	s := &placementSimulation{
		trace: trace, random: rand.New(rand.NewPCG(trace.Seed, 77)), now: simulationStart,
		byID: map[fleet.InstanceID]*simInstance{}, groups: map[fleet.GroupID]fleet.Group{},
	}
	for d, size := range trace.Domains {
		for i := range size {
			id := fleet.InstanceID(fmt.Sprintf("d%02d-%03d", d, i))
			m := &simInstance{}
			m.Instance = placement.Instance{
				Instance: fleet.Instance{ID: id, Domain: fmt.Sprintf("d%02d", d), Kind: fleet.KindEngine, Accelerators: 4, ChecksFences: true},
				Fresh:    true,
				Report:   fleet.Report{Instance: id, Incarnation: 1},
			}
			s.instances = append(s.instances, m)
			s.byID[id] = m
		}
	}
	s.nextRackFailure = simulationStart.Add(trace.RackFailureInterval)
	// Exclude the initial loads from the results.
	measureFrom := simulationStart.Add(time.Hour)
	end := simulationStart.Add(time.Duration(trace.Days) * 24 * time.Hour)
	for s.now.Before(end) {
		s.now = s.now.Add(tickInterval)
		s.injectFailures()
		s.advance()
		if !s.platformDown() {
			for _, a := range policy.Step(s.view()) {
				s.apply(a)
			}
		}
		if s.now.After(measureFrom) {
			s.recordUsage()
		}
	}
	return s.result
}

func (s *placementSimulation) platformDown() bool {
	ofDay := s.now.Sub(simulationStart) % (24 * time.Hour)
	return ofDay >= s.trace.OutageStart && ofDay < s.trace.OutageStart+s.trace.OutageDuration
}

// injectFailures draws the failures of one tick. The draws are independent of the
// policy, so that all policies get the same failures.
func (s *placementSimulation) injectFailures() {
	perTick := tickInterval.Hours() / 24
	for _, m := range s.instances {
		x := s.random.Float64()
		switch {
		case x < s.trace.FailuresPerDay*perTick:
			s.takeOffline(m, s.trace.RepairTime)
		case x < (s.trace.FailuresPerDay+s.trace.RestartsPerDay)*perTick:
			s.restart(m)
		}
	}
	if s.trace.RackFailureInterval > 0 && s.now.After(s.nextRackFailure) {
		s.nextRackFailure = s.nextRackFailure.Add(s.trace.RackFailureInterval)
		domain := s.instances[s.random.IntN(len(s.instances))].Domain
		for _, m := range s.instances {
			if m.Domain == domain {
				s.takeOffline(m, s.trace.RackRepairTime)
			}
		}
	}
}

func (s *placementSimulation) takeOffline(m *simInstance, repairTime time.Duration) {
	m.Fresh = false
	m.repairedAt = s.now.Add(repairTime)
}

func (s *placementSimulation) restart(m *simInstance) {
	s.countIfWasted(m)
	m.Report = fleet.Report{Instance: m.ID, Incarnation: m.Report.Incarnation + 1}
	m.loadedAt = time.Time{}
	m.Fresh = true
}

// countIfWasted is called before an instance drops its weights.
func (s *placementSimulation) countIfWasted(m *simInstance) {
	if m.Report.Weights != "" && !m.served {
		s.result.WastedLoads++
	}
	m.served = false
}

func (s *placementSimulation) advance() {
	for _, m := range s.instances {
		if !m.Fresh {
			if !s.now.Before(m.repairedAt) {
				s.restart(m)
			}
			continue
		}
		if m.Report.Phase == fleet.PhaseLoading && !s.now.Before(m.loadedAt) {
			m.Report.Phase = fleet.PhaseReady
			if m.Report.Group == "" {
				m.Report.Phase = fleet.PhaseIdle
			}
		}
	}
}

func (s *placementSimulation) view() placement.View {
	v := placement.View{Now: s.now}
	for _, m := range s.instances {
		v.Instances = append(v.Instances, m.Instance)
	}
	for _, g := range s.groups {
		v.Groups = append(v.Groups, g)
	}
	hour := s.now.Sub(simulationStart).Hours()
	for _, d := range s.trace.Templates {
		want := d.Want
		d.Want = s.trace.GroupsAt(hour, want)
		d.Soon = s.trace.GroupsAt(hour+s.trace.LoadTime.Hours(), want)
		v.Demands = append(v.Demands, d)
	}
	return v
}

// apply commits an action and updates the endpoints. Actions on instances that
// belong to another group are ignored.
func (s *placementSimulation) apply(a placement.Action) {
	if a.Kind == placement.ActionPreload {
		s.load(s.byID[a.Instance], a.Weights, "", 0)
		return
	}
	s.lastID++
	g := a.Group
	old := s.groups[g.ID]
	if a.Kind == placement.ActionForm {
		g.ID = fleet.GroupID(fmt.Sprintf("g%d", s.lastID))
	}
	if a.Kind != placement.ActionDissolve && !s.membersFree(g, old) {
		return
	}
	s.result.Moves++
	for _, m := range old.Members {
		if a.Kind == placement.ActionDissolve || !g.Has(m.Instance) {
			s.release(s.byID[m.Instance])
		}
	}
	if a.Kind == placement.ActionDissolve {
		delete(s.groups, g.ID)
		return
	}
	if a.Kind == placement.ActionForm || a.Kind == placement.ActionRepair {
		g.Generation = s.lastID
		for _, m := range g.Members {
			s.load(s.byID[m.Instance], g.Weights, g.ID, g.Generation)
		}
	}
	s.groups[g.ID] = g
}

func (s *placementSimulation) membersFree(g, old fleet.Group) bool {
	for _, m := range g.Members {
		if old.Has(m.Instance) {
			continue
		}
		for _, other := range s.groups {
			if other.Has(m.Instance) {
				return false
			}
		}
	}
	return true
}

func (s *placementSimulation) release(m *simInstance) {
	if m == nil || !m.Fresh {
		return
	}
	m.Report.Phase, m.Report.Group, m.Report.Generation = fleet.PhaseIdle, "", 0
}

func (s *placementSimulation) load(m *simInstance, weights string, group fleet.GroupID, generation uint64) {
	if m == nil || !m.Fresh {
		return
	}
	m.Report.Group, m.Report.Generation = group, generation
	m.Report.Phase = fleet.PhaseLoading
	m.loadedAt = s.now
	if m.Report.Weights != weights {
		s.countIfWasted(m)
		s.result.Loads++
		m.Report.Weights = weights
		m.loadedAt = s.now.Add(s.trace.LoadTime)
	}
}

// recordUsage adds one tick to the downtime and stranded accelerator time.
func (s *placementSimulation) recordUsage() {
	serving := map[string]int{}
	busy := map[fleet.InstanceID]bool{}
	for _, g := range s.groups {
		if !s.serving(g) {
			continue
		}
		if !g.Draining {
			serving[g.Template]++
		}
		for _, m := range g.Members {
			busy[m.Instance] = true
			s.byID[m.Instance].served = true
		}
	}
	hour := s.now.Sub(simulationStart).Hours()
	for _, d := range s.trace.Templates {
		missing := s.trace.GroupsAt(hour, d.Want) - serving[d.Template]
		if missing > 0 {
			s.result.Downtime += float64(missing) * tickInterval.Minutes()
		}
	}
	for _, m := range s.instances {
		if m.Fresh && !busy[m.ID] {
			s.result.Stranded += float64(m.Accelerators) * tickInterval.Hours()
		}
	}
}

func (s *placementSimulation) serving(g fleet.Group) bool {
	for _, member := range g.Members {
		m := s.byID[member.Instance]
		if !m.Fresh || !g.Matches(member, m.Report) {
			return false
		}
	}
	return len(g.Members) > 0
}
