package entry

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/internal/upstream"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Intervals of the sharing between nodes. Each node talks to the controller of
// its data centre, and controllers talk to each other, so that the messages
// grow with the nodes and not with their square. Without a controller nodes
// talk to each other, more seldom the more they are.
const (
	shareTick = 50 * time.Millisecond
	// shareController is the time between two calls of a controller, for up
	// to nearNodes that call it; it grows to shareControllerMost.
	shareController     = 150 * time.Millisecond
	shareControllerMost = 600 * time.Millisecond
	// shareFirst is for a node of which only the address is known.
	shareFirst = 300 * time.Millisecond
	// shareNear and shareFar are for others of this data centre and of other
	// ones while no controller speaks, for up to nearNodes and farNodes.
	shareNear = 500 * time.Millisecond
	shareFar  = 1500 * time.Millisecond
	nearNodes = 4
	farNodes  = 6
	// shareSilent is for nodes that should have called and have not.
	shareSilent = 2 * time.Second
	// shareNever is for nodes whose news comes through a controller.
	shareNever  = math.MaxInt64
	shareFailed = 2 * time.Second
	shareCall   = 800 * time.Millisecond
	// callsPerTick bounds the calls that begin at once, beside those of
	// controllers. Without it sixty nodes that had lost their controller, or
	// were ten seconds old, called each other at the same moment, and none of
	// them answered anybody for a second.
	callsPerTick = 2
	// acquaintEvery is the number of messages to a peer of which one names
	// all known nodes.
	acquaintEvery = 20
	// largeAfter is how long a peer may be behind before it is sent what is
	// large, a configuration or all endpoints: it most likely gets them from the
	// store meanwhile. A configuration of 1,400 routes, sent by each controller
	// to each node, filled the links for seconds.
	largeAfter = 400 * time.Millisecond
	// sayAllAfter is the silence of a peer after which what it knows is not
	// taken for known.
	sayAllAfter = 5 * time.Second
	// loadTTL is how long a peer's figures count.
	loadTTL = 2 * time.Second
	// controllerTTL is how long the word of a controller spares the others
	// a look at the lease.
	controllerTTL = 1300 * time.Millisecond
	// forgetPeer is after how much silence a peer that does not answer is
	// forgotten.
	forgetPeer = 30 * time.Second
)

// peer is another node.
type peer struct {
	id         string
	dataCentre serving.DataCentre
	address    string
	heard      time.Time
	// called is when it was last called, failed when it last did not answer.
	called time.Time
	failed time.Time
	busy   bool
	lost   bool
	// messages counts those to it.
	messages int
	// controls is set for the controller of its data centre.
	controls bool
	// epoch is that under which it acts.
	epoch uint64
	// its last message, and the versions that it had then.
	own           work
	relayed       work
	suspects      []serving.EndpointID
	configuration uint64
	rows          uint64
	// behindSince is when it was first found to lack the configuration or all
	// endpoints, zero while it does not.
	behindSince time.Time
}

// sharing keeps the nodes informed of each other.
type sharing struct {
	settings  *Settings
	life      string
	directory *directory.Directory
	balancer  *relay.Balancer
	demand    *relay.Demand
	budget    *relay.Budget
	store     table.Store
	client    *peers.Client
	log       logging.Logger

	// urgent has an entry when the controller should hear from this node now.
	urgent chan struct{}

	mu      sync.Mutex
	peers   map[string]*peer // by address
	leaving bool
	// heardController is when the controller of this data centre last spoke.
	heardController time.Time
	controller      controller
}

// controller is what the sharing asks of the part that controls the data
// centre, and tells it.
type controller interface {
	// Epoch is that under which this node acts, or zero.
	Epoch() uint64
	// HoldsOver reports whether it acts past its lease.
	HoldsOver() bool
	// HeardController notes that another node of the data centre acts.
	HeardController(epoch uint64)
}

// controls reports whether this node controls its data centre.
func (s *sharing) controls() bool { return s.controller.Epoch() != 0 }

// controllerLives reports whether the data centre's controller, another node,
// spoke lately.
func (s *sharing) controllerLives() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heardController) < controllerTTL
}

func newSharing(s *Settings, life string, d *directory.Directory, b *relay.Balancer, demand *relay.Demand, budget *relay.Budget, store table.Store, links upstream.Options) *sharing {
	sh := &sharing{
		settings:  s,
		life:      life,
		directory: d,
		balancer:  b,
		demand:    demand,
		budget:    budget,
		store:     store,
		client:    peers.NewClient([]byte(s.PeerKey), links.Source),
		log:       logging.For("peers"),
		peers:     map[string]*peer{},
		urgent:    make(chan struct{}, 1),
	}
	b.OnSuspect(sh.hurry)
	sh.addSeeds(s.Seeds)
	return sh
}

