package relay

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// load is the work in flight at one endpoint, and its recent results.
type load struct {
	running int
	// unread is the prompt tokens of the requests without a first event; context is the prompt
	// tokens of all requests in flight.
	unread  int
	context int
	// peers is what the other nodes last reported.
	peers PeerLoad
	// lastActive is when the endpoint last sent this node an event, or last became busy with
	// its first request; lastEvent is when it last sent an event.
	lastActive time.Time
	lastEvent  time.Time
	// epoch is that of the group which the results are of; results of earlier groups are
	// dropped. It is zero for plain endpoints.
	epoch        uint64
	results      health.Results
	paces        health.Paces
	suspectUntil time.Time
	// dataCentre is set once the endpoint has been a candidate.
	dataCentre serving.DataCentre
}

// PeerLoad is the work that other nodes have in flight at one endpoint, and its recent results.
type PeerLoad struct {
	Running int
	Unread  int
	// LastEvent is when the endpoint last sent an event to any of these nodes, or zero.
	LastEvent time.Time
	// Tally counts results of the group with this epoch.
	Epoch uint64
	Tally health.Tally
	Pace  health.Pace
}

// Add returns the sum of two loads, without the results of the earlier group if epochs differ.
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

// observed returns the recent results and pace of an endpoint at all nodes, for the group with
// the given epoch.
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

// advanceEpoch drops the results of earlier groups if epoch is newer, and reports whether epoch is
// current.
func (l *load) advanceEpoch(epoch uint64) bool {
	if epoch > l.epoch {
		l.epoch, l.results, l.paces = epoch, health.Results{}, health.Paces{}
	}
	return epoch == l.epoch
}
