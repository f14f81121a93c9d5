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

// ownEvidenceFor is for how long what an endpoint or a data centre has shown this node itself
// counts against what others find.
const ownEvidenceFor = 300 * time.Millisecond

// SetPeerReports takes what other nodes find. Without it each node loses half a second of some
// requests to find out by itself.
func (b *Balancer) SetPeerReports(h PeerReports) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = h
}

// isDoubtful reports whether other nodes find an endpoint silent, or its data centre cut
// off, and it has shown no life to this node lately.
func (b *Balancer) isDoubtful(id serving.EndpointID, dataCentre serving.DataCentre, l *load, now time.Time) bool {
	if now.Sub(l.lastActive) < ownEvidenceFor {
		return false
	}
	return b.told.Suspects[id] || dataCentre != b.home && b.told.Unreachable[dataCentre]
}

// UnreachableDataCentres returns the data centres that this node cannot reach.
func (b *Balancer) UnreachableDataCentres(now time.Time) []serving.DataCentre {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []serving.DataCentre
	for dc := range b.remotes {
		if b.isCutOff(dc, now) {
			out = append(out, dc)
		}
	}
	return out
}

// remote is what this node finds of another data centre.
type remote struct {
	// failures counts those of its endpoints since one of them showed life.
	failures int
	// until is when it is tried again.
	until time.Time
}

const (
	// cutAfter is the number of failures in a row after which another data
	// centre counts as cut off. It is tried again with one request after
	// cutRetry, and after twice that each time, for cutDoublings times.
	cutAfter     = 2
	cutRetry     = 2 * time.Second
	cutDoublings = 2
)

// retry is the time until a data centre that seems cut off is tried again.
func (r *remote) retry() time.Duration {
	return cutRetry << min(max(0, r.failures-cutAfter), cutDoublings)
}

// isCutOff reports whether another data centre is not to be tried now. Without
// this, each node lost half a second of a request to each group of a data centre
// that was cut off, again and again.
func (b *Balancer) isCutOff(dataCentre serving.DataCentre, now time.Time) bool {
	r := b.remotes[dataCentre]
	return b.weights.SkipUnreachable && r != nil && r.failures >= cutAfter && now.Before(r.until)
}

// noteTry has a data centre that seems cut off tried by one request only.
func (b *Balancer) noteTry(dataCentre serving.DataCentre, now time.Time) {
	if r := b.remotes[dataCentre]; r != nil && r.failures >= cutAfter {
		r.until = now.Add(r.retry())
	}
}

// noteFailure counts a failure of an endpoint of another data centre; the
// caller holds the lock.
func (b *Balancer) noteFailure(dataCentre serving.DataCentre, now time.Time) {
	if dataCentre == "" || dataCentre == b.home {
		return
	}
	r := b.remotes[dataCentre]
	if r == nil {
		r = &remote{}
		b.remotes[dataCentre] = r
	}
	r.failures++
	r.until = now.Add(r.retry())
}
