package relay

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// activeRequest is one request at an endpoint.
type activeRequest struct {
	balancer   *Balancer
	endpoint   serving.EndpointID
	epoch      uint64
	size       RequestSize
	prefilling bool
	// began is when the request was sent.
	sentAt time.Time
	// last is when the endpoint last sent something of this request, or when it was
	// sent.
	lastEventAt time.Time
	// head is the group's, nil at a plain endpoint.
	head *directory.Head
}

// begin counts a request that is sent to an endpoint.
func (b *Balancer) begin(e *serving.Endpoint, s RequestSize, now time.Time) *activeRequest {
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
	return &activeRequest{balancer: b, endpoint: e.ID, epoch: e.Membership.Epoch, size: s, prefilling: true, sentAt: now, lastEventAt: now}
}

// maxEventGap bounds a pause that counts for an endpoint's pace: a longer one is a stall,
// and has its own remedy.
const maxEventGap = time.Second

// recordEvent notes that the endpoint has sent something of the request.
func (a *activeRequest) recordEvent(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	l := a.balancer.load(a.endpoint)
	if !a.prefilling && a.head != nil && l.advanceEpoch(a.epoch) {
		l.paces.Record(min(maxEventGap, now.Sub(a.lastEventAt)), passTime(a.head, l), now)
	}
	a.lastEventAt = now
	l.lastActive, l.lastEvent = now, now
	l.suspectUntil = time.Time{}
	if r := a.balancer.remotes[l.dataCentre]; r != nil {
		r.failures = 0
	}
	if a.prefilling {
		a.prefilling = false
		l.unread -= a.size.Prompt
	}
}

// end takes the request off the endpoint's count.
func (a *activeRequest) end() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	l := a.balancer.load(a.endpoint)
	l.running--
	l.context -= a.size.Prompt
	if a.prefilling {
		a.prefilling = false
		l.unread -= a.size.Prompt
	}
}

// recordOutcome counts what the request came to.
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

// endpointSilence returns how long nothing at all has come from the endpoint.
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

// requestSilence returns how long nothing has come of this very request.
func (a *activeRequest) requestSilence(now time.Time) time.Duration {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	return now.Sub(a.lastEventAt)
}
