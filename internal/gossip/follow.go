package gossip

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// followedNodes is the number of nodes of its own data centre that a node follows: one may be lost.
	followedNodes = 2
	// pullSpacing is the mean time between two nodes of a data centre that ask their relay for a new
	// configuration, so that the responses do not fill its link.
	pullSpacing = 3 * time.Millisecond
	// pullRetryInterval is the time between two calls to a peer for a new configuration.
	pullRetryInterval = 100 * time.Millisecond
)

// followTargets returns the addresses of the nodes whose notices this node follows: the relay of its data
// centre and the next node by rank. These two also follow the relays of the other data centres.
func (g *Gossiper) followTargets() []string {
	now := time.Now()
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := g.noticeSources(controls, now)
	if g.isRelay(controls, now) || g.ranked && g.rank < followedNodes {
		for _, dc := range g.dataCentres() {
			if dc != g.config.DataCentre {
				targets = append(targets, g.relaysOf(dc, controls, now)...)
			}
		}
	}
	var out []string
	for _, p := range targets {
		if !g.isSelf(p) {
			out = append(out, p.address)
		}
	}
	return out
}

// noticeSources returns the relays of this node's data centre and the next nodes by rank, followedNodes in
// all; the caller holds the lock.
func (g *Gossiper) noticeSources(controls bool, now time.Time) []*peer {
	sources := g.relaysOf(g.config.DataCentre, controls, now)
	for _, p := range g.byRank(g.config.DataCentre) {
		if len(sources) >= followedNodes {
			break
		}
		if p.address != sources[0].address {
			sources = append(sources, p)
		}
	}
	return sources
}

// NoticesLive returns the number of nodes that this one follows and that send notices now.
func (g *Gossiper) NoticesLive() int { return g.notices.Live() }

// announcements has which peers have a newer configuration than this node. It has a lock of its own, since
// notices must not wait for messages that are being built.
type announcements struct {
	mu        sync.Mutex
	byAddress map[string]announcement
}

// announcement is the version of a peer's configuration, and when it was announced.
type announcement struct {
	version uint64
	at      time.Time
	// delay is the fraction of the usual spread for which the call is delayed.
	delay float64
}

func (a *announcements) add(address string, version uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byAddress == nil {
		a.byAddress = map[string]announcement{}
	}
	a.byAddress[address] = announcement{version, now, rand.Float64()}
}

// newerThan returns the announcements of configurations after a version, and drops the others.
func (a *announcements) newerThan(version uint64) map[string]announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.byAddress, func(_ string, one announcement) bool { return one.version <= version })
	return maps.Clone(a.byAddress)
}

// duePull returns the peer to be called now for a newer configuration, nil if there is none or a call to
// such a peer is under way; the caller holds the lock. A peer that did not respond comes last.
func (g *Gossiper) duePull(now time.Time) *peer {
	version, _ := g.directory.Configuration()
	nodes := max(g.dataCentreNodes[g.config.DataCentre], g.localNodes())
	spread := float64(pullSpacing) * float64(nodes)
	var found *peer
	for address, announced := range g.announced.newerThan(version) {
		p := g.peers[address]
		if p == nil {
			continue
		}
		if p.calling {
			return nil
		}
		if now.Sub(announced.at) < time.Duration(announced.delay*spread) || now.Sub(p.lastCalled) < pullRetryInterval {
			continue
		}
		if found == nil || cmp.Or(p.lastFailed.Compare(found.lastFailed), cmp.Compare(p.address, found.address)) < 0 {
			found = p
		}
	}
	return found
}
