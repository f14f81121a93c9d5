package entry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
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
	// shareSeldom keeps nodes acquainted that hear of each other otherwise.
	shareSeldom = 10 * time.Second
	shareFailed = 2 * time.Second
	shareCall   = 800 * time.Millisecond
	// acquaintEvery is the number of messages to a peer of which one names
	// all known nodes.
	acquaintEvery = 20
	// loadTTL is how long a peer's figures count.
	loadTTL = 2 * time.Second
	// controllerTTL is how long the word of a controller spares the others
	// a look at the lease.
	controllerTTL = 1300 * time.Millisecond
	// forgetPeer is after how much silence a peer is not called any more.
	forgetPeer = 30 * time.Second
)

// nodeTable has a row for each node, so that nodes find each other.
const nodeTable = "ridgehinge-nodes"

// nodeRow is the value of a node's row.
type nodeRow struct {
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
}

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
	// its last message, and the versions that it had then.
	loads         map[serving.EndpointID]relay.PeerLoad
	relayed       map[serving.EndpointID]relay.PeerLoad
	suspects      []serving.EndpointID
	configuration uint64
	rows          uint64
}

// sharing keeps the nodes informed of each other.
type sharing struct {
	settings  *Settings
	life      string
	directory *directory.Directory
	balancer  *relay.Balancer
	budget    *relay.Budget
	store     table.Store
	client    *peers.Client
	log       logging.Logger

	mu      sync.Mutex
	peers   map[string]*peer // by address
	leaving bool
	// heardController is when the controller of this data centre last spoke.
	heardController time.Time
	// controls reports whether this node is that controller.
	controls func() bool
}

// controllerLives reports whether the data centre's controller, another node,
// spoke lately.
func (s *sharing) controllerLives() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heardController) < controllerTTL
}

func newSharing(s *Settings, life string, d *directory.Directory, b *relay.Balancer, budget *relay.Budget, store table.Store, links upstream.Options) *sharing {
	sh := &sharing{
		settings:  s,
		life:      life,
		directory: d,
		balancer:  b,
		budget:    budget,
		store:     store,
		client:    peers.NewClient([]byte(s.PeerKey), links.Source),
		log:       logging.For("peers"),
		peers:     map[string]*peer{},
		controls:  func() bool { return false },
	}
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
		}
	}
}

// due returns the peers to be called now.
func (s *sharing) due(now time.Time) []*peer {
	controls := s.controls()
	s.mu.Lock()
	defer s.mu.Unlock()
	near, far := 0, 0
	for address, p := range s.peers {
		if now.Sub(p.heard) > forgetPeer {
			delete(s.peers, address)
			continue
		}
		if p.dataCentre == s.settings.DataCentre {
			near++
		} else {
			far++
		}
	}
	var out []*peer
	for _, p := range s.peers {
		if p.busy || now.Sub(p.failed) < shareFailed || now.Sub(p.called) < s.interval(p, controls, near, far, now) {
			continue
		}
		p.busy = true
		p.called = now
		out = append(out, p)
	}
	return out
}

// interval is the time between two calls of a peer; the caller holds the
// lock. near and far are the numbers of known nodes.
func (s *sharing) interval(p *peer, controls bool, near, far int, now time.Time) time.Duration {
	home := p.dataCentre == s.settings.DataCentre
	live := p.controls && now.Sub(p.heard) < loadTTL
	switch {
	case p.id == "":
		return shareFirst
	case live && home != controls:
		// The own controller, or that of another data centre.
		return min(shareControllerMost, scaled(shareController, near, nearNodes))
	case controls && home:
		// It calls; if it does not, it may not know this node.
		if now.Sub(p.heard) > shareSilent {
			return shareSilent
		}
		return shareSeldom
	case controls && s.controllerOf(p.dataCentre, now) == nil:
		return scaled(shareNear, far, farNodes)
	case controls, now.Sub(s.heardController) < loadTTL:
		return shareSeldom
	case home:
		return scaled(shareNear, near, nearNodes)
	}
	return scaled(shareFar, far, farNodes)
}

// scaled lengthens an interval when there are more nodes than it is for.
func scaled(interval time.Duration, nodes, usual int) time.Duration {
	return interval * time.Duration(max(nodes, usual)) / time.Duration(usual)
}

