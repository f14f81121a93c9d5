package limits

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/limit"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// askTimeout bounds a request's wait for a place: other endpoints may have one at once.
	askTimeout = 150 * time.Millisecond
	// silentFor is how long after a call that was not answered the data centre's places are
	// not asked for.
	silentFor = 500 * time.Millisecond
	// noShareFor is how long an endpoint is passed over whose places cannot be asked for and
	// of which this node's own part gave none.
	noShareFor = 100 * time.Millisecond
	// shareAfter is how long after its start a node takes nothing by itself: it does not know
	// yet how many nodes there are.
	shareAfter = 2 * time.Second
	// mostReturn bounds the time after which callers are told to come back.
	mostReturn = 10 * time.Second
)

// Answer is what the node that gives out the places at an endpoint says.
type Answer struct {
	Granted bool
	// Wait is the time until the next place, if there is none.
	Wait time.Duration
	// Limit is what that node knows of the limit.
	Limit limit.Limit
}

// Place reports whether a request may be sent to an endpoint, and takes the place if so.
func (k *Keeper) Place(ctx context.Context, e *serving.Endpoint) bool {
	known := k.Known(e.Incarnation())
	if !known.InForce() {
		return true
	}
	if k.isSilent(e.DataCentre) {
		return k.takeShare(e, known)
	}
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := k.options.Ask(asking, e, known)
	if err != nil && ctx.Err() != nil {
		// The caller has gone, or its time is over: that says nothing of who was asked.
		return false
	}
	if err != nil {
		k.noteSilent(e.DataCentre, err)
		return k.takeShare(e, known)
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteLocked(e.Incarnation(), answer.Limit, "the node that gives its places out", now)
	if !answer.Granted {
		k.full[e.Incarnation()] = now.Add(answer.Wait)
		k.count("denied")
		return false
	}
	k.count("granted")
	return true
}

func (k *Keeper) count(outcome string) {
	if k.options.Metrics != nil {
		k.options.Metrics.Inc("limited_places", map[string]string{"outcome": outcome})
	}
}

func (k *Keeper) isSilent(dc serving.DataCentre) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Now().Before(k.silent[dc])
}

func (k *Keeper) noteSilent(dc serving.DataCentre, err error) {
	k.log.Info("places of a data centre's endpoints cannot be asked for; this node takes its own part", "data_centre", string(dc), "error", err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent[dc] = time.Now().Add(silentFor)
}

// takeShare takes a place by this node alone, if its part of the limit gives one.
func (k *Keeper) takeShare(e *serving.Endpoint, known limit.Limit) bool {
	now := time.Now()
	nodes := 1
	if k.options.Nodes != nil {
		nodes = k.options.Nodes()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	share := k.shares[e.Incarnation()]
	if share == nil {
		share = &limit.Share{}
		k.shares[e.Incarnation()] = share
	}
	if now.Sub(k.began) >= shareAfter && share.Take(known.PerSecond, nodes, rand.Float64, now) {
		k.count("own")
		return true
	}
	k.full[e.Incarnation()] = now.Add(noShareFor)
	k.count("none")
	return false
}

// Grant gives out a place at an endpoint, for any node that asks, by what it knows of the
// limit.
func (k *Keeper) Grant(incarnation serving.Incarnation, known limit.Limit, now time.Time) Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteLocked(incarnation, known, "a node that asks", now)
	l := k.book.Get(incarnation)
	if !l.InForce() {
		return Answer{Granted: true, Limit: l}
	}
	pacer := k.pacers[incarnation]
	if pacer == nil {
		pacer = &limit.Pacer{}
		k.pacers[incarnation] = pacer
	}
	granted, wait := pacer.Take(l.PerSecond, now)
	return Answer{Granted: granted, Wait: wait, Limit: l}
}

// Return is the time after which a caller may come back that found no place at any of some
// endpoints. Each caller is told a later one, by the part of the limit that this node would
// have if all nodes told theirs so.
func (k *Keeper) Return(endpoints []*serving.Endpoint, now time.Time) time.Duration {
	nodes := 1
	if k.options.Nodes != nil {
		nodes = max(1, k.options.Nodes())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var best serving.Incarnation
	var at time.Time
	for _, e := range endpoints {
		incarnation := e.Incarnation()
		if !k.book.Get(incarnation).InForce() {
			continue
		}
		next := later(k.full[incarnation], k.promised[incarnation], now)
		if at.IsZero() || next.Before(at) {
			best, at = incarnation, next
		}
	}
	if at.IsZero() {
		return 0
	}
	spacing := time.Duration(float64(nodes) / k.book.Get(best).PerSecond * float64(time.Second))
	k.promised[best] = at.Add(min(spacing, mostReturn))
	return min(mostReturn, at.Sub(now))
}

// later returns the latest of some times.
func later(times ...time.Time) time.Time {
	var latest time.Time
	for _, t := range times {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}
