package relay

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// PeerReports is what other nodes of this data centre report. Without it each node loses half a second
// of some requests to find out by itself.
type PeerReports struct {
	// Unreachable are data centres; Suspects are stalled or failing endpoints.
	Unreachable map[serving.DataCentre]bool
	Suspects    map[serving.EndpointID]bool
}

// localEvidenceTTL is how long an event from an endpoint outweighs the reports of peers about it
// and its data centre.
const localEvidenceTTL = 300 * time.Millisecond

// SetPeerReports sets the reports of other nodes, so that this node need not lose requests to
// discover the same failures.
func (b *Balancer) SetPeerReports(h PeerReports) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerReports = h
}

// isPeerSuspected reports whether peers suspect an endpoint or cannot reach its data centre, and
// this node has received nothing from it recently.
func (b *Balancer) isPeerSuspected(id serving.EndpointID, dataCentre serving.DataCentre, l *load, now time.Time) bool {
	if now.Sub(l.lastActive) < localEvidenceTTL {
		return false
	}
	return b.peerReports.Suspects[id] || dataCentre != b.home && b.peerReports.Unreachable[dataCentre]
}

// UnreachableDataCentres returns the data centres that this node cannot reach.
func (b *Balancer) UnreachableDataCentres(now time.Time) []serving.DataCentre {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []serving.DataCentre
	if b.linksLost {
		return out
	}
	for dc := range b.remotes {
		if b.isUnreachable(dc, now) {
			out = append(out, dc)
		}
	}
	return out
}

// remoteState is this node's view of another data centre.
type remoteState struct {
	// failures counts the failures since an endpoint there last sent an event.
	failures int
	// retryAt is when the data centre is tried again.
	retryAt time.Time
}

const (
	// unreachableAfter is the number of consecutive failures after which another data centre
	// counts as unreachable. It is then retried with single requests, after unreachableRetry at
	// first and twice as long each further time, for up to maxRetryDoublings doublings.
	unreachableAfter  = 2
	unreachableRetry  = 2 * time.Second
	maxRetryDoublings = 2
)

// retryDelay returns the time until an unreachable data centre is tried again.
func (r *remoteState) retryDelay() time.Duration {
	return unreachableRetry << min(max(0, r.failures-unreachableAfter), maxRetryDoublings)
}

// isUnreachable reports whether another data centre must not be tried now, so that requests don't
// wait for each of its groups to time out: every node would lose half a second of a request to each
// group, again and again.
func (b *Balancer) isUnreachable(dataCentre serving.DataCentre, now time.Time) bool {
	r := b.remotes[dataCentre]
	return b.weights.SkipUnreachable && r != nil && r.failures >= unreachableAfter && now.Before(r.retryAt)
}

// recordRemoteAttempt limits attempts at an unreachable data centre to one per retry delay.
func (b *Balancer) recordRemoteAttempt(dataCentre serving.DataCentre, now time.Time) {
	if r := b.remotes[dataCentre]; r != nil && r.failures >= unreachableAfter {
		r.retryAt = now.Add(r.retryDelay())
	}
}

// recordRemoteFailure counts a failure of an endpoint in another data centre; the caller must hold
// the lock.
func (b *Balancer) recordRemoteFailure(dataCentre serving.DataCentre, now time.Time) {
	if dataCentre == "" || dataCentre == b.home {
		return
	}
	r := b.remotes[dataCentre]
	if r == nil {
		r = &remoteState{}
		b.remotes[dataCentre] = r
	}
	r.failures++
	r.retryAt = now.Add(r.retryDelay())
}
