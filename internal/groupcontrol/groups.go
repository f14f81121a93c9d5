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

// group is one formation of a replica group as its members report it.
type group struct {
	// key identifies the formation by the group's name and epoch.
	key     string
	name    string
	epoch   uint64
	head    *serving.Endpoint
	members []*serving.Endpoint
	model   serving.Model
	// lapsed members have no row any more, but are not known to be dead.
	lapsed []*serving.Endpoint
	// age is how long the group has been seen without a fault.
	age time.Duration
}

func (g *group) spansDomains() bool {
	return slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return e.Domain != g.members[0].Domain })
}

// deadTTL is how long an endpoint that did not respond is excluded.
const deadTTL = 8 * time.Second

// deadMark records when an incarnation of an endpoint was found dead.
type deadMark struct {
	at        time.Time
	startedAt int64
	// checkedAt is when the endpoint was last asked again, and responded is set once it responds.
	checkedAt time.Time
	responded bool
	// repeated is set if the incarnation was found dead again soon after it had responded.
	repeated bool
}

// isDead reports whether this incarnation of an endpoint is marked as dead.
func (c *Controller) isDead(e *serving.Endpoint, now time.Time) bool {
	d, ok := c.dead[e.ID]
	return ok && d.startedAt == e.StartedAt && now.Sub(d.at) < deadTTL && !d.responded
}

// groupKey returns the key of the formation that a membership belongs to.
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

// addLapsed adds members whose rows expired without a notice. They don't count as dead, since
// endpoints that are partitioned from the store alone still serve their groups: a fifth of the
// endpoints, partitioned like this, would end nearly every group.
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

// hasLeft reports whether a lapsed endpoint reported that it is no longer in the group of its
// last row.
func (c *Controller) hasLeft(e *serving.Endpoint) bool {
	state, known := c.knownStates[e.ID]
	return known && state.startedAt == e.StartedAt && groupKey(state.membership) != groupKey(e.Membership)
}

// checkGroup records a healthy group and dissolves a faulty one.
func (c *Controller) checkGroup(ctx context.Context, s *situation, g *group, now time.Time) {
	if !slices.ContainsFunc(g.members, func(e *serving.Endpoint) bool { return !c.isDead(e, now) }) {
		// No member is left to order to leave.
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
	reasonBroken       = "the head is broken"
	reasonMissing      = "a member is missing"
	reasonUnresponsive = "a member does not respond"
	reasonDraining     = "a member is draining"
	reasonUnopened     = "it was not opened in time"
	reasonHeadless     = "the head is not listed"
	reasonTakeover     = "another group needs its members more"
)

// dissolveReason returns why a group must be dissolved, or an empty string.
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

// maxEventAge is how long a response event from a group's head proves that all members are
// alive. A busy head sends an event every few milliseconds, and nodes share the time of the
// last one within a fraction of a second.
const maxEventAge = 400 * time.Millisecond

// isServing reports whether a group currently produces response events, which needs all its
// members. Such a group is kept even if the controller and the store cannot reach some of
// them. Otherwise a partition of members from control alone ends groups while their heads send
// events, and a third of the requests of that time is late.
func (c *Controller) isServing(g *group, now time.Time) bool {
	return c.options.LastEvent != nil && g.head != nil && g.head.Membership.State == serving.MemberOpen &&
		now.Sub(c.options.LastEvent(g.head.ID)) < maxEventAge
}

// unopenedTimeout is how long a group may stay unopened without an operation of this
// controller before it is dissolved.
const unopenedTimeout = 700 * time.Millisecond

// rowLagGrace is how long after acquiring the lease missing members are attributed to lagging
// rows.
const rowLagGrace = 1500 * time.Millisecond

// trackSince returns how long ago a key was first recorded, and records it if it is new.
func trackSince[K comparable](started map[K]time.Time, key K, now time.Time) time.Duration {
	since, ok := started[key]
	if !ok {
		started[key] = now
		return 0
	}
	return now.Sub(since)
}

// headlessTimeout is how long a group may lack a head, since its members' rows may arrive at
// different times.
const headlessTimeout = 500 * time.Millisecond

// addHealthy adds a healthy group to the situation.
func (s *situation) addHealthy(g *group) {
	memberWeight := s.memberWeight(g)
	for _, e := range g.members {
		s.count(e.Domain, g.model.Name, memberWeight)
	}
	if g.head != nil && g.head.Membership.State == serving.MemberOpen {
		s.groups = append(s.groups, g)
	}
}

// probeInterval is the time between two probes of a suspect group, and lapsedProbeInterval the
// time between two probes of members that are no longer listed.
const (
	probeInterval       = 600 * time.Millisecond
	lapsedProbeInterval = 2 * time.Second
)

// probeSuspect probes all members of a group if any of them is suspect, and else the members
// that are no longer listed.
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

// probeHedgeDelay is how long a probe may be unanswered before a second one is sent.
const probeHedgeDelay = 100 * time.Millisecond

// probe marks an endpoint dead if it responds to no probe. The first two overlap because a stalled
// group waits for the result.
func (c *Controller) probe(ctx context.Context, e *serving.Endpoint) {
	start := time.Now()
	err := c.probeTwice(ctx, e)
	for isSilence(err) && time.Since(start) < c.options.SilenceTolerance {
		if pause(ctx, silenceProbeInterval) != nil {
			return
		}
		_, err = c.report(ctx, e)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	c.markSilent(ctx, e, "no response to probes")
}

// silenceProbeInterval is the time between two probes of a silent endpoint.
const silenceProbeInterval = 300 * time.Millisecond

// isSilence reports whether a call failed only because nothing came back.
func isSilence(err error) bool {
	return err != nil && !errors.Is(err, ErrRefused) && !errors.Is(err, ErrOtherIncarnation)
}

// probeTwice sends two probes that overlap, and returns nil if the endpoint responds to one of them.
func (c *Controller) probeTwice(ctx context.Context, e *serving.Endpoint) error {
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
	var failure error
	for sent, failed := 1, 0; failed < sent; {
		select {
		case <-timer.C:
			sent++
			go send()
		case err := <-responses:
			if err == nil {
				return nil
			}
			failure = err
			failed++
			if sent < 2 && !errors.Is(err, ErrOtherIncarnation) {
				sent++
				go send()
				timer.Stop()
			}
		}
	}
	return failure
}

func (c *Controller) markDead(e *serving.Endpoint, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	known := c.isDead(e, now)
	c.dead[e.ID] = c.dead[e.ID].renewed(e, now)
	if known {
		return
	}
	c.requestTick()
	c.log.Warn("marked endpoint as dead", "endpoint", string(e.ID), "address", e.Address, "group", e.Membership.Group, "why", why)
}
