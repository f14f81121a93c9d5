package gossip

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// One node of each data centre relays: it hears all others of the data centre,
// tells each what the rest have under way, and swaps sums with the relays of the
// other data centres. That is the controller; while none is heard, the first two
// nodes in the order of rank relay, so that a controller's end interrupts nothing.

const (
	// standbyRelays relay while no controller speaks: the second in case that the
	// first one has just ended too.
	standbyRelays = 2
	// namedNodes of the own data centre are named to each node, so that it knows
	// whom to call when those before them have ended.
	namedNodes = 5
	// acrossPause is how many times longer relays wait before they call those of other
	// data centres, which call them as often: bytes between data centres cost, and
	// fewer requests go there.
	acrossPause = 2
	// toldTTL is how long a node counts as a relay that another one named as such: it is
	// called within that time, and says itself.
	toldTTL = 5 * time.Second
)

// usable reports whether a peer is known and has not failed since it was heard.
func (p *peer) usable() bool { return p.id != "" && !p.failed.After(p.heard) }

// live reports whether a peer is a controller that spoke lately.
func (p *peer) live(now time.Time) bool {
	return p.controls && p.usable() && now.Sub(p.heard) < loadTTL
}

// before reports the order in which nodes take over from each other: those with
// the most processor first, since a relay's work grows with the nodes.
func (p *peer) before(other *peer) int {
	return cmp.Or(cmp.Compare(other.cores, p.cores), cmp.Compare(p.id, other.id))
}

// self is this node as a peer.
func (g *Gossiper) self() *peer {
	return &peer{id: g.config.Incarnation, address: g.config.Address, dataCentre: g.config.DataCentre, cores: float32(g.config.Cores)}
}

