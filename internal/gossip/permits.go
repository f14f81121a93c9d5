package gossip

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Permits at an endpoint that limits how much it takes are allocated by the relay of its data
// centre. Who cannot reach that data centre reaches no endpoint there either. A node that does
// not relay asks its own relay, which passes the request on to that of the other data centre:
// nodes need to know no more of each other than for the exchanges.

const (
	// maxHops bounds how often a request for a permit is passed on: by the relay of the
	// asking node, and by a relay that has just given its duty up.
	maxHops = 2
	// allocateAfter is how long after its start a node allocates no permits: until it knows
	// others it takes itself for the relay of its data centre, as each of them does.
	allocateAfter = time.Second
)

var errNoAllocator = errors.New("no allocator is known for the data centre")

// allNodes is how many nodes there are.
func (g *Gossiper) allNodes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.nodes, g.config.Nodes)
}

// allocator is the node to which a request for a permit at a data centre's endpoint goes
// from here, and whether that is this node itself, which then allocates the permit. The relay of the
// data centre allocates; others are on the way to it.
func (g *Gossiper) allocator(dc serving.DataCentre, now time.Time) (address string, self bool, err error) {
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.relaysOf(g.config.DataCentre, controls, now)[0]
	if dc != g.config.DataCentre && g.isSelf(own) {
		relay := g.wordOf(dc, now)
		if relay == nil {
			return "", false, errNoAllocator
		}
		return relay.address, false, nil
	}
	if g.isSelf(own) && now.Sub(g.began) < allocateAfter {
		return "", false, errNoAllocator
	}
	return own.address, g.isSelf(own), nil
}

// askPermit asks for a permit at an endpoint that limits how much it takes.
func (g *Gossiper) askPermit(ctx context.Context, e *serving.Endpoint, known advisory.RateLimit) (throttle.Permit, error) {
	now := time.Now()
	answer, err := g.AcquirePermit(ctx, &sharepb.PermitRequest{Advisory: throttle.ToWire(e.Incarnation(), known, now), DataCentre: string(e.DataCentre)})
	if err != nil {
		return throttle.Permit{}, err
	}
	_, told := throttle.FromWire(answer.GetAdvisory(), time.Now())
	return throttle.Permit{Granted: answer.GetGranted(), Wait: time.Duration(answer.GetWaitMs()) * time.Millisecond, Limit: told}, nil
}

// AcquirePermit implements peers.ShareHandler.
func (g *Gossiper) AcquirePermit(ctx context.Context, q *sharepb.PermitRequest) (*sharepb.PermitAnswer, error) {
	now := time.Now()
	address, self, err := g.allocator(serving.DataCentre(q.GetDataCentre()), now)
	switch {
	case err != nil:
		return nil, oops.In("throttle").Wrap(err)
	case self:
		inc, known := throttle.FromWire(q.GetAdvisory(), now)
		return toPermitAnswer(inc, g.throttle.Allocate(inc, known, now), now), nil
	case q.GetHops() >= maxHops:
		return nil, oops.In("throttle").Wrap(errNoAllocator)
	}
	passed := &sharepb.PermitRequest{Advisory: q.GetAdvisory(), DataCentre: q.GetDataCentre(), Hops: q.GetHops() + 1}
	return g.client.AcquirePermit(ctx, address, passed)
}

// toPermitAnswer tells an answer; a wait of less than a millisecond counts as one.
func toPermitAnswer(inc serving.Incarnation, a throttle.Permit, now time.Time) *sharepb.PermitAnswer {
	return &sharepb.PermitAnswer{
		Granted:  a.Granted,
		WaitMs:   uint32((a.Wait + time.Millisecond - 1) / time.Millisecond),
		Advisory: throttle.ToWire(inc, a.Limit, now),
	}
}
