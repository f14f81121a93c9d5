package experiments

import (
	"math/rand/v2"
	"sort"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// FixedSpares is a baseline that keeps a number of instances of each domain as
// spares when it forms groups and replaces broken members by free instances.
type FixedSpares struct{ Spares int }

// Step implements Policy.
func (p FixedSpares) Step(v placement.View) []placement.Action {
	b := newBaseline(v)
	for _, g := range v.Groups {
		b.repair(g)
	}
	for _, d := range v.Demands {
		for groups := b.count(d.Template); groups < max(d.Want, d.Soon); groups++ {
			if !b.form(d, p.Spares) {
				break
			}
		}
		for groups := b.count(d.Template); groups > max(d.Want, d.Soon); groups-- {
			b.dissolveOne(d.Template)
		}
	}
	return b.actions
}

// FullResolve is a baseline that dissolves all groups and forms them again from
// randomly drawn instances whenever a member is broken or a template has too few
// or too many groups.
type FullResolve struct{ Random *rand.Rand }

// Step implements Policy.
func (p FullResolve) Step(v placement.View) []placement.Action {
	b := newBaseline(v)
	broken := false
	for _, g := range v.Groups {
		broken = broken || b.countBroken(g) > 0
	}
	short := false
	for _, d := range v.Demands {
		short = short || b.count(d.Template) != max(d.Want, d.Soon)
	}
	if !broken && !short {
		return nil
	}
	for _, g := range v.Groups {
		b.dissolve(g)
	}
	p.Random.Shuffle(len(b.domains), func(i, j int) { b.domains[i], b.domains[j] = b.domains[j], b.domains[i] })
	for _, domain := range b.domains {
		list := b.free[domain]
		p.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	for _, d := range v.Demands {
		for range max(d.Want, d.Soon) {
			if !b.form(d, 0) {
				break
			}
		}
	}
	return b.actions
}

// baseline is one step of a baseline policy.
type baseline struct {
	view      placement.View
	byID      map[fleet.InstanceID]placement.Instance
	free      map[string][]placement.Instance
	domains   []string
	counts    map[string]int
	dissolved map[fleet.GroupID]bool
	actions   []placement.Action
}

func newBaseline(view placement.View) *baseline {
	b := &baseline{
		view: view, byID: map[fleet.InstanceID]placement.Instance{}, free: map[string][]placement.Instance{},
		counts: map[string]int{}, dissolved: map[fleet.GroupID]bool{},
	}
	sort.Slice(b.view.Groups, func(i, j int) bool { return b.view.Groups[i].ID < b.view.Groups[j].ID })
	owned := map[fleet.InstanceID]bool{}
	for _, g := range view.Groups {
		b.counts[g.Template]++
		for _, m := range g.Members {
			owned[m.Instance] = true
		}
	}
	for _, in := range view.Instances {
		b.byID[in.ID] = in
		if _, ok := b.free[in.Domain]; !ok {
			b.domains = append(b.domains, in.Domain)
			b.free[in.Domain] = nil
		}
		if !owned[in.ID] && in.Fresh {
			b.free[in.Domain] = append(b.free[in.Domain], in)
		}
	}
	sort.Strings(b.domains)
	return b
}

func (b *baseline) count(template string) int { return b.counts[template] }

func (b *baseline) broken(m fleet.Member) bool {
	in := b.byID[m.Instance]
	return !in.Fresh || in.Report.Incarnation != m.Incarnation
}

func (b *baseline) countBroken(g fleet.Group) int {
	n := 0
	for _, m := range g.Members {
		if b.broken(m) {
			n++
		}
	}
	return n
}

// repair replaces broken members by free instances, or, if they have restarted,
// by their new incarnation.
func (b *baseline) repair(g fleet.Group) {
	if b.countBroken(g) == 0 {
		return
	}
	group := g
	group.Members = append([]fleet.Member(nil), g.Members...)
	for i, m := range group.Members {
		if !b.broken(m) {
			continue
		}
		in := b.byID[m.Instance]
		if !in.Fresh {
			list := b.free[g.Domain]
			if len(list) == 0 {
				return
			}
			in = list[0]
			b.free[g.Domain] = list[1:]
		}
		group.Members[i] = fleet.Member{Instance: in.ID, Incarnation: in.Report.Incarnation}
	}
	b.actions = append(b.actions, placement.Action{Kind: placement.ActionRepair, Group: group})
}

func (b *baseline) form(d placement.Demand, spares int) bool {
	for _, domain := range b.domains {
		list := b.free[domain]
		if len(list) < d.Size+spares {
			continue
		}
		g := fleet.Group{Domain: domain, Template: d.Template, Weights: d.Weights, Role: d.Role}
		for _, in := range list[:d.Size] {
			g.Members = append(g.Members, fleet.Member{Instance: in.ID, Incarnation: in.Report.Incarnation})
		}
		b.free[domain] = list[d.Size:]
		b.counts[d.Template]++
		b.actions = append(b.actions, placement.Action{Kind: placement.ActionForm, Group: g})
		return true
	}
	return false
}

func (b *baseline) dissolve(g fleet.Group) {
	b.dissolved[g.ID] = true
	b.counts[g.Template]--
	b.actions = append(b.actions, placement.Action{Kind: placement.ActionDissolve, Group: g})
	for _, m := range g.Members {
		if in := b.byID[m.Instance]; in.Fresh {
			b.free[g.Domain] = append(b.free[g.Domain], in)
		}
	}
}

func (b *baseline) dissolveOne(template string) {
	for i := len(b.view.Groups) - 1; i >= 0; i-- {
		if g := b.view.Groups[i]; g.Template == template && !b.dissolved[g.ID] {
			b.dissolve(g)
			return
		}
	}
}
