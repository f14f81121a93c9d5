package relay

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// PeerReports is what several other nodes of this data centre find.
type PeerReports struct {
	// Unreachable data centres cannot be reached; Suspects are silent or failing endpoints.
	Unreachable map[serving.DataCentre]bool
	Suspects    map[serving.EndpointID]bool
}

// localEvidenceTTL is for how long what an endpoint or a data centre has shown this node itself
// counts against what others find.
const localEvidenceTTL = 300 * time.Millisecond

// SetPeerReports takes what other nodes find. Without it each node loses half a second of some
// requests to find out by itself.
func (b *Balancer) SetPeerReports(h PeerReports) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerReports = h
}

// isPeerSuspected reports whether other nodes find an endpoint silent, or its data centre cut
// off, and it has shown no life to this node lately.
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
	for dc := range b.remotes {
		if b.isUnreachable(dc, now) {
			out = append(out, dc)
		}
	}
	return out
}

// remoteState is what this node finds of another data centre.
type remoteState struct {
	// failures counts those of its endpoints since one of them showed life.
	failures int
	// until is when it is tried again.
	retryAt time.Time
}

const (
	// unreachableAfter is the number of failures in a row after which another data
	// centre counts as cut off. It is tried again with one request after
	// cutRetry, and after twice that each time, for cutDoublings times.
	unreachableAfter  = 2
	unreachableRetry  = 2 * time.Second
	maxRetryDoublings = 2
)

// retryDelay is the time until a data centre that seems cut off is tried again.
func (r *remoteState) retryDelay() time.Duration {
	return unreachableRetry << min(max(0, r.failures-unreachableAfter), maxRetryDoublings)
}

// isUnreachable reports whether another data centre is not to be tried now. Without
// this, each node lost half a second of a request to each group of a data centre
// that was cut off, again and again.
func (b *Balancer) isUnreachable(dataCentre serving.DataCentre, now time.Time) bool {
	r := b.remotes[dataCentre]
	return b.weights.SkipUnreachable && r != nil && r.failures >= unreachableAfter && now.Before(r.retryAt)
}

// recordRemoteAttempt has a data centre that seems cut off tried by one request only.
func (b *Balancer) recordRemoteAttempt(dataCentre serving.DataCentre, now time.Time) {
	if r := b.remotes[dataCentre]; r != nil && r.failures >= unreachableAfter {
		r.retryAt = now.Add(r.retryDelay())
	}
}

// recordRemoteFailure counts a failure of an endpoint of another data centre; the
// caller holds the lock.
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
