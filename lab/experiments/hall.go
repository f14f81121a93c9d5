// Package experiments measures single decisions of the pure parts on seeded
// traces: one decision part and its trace at a time, no cluster.
package experiments

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// Policy decides about a hall; placement.Planner is one.
type Policy interface {
	Step(v placement.View) []placement.Action
}

// PlacementTrace is one seeded day of a data centre.
type PlacementTrace struct {
	Seed uint64
	// Days is how long the trace runs.
	Days int
	// Domains are the sizes of the fabric domains.
	Domains []int
	// FailuresPerDay is the number of failures of one instance a day, each
	// of which keeps it away for RepairTime; RestartsPerDay come back at once.
	FailuresPerDay float64
	RestartsPerDay float64
	RepairTime     time.Duration
	// RackEvery is the time between losses of a whole domain, 0 for never.
	RackEvery time.Duration
	RackTime  time.Duration
	// Outage is a time of day at which the platform is out: no action can be
	// committed then.
	OutageAt, OutageFor time.Duration
	LoadTime            time.Duration
	Templates           []placement.Demand
	// Day scales the wanted groups by the hour.
	Day func(hour float64, want int) int
}

// PlacementResult is what a policy cost.
type PlacementResult struct {
	// Downtime is the time that wanted groups were missing, in group-minutes.
	Downtime float64
	// Stranded is the accelerators in no serving group, in accelerator-hours.
	Stranded float64
	Loads    int
	Moves    int
	// Wasted counts the loads whose instance served nothing before its next.
	Wasted int
}

const hallTick = 5 * time.Second

var hallStart = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

type machine struct {
	placement.Instance
	backAt time.Time
	loadBy time.Time
	served bool
}

// hall is the trace's state.
type hall struct {
	t        PlacementTrace
	random   *rand.Rand
	now      time.Time
	machines []*machine
	byID     map[fleet.InstanceID]*machine
	groups   map[fleet.GroupID]fleet.Group
	next     uint64
	result   PlacementResult
	rackAt   time.Time
}

// RunPlacement runs a policy over a trace.
func RunPlacement(t PlacementTrace, policy Policy) PlacementResult {
	h := &hall{
		t: t, random: rand.New(rand.NewPCG(t.Seed, 77)), now: hallStart,
		byID: map[fleet.InstanceID]*machine{}, groups: map[fleet.GroupID]fleet.Group{},
	}
	for d, size := range t.Domains {
		for i := range size {
			id := fleet.InstanceID(fmt.Sprintf("d%02d-%03d", d, i))
			m := &machine{}
			m.Instance = placement.Instance{
				Instance: fleet.Instance{ID: id, Domain: fmt.Sprintf("d%02d", d), Kind: fleet.KindEngine, Accelerators: 4, ChecksFences: true},
				Fresh:    true,
				Report:   fleet.Report{Instance: id, Incarnation: 1},
			}
			h.machines = append(h.machines, m)
			h.byID[id] = m
		}
	}
	h.rackAt = hallStart.Add(t.RackEvery)
	// The first hour, in which everything loads for the first time, is the
	// same for every policy and does not count.
	warm := hallStart.Add(time.Hour)
	end := hallStart.Add(time.Duration(t.Days) * 24 * time.Hour)
	for h.now.Before(end) {
		h.now = h.now.Add(hallTick)
		h.fail()
		h.progress()
		if !h.outage() {
			for _, a := range policy.Step(h.view()) {
				h.carryOut(a)
			}
		}
		if h.now.After(warm) {
			h.account()
		}
	}
	return h.result
}

func (h *hall) outage() bool {
	ofDay := h.now.Sub(hallStart) % (24 * time.Hour)
	return ofDay >= h.t.OutageAt && ofDay < h.t.OutageAt+h.t.OutageFor
}

// fail brings about the trace's failures. The draws do not depend on what
// the policy does, so all policies meet the same ones.
func (h *hall) fail() {
	perTick := hallTick.Hours() / 24
	for _, m := range h.machines {
		x := h.random.Float64()
		switch {
		case x < h.t.FailuresPerDay*perTick:
			h.lose(m, h.t.RepairTime)
		case x < (h.t.FailuresPerDay+h.t.RestartsPerDay)*perTick:
			h.restart(m)
		}
	}
	if h.t.RackEvery > 0 && h.now.After(h.rackAt) {
		h.rackAt = h.rackAt.Add(h.t.RackEvery)
		domain := h.machines[h.random.IntN(len(h.machines))].Domain
		for _, m := range h.machines {
			if m.Domain == domain {
				h.lose(m, h.t.RackTime)
			}
		}
	}
}

func (h *hall) lose(m *machine, away time.Duration) {
	m.Fresh = false
	m.backAt = h.now.Add(away)
}