// ordered returns the usable nodes of a data centre, this one among them, in the
// order of rank; the caller holds the lock.
func (g *Gossiper) ordered(dataCentre serving.DataCentre) []*peer {
	var out []*peer
	if dataCentre == g.config.DataCentre {
		out = append(out, g.self())
	}
	for _, p := range g.peers {
		if p.dataCentre == dataCentre && p.usable() {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, (*peer).before)
	return out
}

// relaysOf returns the nodes that relay for a data centre, as far as this node
// knows, itself among them; the caller holds the lock.
func (g *Gossiper) relaysOf(dataCentre serving.DataCentre, controls bool, now time.Time) []*peer {
	if dataCentre == g.config.DataCentre && controls {
		return []*peer{g.self()}
	}
	if p := g.controllerOf(dataCentre, now); p != nil {
		return []*peer{p}
	}
	ordered := g.ordered(dataCentre)
	slices.SortStableFunc(ordered, func(a, b *peer) int { return b.toldSince(now).Compare(a.toldSince(now)) })
	return ordered[:min(len(ordered), standbyRelays)]
}

// toldSince is when another node last named a peer as a relay, zero if that is long ago.
func (p *peer) toldSince(now time.Time) time.Time {
	if now.Sub(p.toldRelay) < toldTTL {
		return p.toldRelay
	}
	return time.Time{}
}

// controllerOf returns the live controller of a data centre among the peers,
// of two that with the later epoch; the caller holds the lock.
func (g *Gossiper) controllerOf(dataCentre serving.DataCentre, now time.Time) *peer {
	var found *peer
	for _, p := range g.peers {
		if p.dataCentre == dataCentre && p.live(now) && (found == nil || p.epoch > found.epoch) {
			found = p
		}
	}
	return found
}

// relaysHere reports whether this node relays; the caller holds the lock.
func (g *Gossiper) relaysHere(controls bool, now time.Time) bool {
	return slices.ContainsFunc(g.relaysOf(g.config.DataCentre, controls, now), g.isSelf)
}

func (g *Gossiper) isSelf(p *peer) bool { return p.address == g.config.Address }

// wordOf returns the node whose word counts for a data centre: of those that relay
// for it the first that was heard lately, or nil; the caller holds the lock.
func (g *Gossiper) wordOf(dataCentre serving.DataCentre, now time.Time) *peer {
	var found *peer
	for _, p := range g.peers {
		if p.dataCentre != dataCentre || !p.relays || !p.usable() || now.Sub(p.heard) > loadTTL {
			continue
		}
		switch {
		case found == nil, p.controls && !found.controls:
			found = p
		case p.controls == found.controls && p.epoch > found.epoch:
			found = p
		case p.controls == found.controls && p.epoch == found.epoch && p.before(found) < 0:
			found = p
		}
	}
	return found
}

// dataCentres returns those of the known nodes; the caller holds the lock.
func (g *Gossiper) dataCentres() []serving.DataCentre {
	seen := map[serving.DataCentre]bool{g.config.DataCentre: true}
	for _, p := range g.peers {
		if p.id != "" {
			seen[p.dataCentre] = true
		}
	}
	out := make([]serving.DataCentre, 0, len(seen))
	for dc := range seen {
		out = append(out, dc)
	}
	slices.Sort(out)
	return out
}

// due returns the peers to be called now: the relays that this node talks to, and
// a few others.
func (g *Gossiper) due(now time.Time) []*peer {
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forgetLost(now)
	relays := g.relaysHere(controls, now)
	partners := map[string]bool{}
	for _, dc := range g.dataCentres() {
		if dc != g.config.DataCentre && !relays {
			continue
		}
		for _, p := range g.relaysOf(dc, controls, now) {
			partners[p.address] = true
		}
	}
	pace := g.pace(relays)
	var out, others []*peer
	for _, p := range g.peers {
		interval := g.interval(p, partners[p.address], relays, pace, now)
		if p.busy || interval == never || now.Sub(p.failed) < failedBackoff || now.Sub(p.called) < interval {
			continue
		}
		if partners[p.address] {
			out = append(out, p)
		} else {
			others = append(others, p)
		}
	}
	slices.SortFunc(others, func(a, b *peer) int { return cmp.Or(a.called.Compare(b.called), cmp.Compare(a.address, b.address)) })
	out = append(out, others[:min(len(others), callsPerTick)]...)
	for _, p := range out {
		p.busy = true
		p.called = now
	}
	return out
}

// forgetLost drops peers that have long not answered; the caller holds the lock.
func (g *Gossiper) forgetLost(now time.Time) {
	for address, p := range g.peers {
		if p.failed.After(p.heard) && now.Sub(p.heard) > forgetPeer {
			delete(g.peers, address)
		}
	}
}

// pace is the time between two calls of a relay; the caller holds the lock.
func (g *Gossiper) pace(relays bool) time.Duration {
	near := 0
	if relays {
		near = g.homeNodes()
	}
	for _, p := range g.peers {
		if p.dataCentre == g.config.DataCentre && p.relays {
			near = max(near, p.homeNodes)
		}
	}
	interval := scaled(relayInterval, near-1, max(1, g.config.FullRateNodes))
	return min(maxRelayInterval, max(interval, bearable(near, g.largestAnswer())))
}

// bearable is the time between two calls at which a relay sends no more than relayBytes
// a second to a number of nodes.
func bearable(nodes, bytes int) time.Duration {
	return time.Duration(nodes*bytes) * time.Second / relayBytes
}

// largestAnswer is the size of the last answers of relays, of the largest; the caller
// holds the lock.
func (g *Gossiper) largestAnswer() int {
	largest := 0
	for _, p := range g.peers {
		if p.relays {
			largest = max(largest, p.answerBytes)
		}
	}
	return largest
}

// homeNodes counts the known nodes of this data centre, this one among them; the
// caller holds the lock.
func (g *Gossiper) homeNodes() int {
	n := 1
	for _, p := range g.peers {
		if p.id != "" && p.dataCentre == g.config.DataCentre {
			n++
		}
	}
	return n
}

// interval is the time between two calls of a peer; the caller holds the lock.
func (g *Gossiper) interval(p *peer, partner, relays bool, pace time.Duration, now time.Time) time.Duration {
	switch {
	case p.id == "":
		return introInterval
	case !p.usable():
		return failedBackoff
	case partner && p.dataCentre != g.config.DataCentre:
		return min(maxRelayInterval, acrossPause*pace)
	case partner:
		return pace
	case relays && p.dataCentre == g.config.DataCentre && now.Sub(p.heard) > silentAfter:
		// It calls; if it does not, it may not know this node.
		return silentAfter
	}
	return never
}

// scaled lengthens an interval when there are more nodes than it is for.
func scaled(interval time.Duration, nodes, usual int) time.Duration {
	return interval * time.Duration(max(nodes, usual)) / time.Duration(usual)
}

// ownRelay returns the relay of this data centre to be called now, or nil if it is
// this node, is not known or is being called.
func (g *Gossiper) ownRelay(now time.Time) *peer {
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.relaysOf(g.config.DataCentre, controls, now)[0]
	if g.isSelf(p) || p.busy {
		return nil
	}
	p.busy = true
	p.called = now
	return p
}

// assignRanks has a relay note the places of the others of its data centre; the
// caller holds the lock.
func (g *Gossiper) assignRanks(relays bool) {
	if !relays {
		g.ranks = nil
		return
	}
	g.ranks = map[string]int{}
	place := 0
	for _, p := range g.ordered(g.config.DataCentre) {
		if !g.isSelf(p) {
			place++
			g.ranks[p.address] = place
		}
	}
	g.rank, g.ranked = 0, true
}

// Leave has the relay hear that this node stops.
func (g *Gossiper) Leave(ctx context.Context) {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	if p := g.ownRelay(time.Now()); p != nil {
		g.call(ctx, p)
	}
}
