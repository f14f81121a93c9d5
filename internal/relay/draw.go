package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Weights set how requests are spread and rejected.
type Weights struct {
	// RemotePenalty is added to the predicted time of an endpoint in another data
	// centre: bytes between data centres cost.
	RemotePenalty time.Duration
	// DrawPower sets how much likelier a sooner group is drawn: with a half of
	// the predicted time, 2^DrawPower times.
	DrawPower float64
	// LateFactor times its objective is the predicted time to the first event
	// beyond which a request is rejected: what it would add to a group that is
	// behind makes those after it late as well.
	LateFactor float64
	// OverloadRetryAfter is after what time callers may come back that found all
	// groups full: it leaves time for the prompts ahead to be read, and for an
	// answer that is still in time.
	OverloadRetryAfter time.Duration
	// SkipUnreachable skips a data centre after several of its endpoints failed in a row.
	SkipUnreachable bool
	// Failures is what an endpoint's failures do to the choice of it.
	Failures health.FailurePolicy
	// ObservedPace has groups chosen by the pace of their events, beside the engine's
	// speed: one with a slow member is slow, which no row tells.
	ObservedPace bool
	// SharedEvents has events that an endpoint gives other nodes show that it lives.
	SharedEvents bool
}

// DefaultWeights were found by the rounds in docs/DECISIONS.md.
var DefaultWeights = Weights{
	RemotePenalty:      50 * time.Millisecond,
	DrawPower:          2,
	LateFactor:         1.5,
	OverloadRetryAfter: 100 * time.Millisecond,
	SkipUnreachable:    true,
	Failures:           health.Compare,
	ObservedPace:       true,
	SharedEvents:       true,
}

// degradedPenalty keeps requests off a group with a leaving member while there
// is another.
const degradedPenalty = time.Second

// retrySlotFactor is the part of its slots up to which a head takes requests that
// were under way elsewhere: they are let in ahead of those that wait there.
const retrySlotFactor = 1.5

// Choice is the outcome of a choice among groups, with why others were passed
// over.
type Choice struct {
	// Head is nil if no group was left.
	Head      *directory.Head
	Predicted Prediction
	Groups    int
	// Incomplete lack a member; Suspected failed or fell silent lately; Tried
	// have failed this very request; Full have no slot.
	Incomplete   int
	Suspected    int
	AlreadyTried int
	Full         int
	// Late are predicted to have the first event too late.
	Late int
	// Limited have no permit of their rate limit, CoolingDown have asked this node to send
	// nothing for a while, and Draining leave.
	Limited     int
	CoolingDown int
	Draining    int
}

// ChooseHead draws a group, the likelier the sooner the request is predicted to
// have its first event there. What the other nodes have under way is known a
// fraction of a second late, in which a group reads several prompts: if every
// node sent to the best group by these figures, it would be overrun by the time
// that the others learn of it. A request that was under way elsewhere may wait
// at a full group.
func (b *Balancer) ChooseHead(heads []*directory.Head, s RequestSize, failed []serving.EndpointID, isRetry bool, now time.Time) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := Choice{Groups: len(heads)}
	candidates, peerSuspected := b.candidates[:0], b.peerSuspected[:0]
	for _, h := range heads {
		l := b.load(h.ID)
		l.dataCentre = h.DataCentre
		predicted := predict(h, l, s)
		slots := h.Slots
		if isRetry {
			slots = int(retrySlotFactor * float64(slots))
		}
		switch hold := b.hold(h.Endpoint, now); {
		case h.Incomplete:
			c.Incomplete++
		case slices.Contains(failed, h.ID):
			c.AlreadyTried++
		case hold == throttle.HoldDraining:
			c.Draining++
		case hold == throttle.HoldCooldown:
			c.CoolingDown++
		case now.Before(l.suspectUntil), b.isUnreachable(h.DataCentre, now):
			c.Suspected++
		case predicted.Running >= slots:
			c.Full++
		case hold == throttle.HoldRateLimit:
			c.Limited++
		case !isRetry && s.isLate(predicted, b.weights.LateFactor):
			c.Late++
		case b.isPeerSuspected(h.ID, h.DataCentre, l, now):
			peerSuspected = append(peerSuspected, b.candidate(h, l, predicted, now))
		default:
			candidates = append(candidates, b.candidate(h, l, predicted, now))
		}
	}
	b.candidates, b.peerSuspected = candidates, peerSuspected
	if len(candidates) == 0 {
		// What others find is no ground to turn a request away.
		candidates = peerSuspected
	}
	if drawn := b.draw(candidates, b.remoteWeight(candidates)); drawn != nil {
		c.Head, c.Predicted = drawn.head, drawn.predicted
		b.recordRemoteAttempt(drawn.head.DataCentre, now)
	}
	return c
}

// candidate is a group that a request may go to.
type candidate struct {
	head      *directory.Head
	predicted Prediction
	score     time.Duration
	// health is the part of its weight that its failures leave it.
	health float64
}

func (b *Balancer) candidate(h *directory.Head, l *load, predicted Prediction, now time.Time) candidate {
	tally, pace := l.observed(h.Membership.Epoch, now)
	slowdown := 1.0
	if b.weights.ObservedPace {
		slowdown = pace.Factor()
	}
	c := candidate{h, predicted, b.score(h, predicted, slowdown), 1}
	if b.weights.Failures == health.Compare {
		c.health = health.Weight(tally.Rate())
	}
	return c
}

// score is the time that a group is ranked by, some times slower than reckoned.
func (b *Balancer) score(h *directory.Head, predicted Prediction, slowdown float64) time.Duration {
	score := max(time.Duration(slowdown*float64(predicted.First)), time.Millisecond)
	if h.DataCentre != b.home {
		score += b.weights.RemotePenalty
	}
	if h.Degraded {
		score += degradedPenalty
	}
	return score
}

// maxRemoteRatio is the number of other data centres for which RemotePenalty was found.
const maxRemoteRatio = 2

// remoteWeight is what the weights of groups of other data centres are multiplied with:
// together they weigh no more than those of usualRemotes as large as the own one would.
// Otherwise most requests would leave their own where there are many data centres, cost bytes,
// and be lost when one is cut off.
func (b *Balancer) remoteWeight(candidates []candidate) float64 {
	home := 0
	for _, c := range candidates {
		if c.head.DataCentre == b.home {
			home++
		}
	}
	remote := len(candidates) - home
	if home == 0 || remote == 0 {
		return 1
	}
	return min(1, float64(maxRemoteRatio*home)/float64(remote))
}

// draw picks one candidate at random, weighted by their scores, those of other data
// centres by a factor more.
func (b *Balancer) draw(candidates []candidate, remoteWeight float64) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	best := slices.MinFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.score, y.score) }).score
	var drawn *candidate
	total := 0.0
	for i := range candidates {
		// Each candidate replaces the one drawn so far with its part of the
		// weights up to here.
		weight := candidates[i].health * math.Pow(float64(best)/float64(candidates[i].score), b.weights.DrawPower)
		if candidates[i].head.DataCentre != b.home {
			weight *= remoteWeight
		}
		total += weight
		if b.random.Float64()*total < weight {
			drawn = &candidates[i]
		}
	}
	return drawn
}