// addSeeds makes the addresses of the settings known.
func (s *sharing) addSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seed := range seeds {
		s.meet(seed, "", "")
	}
}

// meet makes a node known; the caller holds the lock.
func (s *sharing) meet(address, id, dataCentre string) *peer {
	if address == "" || address == s.settings.Peers {
		return nil
	}
	p := s.peers[address]
	if p == nil {
		p = &peer{address: address, heard: time.Now()}
		s.peers[address] = p
	}
	if id != "" {
		p.id, p.dataCentre = id, serving.DataCentre(dataCentre)
	}
	return p
}

func (s *sharing) run(ctx context.Context) {
	defer s.client.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.followNodes(ctx)
	}()
	ticker := time.NewTicker(shareTick)
	defer ticker.Stop()
	var running sync.WaitGroup
	for {
		select {
		case <-ctx.Done():
			running.Wait()
			<-done
			return
		case now := <-ticker.C:
			for _, p := range s.due(now) {
				running.Go(func() { s.call(ctx, p) })
			}
			s.sum(now)
		case <-s.urgent:
			if p := s.ownController(time.Now()); p != nil {
				running.Go(func() { s.call(ctx, p) })
			}
		}
	}
}

// hurry has the controller of this data centre hear from this node at once:
// what it is told of silent endpoints takes groups out of service.
func (s *sharing) hurry() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

// ownController returns the controller of this data centre to be called now, or
// nil if it is this node, is not known or is being called.
func (s *sharing) ownController(now time.Time) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.controllerOf(s.settings.DataCentre, now)
	if p == nil || p.busy {
		return nil
	}
	p.busy = true
	p.called = now
	return p
}

// due returns the peers to be called now: controllers, and a few others, first
// those that were not called for longest.
func (s *sharing) due(now time.Time) []*peer {
	controls := s.controls()
	s.mu.Lock()
	defer s.mu.Unlock()
	near, far := 0, 0
	for address, p := range s.peers {
		if p.failed.After(p.heard) && now.Sub(p.heard) > forgetPeer {
			delete(s.peers, address)
			continue
		}
		if p.dataCentre == s.settings.DataCentre {
			near++
		} else {
			far++
		}
	}
	var out, others []*peer
	for _, p := range s.peers {
		interval := s.interval(p, controls, near, far, now)
		if p.busy || interval == shareNever || now.Sub(p.failed) < shareFailed || now.Sub(p.called) < interval {
			continue
		}
		if p.live(now) {
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

// live reports whether a peer is a controller that spoke lately.
func (p *peer) live(now time.Time) bool { return p.controls && now.Sub(p.heard) < loadTTL }

// interval is the time between two calls of a peer; the caller holds the
// lock. near and far are the numbers of known nodes.
func (s *sharing) interval(p *peer, controls bool, near, far int, now time.Time) time.Duration {
	home := p.dataCentre == s.settings.DataCentre
	switch {
	case p.id == "":
		return shareFirst
	case p.live(now) && home != controls:
		// The own controller, or that of another data centre.
		return min(shareControllerMost, scaled(shareController, near, nearNodes))
	case controls && home:
		// It calls; if it does not, it may not know this node.
		if now.Sub(p.heard) > shareSilent {
			return shareSilent
		}
		return shareNever
	case controls && s.controllerOf(p.dataCentre, now) == nil:
		return scaled(shareNear, far, farNodes)
	case controls, now.Sub(s.heardController) < loadTTL:
		return shareNever
	case home:
		return scaled(shareNear, near, nearNodes)
	}
	return scaled(shareFar, far, farNodes)
}

// scaled lengthens an interval when there are more nodes than it is for.
func scaled(interval time.Duration, nodes, usual int) time.Duration {
	return interval * time.Duration(max(nodes, usual)) / time.Duration(usual)
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

// call swaps messages with one peer.
func (s *sharing) call(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, shareCall)
	defer cancel()
	answer, err := s.client.Share(ctx, p.address, s.message(p))
	if err == nil {
		s.take(answer, p.address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.busy = false
	if err != nil {
		p.failed = time.Now()
	}
	if lost := err != nil; lost != p.lost && ctx.Err() != context.Canceled {
		p.lost = lost
		s.log.Info("a peer's state has changed", "peer", p.id, "address", p.address, "lost", lost, "silent", time.Since(p.heard), "error", err)
	}
}

// Share implements peers.ShareHandler.
func (s *sharing) Share(_ context.Context, m *peers.ShareMessage) (*peers.ShareMessage, error) {
	p := s.take(m, m.GetFrom().GetAddress())
	return s.message(p), nil
}