func (h *hall) restart(m *machine) {
	h.countWasted(m)
	m.Report = fleet.Report{Instance: m.ID, Incarnation: m.Report.Incarnation + 1}
	m.loadBy = time.Time{}
	m.Fresh = true
}

// countWasted is called when weights are dropped.
func (h *hall) countWasted(m *machine) {
	if m.Report.Weights != "" && !m.served {
		h.result.Wasted++
	}
	m.served = false
}

func (h *hall) progress() {
	for _, m := range h.machines {
		if !m.Fresh {
			if !h.now.Before(m.backAt) {
				h.restart(m)
			}
			continue
		}
		if m.Report.Phase == fleet.PhaseLoading && !h.now.Before(m.loadBy) {
			m.Report.Phase = fleet.PhaseReady
			if m.Report.Group == "" {
				m.Report.Phase = fleet.PhaseIdle
			}
		}
	}
}

func (h *hall) view() placement.View {
	v := placement.View{Now: h.now}
	for _, m := range h.machines {
		v.Instances = append(v.Instances, m.Instance)
	}
	for _, g := range h.groups {
		v.Groups = append(v.Groups, g)
	}
	hour := h.now.Sub(hallStart).Hours()
	for _, d := range h.t.Templates {
		want := d.Want
		d.Want = h.t.Day(hour, want)
		d.Soon = h.t.Day(hour+h.t.LoadTime.Hours(), want)
		v.Demands = append(v.Demands, d)
	}
	return v
}

// carryOut is the ledger and the endpoints: an action on instances that are
// taken is refused.
func (h *hall) carryOut(a placement.Action) {
	if a.Kind == placement.ActionPreload {
		h.load(h.byID[a.Instance], a.Weights, "", 0)
		return
	}
	h.next++
	g := a.Group
	old := h.groups[g.ID]
	if a.Kind == placement.ActionForm {
		g.ID = fleet.GroupID(fmt.Sprintf("g%d", h.next))
	}
	if a.Kind != placement.ActionEnd && !h.free(g, old) {
		return
	}
	h.result.Moves++
	for _, m := range old.Members {
		if a.Kind == placement.ActionEnd || !g.Has(m.Instance) {
			h.release(h.byID[m.Instance])
		}
	}
	if a.Kind == placement.ActionEnd {
		delete(h.groups, g.ID)
		return
	}
	if a.Kind == placement.ActionForm || a.Kind == placement.ActionRepair {
		g.Generation = h.next
		for _, m := range g.Members {
			h.load(h.byID[m.Instance], g.Weights, g.ID, g.Generation)
		}
	}
	h.groups[g.ID] = g
}

func (h *hall) free(g, old fleet.Group) bool {
	for _, m := range g.Members {
		if old.Has(m.Instance) {
			continue
		}
		for _, other := range h.groups {
			if other.Has(m.Instance) {
				return false
			}
		}
	}
	return true
}

func (h *hall) release(m *machine) {
	if m == nil || !m.Fresh {
		return
	}
	m.Report.Phase, m.Report.Group, m.Report.Generation = fleet.PhaseIdle, "", 0
}

func (h *hall) load(m *machine, weights string, group fleet.GroupID, generation uint64) {
	if m == nil || !m.Fresh {
		return
	}
	m.Report.Group, m.Report.Generation = group, generation
	m.Report.Phase = fleet.PhaseLoading
	m.loadBy = h.now
	if m.Report.Weights != weights {
		h.countWasted(m)
		h.result.Loads++
		m.Report.Weights = weights
		m.loadBy = h.now.Add(h.t.LoadTime)
	}
}

// account adds one tick of downtime and stranded accelerators.
func (h *hall) account() {
	serving := map[string]int{}
	busy := map[fleet.InstanceID]bool{}
	for _, g := range h.groups {
		if !h.serving(g) {
			continue
		}
		if !g.Draining {
			serving[g.Template]++
		}
		for _, m := range g.Members {
			busy[m.Instance] = true
			h.byID[m.Instance].served = true
		}
	}
	hour := h.now.Sub(hallStart).Hours()
	for _, d := range h.t.Templates {
		missing := h.t.Day(hour, d.Want) - serving[d.Template]
		if missing > 0 {
			h.result.Downtime += float64(missing) * hallTick.Minutes()
		}
	}
	for _, m := range h.machines {
		if m.Fresh && !busy[m.ID] {
			h.result.Stranded += float64(m.Accelerators) * hallTick.Hours()
		}
	}
}

func (h *hall) serving(g fleet.Group) bool {
	for _, member := range g.Members {
		m := h.byID[member.Instance]
		if !m.Fresh || !g.Matches(member, m.Report) {
			return false
		}
	}
	return len(g.Members) > 0
}
