package entry

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
// nodes in the order of rank relay, so that a controller's end takes no news away.
//
// If nodes that hear no controller call each other instead, with the list of all nodes
// in the first message to each, 295 nodes move 2.5 GB between data centres in a minute
// with two outages of the store, and 0.3 GB with relays.

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
func (s *sharing) self() *peer {
	return &peer{id: s.life, address: s.settings.Peers, dataCentre: s.settings.DataCentre, cores: float32(s.settings.Cores)}
}

// ordered returns the usable nodes of a data centre, this one among them, in the
// order of rank; the caller holds the lock.
func (s *sharing) ordered(dataCentre serving.DataCentre) []*peer {
	var out []*peer
	if dataCentre == s.settings.DataCentre {
		out = append(out, s.self())
	}
	for _, p := range s.peers {
		if p.dataCentre == dataCentre && p.usable() {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, (*peer).before)
	return out
}

// relaysOf returns the nodes that relay for a data centre, as far as this node
// knows, itself among them; the caller holds the lock.
func (s *sharing) relaysOf(dataCentre serving.DataCentre, controls bool, now time.Time) []*peer {
	if dataCentre == s.settings.DataCentre && controls {
		return []*peer{s.self()}
	}
	if p := s.controllerOf(dataCentre, now); p != nil {
		return []*peer{p}
	}
	ordered := s.ordered(dataCentre)
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
func (s *sharing) controllerOf(dataCentre serving.DataCentre, now time.Time) *peer {
	var found *peer
	for _, p := range s.peers {
		if p.dataCentre == dataCentre && p.live(now) && (found == nil || p.epoch > found.epoch) {
			found = p
		}
	}
	return found
}

// relaysHere reports whether this node relays; the caller holds the lock.
func (s *sharing) relaysHere(controls bool, now time.Time) bool {
	return slices.ContainsFunc(s.relaysOf(s.settings.DataCentre, controls, now), s.isSelf)
}

func (s *sharing) isSelf(p *peer) bool { return p.address == s.settings.Peers }

// wordOf returns the node whose word counts for a data centre: of those that relay
// for it the first that was heard lately, or nil; the caller holds the lock.
func (s *sharing) wordOf(dataCentre serving.DataCentre, now time.Time) *peer {
	var found *peer
	for _, p := range s.peers {
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
func (s *sharing) dataCentres() []serving.DataCentre {
	seen := map[serving.DataCentre]bool{s.settings.DataCentre: true}
	for _, p := range s.peers {
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
func (s *sharing) due(now time.Time) []*peer {
	controls := s.controls()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetLost(now)
	relays := s.relaysHere(controls, now)
	partners := map[string]bool{}
	for _, dc := range s.dataCentres() {
		if dc != s.settings.DataCentre && !relays {
			continue
		}
		for _, p := range s.relaysOf(dc, controls, now) {
			partners[p.address] = true
		}
	}
	pace := s.pace(relays)
	var out, others []*peer
	for _, p := range s.peers {
		interval := s.interval(p, partners[p.address], relays, pace, now)
		if p.busy || interval == shareNever || now.Sub(p.failed) < shareFailed || now.Sub(p.called) < interval {
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
func (s *sharing) forgetLost(now time.Time) {
	for address, p := range s.peers {
		if p.failed.After(p.heard) && now.Sub(p.heard) > forgetPeer {
			delete(s.peers, address)
		}
	}
}

// pace is the time between two calls of a relay; the caller holds the lock.
func (s *sharing) pace(relays bool) time.Duration {
	near := 0
	if relays {
		near = s.homeNodes()
	}
	for _, p := range s.peers {
		if p.dataCentre == s.settings.DataCentre && p.relays {
			near = max(near, p.homeNodes)
		}
	}
	interval := scaled(shareRelay, near-1, max(1, s.settings.Policy.ShareNodes))
	return min(shareRelayMost, max(interval, bearable(near, s.largestAnswer())))
}

// bearable is the time between two calls at which a relay sends no more than relayBytes
// a second to a number of nodes.
func bearable(nodes, bytes int) time.Duration {
	return time.Duration(nodes*bytes) * time.Second / relayBytes
}

// largestAnswer is the size of the last answers of relays, of the largest; the caller
// holds the lock.
func (s *sharing) largestAnswer() int {
	largest := 0
	for _, p := range s.peers {
		if p.relays {
			largest = max(largest, p.answerBytes)
		}
	}
	return largest
}

// homeNodes counts the known nodes of this data centre, this one among them; the
// caller holds the lock.
func (s *sharing) homeNodes() int {
	n := 1
	for _, p := range s.peers {
		if p.id != "" && p.dataCentre == s.settings.DataCentre {
			n++
		}
	}
	return n
}

// interval is the time between two calls of a peer; the caller holds the lock.
func (s *sharing) interval(p *peer, partner, relays bool, pace time.Duration, now time.Time) time.Duration {
	switch {
	case p.id == "":
		return shareFirst
	case !p.usable():
		return shareFailed
	case partner && p.dataCentre != s.settings.DataCentre:
		return min(shareRelayMost, acrossPause*pace)
	case partner:
		return pace
	case relays && p.dataCentre == s.settings.DataCentre && now.Sub(p.heard) > shareSilent:
		// It calls; if it does not, it may not know this node.
		return shareSilent
	}
	return shareNever
}

// scaled lengthens an interval when there are more nodes than it is for.
func scaled(interval time.Duration, nodes, usual int) time.Duration {
	return interval * time.Duration(max(nodes, usual)) / time.Duration(usual)
}

// ownRelay returns the relay of this data centre to be called now, or nil if it is
// this node, is not known or is being called.
func (s *sharing) ownRelay(now time.Time) *peer {
	controls := s.controls()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.relaysOf(s.settings.DataCentre, controls, now)[0]
	if s.isSelf(p) || p.busy {
		return nil
	}
	p.busy = true
	p.called = now
	return p
}

// noteRanks has a relay note the places of the others of its data centre; the
// caller holds the lock.
func (s *sharing) noteRanks(relays bool) {
	if !relays {
		s.ranks = nil
		return
	}
	s.ranks = map[string]int{}
	place := 0
	for _, p := range s.ordered(s.settings.DataCentre) {
		if !s.isSelf(p) {
			place++
			s.ranks[p.address] = place
		}
	}
	s.rank, s.ranked = 0, true
}

// leave has the relay hear that this node stops.
func (s *sharing) leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	if p := s.ownRelay(time.Now()); p != nil {
		s.call(ctx, p)
	}
}
