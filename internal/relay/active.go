package relay

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// activeRequest is a request in flight at an endpoint.
type activeRequest struct {
	balancer   *Balancer
	endpoint   serving.EndpointID
	epoch      uint64
	size       RequestSize
	prefilling bool
	sentAt     time.Time
	// lastEventAt is when the endpoint last sent an event of this request, initially sentAt.
	lastEventAt time.Time
	// firstEventAt is when the endpoint sent the first event of this request, or zero; cleared is set
	// once the parts of the prompt were cleared by it. Only the request's own goroutine uses them.
	firstEventAt time.Time
	cleared      bool
	// head is nil for plain endpoints.
	head *directory.Head
	// heldUp is set once an event waited for the caller: the next gap is not the endpoint's.
	heldUp bool
}

// begin counts a request that is being sent to an endpoint.
func (b *Balancer) begin(e *serving.Endpoint, s RequestSize, now time.Time) *activeRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(e.ID)
	if l.running == 0 {
		// Silence is measured from here: nothing was due before.
		l.lastActive = now
	}
	l.running++
	b.running++
	l.unread += s.Prompt
	l.context += s.Prompt
	return &activeRequest{balancer: b, endpoint: e.ID, epoch: e.Membership.Epoch, size: s, prefilling: true, sentAt: now, lastEventAt: now}
}

// maxEventGap bounds the gaps that count towards an endpoint's pace: longer ones are stalls, which
// are handled separately.
const maxEventGap = time.Second

// recordEvent records that the endpoint sent an event of the request.
func (a *activeRequest) recordEvent(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	l := a.balancer.load(a.endpoint)
	if !a.prefilling && !a.heldUp && a.head != nil && l.advanceEpoch(a.epoch) {
		l.paces.Record(min(maxEventGap, now.Sub(a.lastEventAt)), passTime(a.head, l), now)
	}
	a.lastEventAt, a.heldUp = now, false
	l.lastActive, l.lastEvent = now, now
	a.balancer.lastEvent = now
	l.suspectUntil = time.Time{}
	if r := a.balancer.remotes[l.dataCentre]; r != nil {
		r.failures = 0
	}
	if a.prefilling {
		a.prefilling = false
		a.firstEventAt = now
		l.unread -= a.size.Prompt
	}
}

// progress returns for how long the endpoint has sent events of this request.
func (a *activeRequest) progress(now time.Time) time.Duration {
	if a.firstEventAt.IsZero() {
		return 0
	}
	return now.Sub(a.firstEventAt)
}

// slowWrite is how long an event's write may take before the caller counts as the reason for what
// follows.
const slowWrite = 10 * time.Millisecond

// write calls a function that writes to the caller, and returns how long the caller held it up. Nothing is read from the
// endpoint meanwhile, and its silence is not looked at.
func (a *activeRequest) write(f func()) time.Duration {
	began := time.Now()
	f()
	now := time.Now()
	took := now.Sub(began)
	if took <= slowWrite {
		return 0
	}
	a.resumeReading(now)
	return took
}

// resumeReading makes silence count from now on.
func (a *activeRequest) resumeReading(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.lastEventAt, a.heldUp = now, true
	a.balancer.load(a.endpoint).lastActive = now
}

// end removes the request from the endpoint's load.
func (a *activeRequest) end() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	l := a.balancer.load(a.endpoint)
	l.running--
	a.balancer.running--
	l.context -= a.size.Prompt
	if a.prefilling {
		a.prefilling = false
		l.unread -= a.size.Prompt
	}
}

// recordOutcome counts a success or a failure of the endpoint.
func (a *activeRequest) recordOutcome(failed bool, now time.Time) {
	b := a.balancer
	b.mu.Lock()
	l := b.load(a.endpoint)
	if l.advanceEpoch(a.epoch) {
		l.results.Record(failed, now)
	}
	b.mu.Unlock()
	if failed && b.weights.Failures == health.Suspect {
		b.Suspect(a.endpoint, now)
	}
}

// endpointSilence returns how long the endpoint has sent nothing on any request.
func (a *activeRequest) endpointSilence(now time.Time) time.Duration {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	l := a.balancer.load(a.endpoint)
	evidence := health.Evidence{LocalEvent: l.lastActive, Waiting: a.prefilling}
	if a.balancer.weights.SharedEvents {
		evidence.PeerEvent = l.peers.LastEvent
	}
	return evidence.SilentFor(now)
}

// requestSilence returns how long the endpoint has sent nothing on this request.
func (a *activeRequest) requestSilence(now time.Time) time.Duration {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	return now.Sub(a.lastEventAt)
}
