package gossip

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/ridgehinge/ridgehinge/internal/forward"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// A node that has lost its links to the endpoints asks the relays of all data centres which nodes run requests
// of others. Each relay hears all nodes of its data centre, so its word is as new as their last messages, however
// many nodes have lost their links. A relay that has just taken over has heard only some, so the one before is asked
// too. What a relay has said is kept for some seconds, since a busy one may miss a call. What relays have named earlier is
// used only if no node is found.

const (
	// maxNeighboursFound bounds the nodes of one data centre in an answer.
	maxNeighboursFound = 16
	// searchCallTimeout bounds one call of a search, searchTimeout a whole one.
	searchCallTimeout = 300 * time.Millisecond
	searchTimeout     = 2 * searchCallTimeout
	// maxAsked bounds the nodes of one data centre that are asked in one search, in which those asked name others: while
	// a cluster starts, many nodes take themselves for relays.
	maxAsked = 4
	// searchInterval is the least time between two searches, also if requests find no neighbour.
	searchInterval = 250 * time.Millisecond
	// foundTTL is how long the answer for a data centre is used.
	foundTTL = 3 * time.Second
)

// foundNeighbours is what the relay of a data centre says of its nodes.
type foundNeighbours struct {
	nodes []*sharepb.Node
	// neighbourCores is the sum for the nodes that run requests of others, otherCores that for the rest.
	neighbourCores, otherCores float64
	foundAt                    time.Time
}

// neighbourSearch has the results of searches.
type neighbourSearch struct {
	// searches lets requests at the same time share one.
	searches singleflight.Group

	mu sync.Mutex
	// found has the last answer for each data centre.
	found map[serving.DataCentre]foundNeighbours
	// finishedAt is when the last search ended.
	finishedAt time.Time
}

// SearchNeighbours searches for nodes that run requests of others unless that was done within maxAge. If none is
// known, or with a maxAge of 0, it returns when the result is known or the context is done. Callers at the same time
// share one search.
func (g *Gossiper) SearchNeighbours(ctx context.Context, maxAge time.Duration) {
	if g.search.age(time.Now()) <= max(maxAge, searchInterval) {
		return
	}
	done := g.search.searches.DoChan("", func() (any, error) {
		g.searchOnce()
		return nil, nil
	})
	if maxAge > 0 && countFound(g.search.recent(time.Now())) > 0 {
		// What is known serves until the search ends.
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// searchOnce searches and records the result. It is not bound to the request that caused it, since others wait for it.
func (g *Gossiper) searchOnce() {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	found := g.askRelays(ctx)
	g.search.record(found, time.Now())
	g.log.Info("searched for neighbours", "took", time.Since(began), "data_centres", len(found), "neighbours", countFound(found))
}

// age returns how long ago the last search ended.
func (s *neighbourSearch) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.finishedAt)
}

// record replaces the answers for those data centres that have answered.
func (s *neighbourSearch) record(found map[serving.DataCentre]foundNeighbours, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishedAt = now
	if s.found == nil {
		s.found = map[serving.DataCentre]foundNeighbours{}
	}
	for dc, f := range found {
		f.foundAt = now
		s.found[dc] = f
	}
}

// recent returns the answers that are still used.
func (s *neighbourSearch) recent(now time.Time) map[serving.DataCentre]foundNeighbours {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.found, func(_ serving.DataCentre, f foundNeighbours) bool { return now.Sub(f.foundAt) > foundTTL })
	return maps.Clone(s.found)
}

func countFound(found map[serving.DataCentre]foundNeighbours) int {
	n := 0
	for _, f := range found {
		n += len(f.nodes)
	}
	return n
}

// askRelays asks the relays of all data centres, and then those that they name. It returns the answers by data centre.
func (g *Gossiper) askRelays(ctx context.Context) map[serving.DataCentre]foundNeighbours {
	own := g.answerNeighbours("")
	found := map[serving.DataCentre]foundNeighbours{}
	asked := askedNodes{g.config.Address: ""}
	for due := asked.take(own.GetRelays()); len(due) > 0; {
		var named []*sharepb.Node
		for _, a := range g.askAll(ctx, due) {
			dc := serving.DataCentre(a.node.GetDataCentre())
			found[dc] = found[dc].merge(fromAnswer(a.answer))
			named = append(named, a.answer.GetRelays()...)
		}
		due = asked.take(named)
	}
	// Unless it is a relay, this node by itself knows only some nodes of its data centre.
	if local, isFound := found[g.config.DataCentre]; isFound || own.GetIsRelay() {
		found[g.config.DataCentre] = local.merge(fromAnswer(own))
	}
	return found
}

// askedNodes has the data centres of the nodes that were asked in a search, by address.
type askedNodes map[string]string

// take returns the nodes that are to be asked yet, and counts them as asked.
func (a askedNodes) take(nodes []*sharepb.Node) []*sharepb.Node {
	inDataCentre := map[string]int{}
	for _, dc := range a {
		inDataCentre[dc]++
	}
	var out []*sharepb.Node
	for _, node := range nodes {
		dc := node.GetDataCentre()
		if _, asked := a[node.GetAddress()]; asked || inDataCentre[dc] >= maxAsked {
			continue
		}
		a[node.GetAddress()] = dc
		inDataCentre[dc]++
		out = append(out, node)
	}
	return out
}

