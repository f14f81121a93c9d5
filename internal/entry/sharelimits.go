package entry

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/limits"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/pkg/limit"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// The places at an endpoint that limits how much it takes are given out by the relay of its
// data centre. Who cannot reach that data centre reaches no endpoint there either. A node that
// does not relay asks its own relay, which passes the request on to that of the other data
// centre: nodes need to know no more of each other than for the exchanges.

const (
	// mostHops bounds how often a request for a place is passed on: by the relay of the
	// asking node, and by a relay that has just given its duty up.
	mostHops = 2
	// grantAfter is how long after its start a node gives out no places: until it knows
	// others it takes itself for the relay of its data centre, as each of them does.
	grantAfter = time.Second
)

var errNoAllocator = errors.New("nobody is known that gives out places of the data centre")

// allNodes is how many nodes there are.
func (s *sharing) allNodes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.nodes, s.settings.Nodes)
}

// allocator is the node to which a request for a place at a data centre's endpoint goes from
// here, and whether that is this node itself, which then gives the place out. The relay of the
// data centre allocates; others are on the way to it.
func (s *sharing) allocator(dc serving.DataCentre, now time.Time) (address string, self bool, err error) {
	controls := s.controls()
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.relaysOf(s.settings.DataCentre, controls, now)[0]
	if dc != s.settings.DataCentre && s.isSelf(own) {
		relay := s.wordOf(dc, now)
		if relay == nil {
			return "", false, errNoAllocator
		}
		return relay.address, false, nil
	}
	if s.isSelf(own) && now.Sub(s.began) < grantAfter {
		return "", false, errNoAllocator
	}
	return own.address, s.isSelf(own), nil
}

// askPlace asks for a place at an endpoint that limits how much it takes.
func (s *sharing) askPlace(ctx context.Context, e *serving.Endpoint, known limit.Limit) (limits.Answer, error) {
	now := time.Now()
	answer, err := s.Place(ctx, &sharepb.PlaceRequest{Limit: limits.ToWire(e.Incarnation(), known, now), DataCentre: string(e.DataCentre)})
	if err != nil {
		return limits.Answer{}, err
	}
	_, told := limits.FromWire(answer.GetLimit(), time.Now())
	return limits.Answer{Granted: answer.GetGranted(), Wait: time.Duration(answer.GetWaitMs()) * time.Millisecond, Limit: told}, nil
}

// Place implements peers.ShareHandler.
func (s *sharing) Place(ctx context.Context, q *sharepb.PlaceRequest) (*sharepb.PlaceAnswer, error) {
	now := time.Now()
	address, self, err := s.allocator(serving.DataCentre(q.GetDataCentre()), now)
	switch {
	case err != nil:
		return nil, oops.In("limits").Wrap(err)
	case self:
		life, known := limits.FromWire(q.GetLimit(), now)
		return toPlaceAnswer(life, s.limits.Grant(life, known, now), now), nil
	case q.GetHops() >= mostHops:
		return nil, oops.In("limits").Wrap(errNoAllocator)
	}
	passed := &sharepb.PlaceRequest{Limit: q.GetLimit(), DataCentre: q.GetDataCentre(), Hops: q.GetHops() + 1}
	return s.client.Place(ctx, address, passed)
}

// toPlaceAnswer tells an answer; a wait of less than a millisecond counts as one.
func toPlaceAnswer(life serving.Incarnation, a limits.Answer, now time.Time) *sharepb.PlaceAnswer {
	return &sharepb.PlaceAnswer{
		Granted: a.Granted,
		WaitMs:  uint32((a.Wait + time.Millisecond - 1) / time.Millisecond),
		Limit:   limits.ToWire(life, a.Limit, now),
	}
}
