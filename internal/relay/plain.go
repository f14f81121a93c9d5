package relay

import (
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// suspectScore exceeds the score of any load.
	suspectScore = 1000
	// failureScore is the score of an endpoint that fails all requests; a failure rate of one
	// in twenty counts like three requests in flight.
	failureScore = 120
)

// ChoosePlain picks the endpoint of a plain service with the fewest requests in flight and the
// lowest failure rate. Flapping or failing endpoints are left to recover, as the others have the
// capacity. Endpoints in unreachable data centres only get probes: a dial is given up after 0.7 s,
// which is all or most of the time that such a request has.
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
