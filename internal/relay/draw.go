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

// Weights configures how requests are distributed and rejected.
type Weights struct {
	// RemotePenalty is added to the predicted time of an endpoint in another data centre, where
	// traffic has a cost.
	RemotePenalty time.Duration
	// DrawPower is the exponent of the inverse predicted time in the weight of a group: at
	// half the time, a group is drawn 2^DrawPower times as often.
	DrawPower float64
	// LateFactor times its objective is the predicted time to the first event beyond which a
	// request is rejected: admitting it to a group that is behind would make later requests
	// late too.
	LateFactor float64
	// OverloadRetryAfter is the Retry-After of requests that found all groups full: it leaves
	// time to process the prompts ahead, and for a response that is still in time.
	OverloadRetryAfter time.Duration
	// SkipUnreachable skips a data centre after several of its endpoints failed in a row.
	SkipUnreachable bool
	// Failures is how failures of an endpoint affect its selection.
	Failures health.FailurePolicy
	// ObservedPace ranks groups by the observed pace of their events too: the engine's nominal
	// speed does not show a slow member.
	ObservedPace bool
	// SharedEvents counts events that an endpoint sends to other nodes as signs of liveness.
	SharedEvents bool
	// FirstOffset adds to the predicted time to the first event by how much earlier ones of the
	// pool exceeded it: an engine may need a constant time that its description does not state.
	FirstOffset bool
	// FreeWeight draws groups with few free slots less often: they may be full already.
	FreeWeight bool
	// Affinity multiplies the weight of the heads that a node prefers so that connections are
	// reused, and its square that of heads with an idle connection; 1 turns it off.
	Affinity float64
	// ConnectionBound bounds the connections of all nodes to an endpoint by its service's
	// MaxConnections.
	ConnectionBound bool
}

// DefaultWeights are the weights used unless settings override them.
var DefaultWeights = Weights{
	RemotePenalty:      50 * time.Millisecond,
	DrawPower:          2,
	LateFactor:         1.5,
	OverloadRetryAfter: 100 * time.Millisecond,
	SkipUnreachable:    true,
	Failures:           health.Compare,
	ObservedPace:       true,
	SharedEvents:       true,
	Affinity:           1,
}

// degradedPenalty keeps requests off a group with a draining member while there is another.
const degradedPenalty = time.Second

// retrySlotFactor times its slots is the number of requests up to which a head is sent retries,
// which it admits ahead of those that queue there.
const retrySlotFactor = 1.5

// Choice is the result of a choice among groups, and counts why others were not chosen.
type Choice struct {
	// Head is nil if no group was available.
	Head      *directory.Head
	Predicted Prediction
	Groups    int
	// Incomplete groups lack a member; Suspected groups failed or stalled recently, or are in an
	// unreachable data centre; AlreadyTried groups failed this request; Full groups have no
	// free slot.
	Incomplete   int
	Suspected    int
	AlreadyTried int
	Full         int
	// LeastFull is the load of the full group with the fewest requests.
	LeastFull FullLoad
	// Late groups are predicted to send the first event too late.
	Late int
	// Limited groups have no permit of their rate limit, CoolingDown groups have asked this
	// node for a cooldown, and Draining groups are draining.
	Limited     int
	CoolingDown int
	Draining    int
}

// FullLoad is the load for which a group counts as full, for the log.
type FullLoad struct {
	// Own and Peers are the requests of this node and of the others.
	Own, Peers int
	Slots      int
	// PeersAge is the time since the loads of the others were added up.
	PeersAge time.Duration
}

// addFull counts a full group.
func (c *Choice) addFull(load FullLoad) {
	c.Full++
	if c.Full == 1 || load.Own+load.Peers < c.LeastFull.Own+c.LeastFull.Peers {
		c.LeastFull = load
	}
}

