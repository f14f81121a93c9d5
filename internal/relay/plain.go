package relay

import (
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// suspectScore is more than what any endpoint has under way.
	suspectScore = 1000
	// failureScore is what an endpoint that fails all requests counts for; one that
	// fails a twentieth more than another is as if it had three requests more.
	failureScore = 120
)

// ChoosePlain picks the endpoint of a plain service with the least under way, and with
// the least failures. An endpoint that goes down and up by turns, or fails a part of
// what it is sent, is left to the others, which have places enough. One of a data centre
// that is cut off is none: a request would be held until its dial is given up, 0.7 s of
// the 0.6 or 0.8 that it has, and refused then.
func (b *Balancer) ChoosePlain(endpoints []*serving.Endpoint, failed []serving.EndpointID, now time.Time) (*serving.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotation++
	var best *serving.Endpoint
	bestScore := 0
	for i := range endpoints {
		e := endpoints[(i+b.rotation)%len(endpoints)]
		l := b.load(e.ID)
		l.dataCentre = e.DataCentre
		if slices.Contains(failed, e.ID) || b.isUnreachable(e.DataCentre, now) || b.hold(e, now) != throttle.HoldNone {
			continue
		}
		score := 2 * (l.running + l.peers.Running)
		if now.Before(l.suspectUntil) {
			score += suspectScore
		}
		if b.weights.Failures == health.Compare {
			tally, _ := l.observed(e.Membership.Epoch, now)
			score += int(failureScore * tally.Rate())
		}
		if e.DataCentre != b.home {
			score++
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return nil, false
	}
	b.recordRemoteAttempt(best.DataCentre, now)
	return best, true
}
