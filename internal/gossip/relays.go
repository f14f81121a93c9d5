package gossip

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// One node of each data centre is its relay: it receives the loads of all others, sends each the
// total of the rest, and exchanges totals with the relays of the other data centres. The relay is
// the controller; while no controller sends messages, the first two nodes by rank are relays, so
// that a crash of the controller does not interrupt the exchange.

const (
	// standbyRelays is the number of relays without a live controller; the first one may
	// have crashed as well.
	standbyRelays = 2
	// maxKnownNodes is the number of nodes of its own data centre that are sent to each node,
	// so that it knows the next relays if the current ones crash.
	maxKnownNodes = 5
	// remoteIntervalFactor lengthens the call interval between relays of different data
	// centres: that traffic is billed, and both sides call.
	remoteIntervalFactor = 2
	// namedRelayTTL is how long a node counts as a relay because another one named it; it is
	// called within that time and then reports its own role.
	namedRelayTTL = 5 * time.Second
)

// usable reports whether a peer's id is known and no call to it has failed since its last message.
func (p *peer) usable() bool { return p.id != "" && !p.lastFailed.After(p.lastHeard) }

// isLiveController reports whether a peer is a controller that sent a message within loadTTL.
func (p *peer) isLiveController(now time.Time) bool {
	return p.controls && p.usable() && now.Sub(p.lastHeard) < loadTTL
}

// compareRank orders nodes for takeover: most processor cores first, since the work of a relay
// grows with the nodes.
func (p *peer) compareRank(other *peer) int {
	return cmp.Or(cmp.Compare(other.cores, p.cores), cmp.Compare(p.id, other.id))
}

// self returns this node as a peer.
func (g *Gossiper) self() *peer {
	return &peer{id: g.config.Incarnation, address: g.config.Address, dataCentre: g.config.DataCentre, cores: float32(g.config.Cores)}
}

