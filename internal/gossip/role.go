package gossip

import (
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// rankDelay is the additional time per rank, beyond configurationWatchers, that a node
	// waits for its relay's data before it reads the store itself. While the relay is alive
	// but has no data, the store is most likely unavailable to all. noRelayRankDelay applies
	// while no relay is alive.
	rankDelay        = 250 * time.Millisecond
	noRelayRankDelay = 50 * time.Millisecond
	// maxExtraDelay bounds the wait: this may be the only node that can reach the store.
	maxExtraDelay = 8 * time.Second
	// rankTimeout is how long after its start a node waits for its rank from a relay before it
	// watches the configuration.
	rankTimeout = time.Second
	// unheardRank is the rank of a node that has seeds but has heard no other node yet: it is most
	// likely starting together with many.
	unheardRank = 2
	// firstStartWait is how long nodes wait for their controller to send the tables when the
	// entire system starts for the first time, so that not every node reads them in full: that
	// is three calls of each node for a thousand endpoints, and nothing is served yet.
	firstStartWait = 3 * time.Second
	// configurationWatchers is the highest rank that watches the configuration even while it
	// receives its relay's messages, so that a crash of the relay delays no change.
	configurationWatchers = 2
	// maxStoreCallInterval is the longest usual time between a relay's calls to the store; a
	// controller renews its lease more often.
	maxStoreCallInterval = 700 * time.Millisecond
	// readerSilence is how old the notices that others have read may be before a controller reads the
	// endpoint table itself. They are usually as old as the interval between two reads and a heartbeat.
	readerSilence = time.Second
	// lateNotices is the same for other nodes, which hear of a read one heartbeat later.
	lateNotices = 1200 * time.Millisecond
	// maxAloneDelay bounds the additional wait of a node that follows no other: many may have lost the
	// same ones.
	maxAloneDelay = 500 * time.Millisecond
	// relaySlack is how much longer than the call interval an exchange with a relay may take.
	relaySlack = 300 * time.Millisecond
)

// Rank returns this node's rank. Until a relay has assigned one, it is the number of known nodes
// that precede this one, so that of many nodes which start together only those that know of no
// better one read the lease at once.
func (g *Gossiper) Rank() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.ranked:
		return g.rank
	case !g.heard && len(g.peers) > 0:
		return unheardRank
	}
	return slices.IndexFunc(g.byRank(g.config.DataCentre), g.isSelf)
}

// WatchRole returns what this node reads from the store on behalf of others.
func (g *Gossiper) WatchRole() directory.WatchRole {
	now := time.Now()
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	relays := g.isRelay(controls, now)
	relayNode := g.activeRelay(g.config.DataCentre, now)
	role := directory.WatchRole{
		Endpoints:     controls && g.readsEndpoints(now),
		Configuration: g.watchesConfiguration(relays, now),
		Wait:          g.config.FirstStart && !controls && now.Sub(g.startedAt) < firstStartWait,
	}
	perRank := noRelayRankDelay
	if relayNode != nil {
		perRank = rankDelay
	}
	role.ExtraDelay = min(maxExtraDelay, time.Duration(max(0, g.rank-configurationWatchers))*perRank)
	role.NoticesLate = g.noticesLate(role.ExtraDelay, now)
	if g.ranked && !role.Configuration {
		role.Configuration = relayNode == nil || now.Sub(relayNode.storeSeen) > 2*g.callInterval(relays)+maxStoreCallInterval+relaySlack+role.ExtraDelay
	}
	return role
}

// watchesConfiguration reports whether this node watches the configuration for its data
// centre; the caller holds the lock.
func (g *Gossiper) watchesConfiguration(relays bool, now time.Time) bool {
	if !g.ranked {
		return now.Sub(g.startedAt) > rankTimeout
	}
	return relays || g.rank <= configurationWatchers
}

// readsEndpoints reports whether this node, a controller, reads the endpoint table at the full
// rate; the caller holds the lock. Since calls to the store are billed, only the live controller
// of the first data centre by name does. If its notices stop arriving, all others read as well.
func (g *Gossiper) readsEndpoints(now time.Time) bool {
	return now.Sub(g.directory.PeersKnownAt()) > readerSilence || g.isFirstDataCentre(now)
}

// noticesLate reports whether this node has to read the endpoint table because notices are late. A node
// that follows others waits as long as its rank asks: if these know nothing newer, the store is most likely
// unavailable to all, and the nodes at the front tell the others otherwise.
func (g *Gossiper) noticesLate(rankDelay time.Duration, now time.Time) bool {
	if !g.notices.Heard() {
		return false
	}
	if g.notices.Live() == 0 {
		rankDelay = min(rankDelay, maxAloneDelay)
	}
	return now.Sub(g.directory.NoticesKnownAt()) > lateNotices+rankDelay
}

// isFirstDataCentre reports whether no data centre before this one by name has a live controller
// whose messages this node receives; the caller holds the lock.
func (g *Gossiper) isFirstDataCentre(now time.Time) bool {
	for _, dc := range g.dataCentres() {
		if dc >= g.config.DataCentre {
			break
		}
		if g.controllerOf(dc, now) != nil {
			return false
		}
	}
	return true
}

// LogsEachChange reports whether this node logs each change of a data centre's endpoints, which
// only their controller does.
func (g *Gossiper) LogsEachChange(dataCentre serving.DataCentre) bool {
	return dataCentre == g.config.DataCentre && g.controls()
}

// StoreResponded records that the store has responded to this node.
func (g *Gossiper) StoreResponded(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeSeen = now
}
