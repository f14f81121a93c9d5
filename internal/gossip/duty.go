package gossip

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// placePatience is how much longer each node after the firstPlaces waits than the
	// one before it in rank for what its relay should bring, while it hears that one:
	// then the store is most likely out for all. silentPatience holds while it hears no
	// relay.
	placePatience  = 250 * time.Millisecond
	silentPatience = 50 * time.Millisecond
	// maxPatience bounds the wait: a node may be the only one that the store serves.
	maxPatience = 8 * time.Second
	// rankWait is how long after its start a node waits for its rank before it watches
	// the configuration that it has just read.
	rankWait = time.Second
	// firstWait is how long nodes wait for their controller to bring what it read when
	// the whole system starts for the first time: nothing is served yet, and a read of
	// 1,107 endpoints takes three calls of each node.
	firstWait = 3 * time.Second
	// firstPlaces are the ranks that watch the configuration whether or not they
	// hear their relay, so that its end delays no change.
	firstPlaces = 2
	// storeCalls is the longest usual time between two calls of a relay to the store:
	// a controller renews its lease in less.
	storeCalls = 700 * time.Millisecond
	// rowsSlack is how much longer than the pace of exchanges a controller waits for rows
	// from the one that reads them: its pace of reading, and 0.2 s.
	rowsSlack = 500 * time.Millisecond
	// relaySlack is what an exchange with a relay may take beyond its pace.
	relaySlack = 300 * time.Millisecond
)

// Rank is this node's rank; until a relay has told one it acts as the first.
func (g *Gossiper) Rank() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rank
}

// WatchRole returns what this node reads from the store on behalf of others.
func (g *Gossiper) WatchRole() directory.WatchRole {
	now := time.Now()
	controls := g.controls()
	g.mu.Lock()
	defer g.mu.Unlock()
	relays := g.relaysHere(controls, now)
	word := g.wordOf(g.config.DataCentre, now)
	d := directory.WatchRole{
		Endpoints:     controls && g.readsEndpoints(now),
		Configuration: g.watchesConfiguration(relays, now),
		Wait:          g.config.FirstStart && !controls && now.Sub(g.began) < firstWait,
	}
	each := silentPatience
	if word != nil {
		each = placePatience
	}
	d.ExtraDelay = min(maxPatience, time.Duration(max(0, g.rank-firstPlaces))*each)
	if g.ranked && !d.Configuration {
		d.Configuration = word == nil || now.Sub(word.storeSeen) > 2*g.pace(relays)+storeCalls+relaySlack+d.ExtraDelay
	}
	return d
}

// watchesConfiguration reports whether this node is one of those that watch the
// configuration for its data centre; the caller holds the lock.
func (g *Gossiper) watchesConfiguration(relays bool, now time.Time) bool {
	if !g.ranked {
		return now.Sub(g.began) > rankWait
	}
	return relays || g.rank <= firstPlaces
}

// readsEndpoints reports whether this node, a controller, reads the endpoint table at the
// pace: one does for all data centres that hear each other, of the live ones that of the
// first by name; the caller holds the lock. Calls of the store are priced. Once its rows stay
// away all others read at the pace: a notice to leave must be everywhere within two seconds on
// some platforms.
func (g *Gossiper) readsEndpoints(now time.Time) bool {
	if now.Sub(g.rowsHeard) > g.pace(true)+rowsSlack {
		return true
	}
	return g.isFirst(now)
}

// isFirst reports whether no data centre before this one by name has a live controller that
// this node hears; the caller holds the lock.
func (g *Gossiper) isFirst(now time.Time) bool {
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

// LogsEachChange reports whether this node logs each change of a data centre's endpoints,
// which it does if its controller manages them.
func (g *Gossiper) LogsEachChange(dataCentre serving.DataCentre) bool {
	return dataCentre == g.config.DataCentre && g.controls()
}

// StoreAnswered notes that the store has answered this node.
func (g *Gossiper) StoreAnswered(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeSeen = now
}