// ChooseHead draws a group at random, weighted by the predicted time to the first event. The loads
// of other nodes are known with a delay in which a group can process several prompts: if every node
// chose the best group, it would be overloaded before the others see it. A retry may queue at a full
// group.
func (b *Balancer) ChooseHead(heads []*directory.Head, s RequestSize, failed []serving.EndpointID, isRetry bool, now time.Time) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := Choice{Groups: len(heads)}
	b.selectSubset(heads, now)
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
			c.addFull(FullLoad{l.running, l.peers.Running, slots, now.Sub(b.peerLoadsAt)})
		case hold == throttle.HoldRateLimit:
			c.Limited++
		case !isRetry && b.isLate(h, s, predicted):
			c.Late++
		case b.isPeerSuspected(h.ID, h.DataCentre, l, now):
			peerSuspected = append(peerSuspected, b.candidate(h, l, predicted, now))
		default:
			candidates = append(candidates, b.candidate(h, l, predicted, now))
		}
	}
	b.candidates, b.peerSuspected = candidates, peerSuspected
	if len(candidates) == 0 {
		// The reports of peers alone must not reject a request.
		candidates = peerSuspected
	}
	if drawn := b.draw(candidates, b.remoteWeight(candidates)); drawn != nil {
		c.Head, c.Predicted = drawn.head, drawn.predicted
		b.recordRemoteAttempt(drawn.head.DataCentre, now)
	}
	return c
}

// isLate reports whether the first event is predicted too late. An idle group never is: no other
// group could be earlier, and a learned offset that is too large would otherwise keep all requests
// away that could correct it.
func (b *Balancer) isLate(h *directory.Head, s RequestSize, predicted Prediction) bool {
	if b.weights.FirstOffset && isIdle(predicted, h.Slots) {
		return false
	}
	return s.isLate(predicted, b.weights.LateFactor)
}

// candidate is a group that a request may be sent to.
type candidate struct {
	head      *directory.Head
	predicted Prediction
	score     time.Duration
	// factor is by how much failures, a cold period, few free slots and affinity change the weight.
	factor float64
}

func (b *Balancer) candidate(h *directory.Head, l *load, predicted Prediction, now time.Time) candidate {
	tally, pace := l.observed(h.Membership.Epoch, now)
	slowdown := 1.0
	if b.weights.ObservedPace {
		slowdown = pace.Factor()
	}
	c := candidate{h, predicted, b.score(h, predicted, slowdown), 1}
	if b.weights.Failures == health.Compare {
		c.factor = health.Weight(tally.Rate())
	}
	if h.ColdLimit(now) > 0 {
		c.factor *= coldWeight
	}
	if b.weights.FreeWeight {
		c.factor *= freeWeight(predicted.Running, h.Slots)
	}
	c.factor *= b.affinityWeight(h, now)
	return c
}

const (
	// fullFreeWeightFraction is the fraction of free slots from which a group has its full weight.
	fullFreeWeightFraction = 0.5
	// minFreeWeight keeps groups usable that are known to be nearly full.
	minFreeWeight = 0.1
)

// freeWeight returns the factor for the weight of a group by its free slots. The loads of other
// nodes are known with a delay, in which all nodes together can fill the few free slots.
func freeWeight(running, slots int) float64 {
	free := float64(slots-running) / float64(max(1, slots))
	return min(1, max(minFreeWeight, free/fullFreeWeightFraction))
}

// coldWeight reduces the weight of a cold group, so that its limit is not used up while warm groups
// have room.
const coldWeight = 0.5

// score returns the time by which a group is ranked: the predicted time to the first event,
// multiplied by its slowdown, plus penalties.
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

// maxRemoteRatio bounds the weight of groups in other data centres relative to the local ones.
const maxRemoteRatio = 2

// remoteWeight returns a factor for the weights of groups in other data centres, so that their
// number relative to the local groups counts as maxRemoteRatio at most. Otherwise, with many
// data centres, most requests would leave their own, incur traffic cost, and be lost when a data
// centre becomes unreachable.
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

// draw picks one candidate at random, weighted by score and factor, and by remoteWeight in other
// data centres.
func (b *Balancer) draw(candidates []candidate, remoteWeight float64) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	best := slices.MinFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.score, y.score) }).score
	var drawn *candidate
	total := 0.0
	for i := range candidates {
		// Weighted reservoir sampling: each candidate replaces the drawn one with the
		// probability of its share of the total so far.
		weight := candidates[i].factor * math.Pow(float64(best)/float64(candidates[i].score), b.weights.DrawPower)
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
