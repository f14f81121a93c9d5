// Package placement decides which instances form each replica group of a data centre, and when
// groups are repaired, added, rolled or dissolved.
//
// Planner.Step turns one view of the data centre into a list of actions. The caller commits
// each action in a transaction that checks every instance row again, so a stale view wastes a
// step but is otherwise harmless.
//
// A step proceeds by urgency: it repairs groups, forms missing groups, rolls versions, and
// then uses or keeps the remaining instances. One objective weighs group downtime against
// stranded accelerators with the two weights of the template.
//
// Planner is pure: it has no clock, goroutine, socket or random source.
package placement

import (
	"sort"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Instance is one endpoint as the planner sees it.
type Instance struct {
	fleet.Instance
	// Fresh reports whether the evidence for Report has not expired.
	Fresh  bool
	Report fleet.Report
}

// Demand is what one template needs in the data centre.
type Demand struct {
	Template string
	Weights  string
	Role     fleet.Role
	Size     int
	// Want is the number of groups needed now, and Soon the number needed when a group that is
	// started now would be ready.
	Want           int
	Soon           int
	WeightDowntime float64
	WeightStranded float64
}

// target is the number of groups to have or to be building now.
func (d Demand) target() int { return max(d.Want, d.Soon) }

// View is the input of a step.
type View struct {
	Now       time.Time
	Instances []Instance
	Groups    []fleet.Group
	Demands   []Demand
}

// Options of a Planner.
type Options struct {
	// LostGrace is how long a member may be without evidence before another instance replaces
	// it. A shorter pause costs less than a load of weights.
	LostGrace time.Duration
	// WarmGrace is the grace where a spare already has the weights in memory, so that
	// replacing the member is cheap.
	WarmGrace time.Duration
	// RestartGrace is how long a group without a replacement waits for its member to restart
	// before the remaining members are used elsewhere.
	RestartGrace time.Duration
	// SettleTime is how long every entry instance may take to see a change of a group. A group
	// drains for at least this time before it is dissolved, and serves for at least this time
	// before another group of its template may be drained.
	SettleTime time.Duration
	// ShrinkAfter is how long a template must have surplus groups before one is drained.
	ShrinkAfter time.Duration
	// LoadBudget is how many instances may load weights at once.
	LoadBudget int
	// LoadTime is the expected time of one load from the weight store.
	LoadTime time.Duration
	// DrainTime is the expected time until a draining group is empty.
	DrainTime time.Duration
	// FailuresPerHour is the expected rate of failures and restarts of one instance.
	FailuresPerHour float64
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		LostGrace:       2 * time.Second,
		WarmGrace:       200 * time.Millisecond,
		RestartGrace:    2 * time.Minute,
		SettleTime:      4 * time.Second,
		ShrinkAfter:     time.Minute,
		LoadBudget:      16,
		LoadTime:        90 * time.Second,
		DrainTime:       30 * time.Second,
		FailuresPerHour: 830.0 / 24 / 11000,
	}
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of action.
const (
	// ActionForm starts a new group.
	ActionForm ActionKind = iota
	// ActionRepair replaces the missing members of a group.
	ActionRepair
	// ActionDrain stops new requests to a group.
	ActionDrain
	// ActionDissolve dissolves a group.
	ActionDissolve
	// ActionPreload loads weights on a spare instance.
	ActionPreload
)

// String returns the kind in lower case for logs.
func (k ActionKind) String() string {
	return [...]string{"form", "repair", "drain", "end", "preload"}[k]
}

// Action is one decision. Group is the complete group after the action; the caller fills in
// epoch, generation and revision.
type Action struct {
	Kind  ActionKind
	Group fleet.Group
	// Instance and Weights are set for ActionPreload.
	Instance fleet.InstanceID
	Weights  string
	// Reason is a short clause for the log.
	Reason string
}

// Planner keeps the state between steps.
type Planner struct {
	options Options
	// staleSince is when the evidence for an instance expired.
	staleSince map[fleet.InstanceID]time.Time
	// surplusSince is when a template began to exceed its target.
	surplusSince map[string]time.Time
	// drainingSince is when a group began to drain.
	drainingSince map[fleet.GroupID]time.Time
	// brokenSince is when a group lost a member.
	brokenSince map[fleet.GroupID]time.Time
	// servingSince is when a group began to serve without interruption.
	servingSince map[fleet.GroupID]time.Time
}

// New returns a planner without state.
func New(options Options) *Planner {
	return &Planner{
		options:       options,
		staleSince:    map[fleet.InstanceID]time.Time{},
		surplusSince:  map[string]time.Time{},
		drainingSince: map[fleet.GroupID]time.Time{},
		brokenSince:   map[fleet.GroupID]time.Time{},
		servingSince:  map[fleet.GroupID]time.Time{},
	}
}

// Step returns the actions for one view.
func (p *Planner) Step(v View) []Action {
	s := newStep(p, v)
	s.trackStale()
	s.classify()
	s.dissolveDrainedGroups()
	s.repair()
	s.drainForDrainingMembers()
	s.grow()
	s.roll()
	s.shrink()
	s.useSurplus()
	s.preload()
	return s.actions
}

// step is the working state of one Step.
type step struct {
	p         *Planner
	v         View
	instances map[fleet.InstanceID]*Instance
	// free lists the instances of each domain that are in no group and not yet used in this
	// step.
	free    map[string][]*Instance
	domains []string
	groups  []*groupState
	demands []Demand
	// loading counts the loads in flight, including those started in this step.
	loading int
	actions []Action
}

// groupState is a group with its state in this step.
type groupState struct {
	fleet.Group
	// missing are the members that must be replaced.
	missing []fleet.InstanceID
	// inGrace is the number of members without evidence whose grace has not passed.
	inGrace        int
	memberDraining bool
	dissolved      bool
	changed        bool
}

func newStep(p *Planner, v View) *step {
	s := &step{p: p, v: v, instances: map[fleet.InstanceID]*Instance{}, free: map[string][]*Instance{}}
	owned := map[fleet.InstanceID]bool{}
	for _, g := range v.Groups {
		if g.Deleted {
			continue
		}
		s.groups = append(s.groups, &groupState{Group: g})
		for _, m := range g.Members {
			owned[m.Instance] = true
		}
	}
	sort.Slice(s.groups, func(i, j int) bool { return s.groups[i].ID < s.groups[j].ID })
	for i := range v.Instances {
		s.addInstance(&v.Instances[i], owned)
	}
	for domain, list := range s.free {
		s.domains = append(s.domains, domain)
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	sort.Strings(s.domains)
	s.demands = append([]Demand(nil), v.Demands...)
	sort.Slice(s.demands, func(i, j int) bool { return s.demands[i].Template < s.demands[j].Template })
	return s
}

func (s *step) addInstance(in *Instance, owned map[fleet.InstanceID]bool) {
	if in.Kind != fleet.KindEngine {
		return
	}
	s.instances[in.ID] = in
	if in.Fresh && in.Report.Phase == fleet.PhaseLoading {
		s.loading++
	}
	if !owned[in.ID] && in.Fresh && !in.isDraining() {
		s.free[in.Domain] = append(s.free[in.Domain], in)
	}
}

func (in *Instance) isDraining() bool {
	return in.Draining || in.Fresh && in.Report.Draining
}

// trackStale records when the evidence for each instance expired.
func (s *step) trackStale() {
	for id, in := range s.instances {
		if in.Fresh {
			delete(s.p.staleSince, id)
			continue
		}
		if _, ok := s.p.staleSince[id]; !ok {
			s.p.staleSince[id] = s.v.Now
		}
	}
	for id := range s.p.staleSince {
		if s.instances[id] == nil {
			delete(s.p.staleSince, id)
		}
	}
}

// classify determines which members of each group are missing or draining.
func (s *step) classify() {
	present := map[fleet.GroupID]bool{}
	for _, g := range s.groups {
		present[g.ID] = true
		for _, m := range g.Members {
			s.classifyMember(g, m)
		}
		trackSince(s.p.brokenSince, g.ID, len(g.missing) > 0, s.v.Now)
		trackSince(s.p.drainingSince, g.ID, g.Draining, s.v.Now)
		trackSince(s.p.servingSince, g.ID, s.serving(g), s.v.Now)
	}
	for _, since := range []map[fleet.GroupID]time.Time{s.p.brokenSince, s.p.drainingSince, s.p.servingSince} {
		for id := range since {
			if !present[id] {
				delete(since, id)
			}
		}
	}
}

// trackSince records when a condition of a group became true, and clears the record while it
// is false.
func trackSince(since map[fleet.GroupID]time.Time, id fleet.GroupID, active bool, now time.Time) {
	if !active {
		delete(since, id)
		return
	}
	if _, ok := since[id]; !ok {
		since[id] = now
	}
}

func (s *step) classifyMember(g *groupState, m fleet.Member) {
	in := s.instances[m.Instance]
	switch {
	case in == nil:
		// The platform's list lags, but it never omits a running instance.
		g.missing = append(g.missing, m.Instance)
	case in.Fresh && in.Report.Incarnation != m.Incarnation:
		// It restarted and lost its part of the model.
		g.missing = append(g.missing, m.Instance)
	case !in.Fresh && s.v.Now.Sub(s.p.staleSince[m.Instance]) >= s.grace(g):
		g.missing = append(g.missing, m.Instance)
	case !in.Fresh:
		g.inGrace++
	case in.isDraining():
		g.memberDraining = true
	}
}

// grace is how long a member of a group may be without evidence.
func (s *step) grace(g *groupState) time.Duration {
	for _, in := range s.free[g.Domain] {
		if !needsLoad(in, g.Weights) {
			return s.p.options.WarmGrace
		}
	}
	return s.p.options.LostGrace
}

func (s *step) add(a Action) { s.actions = append(s.actions, a) }

// dissolveDrainedGroups dissolves draining groups that are empty.
func (s *step) dissolveDrainedGroups() {
	for _, g := range s.groups {
		if !g.Draining || g.dissolved {
			continue
		}
		if s.v.Now.Sub(s.p.drainingSince[g.ID]) < s.p.options.SettleTime {
			continue
		}
		if len(g.missing) > 0 || s.isIdle(g) {
			s.dissolve(g, "it has drained")
		}
	}
}

// isIdle reports whether the leader has no requests. Without evidence the group is assumed to
// be busy.
func (s *step) isIdle(g *groupState) bool {
	in := s.instances[g.Leader()]
	return in != nil && in.Fresh && in.Report.Load == 0
}

// dissolve dissolves a group and returns its live members to the free list.
func (s *step) dissolve(g *groupState, reason string) {
	g.dissolved = true
	g.changed = true
	s.add(Action{Kind: ActionDissolve, Group: g.Group, Reason: reason})
	for _, m := range g.Members {
		in := s.instances[m.Instance]
		if in != nil && in.Fresh && !in.isDraining() {
			s.free[in.Domain] = append(s.free[in.Domain], in)
		}
	}
	if _, ok := s.free[g.Domain]; ok {
		s.addDomain(g.Domain)
	}
}

func (s *step) addDomain(domain string) {
	i := sort.SearchStrings(s.domains, domain)
	if i < len(s.domains) && s.domains[i] == domain {
		return
	}
	s.domains = append(s.domains, domain)
	sort.Strings(s.domains)
}

func (s *step) demand(template string) (Demand, bool) {
	for _, d := range s.demands {
		if d.Template == template {
			return d, true
		}
	}
	return Demand{}, false
}

// needsLoad reports whether the instance must load the weights from the weight store.
func needsLoad(in *Instance, weights string) bool {
	return in.Report.Weights != weights
}

// withinBudget reports whether a number of further loads may start. A group larger than the
// whole budget may load if nothing else does.
func (s *step) withinBudget(more int) bool {
	return more == 0 || s.loading == 0 || s.loading+more <= s.p.options.LoadBudget
}

// pick takes count instances from a domain's free list, preferring those that need no load. It
// takes none if there are too few.
func (s *step) pick(domain, weights string, count int) ([]*Instance, bool) {
	list := s.free[domain]
	if len(list) < count {
		return nil, false
	}
	sort.SliceStable(list, func(i, j int) bool {
		return !needsLoad(list[i], weights) && needsLoad(list[j], weights)
	})
	needed := 0
	for _, in := range list[:count] {
		if needsLoad(in, weights) {
			needed++
		}
	}
	if !s.withinBudget(needed) {
		return nil, false
	}
	s.loading += needed
	taken := append([]*Instance(nil), list[:count]...)
	s.free[domain] = append([]*Instance(nil), list[count:]...)
	return taken, true
}

func member(in *Instance) fleet.Member {
	return fleet.Member{Instance: in.ID, Incarnation: in.Report.Incarnation}
}