// relayAnswer is the answer of one node that was asked.
type relayAnswer struct {
	node   *sharepb.Node
	answer *sharepb.NeighboursAnswer
}

// askAll asks nodes at once and returns the answers.
func (g *Gossiper) askAll(ctx context.Context, nodes []*sharepb.Node) []relayAnswer {
	ctx, cancel := context.WithTimeout(ctx, searchCallTimeout)
	defer cancel()
	var asking sync.WaitGroup
	var mu sync.Mutex
	var out []relayAnswer
	for _, node := range nodes {
		asking.Go(func() {
			answer, err := g.client.FindNeighbours(ctx, node.GetAddress(), &sharepb.NeighboursRequest{From: g.self().toNode()})
			if err != nil {
				g.log.Info("a relay did not say which nodes run requests of others", "address", node.GetAddress(), "data_centre", node.GetDataCentre(), "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, relayAnswer{node, answer})
		})
	}
	asking.Wait()
	return out
}

func fromAnswer(a *sharepb.NeighboursAnswer) foundNeighbours {
	return foundNeighbours{nodes: a.GetNeighbours(), neighbourCores: float64(a.GetNeighbourCores()), otherCores: float64(a.GetOtherCores())}
}

// merge adds what another node says of the same data centre. The sums are those of the node that has heard more.
func (f foundNeighbours) merge(other foundNeighbours) foundNeighbours {
	if f.neighbourCores+f.otherCores < other.neighbourCores+other.otherCores {
		f, other = other, f
	}
	for _, node := range other.nodes {
		isNamed := slices.ContainsFunc(f.nodes, func(n *sharepb.Node) bool { return n.GetAddress() == node.GetAddress() })
		if !isNamed {
			f.nodes = append(f.nodes, node)
		}
	}
	return f
}

// FindNeighbours implements peers.ShareHandler.
func (g *Gossiper) FindNeighbours(_ context.Context, q *sharepb.NeighboursRequest) (*sharepb.NeighboursAnswer, error) {
	return g.answerNeighbours(q.GetFrom().GetAddress()), nil
}

// answerNeighbours returns what this node knows of nodes that run requests of others, without the asking one.
func (g *Gossiper) answerNeighbours(asking string) *sharepb.NeighboursAnswer {
	now := time.Now()
	controls := g.controls()
	self := g.self()
	self.runsForwarded = g.runsForwarded()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &sharepb.NeighboursAnswer{IsRelay: g.isRelay(controls, now)}
	for _, dc := range g.dataCentres() {
		for _, p := range g.recentRelaysOf(dc, controls, now) {
			a.Relays = append(a.Relays, p.toNode())
		}
	}
	for _, p := range g.peers {
		if p.dataCentre == g.config.DataCentre && p.hasSent && now.Sub(p.lastHeard) <= loadTTL {
			addToAnswer(a, p, asking)
		}
	}
	// A relay has enough to do, so it names itself only if it knows no other.
	if len(a.Neighbours) == 0 || !self.runsForwarded {
		addToAnswer(a, self, asking)
	}
	rand.Shuffle(len(a.Neighbours), func(i, j int) { a.Neighbours[i], a.Neighbours[j] = a.Neighbours[j], a.Neighbours[i] })
	a.Neighbours = a.Neighbours[:min(maxNeighboursFound, len(a.Neighbours))]
	return a
}

// recentRelaysOf returns the relays of a data centre and those that were until lately, without this node; the caller
// holds the lock.
func (g *Gossiper) recentRelaysOf(dc serving.DataCentre, controls bool, now time.Time) []*peer {
	out := slices.DeleteFunc(slices.Clone(g.relaysOf(dc, controls, now)), g.isSelf)
	for _, p := range g.peers {
		wasRelay := now.Sub(p.relayedAt) < namedRelayTTL || now.Sub(p.namedRelayAt) < namedRelayTTL
		if p.dataCentre == dc && wasRelay && p.usable() && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// addToAnswer adds a node of this data centre to an answer for another one.
func addToAnswer(a *sharepb.NeighboursAnswer, p *peer, asking string) {
	if !p.runsForwarded || !p.usable() {
		a.OtherCores += p.cores
		return
	}
	if p.address == asking {
		return
	}
	a.NeighbourCores += p.cores
	a.Neighbours = append(a.Neighbours, p.toNode())
}

// toNeighbours returns the nodes of a data centre as candidates. Each stands for its part of all nodes there that
// run requests of others. Those of the own data centre are preferred while they are as strong as the nodes
// whose requests they run.
func (f foundNeighbours) toNeighbours(isLocal bool) []forward.Neighbour {
	named := 0.0
	for _, node := range f.nodes {
		named += float64(node.GetCores())
	}
	if named == 0 {
		// Without a weight all count alike.
		named = 1
	}
	total := max(named, f.neighbourCores)
	var out []forward.Neighbour
	for _, node := range f.nodes {
		out = append(out, forward.Neighbour{
			Address:   node.GetAddress(),
			Local:     isLocal,
			Preferred: isLocal && f.neighbourCores >= f.otherCores,
			Weight:    float64(node.GetCores()) * total / named,
		})
	}
	return out
}
