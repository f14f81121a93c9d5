package control

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
)

// watch is one endpoint that this node polls.
type watch struct {
	address string
	next    time.Time
	busy    bool
	tag     string
	last    fleet.Report
	known   bool
	// refused counts the connections refused in a row.
	refused int
}

// refusedLimit is how many refusals in a row mean that an endpoint is gone.
// One alone may be an endpoint that is just being replaced.
const refusedLimit = 2

const watchesInterval = 200 * time.Millisecond

// watchEndpoints polls the endpoints that are this node's to watch.
func (l *Loop) watchEndpoints(now time.Time) {
	if now.After(l.next.watches) {
		l.next.watches = now.Add(watchesInterval)
		l.shareWatches(now)
	}
	for id, w := range l.watches {
		if !w.busy && !now.Before(w.next) {
			l.poll(now, id, w)
		}
	}
}

// shareWatches works out anew which endpoints are this node's to watch, if
// the nodes or the endpoints have changed.
func (l *Loop) shareWatches(now time.Time) {
	live := l.tracker.WatchCandidates(now)
	key := watchKey(live, l.listed)
	if key == l.watchKey {
		return
	}
	l.watchKey = key
	for id, in := range l.instances {
		if !l.tracker.Watches(live, id) {
			continue
		}
		if w := l.watches[id]; w == nil || w.address != in.Address {
			first := time.Duration(l.random.Int64N(int64(l.intervals.Poll)/4 + 1))
			l.watches[id] = &watch{address: in.Address, next: now.Add(first)}
		}
	}
	for id := range l.watches {
		if _, listed := l.instances[id]; !listed || !l.tracker.Watches(live, id) {
			// The own report is left to lapse by itself, so that the new
			// watchers have time to take over.
			delete(l.watches, id)
		}
	}
	l.rescale(len(live))
}

func watchKey(live []membership.NodeID, listed time.Time) string {
	var b strings.Builder
	for _, id := range live {
		b.WriteString(string(id))
		b.WriteByte(' ')
	}
	b.WriteString(listed.String())
	return b.String()
}

// polled is the answer of an endpoint to a status poll.
type polled struct {
	id      fleet.InstanceID
	watch   *watch
	asked   time.Time
	report  fleet.Report
	tag     string
	changed bool
	err     error
}

func (l *Loop) poll(now time.Time, id fleet.InstanceID, w *watch) {
	w.busy = true
	w.next = now.Add(l.jitter(l.intervals.Poll))
	tag := w.tag
	address := w.address
	l.async(func(ctx context.Context) event {
		asked := time.Now()
		report, newTag, changed, err := l.options.Engine.Status(ctx, address, tag)
		return polled{id, w, asked, report, newTag, changed, err}
	})
}

func (e polled) apply(l *Loop, now time.Time) {
	w := e.watch
	w.busy = false
	if l.watches[e.id] != w {
		return
	}
	if e.err != nil {
		l.pollFailed(now, e)
		return
	}
	w.refused = 0
	w.tag = e.tag
	if e.changed {
		w.last = e.report
		w.known = true
	}
	if !w.known || w.last.Instance != e.id {
		// Another instance answers at this address.
		l.tracker.Unreachable(now, e.id)
		return
	}
	l.tracker.Observe(e.asked, w.last)
}

func (l *Loop) pollFailed(now time.Time, e polled) {
	w := e.watch
	w.tag = ""
	if !errors.Is(e.err, engine.ErrRefused) {
		// No answer proves nothing; the evidence lapses by itself.
		return
	}
	w.refused++
	if w.refused < refusedLimit {
		w.next = now
		return
	}
	l.tracker.Unreachable(now, e.id)
}
