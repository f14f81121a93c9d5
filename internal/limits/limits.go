// Package limits keeps what entry instances send to an endpoint that limits how much it
// takes within its limit.
//
// An endpoint in need names in its answers how many requests a second it takes from all
// nodes together. No node can count for all, so one gives out the places at an endpoint: the
// node that relays for the endpoint's data centre. The others ask it for one before they
// send, and remember until when there is none. What any node was told of a limit, and of
// its end, it tells its peers; whoever asks for a place tells that node what it knows.
//
// A node that cannot ask takes a small part of the limit by itself, by chance: see
// limit.Share. What decides is pkg/limit; this package adds the lock, the log and the calls.
package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/pkg/limit"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Options of a Keeper.
type Options struct {
	// Ask asks the node that gives out the places at an endpoint for one. An error means
	// that it was not reached. nil has this node give out all places.
	Ask func(ctx context.Context, e *serving.Endpoint, known limit.Limit) (Answer, error)
	// Nodes returns how many nodes there are.
	Nodes   func() int
	Metrics *metrics.Metrics
}

// Keeper is what one node knows of limits, and the places that it has given out. It is safe
// for concurrent use.
type Keeper struct {
	options Options
	log     logging.Logger
	began   time.Time
	// inForce is the number of limits, so that requests take no lock while there are none.
	inForce atomic.Int64

	mu   sync.Mutex
	book *limit.Book
	// full tells until when endpoints have no place, promised until when callers have been
	// told to come back for those after that.
	full     map[serving.Incarnation]time.Time
	promised map[serving.Incarnation]time.Time
	shares   map[serving.Incarnation]*limit.Share
	// pacers are of the endpoints whose places this node gives out.
	pacers map[serving.Incarnation]*limit.Pacer
	// silent tells until when the places of a data centre are not asked for.
	silent map[serving.DataCentre]time.Time
}

// NewKeeper returns a keeper that knows no limit.
func NewKeeper(o Options) *Keeper {
	k := &Keeper{
		options:  o,
		log:      logging.For("limits"),
		began:    time.Now(),
		book:     limit.NewBook(),
		full:     map[serving.Incarnation]time.Time{},
		promised: map[serving.Incarnation]time.Time{},
		shares:   map[serving.Incarnation]*limit.Share{},
		pacers:   map[serving.Incarnation]*limit.Pacer{},
		silent:   map[serving.DataCentre]time.Time{},
	}
	if k.options.Ask == nil {
		k.options.Ask = func(_ context.Context, e *serving.Endpoint, known limit.Limit) (Answer, error) {
			return k.Grant(e.Incarnation(), known, time.Now()), nil
		}
	}
	return k
}

// Named notes that an endpoint has named a limit to this node.
func (k *Keeper) Named(incarnation serving.Incarnation, perSecond float64, now time.Time) {
	k.note(incarnation, limit.Limit{PerSecond: perSecond, At: now}, "its answer", now)
}

// NotNamed notes that an answer to a request that was sent at some time named no limit. One
// that was sent before the limit was last named tells nothing of its end.
func (k *Keeper) NotNamed(incarnation serving.Incarnation, sent, now time.Time) {
	if k.inForce.Load() > 0 {
		k.note(incarnation, limit.Limit{At: sent}, "its answer", now)
	}
}

func (k *Keeper) note(incarnation serving.Incarnation, l limit.Limit, source string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteLocked(incarnation, l, source, now)
}

// noteLocked takes what an endpoint said; the caller holds the lock.
func (k *Keeper) noteLocked(incarnation serving.Incarnation, l limit.Limit, source string, now time.Time) {
	before := k.book.Get(incarnation)
	if !k.book.Note(incarnation, l) {
		return
	}
	k.inForce.Store(int64(k.book.InForce()))
	if !l.InForce() {
		delete(k.full, incarnation)
		delete(k.promised, incarnation)
	}
	k.log.Info("an endpoint's limit has changed", "endpoint", string(incarnation.ID), "started_at", incarnation.StartedAt, "per_second", l.PerSecond,
		"before", before.PerSecond, "source", source, "age", now.Sub(l.At))
}

// Known returns what is known of an endpoint's limit.
func (k *Keeper) Known(incarnation serving.Incarnation) limit.Limit {
	if k.inForce.Load() == 0 {
		return limit.Limit{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Get(incarnation)
}

// Full reports whether an endpoint is known to have no place now.
func (k *Keeper) Full(e *serving.Endpoint, now time.Time) bool {
	if k.inForce.Load() == 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Before(k.full[e.Incarnation()])
}

// InForce returns the number of limits that are known.
func (k *Keeper) InForce() int { return int(k.inForce.Load()) }

// Forget drops what is known of incarnations that are over.
func (k *Keeper) Forget(listed map[serving.EndpointID]*serving.Endpoint, now time.Time) {
	incarnations := func(incarnation serving.Incarnation) bool {
		e := listed[incarnation.ID]
		return e != nil && e.StartedAt <= incarnation.StartedAt
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Forget(incarnations, now)
	k.inForce.Store(int64(k.book.InForce()))
	forget(k.full, k.book)
	forget(k.promised, k.book)
	forget(k.shares, k.book)
	forget(k.pacers, k.book)
}

// forget drops what is kept of incarnations without a limit.
func forget[V any](kept map[serving.Incarnation]V, book *limit.Book) {
	for incarnation := range kept {
		if !book.Get(incarnation).InForce() {
			delete(kept, incarnation)
		}
	}
}

// Suspended makes what endpoints said older by the time for which the machine was suspended.
func (k *Keeper) Suspended(by time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Age(by)
}
