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
	address   string
	next      time.Time
	busy      bool
	tag       string
	last      fleet.Report
	hasReport bool
	// refusals counts consecutive refused connections.
	refusals int
}

// maxRefusals is the number of consecutive refused connections after which an
// endpoint is unreachable. A single one may be an endpoint that restarts.
const maxRefusals = 2

const assignInterval = 200 * time.Millisecond

// watchEndpoints polls the endpoints assigned to this node.
func (l *Loop) watchEndpoints(now time.Time) {
	if now.After(l.next.watches) {
		l.next.watches = now.Add(assignInterval)
		l.assignWatches(now)
	}
	for id, w := range l.watches {
		if !w.busy && !now.Before(w.next) {
			l.poll(now, id, w)
		}
	}
}

// assignWatches recomputes which endpoints this node watches if the nodes or
// the endpoints have changed.
func (l *Loop) assignWatches(now time.Time) {
	live := l.tracker.WatchCandidates(now)
	key := watchKey(live, l.instancesChangedAt)
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
			// This node's report is left to expire, so that the new watchers
			// have time to take over.
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

// pollDone is the result of a status poll.
type pollDone struct {
	id      fleet.InstanceID
	watch   *watch
	sentAt  time.Time
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
		sentAt := time.Now()
		report, newTag, changed, err := l.options.Engine.Status(ctx, address, tag)
		return pollDone{id, w, sentAt, report, newTag, changed, err}
	})
}

func (e pollDone) apply(l *Loop, now time.Time) {
	w := e.watch
	w.busy = false
	if l.watches[e.id] != w {
		return
	}
	if e.err != nil {
		l.pollFailed(now, e)
		return
	}
	w.refusals = 0
	w.tag = e.tag
	if e.changed {
		w.last = e.report
		w.hasReport = true
	}
	if !w.hasReport || w.last.Instance != e.id {
		// Another instance uses this address now.
		l.tracker.Unreachable(now, e.id)
		return
	}
	l.tracker.Observe(e.sentAt, w.last)
}

func (l *Loop) pollFailed(now time.Time, e pollDone) {
	w := e.watch
	w.tag = ""
	if !errors.Is(e.err, engine.ErrRefused) {
		// A missing response proves nothing; the report expires by itself.
		return
	}
	w.refusals++
	if w.refusals < maxRefusals {
		w.next = now
		return
	}
	l.tracker.Unreachable(now, e.id)
}
