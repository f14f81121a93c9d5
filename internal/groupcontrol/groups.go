package groupcontrol

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// group is a formation of a group as the endpoints tell it.
type group struct {
	// key names the formation: the group's name and epoch.
	key     string
	name    string
	epoch   uint64
	head    *serving.Endpoint
	members []*serving.Endpoint
	model   serving.Model
	// lapsed members have no row any more; they answered when they were last
	// asked, or were not asked yet.
	lapsed []*serving.Endpoint
	// age is for how long it has been seen without fault.
	age time.Duration
}

// far reports whether a group spans domains.
func (g *group) far() bool {
	return slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return e.Domain != g.members[0].Domain })
}

// deadFor is how long an endpoint that did not answer is left out.
const deadFor = 8 * time.Second

// death is when one incarnation of an endpoint was found not to answer.
type death struct {
	at        time.Time
	startedAt int64
}

// isDead reports whether an endpoint's incarnation counts as dead. One that has begun since under
// the same id does not.
func (c *Controller) isDead(e *serving.Endpoint, now time.Time) bool {
	d, ok := c.dead[e.ID]
	return ok && d.startedAt == e.StartedAt && now.Sub(d.at) < deadFor
}

// groupKeyOf names the formation that a membership is of.
func groupKeyOf(m serving.Membership) string {
	return fmt.Sprintf("%s/%d", m.Group, m.Epoch)
}

func (c *Controller) addMember(groups map[string]*group, engine *serving.Engine, e *serving.Endpoint) {
	key := groupKeyOf(e.Membership)
	g := groups[key]
	if g == nil {
		g = &group{key: key, name: e.Membership.Group, epoch: e.Membership.Epoch}
		g.model, _ = engine.Model(e.Model)
		groups[key] = g
	}
	g.members = append(g.members, e)
	if e.Membership.Rank == 0 {
		g.head = e
		g.model, _ = engine.Model(e.Model)
	}
}

// addLapsed adds members whose rows have gone without a notice. If all of a
// group's members that the store has lost were taken for dead, a fifth of the
// endpoints cut off from the store would end nearly every group, while their
// heads serve on.
func (c *Controller) addLapsed(view *directory.View, groups map[string]*group, service serving.Service, now time.Time) {
	for _, e := range view.Lapsed {
		if e.Service != service.Name || e.DataCentre != c.options.DataCentre || e.Membership.Rank == 0 || c.isBusy(e.ID) || c.isDead(e, now) {
			continue
		}
		g := groups[groupKeyOf(e.Membership)]
		if g == nil || g.head == nil || c.leftAlready(e) {
			continue
		}
		g.members = append(g.members, e)
		g.lapsed = append(g.lapsed, e)
	}
}

// leftAlready reports whether a lapsed endpoint said that it is not in the group
// that its last row tells.
func (c *Controller) leftAlready(e *serving.Endpoint) bool {
	state, known := c.known[e.ID]
	return known && state.startedAt == e.StartedAt && groupKeyOf(state.membership) != groupKeyOf(e.Membership)
}

// lookAtGroup leaves a group that stands alone, and has one that does not
// dissolved.
func (c *Controller) lookAtGroup(ctx context.Context, s *situation, g *group, now time.Time) {
	if !slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return !c.isDead(e, now) }) {
		// There is nobody left to tell.
		return
	}
	reason := c.faultOf(g, now)
	if reason == "" {
		g.age = timeSince(c.standing, g.key, now)
		s.stands(g)
		c.probeSuspect(ctx, g, now)
		return
	}
	c.startDissolve(ctx, g, reason)
	for _, e := range g.members {
		c.addFree(s, e, now)
	}
}

// Reasons to dissolve a group.
const (
	reasonBroken   = "its head is broken"
	reasonLost     = "a member is gone"
	reasonSilent   = "a member does not answer"
	reasonLeaving  = "a member is leaving"
	reasonUnopened = "nobody opens it"
	reasonHeadless = "its head is not listed"
	reasonTakeover = "its members are needed more in another group"
)

