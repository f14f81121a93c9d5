package groupcontrol

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// operation carries out one plan under one lease epoch.
type operation struct {
	*Controller
	epoch   uint64
	members []*serving.Endpoint
	// purpose is the model's name when a group is formed, or one of the purpose constants.
	purpose string
}

const (
	// checkInterval is the time between two checks of a member that is changing its state.
	checkInterval = 120 * time.Millisecond
	// maxOrderAttempts bounds the attempts of one order to one endpoint.
	maxOrderAttempts = 6
	// joinTimeoutMargin is added to a model's load time as the timeout of a join.
	joinTimeoutMargin = 8 * time.Second
	// joinPollDelay is added to a member's expected start duration before its first report is
	// requested.
	joinPollDelay = 30 * time.Millisecond
	// expectedOpenTime is how long after the order a head is first asked whether it has
	// opened.
	expectedOpenTime = 320 * time.Millisecond
	// purposeDissolve marks the members of a group that is being dissolved.
	purposeDissolve = "dissolving"
)

var (
	errMemberLost = errors.New("a member is dead or has restarted")
	errInGroup    = errors.New("the endpoint is in another group")
	errTimeout    = errors.New("the endpoint did not reach the expected state in time")
)

// begin marks the members as busy; the caller holds the lock.
func (c *Controller) begin(members []*serving.Endpoint, purpose string) *operation {
	op := &operation{Controller: c, epoch: c.epoch, members: members, purpose: purpose}
	for _, e := range members {
		c.busy[e.ID] = op
	}
	return op
}

func (o *operation) finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.Controller.epoch != o.epoch {
		// The marks belong to a later tenure of the lease.
		return
	}
	for _, e := range o.members {
		if o.busy[e.ID] == o {
			delete(o.busy, e.ID)
		}
	}
	o.requestTick()
}

// startFormation starts to form a group; the caller holds the lock.
func (c *Controller) startFormation(ctx context.Context, f formation, engine *serving.Engine, now time.Time) {
	for _, e := range f.members {
		invariant.Check(e.Membership.Group == "", invariant.OneGroup, "endpoint %s is in %s", e.ID, e.Membership.Group)
	}
	op := c.begin(f.members, f.model.Name)
	name, epoch := c.nextGroup()
	waits := make([]time.Duration, len(f.members))
	for i, e := range f.members {
		if startDuration(e, f.model) >= f.model.LoadTime {
			waits[i] = c.reserveLoad(engine, now)
		}
	}
	c.log.Info("started forming a group", "group", name, "epoch", epoch, "model", f.model.Name, "members", f.ids(), "domain", f.members[0].Domain)
	c.running.Go(func() {
		defer op.finish()
		start := time.Now()
		err := op.form(ctx, f, name, epoch, waits)
		if err != nil && ctx.Err() == nil {
			// Members that have joined become free for the next attempt at once.
			_ = op.dissolve(ctx, &group{name: name, epoch: epoch, members: f.members})
		}
		c.log.Info("finished forming a group", "group", name, "epoch", epoch, "took", time.Since(start), "error", err)
	})
}

// nextGroup returns a name and an epoch that were never used before; the caller holds the
// lock.
func (c *Controller) nextGroup() (name string, epoch uint64) {
	c.groupsFormed++
	return fmt.Sprintf("%s-%d-%d", c.options.DataCentre, c.epoch, c.groupsFormed), c.epoch*epochsPerLease + c.groupsFormed
}

// purposeWarmUp marks an endpoint that joins a group of its own.
const purposeWarmUp = "warming up"

// startWarmUp has an endpoint start its model in a group of its own and leave it; the caller
// holds the lock.
func (c *Controller) startWarmUp(ctx context.Context, r warmUp) {
	members := []*serving.Endpoint{r.endpoint}
	op := c.begin(members, purposeWarmUp)
	name, epoch := c.nextGroup()
	join := serving.Order{Kind: serving.OrderJoin, Group: name, Epoch: epoch, Model: r.model.Name, Members: []serving.EndpointID{r.endpoint.ID}, Fence: op.epoch}
	c.running.Go(func() {
		defer op.finish()
		err := op.join(ctx, r.endpoint, join, 0, r.model.WarmTime, loadTimeoutFactor*r.model.LoadTime+joinTimeoutMargin)
		_ = op.dissolve(ctx, &group{name: name, epoch: epoch, members: members})
		c.log.Info("warmed up a spare", "endpoint", string(r.endpoint.ID), "model", r.model.Name, "group", name, "epoch", epoch, "error", err)
	})
}

// epochsPerLease is the number of group epochs reserved for one lease epoch.
const epochsPerLease = 100_000

// reserveLoad returns how long a load has to wait to keep the rate limit; the caller holds the
// lock. The first load after acquiring the lease waits a full interval, since the previous
// controller may just have started one: if the lease moves every 0.2 s, 25 loads would otherwise
// start in five seconds at a limit of two a second.
func (c *Controller) reserveLoad(engine *serving.Engine, now time.Time) time.Duration {
	if engine.LoadsPerSec <= 0 || c.options.Unpaced() {
		return 0
	}
	pause := time.Duration(float64(c.options.DataCentres) / engine.LoadsPerSec * float64(time.Second))
	at := slices.MaxFunc([]time.Time{now, c.nextLoad, c.leaseSince.Add(pause)}, time.Time.Compare)
	c.nextLoad = at.Add(pause)
	return at.Sub(now)
}

