// Package placement decides which instances form each replica group of a
// data centre, and when groups are repaired, grown, rolled or ended.
//
// Planner.Step turns one view of the data centre into a list of actions. The
// caller commits each action in a transaction that checks every instance row
// again, so a stale view wastes a step but never breaks a promise.
//
// The order of a step is the order of need: repair what callers miss now,
// grow what is short, roll versions, then use or keep what is left over. One
// objective weighs group downtime against stranded accelerators with the two
// weights of the template.
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
	// Fresh tells whether Report is backed by evidence that has not expired.
	Fresh  bool
	Report fleet.Report
}

// Demand is what one template asks of the data centre.
type Demand struct {
	Template string
	Weights  string
	Role     fleet.Role
	Size     int
	// Want is the number of groups wanted now, and Soon the number wanted
	// when a group that is started now would be ready.
	Want           int
	Soon           int
	WeightDowntime float64
	WeightStranded float64
}

// target is the number of groups to have or to be building now.
func (d Demand) target() int { return max(d.Want, d.Soon) }

// View is everything that a step depends on.
type View struct {
	Now       time.Time
	Instances []Instance
	Groups    []fleet.Group
	Demands   []Demand
}

// Options of a Planner.
type Options struct {
	// LostGrace is how long a member may be without evidence before its
	// place is given to another instance. A shorter pause costs less than a
	// load of weights.
	LostGrace time.Duration
	// WarmGrace is the same where a spare has the weights in memory already,
	// so that the change costs next to nothing.
	WarmGrace time.Duration
	// RestartGrace is how long a group without a replacement waits for its
	// own member to come back before its survivors are used elsewhere.
	RestartGrace time.Duration
	// Settle is the least time that a group drains, so that every entry
	// instance has heard of it before the group is taken apart.
	Settle time.Duration
	// ShrinkAfter is how long a group must have been surplus to be drained.
	ShrinkAfter time.Duration
	// LoadBudget is how many instances may load weights at once.
	LoadBudget int
	// LoadTime is the expected time of one load from the weight store.
	LoadTime time.Duration
	// DrainTime is the expected time until a draining group is empty.
	DrainTime time.Duration
	// FailuresPerHour is the expected rate of failures and restarts of one
	// instance.
	FailuresPerHour float64
}

// DefaultOptions returns options for today's deployments.
func DefaultOptions() Options {
	return Options{
		LostGrace:       2 * time.Second,
		WarmGrace:       200 * time.Millisecond,
		RestartGrace:    2 * time.Minute,
		Settle:          4 * time.Second,
		ShrinkAfter:     time.Minute,
		LoadBudget:      16,
		LoadTime:        90 * time.Second,
		DrainTime:       30 * time.Second,
		FailuresPerHour: 830.0 / 24 / 11000,
	}
}

// ActionKind is what an action does.
type ActionKind uint8

// The kinds of action.
const (
	// ActionForm starts a new group.
	ActionForm ActionKind = iota
	// ActionRepair gives a group new members for those it lost.
	ActionRepair
	// ActionDrain stops new requests to a group.
	ActionDrain
	// ActionResume lets a draining group serve again.
	ActionResume
	// ActionEnd takes a group apart.
	ActionEnd
	// ActionPreload loads weights on a spare instance.
	ActionPreload
)

// String names the kind in lower case for logs.
func (k ActionKind) String() string {
	return [...]string{"form", "repair", "drain", "resume", "end", "preload"}[k]
}

// Action is one decision. Group is the whole group as it should become; the
// caller fills in epoch, generation and revision.
type Action struct {
	Kind  ActionKind
	Group fleet.Group
	// Instance and Weights are set for ActionPreload.
	Instance fleet.InstanceID
	Weights  string
	// Reason is a short clause for the log.
	Reason string
}

// Planner holds what must be remembered between steps.
type Planner struct {
	options Options
	// lost is since when an instance has had no evidence.
	lost map[fleet.InstanceID]time.Time
	// surplus is since when a template has had more groups than it wants.
	surplus map[string]time.Time
	// drained is since when a group has been draining.
	drained map[fleet.GroupID]time.Time
	// broken is since when a group has lacked a member.
	broken map[fleet.GroupID]time.Time
	// whole is since when a group has been serving without a break.
	whole map[fleet.GroupID]time.Time
}

// New returns a planner with nothing to remember.
func New(options Options) *Planner {
	return &Planner{
		options: options,
		lost:    map[fleet.InstanceID]time.Time{},
		surplus: map[string]time.Time{},
		drained: map[fleet.GroupID]time.Time{},
		broken:  map[fleet.GroupID]time.Time{},
		whole:   map[fleet.GroupID]time.Time{},
	}
}

// Step decides what to do about one view.
func (p *Planner) Step(v View) []Action {
	s := newStep(p, v)
	s.trackLost()
	s.classify()
	s.endDrained()
	s.repair()
	s.replaceLeaving()
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
	// free lists the instances of each domain that no group has and that
	// nothing in this step has taken yet.
	free    map[string][]*Instance
	domains []string
	groups  []*groupState
	demands []Demand
	// loading counts the loads under way, those of this step included.
	loading int
	actions []Action
}