// faultOf returns why a group cannot go on, or nothing.
func (c *Controller) faultOf(g *group, now time.Time) string {
	switch {
	case g.head == nil:
		if timeSince(c.unopened, g.key, now) < headlessFor || now.Sub(c.since) < takeoverGrace {
			return ""
		}
		return reasonHeadless
	case g.head.Membership.State == serving.MemberBroken:
		return reasonBroken
	case len(g.members) < g.model.Size && now.Sub(c.since) > takeoverGrace && !c.works(g, now):
		return reasonLost
	case slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return c.isDead(e, now) }) && !c.works(g, now):
		return reasonSilent
	case slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return e.Draining }):
		return reasonLeaving
	case g.head.Membership.State < serving.MemberOpen && timeSince(c.unopened, g.key, now) > unopenedFor:
		return reasonUnopened
	}
	return ""
}

// eventFresh is how long an event of a group's head shows that all its members live: a
// busy head sends one every few milliseconds, and nodes tell of it a fraction of a
// second later.
const eventFresh = 400 * time.Millisecond

// works reports whether a group gives its callers events now, which it cannot without
// any of its members, whatever these tell control. Of twenty members that only control
// and the store could not reach for five seconds, twelve were found dead, and their
// groups ended while their heads gave events: a third of what callers asked for in
// these seconds was late.
func (c *Controller) works(g *group, now time.Time) bool {
	return c.options.LastEvent != nil && g.head != nil && g.head.Membership.State == serving.MemberOpen &&
		now.Sub(c.options.LastEvent(g.head.ID)) < eventFresh
}

// unopenedFor is how long a group that no operation of this controller forms
// may stay unopened before it is formed anew.
const unopenedFor = 700 * time.Millisecond

// takeoverGrace is how long a new controller takes members that it does not
// see for rows that lag.
const takeoverGrace = 1500 * time.Millisecond

// timeSince returns for how long a key has been noted, and notes it if it is new.
func timeSince[K comparable](noted map[K]time.Time, key K, now time.Time) time.Duration {
	since, ok := noted[key]
	if !ok {
		noted[key] = now
		return 0
	}
	return now.Sub(since)
}

// headlessFor is how long a group may be seen without a head: rows of its
// members may come at different times.
const headlessFor = 500 * time.Millisecond

// stands notes a group that goes on.
func (s *situation) stands(g *group) {
	worth := s.worth(g)
	for _, e := range g.members {
		s.count(e.Domain, g.model.Name, worth)
	}
	if g.head != nil && g.head.Membership.State == serving.MemberOpen {
		s.groups = append(s.groups, g)
	}
}

// probeEvery is the time between two probes of a suspected group, lapsedEvery
// that between two of members that are not listed any more.
const (
	probeEvery  = 600 * time.Millisecond
	lapsedEvery = 2 * time.Second
)

// probeSuspect asks the members of a group of which traffic finds one silent
// or at fault, and those that are not listed any more.
func (c *Controller) probeSuspect(ctx context.Context, g *group, now time.Time) {
	since := now.Sub(c.probed[g.key])
	if since < probeEvery {
		return
	}
	suspects := c.suspects()
	asked := g.members
	if !slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return slices.Contains(suspects, e.ID) }) {
		if since < lapsedEvery {
			return
		}
		asked = g.lapsed
	}
	if len(asked) == 0 {
		return
	}
	c.probed[g.key] = now
	for _, e := range asked {
		c.running.Go(func() { c.probe(ctx, e) })
	}
}

// probeAgain is the time after which an endpoint that has not answered a probe
// yet is sent a second one.
const probeAgain = 100 * time.Millisecond

// probe marks an endpoint dead if it answers neither of two probes, which
// overlap: groups that stand still wait for this.
func (c *Controller) probe(ctx context.Context, e *serving.Endpoint) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan error, 2)
	ask := func() {
		_, err := c.report(ctx, e)
		answers <- err
	}
	go ask()
	timer := time.NewTimer(probeAgain)
	defer timer.Stop()
	for asked, failed := 1, 0; failed < asked; {
		select {
		case <-timer.C:
			asked++
			go ask()
		case err := <-answers:
			if err == nil {
				return
			}
			failed++
			if asked < 2 && !errors.Is(err, ErrOtherIncarnation) {
				asked++
				go ask()
				timer.Stop()
			}
		}
	}
	c.markDead(e, "it did not answer twice")
}

func (c *Controller) markDead(e *serving.Endpoint, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	known := c.isDead(e, now)
	c.dead[e.ID] = death{now, e.StartedAt}
	if known {
		return
	}
	c.hurry()
	c.log.Warn("an endpoint counts as dead", "endpoint", string(e.ID), "address", e.Address, "group", e.Membership.Group, "why", why)
}
