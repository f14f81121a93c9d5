package groupcontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

func (c *Controller) tickService(ctx context.Context, view *directory.View, service serving.Service, now time.Time) {
	s := situation{
		service: service.Name,
		engine:  service.Engine,
		inUse:   map[string]map[string]float64{},

		remote:   map[string]float64{},
		growing:  map[string]bool{},
		demand:   map[string]float64{},
		requests: map[string]float64{},
		inTime:   map[string]float64{},
		meanWork: map[string]float64{},
		limit:    c.options.Limit,

		weights:     c.options.Weights,
		inCooldown:  now.Sub(c.lastTakeover) < takeoverCooldown,
		dataCentres: max(1, c.options.DataCentres-len(view.Evacuated)),
		evacuated:   view.Evacuated[c.options.DataCentre],
		staging:     c.activeStagings(view, now),
	}
	if !view.Configuration.RanksRoutes(service.Name) {
		s.weights.CallerWeight = 0
	}
	// Formations wait for loads only until a first group is open.
	s.open = !c.options.Unpaced()
	for pool, demand := range c.options.Demand() {
		if pool.Service != service.Name {
			continue
		}
		s.demand[pool.Model] = demand.Groups
		s.requests[pool.Model] = demand.Requests
		if demand.Requests > 0 {
			s.meanWork[pool.Model] = demand.Groups / demand.Requests
		}
		if demand.Measured >= minMeasured {
			s.inTime[pool.Model] = demand.InTime
		}
	}
	groups := map[string]*group{}
	for _, e := range view.Endpoints {
		if e.Service != service.Name {
			continue
		}
		if e.DataCentre != c.options.DataCentre {
			if e.Membership.Group != "" && !view.Evacuated[e.DataCentre] {
				s.remote[e.Model]++
			}
			continue
		}
		c.recheckDead(ctx, e, now)
		if trackSince(c.firstSeen, e.ID, now) < growthWindow {
			s.growing[e.Domain] = true
		}
		if e.Membership.State == serving.MemberOpen {
			s.open = true
		}
		if e.Membership.Group == "" || c.isBusy(e.ID) {
			c.addFree(&s, e, now)
			continue
		}
		c.addMember(groups, service.Engine, e)
	}
	c.addLapsed(view, groups, service, now)
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		c.checkGroup(ctx, &s, groups[key], now)
	}
	c.countForming(&s, view)
	s.reserved = c.activeReservations(now)
	d := plan(s)
	c.logPlan(&s, d)
	for _, f := range d.formations {
		delete(c.reservations, f.members[0].Domain)
		c.startFormation(ctx, f, service.Engine, now)
	}
	for _, t := range d.takeovers {
		c.startTakeover(ctx, t, now)
	}
	c.startStagings(ctx, &s, d.stagings, now)
	for _, r := range d.warmUps {
		if s.staging[r.endpoint.ID] == "" {
			c.startWarmUp(ctx, r)
		}
	}
}

// reservation keeps the free endpoints of a domain for a model.
type reservation struct {
	model string
	until time.Time
}

// reservationTTL is how long the members of dissolved groups may take to leave.
const reservationTTL = 1500 * time.Millisecond

// activeReservations returns the model that each reserved domain is kept for.
func (c *Controller) activeReservations(now time.Time) map[string]string {
	out := map[string]string{}
	for domain, r := range c.reservations {
		if now.After(r.until) {
			delete(c.reservations, domain)
			continue
		}
		out[domain] = r.model
	}
	return out
}

// growthWindow is how long after a new endpoint its domain may get more.
const growthWindow = 1500 * time.Millisecond

// otherGroupTTL is how long an endpoint is excluded that is in a group although its row shows
// none; it exceeds the lag of rows.
const otherGroupTTL = time.Second

// addFree adds an endpoint that new groups may use.
func (c *Controller) addFree(s *situation, e *serving.Endpoint, now time.Time) {
	if e.Draining || c.isDead(e, now) || now.Sub(c.inOtherGroup[e.ID]) < otherGroupTTL {
		return
	}
	if op := c.busy[e.ID]; op != nil && op.purpose == purposeDissolve {
		s.soonFree = append(s.soonFree, e)
		return
	}
	if c.isBusy(e.ID) {
		return
	}
	s.free = append(s.free, e)
}

// countForming counts the endpoints of groups that are being formed.
func (c *Controller) countForming(s *situation, view *directory.View) {
	for id, op := range c.busy {
		e := view.Endpoints[id]
		if _, ok := s.engine.Model(op.purpose); ok && e != nil {
			s.count(e.Domain, op.purpose, 1)
		}
	}
}

// stagingOrder records an order to stage a model.
type stagingOrder struct {
	model string
	// until is when the order expires.
	until time.Time
}

// activeStagings returns the models that are being loaded to hosts.
func (c *Controller) activeStagings(view *directory.View, now time.Time) map[serving.EndpointID]string {
	out := map[serving.EndpointID]string{}
	for id, order := range c.stagingOrders {
		e := view.Endpoints[id]
		if e == nil || !now.Before(order.until) || slices.Contains(e.Staged, order.model) {
			delete(c.stagingOrders, id)
			continue
		}
		out[id] = order.model
	}
	return out
}

// logPlan logs the formations and takeovers of a plan with the figures after they are applied.
func (c *Controller) logPlan(s *situation, d decision) {
	if len(d.formations)+len(d.takeovers) == 0 {
		return
	}
	for _, m := range s.engine.Models {
		c.log.Info("computed a plan", "service", s.service, "model", m.Name, "formations", len(d.formations), "takeovers", len(d.takeovers),
			"demand", s.demandOf(m), "share", s.shareOf(m), "weight", s.weightOf(m), "here", s.groupsOf(m), "elsewhere", s.remote[m.Name]/float64(m.Size),
			"gain_of_one_more", s.gainOf(map[string]float64{m.Name: float64(m.Size)}))
	}
}