// byRank returns the usable nodes of a data centre by rank, including this one; the caller holds
// the lock.
func (g *Gossiper) byRank(dataCentre serving.DataCentre) []*peer {
	var out []*peer
	if dataCentre == g.config.DataCentre {
		out = append(out, g.self())
	}
	for _, p := range g.peers {
		if p.dataCentre == dataCentre && p.usable() {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, (*peer).compareRank)
	return out
}

// relaysOf returns the known relays of a data centre, which may include this node; the caller
// holds the lock.
func (g *Gossiper) relaysOf(dataCentre serving.DataCentre, controls bool, now time.Time) []*peer {
	if dataCentre == g.config.DataCentre && controls {
		return []*peer{g.self()}
	}
	if p := g.controllerOf(dataCentre, now); p != nil {
		return []*peer{p}
	}
	byRank := g.byRank(dataCentre)
	slices.SortStableFunc(byRank, func(a, b *peer) int { return b.recentlyNamedRelay(now).Compare(a.recentlyNamedRelay(now)) })
	return byRank[:min(len(byRank), standbyRelays)]
}

// recentlyNamedRelay returns when another node last named a peer as a relay, zero if that has
// expired.
func (p *peer) recentlyNamedRelay(now time.Time) time.Time {
	if now.Sub(p.namedRelayAt) < namedRelayTTL {
		return p.namedRelayAt
	}
	return time.Time{}
}

// controllerOf returns the live controller of a data centre among the peers, the one with the
// latest epoch if there are several; the caller holds the lock.
func (g *Gossiper) controllerOf(dataCentre serving.DataCentre, now time.Time) *peer {
	var found *peer
	for _, p := range g.peers {
		if p.dataCentre == dataCentre && p.isLiveController(now) && (found == nil || p.epoch > found.epoch) {
			found = p
		}
	}
	return found
}

// isRelay reports whether this node is a relay; the caller holds the lock.
func (g *Gossiper) isRelay(controls bool, now time.Time) bool {
	return slices.ContainsFunc(g.relaysOf(g.config.DataCentre, controls, now), g.isSelf)
}

func (g *Gossiper) isSelf(p *peer) bool { return p.address == g.config.Address }

// activeRelay returns the relay whose reports count for a data centre, among those that sent a
// message within loadTTL, or nil; the caller holds the lock. Controllers are preferred, then later
// epochs, then rank.
func (g *Gossiper) activeRelay(dataCentre serving.DataCentre, now time.Time) *peer {
	var found *peer
	for _, p := range g.peers {
		if p.dataCentre != dataCentre || !p.relays || !p.usable() || now.Sub(p.lastHeard) > loadTTL {
			continue
		}
		switch {
		case found == nil, p.controls && !found.controls:
			found = p
		case p.controls == found.controls && p.epoch > found.epoch:
			found = p
		case p.controls == found.controls && p.epoch == found.epoch && p.compareRank(found) < 0:
			found = p
		}
	}
	return found
}

// dataCentres returns the data centres of the known nodes, sorted; the caller holds the lock.
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

// duePeers returns the peers to be called now: relays, and up to callsPerTick others. It marks
// them as being called.
func (g *Gossiper) duePeers(now time.Time) []*peer {
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forgetUnreachable(now)
	relays := g.isRelay(controls, now)
	partners := map[string]bool{}
	for _, dc := range g.dataCentres() {
		if dc != g.config.DataCentre && !relays {
			continue
		}
		for _, p := range g.relaysOf(dc, controls, now) {
			partners[p.address] = true
		}
	}
	callInterval := g.callInterval(relays)
	pull := g.duePull(now)
	var out, others []*peer
	for _, p := range g.peers {
		if p == pull {
			out = append(out, p)
			continue
		}
		interval := g.interval(p, partners[p.address], relays, callInterval, now)
		if p.calling || interval == never || now.Sub(p.lastFailed) < p.backoff() || now.Sub(p.lastCalled) < interval {
			continue
		}
		if partners[p.address] {
			out = append(out, p)
		} else {
			others = append(others, p)
		}
	}
	slices.SortFunc(others, func(a, b *peer) int {
		return cmp.Or(a.lastCalled.Compare(b.lastCalled), cmp.Compare(a.address, b.address))
	})
	out = append(out, others[:min(len(others), g.maxOtherCalls(relays))]...)
	for _, p := range out {
		p.calling = true
		p.lastCalled = now
	}
	return out
}

// maxOtherCalls bounds the calls that start at once to nodes that are no relays. A new relay has to
// reach all nodes of its data centre, which do not know it yet, within silenceTimeout however many
// they are. The caller holds the lock.
func (g *Gossiper) maxOtherCalls(relays bool) int {
	if !relays {
		return callsPerTick
	}
	ticks := int(silenceTimeout / tick)
	return max(callsPerTick, (g.localNodes()+ticks-1)/ticks)
}

// backoff returns the time between a failed call to a peer and the next. One that was never heard
// may be starting as well.
func (p *peer) backoff() time.Duration {
	if p.id != "" {
		return failedBackoff
	}
	return min(failedBackoff, unknownPeerInterval*time.Duration(max(1, p.failures)))
}

// forgetUnreachable drops peers that have been unreachable for forgetPeerAfter; the caller holds
// the lock.
func (g *Gossiper) forgetUnreachable(now time.Time) {
	for address, p := range g.peers {
		if p.lastFailed.After(p.lastHeard) && now.Sub(p.lastHeard) > forgetPeerAfter {
			delete(g.peers, address)
		}
	}
}

// callInterval returns the time between two calls to a relay; the caller holds the lock.
func (g *Gossiper) callInterval(relays bool) time.Duration {
	// A new relay knows only a few nodes at first, so the highest number reported counts.
	nodes := g.dataCentreNodes[g.config.DataCentre]
	if relays {
		nodes = max(nodes, g.localNodes())
	}
	interval := scaleInterval(relayInterval, nodes-1, max(1, g.config.FullRateNodes))
	return min(maxRelayInterval, max(interval, byteRateInterval(nodes, g.maxResponseBytes())))
}

// byteRateInterval returns the interval at which a relay that sends a number of bytes to each of
// some nodes stays within maxRelayBytesPerSecond.
func byteRateInterval(nodes, bytes int) time.Duration {
	return time.Duration(nodes*bytes) * time.Second / maxRelayBytesPerSecond
}

// maxResponseBytes returns the size of the largest of the relays' last responses; the caller holds
// the lock.
func (g *Gossiper) maxResponseBytes() int {
	largest := 0
	for _, p := range g.peers {
		if p.relays {
			largest = max(largest, p.responseBytes)
		}
	}
	return largest
}

// localNodes counts the known nodes of this data centre, including this one; the caller holds the
// lock.
func (g *Gossiper) localNodes() int {
	n := 1
	for _, p := range g.peers {
		if p.id != "" && p.dataCentre == g.config.DataCentre {
			n++
		}
	}
	return n
}

// interval returns the time between two calls to a peer; the caller holds the lock.
func (g *Gossiper) interval(p *peer, partner, relays bool, callInterval time.Duration, now time.Time) time.Duration {
	switch {
	case p.id == "":
		return unknownPeerInterval
	case !p.usable():
		return failedBackoff
	case partner && p.dataCentre != g.config.DataCentre:
		return min(maxRelayInterval, remoteIntervalFactor*callInterval)
	case partner:
		return callInterval
	case relays && p.dataCentre == g.config.DataCentre && now.Sub(p.lastHeard) > silenceTimeout:
		// It should have called; it may not know this node.
		return silenceTimeout
	}
	return never
}

// scaleInterval lengthens an interval in proportion to the nodes beyond the usual number.
func scaleInterval(interval time.Duration, nodes, usual int) time.Duration {
	return interval * time.Duration(max(nodes, usual)) / time.Duration(usual)
}

// claimRelayCall returns the relay of this data centre and marks it as being called, or nil if it
// is this node or already being called.
func (g *Gossiper) claimRelayCall(now time.Time) *peer {
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.relaysOf(g.config.DataCentre, controls, now)[0]
	if g.isSelf(p) || p.calling {
		return nil
	}
	p.calling = true
	p.lastCalled = now
	return p
}

// assignRanks updates the ranks of the other nodes of the data centre if this node is a relay;
// the caller holds the lock.
func (g *Gossiper) assignRanks(relays bool) {
	if !relays {
		g.ranks = nil
		return
	}
	g.ranks = map[string]int{}
	n := 0
	for _, p := range g.byRank(g.config.DataCentre) {
		if !g.isSelf(p) {
			n++
			g.ranks[p.address] = n
		}
	}
	g.rank, g.ranked = 0, true
}

// AnnounceStop notifies the relay that this node is stopping.
func (g *Gossiper) AnnounceStop(ctx context.Context) {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	if p := g.claimRelayCall(time.Now()); p != nil {
		g.call(ctx, p)
	}
}
