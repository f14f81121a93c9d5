package relay

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// flight is one request at an endpoint.
type flight struct {
	balancer *Balancer
	endpoint serving.EndpointID
	epoch    uint64
	size     RequestSize
	reading  bool
	// began is when the request was sent.
	began time.Time
	// last is when the endpoint last sent something of this request, or when it was
	// sent.
	last time.Time
	// head is the group's, nil at a plain endpoint.
	head *directory.Head
}

// begin counts a request that is sent to an endpoint.
func (b *Balancer) begin(e *serving.Endpoint, s RequestSize, now time.Time) *flight {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(e.ID)
	if l.running == 0 {
		// Silence counts from here: nothing was due before.
		l.lastActive = now
	}
	l.running++
	l.unread += s.Prompt
	l.context += s.Prompt
	return &flight{balancer: b, endpoint: e.ID, epoch: e.Membership.Epoch, size: s, reading: true, began: now, last: now}
}

// maxPause bounds a pause that counts for an endpoint's pace: a longer one is a stall,
// and has its own remedy.
const maxPause = time.Second

// event notes that the endpoint has sent something of the request.
func (f *flight) event(now time.Time) {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	l := f.balancer.load(f.endpoint)
	if !f.reading && f.head != nil && l.leads(f.epoch) {
		l.paces.Record(min(maxPause, now.Sub(f.last)), passTime(f.head, l), now)
	}
	f.last = now
	l.lastActive, l.event = now, now
	l.suspectUntil = time.Time{}
	if r := f.balancer.remotes[l.dataCentre]; r != nil {
		r.failures = 0
	}
	if f.reading {
		f.reading = false
		l.unread -= f.size.Prompt
	}
}

// end takes the request off the endpoint's count.
func (f *flight) end() {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	l := f.balancer.load(f.endpoint)
	l.running--
	l.context -= f.size.Prompt
	if f.reading {
		f.reading = false
		l.unread -= f.size.Prompt
	}
}

// note counts what the request came to.
func (f *flight) note(failed bool, now time.Time) {
	b := f.balancer
	b.mu.Lock()
	l := b.load(f.endpoint)
	if l.leads(f.epoch) {
		l.results.Record(failed, now)
	}
	b.mu.Unlock()
	if failed && b.weights.Failures == health.Suspect {
		b.Suspect(f.endpoint, now)
	}
}

// silence returns how long nothing at all has come from the endpoint.
func (f *flight) silence(now time.Time) time.Duration {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	l := f.balancer.load(f.endpoint)
	evidence := health.Evidence{LocalEvent: l.lastActive, Waiting: f.reading}
	if f.balancer.weights.SharedEvents {
		evidence.PeerEvent = l.peers.LastEvent
	}
	return evidence.SilentFor(now)
}

// quiet returns how long nothing has come of this very request.
func (f *flight) quiet(now time.Time) time.Duration {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	return now.Sub(f.last)
}