// groupState is a group with what this step found out about it.
type groupState struct {
	fleet.Group
	// missing are the members whose place has to be given to another.
	missing []fleet.InstanceID
	// pausing are the members without evidence that still have their grace.
	pausing int
	leaving bool
	ended   bool
	changed bool
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
	if !owned[in.ID] && in.Fresh && !in.leaving() {
		s.free[in.Domain] = append(s.free[in.Domain], in)
	}
}

func (in *Instance) leaving() bool {
	return in.Draining || in.Fresh && in.Report.Draining
}

// trackLost notes since when each instance has had no evidence.
func (s *step) trackLost() {
	for id, in := range s.instances {
		if in.Fresh {
			delete(s.p.lost, id)
			continue
		}
		if _, ok := s.p.lost[id]; !ok {
			s.p.lost[id] = s.v.Now
		}
	}
	for id := range s.p.lost {
		if s.instances[id] == nil {
			delete(s.p.lost, id)
		}
	}
}

// classify finds out which members of each group are missing or leaving.
func (s *step) classify() {
	present := map[fleet.GroupID]bool{}
	for _, g := range s.groups {
		present[g.ID] = true
		for _, m := range g.Members {
			s.classifyMember(g, m)
		}
		note(s.p.broken, g.ID, len(g.missing) > 0, s.v.Now)
		note(s.p.drained, g.ID, g.Draining, s.v.Now)
		note(s.p.whole, g.ID, s.serving(g), s.v.Now)
	}
	for _, since := range []map[fleet.GroupID]time.Time{s.p.broken, s.p.drained, s.p.whole} {
		for id := range since {
			if !present[id] {
				delete(since, id)
			}
		}
	}
}

// note keeps since when something has been so.
func note(since map[fleet.GroupID]time.Time, id fleet.GroupID, so bool, now time.Time) {
	if !so {
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
		// The platform no longer lists it. The list lags, but it never
		// forgets an instance that is there.
		g.missing = append(g.missing, m.Instance)
	case in.Fresh && in.Report.Incarnation != m.Incarnation:
		// It restarted: its part of the model is gone.
		g.missing = append(g.missing, m.Instance)
	case !in.Fresh && s.v.Now.Sub(s.p.lost[m.Instance]) >= s.grace(g):
		g.missing = append(g.missing, m.Instance)
	case !in.Fresh:
		g.pausing++
	case in.leaving():
		g.leaving = true
	}
}

// grace is how long a member of a group may be without evidence.
func (s *step) grace(g *groupState) time.Duration {
	for _, in := range s.free[g.Domain] {
		if !loads(in, g.Weights) {
			return s.p.options.WarmGrace
		}
	}
	return s.p.options.LostGrace
}

func (s *step) add(a Action) { s.actions = append(s.actions, a) }

// endDrained takes apart draining groups that are empty.
func (s *step) endDrained() {
	for _, g := range s.groups {
		if !g.Draining || g.ended {
			continue
		}
		if s.v.Now.Sub(s.p.drained[g.ID]) < s.p.options.Settle {
			continue
		}
		if len(g.missing) > 0 || s.empty(g) {
			s.end(g, "it is drained")
		}
	}
}

// empty reports whether the leader says that nothing runs there. Without
// evidence nothing is known, and the group is left alone.
func (s *step) empty(g *groupState) bool {
	in := s.instances[g.Leader()]
	return in != nil && in.Fresh && in.Report.Load == 0
}

// end takes a group apart and returns its living members to the free list.
func (s *step) end(g *groupState, reason string) {
	g.ended = true
	g.changed = true
	s.add(Action{Kind: ActionEnd, Group: g.Group, Reason: reason})
	for _, m := range g.Members {
		in := s.instances[m.Instance]
		if in != nil && in.Fresh && !in.leaving() {
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

// loads reports whether putting the instance to work for the weights needs a
// load from the weight store.
func loads(in *Instance, weights string) bool {
	return in.Report.Weights != weights
}

// budget reports whether so many more loads may start. A single group larger
// than the whole budget may load when nothing else does.
func (s *step) budget(more int) bool {
	return more == 0 || s.loading == 0 || s.loading+more <= s.p.options.LoadBudget
}

// pick takes count instances from a domain's free list, those that need no
// load first. It takes nothing when there are too few.
func (s *step) pick(domain, weights string, count int) ([]*Instance, bool) {
	list := s.free[domain]
	if len(list) < count {
		return nil, false
	}
	sort.SliceStable(list, func(i, j int) bool {
		return !loads(list[i], weights) && loads(list[j], weights)
	})
	needed := 0
	for _, in := range list[:count] {
		if loads(in, weights) {
			needed++
		}
	}
	if !s.budget(needed) {
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
