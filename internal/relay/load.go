package relay

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// load is what is under way at one endpoint.
type load struct {
	running int
	// unread is the prompt tokens of requests that have no first event yet;
	// context is the tokens of all that run.
	unread  int
	context int
	// peers is what the other nodes last told.
	peers PeerLoad
	// lastActive is when the endpoint last sent this node something, or had nothing to do
	// for it; event is when it last sent something.
	lastActive time.Time
	lastEvent  time.Time
	// epoch is that of the group that results are of: those of an earlier group say
	// nothing of this one. Plain endpoints have none.
	epoch   uint64
	results health.Results
	paces   health.Paces
	// suspectUntil is set when it failed or fell silent.
	suspectUntil time.Time
	// dataCentre is known once it was a candidate.
	dataCentre serving.DataCentre
}

// PeerLoad is the work that other nodes have at one endpoint, and what they find of it.
type PeerLoad struct {
	Running int
	Unread  int
	// LastEvent is when the endpoint last sent any of these nodes an event, zero if it has
	// not lately.
	LastEvent time.Time
	// Tally is what requests to it came to, in the group of an epoch.
	Epoch uint64
	Tally health.Tally
	// Pace is that of its events.
	Pace health.Pace
}

// Add returns the sum of two loads. Results of an earlier group are left out.
func (p PeerLoad) Add(other PeerLoad) PeerLoad {
	sum := PeerLoad{Running: p.Running + other.Running, Unread: p.Unread + other.Unread, LastEvent: p.LastEvent, Epoch: max(p.Epoch, other.Epoch)}
	if other.LastEvent.After(sum.LastEvent) {
		sum.LastEvent = other.LastEvent
	}
	for _, l := range []PeerLoad{p, other} {
		if l.Epoch == sum.Epoch {
			sum.Tally = sum.Tally.Add(l.Tally)
			sum.Pace = sum.Pace.Add(l.Pace)
		}
	}
	return sum
}

// observed is what requests to an endpoint came to lately, at all nodes, and how it kept its
// pace, in the group of an epoch.
func (l *load) observed(epoch uint64, now time.Time) (health.Tally, health.Pace) {
	var tally health.Tally
	var pace health.Pace
	if l.epoch == epoch {
		tally, pace = l.results.Tally(now), l.paces.Pace(now)
	}
	if l.peers.Epoch == epoch {
		tally, pace = tally.Add(l.peers.Tally), pace.Add(l.peers.Pace)
	}
	return tally, pace
}

// advanceEpoch notes the epoch of the group that an endpoint advanceEpoch, and reports whether it is
// not an earlier one; what was found of the group before is forgotten.
func (l *load) advanceEpoch(epoch uint64) bool {
	if epoch > l.epoch {
		l.epoch, l.results, l.paces = epoch, health.Results{}, health.Paces{}
	}
	return epoch == l.epoch
}
