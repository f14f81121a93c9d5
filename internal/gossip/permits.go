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

// Permits for a rate-limited or cold endpoint are allocated by the relay of its data centre; a node
// that cannot reach that data centre cannot reach its endpoints either. Other nodes send the request
// to their own relay, which forwards it, so that they need to know no nodes elsewhere.

const (
	// maxHops bounds how often a permit request is forwarded: by the relay of the requesting
	// node, and by a node that has just ceased to be a relay.
	maxHops = 2
	// allocatorWarmup is how long after its start a node allocates no permits: until it knows
	// other nodes it takes itself for the relay.
	allocatorWarmup = time.Second
)

var errNoAllocator = errors.New("no known allocator for the data centre")

// nodeCount returns the number of nodes of all data centres.
func (g *Gossiper) nodeCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.nodes, g.config.Nodes)
}

// allocator returns the next hop of a permit request for a data centre's endpoint, and whether
// that is this node, which then allocates the permit.
func (g *Gossiper) allocator(dc serving.DataCentre, now time.Time) (address string, self bool, err error) {
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.relaysOf(g.config.DataCentre, controls, now)[0]
	if dc != g.config.DataCentre && g.isSelf(own) {
		relay := g.activeRelay(dc, now)
		if relay == nil {
			return "", false, errNoAllocator
		}
		return relay.address, false, nil
	}
	if g.isSelf(own) && now.Sub(g.startedAt) < allocatorWarmup {
		return "", false, errNoAllocator
	}
	return own.address, g.isSelf(own), nil
}

// requestPermit requests a permit for a rate-limited endpoint.
func (g *Gossiper) requestPermit(ctx context.Context, e *serving.Endpoint, knownLimit advisory.RateLimit) (throttle.Permit, error) {
	now := time.Now()
	answer, err := g.AcquirePermit(ctx, &sharepb.PermitRequest{
		Advisory:      throttle.ToWire(e.Incarnation(), knownLimit, now),
		DataCentre:    string(e.DataCentre),
		ColdPerSecond: e.ColdLimit(now),
	})
	if err != nil {
		return throttle.Permit{}, err
	}
	_, limit := throttle.FromWire(answer.GetAdvisory(), time.Now())
	return throttle.Permit{Granted: answer.GetGranted(), Wait: time.Duration(answer.GetWaitMs()) * time.Millisecond, Limit: limit}, nil
}

// AcquirePermit implements peers.ShareHandler.
func (g *Gossiper) AcquirePermit(ctx context.Context, q *sharepb.PermitRequest) (*sharepb.PermitAnswer, error) {
	now := time.Now()
	address, self, err := g.allocator(serving.DataCentre(q.GetDataCentre()), now)
	switch {
	case err != nil:
		return nil, oops.In("throttle").Wrap(err)
	case self:
		inc, knownLimit := throttle.FromWire(q.GetAdvisory(), now)
		return toPermitResponse(inc, g.throttle.Allocate(inc, knownLimit, q.GetColdPerSecond(), now), now), nil
	case q.GetHops() >= maxHops:
		return nil, oops.In("throttle").Wrap(errNoAllocator)
	}
	forwarded := &sharepb.PermitRequest{
		Advisory:      q.GetAdvisory(),
		DataCentre:    q.GetDataCentre(),
		Hops:          q.GetHops() + 1,
		ColdPerSecond: q.GetColdPerSecond(),
	}
	return g.client.AcquirePermit(ctx, address, forwarded)
}

// toPermitResponse encodes a permit; its wait is rounded up to a millisecond.
func toPermitResponse(inc serving.Incarnation, a throttle.Permit, now time.Time) *sharepb.PermitAnswer {
	return &sharepb.PermitAnswer{
		Granted:  a.Granted,
		WaitMs:   uint32((a.Wait + time.Millisecond - 1) / time.Millisecond),
		Advisory: throttle.ToWire(inc, a.Limit, now),
	}
}