// form orders the members to join, waits until each is ready under this name and epoch, and
// has the head open the group.
func (o *operation) form(ctx context.Context, f formation, name string, epoch uint64, waits []time.Duration) error {
	join := serving.Order{Kind: serving.OrderJoin, Group: name, Epoch: epoch, Model: f.model.Name, Members: f.ids(), Fence: o.epoch}
	// A failed member cancels the waits for the others.
	joining, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	var ready atomic.Int64
	for i, e := range f.members {
		wg.Go(func() {
			if err := o.join(joining, e, join, waits[i], startDuration(e, f.model), loadTimeoutFactor*f.model.LoadTime+joinTimeoutMargin); err != nil {
				cancel(err)
				return
			}
			ready.Add(1)
		})
	}
	wg.Wait()
	if errors.Is(context.Cause(joining), errInGroup) {
		o.refreshReports(ctx, f.members)
	}
	if joining.Err() != nil {
		return context.Cause(joining)
	}
	invariant.Check(int(ready.Load()) == f.model.Size, invariant.GroupComplete, "group %s has %d members ready", name, ready.Load())
	head := f.members[0]
	open := serving.Order{Kind: serving.OrderOpen, Group: name, Epoch: epoch, Fence: o.epoch}
	if err := o.ensure(ctx, head, open, opened(name, epoch)); err != nil {
		return err
	}
	return o.await(ctx, head, expectedOpenTime, joinTimeoutMargin, opened(name, epoch))
}

// loadTimeoutFactor is how many load times a load may take, since concurrent loads slow each
// other down.
const loadTimeoutFactor = 3

// join has one member join and waits until it is ready.
func (o *operation) join(ctx context.Context, e *serving.Endpoint, order serving.Order, wait, expected, limit time.Duration) error {
	if err := pause(ctx, wait); err != nil {
		return err
	}
	if err := o.ensure(ctx, e, order, inGroup(order.Group, order.Epoch)); err != nil {
		return err
	}
	return o.await(ctx, e, expected+joinPollDelay, limit, ready(order.Group, order.Epoch))
}

// startDissolve starts to dissolve a group; the caller holds the lock.
func (c *Controller) startDissolve(ctx context.Context, g *group, reason string) {
	op := c.begin(g.members, purposeDissolve)
	c.log.Info("started dissolving a group", "group", g.name, "epoch", g.epoch, "reason", reason, "members", len(g.members))
	c.running.Go(func() {
		defer op.finish()
		start := time.Now()
		if reason == reasonDraining {
			op.drain(ctx, g)
		}
		err := op.dissolve(ctx, g)
		c.log.Info("finished dissolving a group", "group", g.name, "epoch", g.epoch, "took", time.Since(start), "error", err)
	})
}

// dissolve orders each member to leave. No endpoint joins another group before it has left its
// own: the head may still be open even if it is unlisted and unreachable from here. Without
// its members an open head stalls.
func (o *operation) dissolve(ctx context.Context, g *group) error {
	leave := serving.Order{Kind: serving.OrderLeave, Group: g.name, Epoch: g.epoch, Fence: o.epoch}
	errs := make([]error, len(g.members))
	var wg sync.WaitGroup
	for i, e := range g.members {
		wg.Go(func() {
			if o.isMemberDead(e) {
				errs[i] = errMemberLost
				return
			}
			if errs[i] = o.ensure(ctx, e, leave, left(g.name, g.epoch)); errs[i] == nil {
				o.release(e)
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (o *operation) isMemberDead(e *serving.Endpoint) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isDead(e, time.Now())
}

// release frees an endpoint that has left its group, unless the next operation already has it.
func (o *operation) release(e *serving.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy[e.ID] == o {
		delete(o.busy, e.ID)
	}
}

// drain waits, within a bound, until the head has no requests.
func (o *operation) drain(ctx context.Context, g *group) {
	until := time.Now().Add(o.options.DrainWait)
	for time.Now().Before(until) {
		report, err := o.report(ctx, g.head)
		if err != nil || report.Running+report.Queued == 0 {
			return
		}
		if pause(ctx, 2*checkInterval) != nil {
			return
		}
	}
}

// startStaging loads a model to a spare's host; the caller holds the lock.
func (c *Controller) startStaging(ctx context.Context, s staging, engine *serving.Engine, now time.Time) {
	c.stagingOrders[s.endpoint.ID] = stagingOrder{s.model.Name, now.Add(loadTimeoutFactor*s.model.LoadTime + joinTimeoutMargin)}
	wait := c.reserveLoad(engine, now)
	order := serving.Order{Kind: serving.OrderStage, Model: s.model.Name, Fence: c.epoch}
	op := &operation{Controller: c, epoch: c.epoch}
	c.running.Go(func() {
		if pause(ctx, wait) != nil {
			return
		}
		err := op.ensure(ctx, s.endpoint, order, func(r serving.Report) bool { return slices.Contains(r.Staged, s.model.Name) })
		c.log.Info("ordered a spare to stage a model", "endpoint", string(s.endpoint.ID), "model", s.model.Name, "error", err)
	})
}