// controllerOf returns the live controller of a data centre among the peers;
// the caller holds the lock.
func (s *sharing) controllerOf(dataCentre serving.DataCentre, now time.Time) *peer {
	for _, p := range s.peers {
		if p.controls && p.dataCentre == dataCentre && now.Sub(p.heard) < loadTTL {
			return p
		}
	}
	return nil
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

// take applies a peer's message.
func (s *sharing) take(m *peers.ShareMessage, address string) *peer {
	now := time.Now()
	if value := m.GetConfiguration(); len(value) > 0 {
		s.directory.TakeConfiguration(value, "peer "+m.GetFrom().GetId())
	}
	if m.GetEndpointsVersion() > 0 {
		s.directory.TakeChanges(fromRows(m.GetRows()), m.GetRowsSince(), m.GetEndpointsVersion(), now)
	}
	for _, o := range m.GetObservations() {
		s.directory.Observe(fromObservation(o), false, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.meet(address, m.GetFrom().GetId(), m.GetFrom().GetDataCentre())
	if p == nil {
		return nil
	}
	for _, known := range m.GetKnown() {
		s.meet(known.GetAddress(), known.GetId(), known.GetDataCentre())
	}
	p.heard = now
	p.controls = m.GetControls()
	if p.controls && p.dataCentre == s.settings.DataCentre {
		s.heardController = now
	}
	p.configuration = m.GetConfigurationVersion()
	p.rows = m.GetEndpointsVersion()
	p.loads = fromLoads(m.GetLoads())
	p.relayed = fromLoads(m.GetRelayed())
	p.suspects = p.suspects[:0]
	for _, id := range m.GetSuspects() {
		p.suspects = append(p.suspects, serving.EndpointID(id))
	}
	if m.GetLeaving() {
		delete(s.peers, address)
	}
	return p
}

// sum tells the balancer and the budget what the peers told.
func (s *sharing) sum(now time.Time) {
	controls := s.controls()
	s.mu.Lock()
	nodes := 1
	for _, p := range s.peers {
		if p.id != "" {
			nodes++
		}
	}
	total := s.othersLoads(controls, nil, now)
	s.mu.Unlock()
	s.balancer.SetPeers(total)
	s.budget.SetNodes(nodes)
}

// loadSum adds up loads.
type loadSum map[serving.EndpointID]relay.PeerLoad

func (t loadSum) add(loads map[serving.EndpointID]relay.PeerLoad) {
	for id, l := range loads {
		sum := t[id]
		sum.Running += l.Running
		sum.Unread += l.Unread
		t[id] = sum
	}
}

// othersLoads sums up what others than this node, and than one peer, have
// under way; the caller holds the lock. A node that hears its controller
// takes that one's word; a controller takes those of its data centre and the
// words of the other controllers.
func (s *sharing) othersLoads(controls bool, except *peer, now time.Time) loadSum {
	total := loadSum{}
	if own := s.controllerOf(s.settings.DataCentre, now); own != nil && !controls {
		total.add(own.loads)
		total.add(own.relayed)
		return total
	}
	for _, p := range s.peers {
		if p == except || now.Sub(p.heard) > loadTTL {
			continue
		}
		if controls && p.dataCentre != s.settings.DataCentre {
			if p.controls {
				total.add(p.relayed)
			} else if s.controllerOf(p.dataCentre, now) != nil {
				continue
			}
		}
		total.add(p.loads)
	}
	return total
}

// homeLoads sums up what the other nodes of this data centre have under way;
// the caller holds the lock.
func (s *sharing) homeLoads(now time.Time) loadSum {
	total := loadSum{}
	for _, p := range s.peers {
		if p.dataCentre == s.settings.DataCentre && now.Sub(p.heard) <= loadTTL {
			total.add(p.loads)
		}
	}
	return total
}

// suspects returns what this node and its peers find silent or failing.
func (s *sharing) suspects() []serving.EndpointID {
	now := time.Now()
	out := s.balancer.Suspects(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if now.Sub(p.heard) < loadTTL {
			out = append(out, p.suspects...)
		}
	}
	return out
}

// message is this node's side of a swap with a peer, with what it lacks.
func (s *sharing) message(p *peer) *peers.ShareMessage {
	now := time.Now()
	m := &peers.ShareMessage{From: &sharepb.Node{Id: s.life, DataCentre: string(s.settings.DataCentre), Address: s.settings.Peers}}
	m.Loads = toLoads(s.balancer.Own())
	for _, id := range s.balancer.Suspects(now) {
		m.Suspects = append(m.Suspects, string(id))
	}
	for _, o := range s.directory.Observations(now) {
		m.Observations = append(m.Observations, toObservation(o))
	}
	version, value := s.directory.Configuration()
	m.ConfigurationVersion = version
	m.Controls = s.controls()
	s.mu.Lock()
	defer s.mu.Unlock()
	m.Leaving = s.leaving
	if p == nil {
		return m
	}
	if p.configuration < version {
		m.Configuration = value
	}
	if m.Controls && p.dataCentre == s.settings.DataCentre {
		m.Relayed = toLoads(s.othersLoads(true, p, now))
	} else if m.Controls {
		m.Relayed = toLoads(s.homeLoads(now))
	}
	rows, covered := s.directory.Changes(p.rows)
	m.EndpointsVersion, m.RowsSince = covered, p.rows
	if now.Sub(p.heard) < shareSeldom/2 {
		m.Rows = toRows(rows)
	} else {
		// What the peer knows is not known: it may have started anew.
		m.RowsSince = covered
	}
	p.messages++
	if p.messages%acquaintEvery != 1 {
		return m
	}
	for _, other := range s.peers {
		if other.id != "" && other != p && now.Sub(other.heard) < forgetPeer/2 {
			m.Known = append(m.Known, &sharepb.Node{Id: other.id, DataCentre: string(other.dataCentre), Address: other.address})
		}
	}
	return m
}

func toLoads(loads map[serving.EndpointID]relay.PeerLoad) []*sharepb.EndpointLoad {
	out := make([]*sharepb.EndpointLoad, 0, len(loads))
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		out = append(out, &sharepb.EndpointLoad{Endpoint: string(id), Running: uint32(loads[id].Running), Unread: uint32(max(0, loads[id].Unread))})
	}
	return out
}

func fromLoads(loads []*sharepb.EndpointLoad) map[serving.EndpointID]relay.PeerLoad {
	out := make(map[serving.EndpointID]relay.PeerLoad, len(loads))
	for _, l := range loads {
		out[serving.EndpointID(l.GetEndpoint())] = relay.PeerLoad{Running: int(l.GetRunning()), Unread: int(l.GetUnread())}
	}
	return out
}

func toRows(rows []table.Row) []*sharepb.Row {
	out := make([]*sharepb.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, &sharepb.Row{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return out
}

func fromRows(rows []*sharepb.Row) []table.Row {
	out := make([]table.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, table.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved()})
	}
	return out
}

func toObservation(o directory.Observation) *sharepb.Observation {
	return &sharepb.Observation{
		Endpoint: string(o.ID),
		Model:    o.Model,
		Group:    o.Membership.Group,
		Epoch:    o.Membership.Epoch,
		Rank:     uint32(o.Membership.Rank),
		State:    uint32(o.Membership.State),
		Orders:   o.Orders,
	}
}

func fromObservation(o *sharepb.Observation) directory.Observation {
	return directory.Observation{
		ID:     serving.EndpointID(o.GetEndpoint()),
		Model:  o.GetModel(),
		Orders: o.GetOrders(),
		Membership: serving.Membership{
			Group: o.GetGroup(),
			Epoch: o.GetEpoch(),
			Rank:  int(o.GetRank()),
			State: serving.MemberState(o.GetState()),
		},
	}
}

// nodesPause is the time between two tries to reach the table of nodes.
const nodesPause = time.Second

// followNodes keeps this node's row and learns of the others.
func (s *sharing) followNodes(ctx context.Context) {
	registered := false
	version := uint64(0)
	for ctx.Err() == nil {
		if !registered {
			registered = s.register(ctx) == nil
		}
		rows, next, err := s.readNodes(ctx, version)
		switch {
		case errors.Is(err, table.ErrHistoryGone):
			version = 0
		case err == nil:
			version = next
		}
		s.mu.Lock()
		for _, r := range rows {
			var row nodeRow
			if !r.Removed && json.Unmarshal(r.Value, &row) == nil {
				s.meet(row.Address, r.Key, row.DataCentre)
			}
		}
		s.mu.Unlock()
		if err != nil || !registered {
			select {
			case <-ctx.Done():
			case <-time.After(nodesPause):
			}
		}
	}
}

// nodesWait is how long one watch of the table of nodes waits.
const nodesWait = 15 * time.Second

func (s *sharing) readNodes(ctx context.Context, since uint64) ([]table.Row, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, nodesWait+storeCallTimeout)
	defer cancel()
	if since == 0 {
		page, err := s.store.Read(ctx, nodeTable, "")
		return page.Rows, page.Version, err
	}
	page, err := s.store.Watch(ctx, nodeTable, since, nodesWait)
	return page.Rows, max(since, page.Version), err
}

// row is this node's row; its key is its address, which it takes over from
// an earlier life.
func (s *sharing) row() table.Row {
	value, _ := json.Marshal(nodeRow{string(s.settings.DataCentre), s.settings.Peers}) // Plain structs always encode.
	return table.Row{Table: nodeTable, Key: s.settings.Node, Value: value}
}

func (s *sharing) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := s.store.Commit(ctx, table.Change{Writes: []table.Row{s.row()}})
	return err
}

// leave takes this node's row away and has the next messages say that it
// stops.
func (s *sharing) leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	row := s.row()
	row.Value = nil
	_, _ = s.store.Commit(ctx, table.Change{Removals: []table.Row{row}})
}
