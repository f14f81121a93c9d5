package gossip

import (
	"slices"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/relay"
)

// invalidRatesInterval bounds the log lines about invalid rates.
const invalidRatesInterval = 10 * time.Second

// RateExchange connects the exchange of rates to the components that measure and use them. Rates are
// exchanged only if both Own and OnPeerRates are set. The functions must not call the Gossiper.
type RateExchange struct {
	// Own returns the rates measured at this node.
	Own func(now time.Time) map[directory.Pool]relay.PoolRates
	// OnPeerRates receives the sum of the rates of all other nodes and the time at which it was
	// computed: at this node if it is a relay, else that of the relay's last message. It is not
	// called while this node is no relay and does not hear one, so that its evidence becomes stale.
	OnPeerRates func(rates map[directory.Pool]relay.PoolRates, at time.Time)
	// NearlyShort reports whether a pool has little capacity left. Workspaces are sent only then;
	// they are never sent if it is nil.
	NearlyShort func(directory.Pool) bool
}

// enabled reports whether rates are exchanged.
func (r RateExchange) enabled() bool { return r.Own != nil && r.OnPeerRates != nil }

// ownRates returns this node's rates, none if rates are not exchanged.
func (g *Gossiper) ownRates(now time.Time) poolRates {
	if !g.rates.enabled() {
		return nil
	}
	return g.rates.Own(now)
}

// addRelayedRates adds a sum of other nodes' rates to a message. A relay of another data centre only
// needs the sum of them and of this node's own, which saves half of the bytes, and the workspaces that are
// used in plans. Those that others named are passed on even if this node does not name its own: a relay
// without requests for a pool does not know that it is nearly short. The caller holds the lock.
func (g *Gossiper) addRelayedRates(m *peers.ShareMessage, p *peer, own poolRates, others work) {
	if !g.rates.enabled() {
		return
	}
	if p.dataCentre != "" && p.dataCentre != g.config.DataCentre {
		others.add(work{rates: g.withoutCalmWorkspaces(own)})
		others.rates = withLargestWorkspaces(others.rates, relay.MaxSharedWorkspaces)
		m.Rates = nil
	}
	m.RelayedRates = toRates(others.rates, func(directory.Pool) bool { return true })
}

// withoutCalmWorkspaces returns rates without the workspaces of pools that have enough capacity.
func (g *Gossiper) withoutCalmWorkspaces(rates poolRates) poolRates {
	out := make(poolRates, len(rates))
	for pool, r := range rates {
		if g.rates.NearlyShort == nil || !g.rates.NearlyShort(pool) {
			r.Levels = slices.Clone(r.Levels)
			for i := range r.Levels {
				r.Levels[i].Workspaces = nil
			}
		}
		out[pool] = r
	}
	return out
}

// withLargestWorkspaces returns rates with the n largest workspaces of each level.
func withLargestWorkspaces(rates poolRates, n int) poolRates {
	out := make(poolRates, len(rates))
	for pool, r := range rates {
		r.Levels = slices.Clone(r.Levels)
		for i := range r.Levels {
			r.Levels[i].Workspaces = relay.LargestWorkspaces(r.Levels[i].Workspaces, n)
		}
		out[pool] = r
	}
	return out
}

// decodeRates returns the rates in a message, none if rates are not exchanged.
func (g *Gossiper) decodeRates(m *peers.ShareMessage, now time.Time) (own, relayed poolRates) {
	if !g.rates.enabled() {
		return nil, nil
	}
	own, invalidOwn := fromRates(m.GetRates())
	relayed, invalidRelayed := fromRates(m.GetRelayedRates())
	if invalid := invalidOwn + invalidRelayed; invalid > 0 {
		if entries, messages, due := g.invalidRates.add(invalid, now); due {
			g.log.Warn("invalid rates in a peer's message were dropped", "last_peer", m.GetFrom().GetId(), "entries", entries, "messages", messages)
		}
	}
	return own, relayed
}

// invalidRates counts invalid rates of all peers between two log lines. A faulty peer sends some in each
// message, up to ten times per second. It is safe for concurrent use.
type invalidRates struct {
	mu                sync.Mutex
	entries, messages int
	loggedAt          time.Time
}

// add counts the invalid entries of a message. If a line is due it returns what was counted since the last
// one.
func (i *invalidRates) add(invalid int, now time.Time) (entries, messages int, due bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.entries += invalid
	i.messages++
	if !i.loggedAt.IsZero() && now.Sub(i.loggedAt) < invalidRatesInterval {
		return 0, 0, false
	}
	entries, messages = i.entries, i.messages
	i.entries, i.messages, i.loggedAt = 0, 0, now
	return entries, messages, true
}

// ratesComputedAt returns when the sum of the peers' rates was computed, zero if no relay is heard;
// the caller holds the lock.
func (g *Gossiper) ratesComputedAt(relays bool, now time.Time) time.Time {
	if relays {
		return now
	}
	if relayNode := g.activeRelay(g.config.DataCentre, now); relayNode != nil {
		return relayNode.lastHeard
	}
	return time.Time{}
}

// reportPeerRates passes the sum of the peers' rates on.
func (g *Gossiper) reportPeerRates(rates poolRates, at time.Time) {
	if g.rates.enabled() && !at.IsZero() {
		g.rates.OnPeerRates(rates, at)
	}
}
