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

// spansDomains reports whether a group spans domains.
func (g *group) spansDomains() bool {
	return slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return e.Domain != g.members[0].Domain })
}

// deadTTL is how long an endpoint that did not answer is left out.
const deadTTL = 8 * time.Second

// deadMark is when one incarnation of an endpoint was found not to answer.
type deadMark struct {
	at        time.Time
	startedAt int64
}

// isDead reports whether an endpoint's incarnation counts as dead. One that has begun since under
// the same id does not.
func (c *Controller) isDead(e *serving.Endpoint, now time.Time) bool {
	d, ok := c.dead[e.ID]
	return ok && d.startedAt == e.StartedAt && now.Sub(d.at) < deadTTL
}

// groupKey names the formation that a membership is of.
func groupKey(m serving.Membership) string {
	return fmt.Sprintf("%s/%d", m.Group, m.Epoch)
}

func (c *Controller) addMember(groups map[string]*group, engine *serving.Engine, e *serving.Endpoint) {
	key := groupKey(e.Membership)
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
		g := groups[groupKey(e.Membership)]
		if g == nil || g.head == nil || c.hasLeft(e) {
			continue
		}
		g.members = append(g.members, e)
		g.lapsed = append(g.lapsed, e)
	}
}

// hasLeft reports whether a lapsed endpoint said that it is not in the group
// that its last row tells.
func (c *Controller) hasLeft(e *serving.Endpoint) bool {
	state, known := c.knownStates[e.ID]
	return known && state.startedAt == e.StartedAt && groupKey(state.membership) != groupKey(e.Membership)
}

// checkGroup leaves a group that stands alone, and has one that does not
// dissolved.
func (c *Controller) checkGroup(ctx context.Context, s *situation, g *group, now time.Time) {
	if !slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return !c.isDead(e, now) }) {
		// There is nobody left to tell.
		return
	}
	reason := c.dissolveReason(g, now)
	if reason == "" {
		g.age = trackSince(c.healthySince, g.key, now)
		s.addHealthy(g)
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
	reasonBroken       = "its head is broken"
	reasonMissing      = "a member is gone"
	reasonUnresponsive = "a member does not answer"
	reasonDraining     = "a member is leaving"
	reasonUnopened     = "nobody opens it"
	reasonHeadless     = "its head is not listed"
	reasonTakeover     = "its members are needed more in another group"
)

// dissolveReason returns why a group cannot go on, or nothing.
func (c *Controller) dissolveReason(g *group, now time.Time) string {
	switch {
	case g.head == nil:
		if trackSince(c.unopenedSince, g.key, now) < headlessTimeout || now.Sub(c.leaseSince) < rowLagGrace {
			return ""
		}
		return reasonHeadless
	case g.head.Membership.State == serving.MemberBroken:
		return reasonBroken
	case len(g.members) < g.model.Size && now.Sub(c.leaseSince) > rowLagGrace && !c.isServing(g, now):
		return reasonMissing
	case slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return c.isDead(e, now) }) && !c.isServing(g, now):
		return reasonUnresponsive
	case slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return e.Draining }):
		return reasonDraining
	case g.head.Membership.State < serving.MemberOpen && trackSince(c.unopenedSince, g.key, now) > unopenedTimeout:
		return reasonUnopened
	}
	return ""
}

// maxEventAge is how long an event of a group's head shows that all its members live: a
// busy head sends one every few milliseconds, and nodes tell of it a fraction of a
// second later.
const maxEventAge = 400 * time.Millisecond

// isServing reports whether a group gives its callers events now, which it cannot without
// any of its members, whatever these tell control. Of twenty members that only control
// and the store could not reach for five seconds, twelve were found dead, and their
// groups ended while their heads gave events: a third of what callers asked for in
// these seconds was late.
func (c *Controller) isServing(g *group, now time.Time) bool {
	return c.options.LastEvent != nil && g.head != nil && g.head.Membership.State == serving.MemberOpen &&
		now.Sub(c.options.LastEvent(g.head.ID)) < maxEventAge
}

// unopenedTimeout is how long a group that no operation of this controller forms
// may stay unopened before it is formed anew.
const unopenedTimeout = 700 * time.Millisecond

// rowLagGrace is how long a new controller takes members that it does not
// see for rows that lag.
const rowLagGrace = 1500 * time.Millisecond

// trackSince returns for how long a key has been noted, and notes it if it is new.
func trackSince[K comparable](noted map[K]time.Time, key K, now time.Time) time.Duration {
	since, ok := noted[key]
	if !ok {
		noted[key] = now
		return 0
	}
	return now.Sub(since)
}

// headlessTimeout is how long a group may be seen without a head: rows of its
// members may come at different times.
const headlessTimeout = 500 * time.Millisecond

// addHealthy notes a group that goes on.
func (s *situation) addHealthy(g *group) {
	memberWeight := s.memberWeight(g)
	for _, e := range g.members {
		s.count(e.Domain, g.model.Name, memberWeight)
	}
	if g.head != nil && g.head.Membership.State == serving.MemberOpen {
		s.groups = append(s.groups, g)
	}
}

// probeInterval is the time between two probes of a suspected group, lapsedProbeInterval
// that between two of members that are not listed any more.
const (
	probeInterval       = 600 * time.Millisecond
	lapsedProbeInterval = 2 * time.Second
)

// probeSuspect asks the members of a group of which traffic finds one silent
// or at fault, and those that are not listed any more.
func (c *Controller) probeSuspect(ctx context.Context, g *group, now time.Time) {
	since := now.Sub(c.lastProbe[g.key])
	if since < probeInterval {
		return
	}
	suspects := c.suspects()
	targets := g.members
	if !slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return slices.Contains(suspects, e.ID) }) {
		if since < lapsedProbeInterval {
			return
		}
		targets = g.lapsed
	}
	if len(targets) == 0 {
		return
	}
	c.lastProbe[g.key] = now
	for _, e := range targets {
		c.running.Go(func() { c.probe(ctx, e) })
	}
}

// probeHedgeDelay is the time after which an endpoint that has not answered a probe
// yet is sent a second one.
const probeHedgeDelay = 100 * time.Millisecond

// probe marks an endpoint dead if it answers neither of two probes, which
// overlap: groups that stand still wait for this.
func (c *Controller) probe(ctx context.Context, e *serving.Endpoint) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan error, 2)
	send := func() {
		_, err := c.report(ctx, e)
		responses <- err
	}
	go send()
	timer := time.NewTimer(probeHedgeDelay)
	defer timer.Stop()
	for sent, failed := 1, 0; failed < sent; {
		select {
		case <-timer.C:
			sent++
			go send()
		case err := <-responses:
			if err == nil {
				return
			}
			failed++
			if sent < 2 && !errors.Is(err, ErrOtherIncarnation) {
				sent++
				go send()
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
	c.dead[e.ID] = deadMark{now, e.StartedAt}
	if known {
		return
	}
	c.requestTick()
	c.log.Warn("an endpoint counts as dead", "endpoint", string(e.ID), "address", e.Address, "group", e.Membership.Group, "why", why)
}
