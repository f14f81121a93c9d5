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

// Intervals of the sharing between nodes.
const (
	shareTick   = 100 * time.Millisecond
	shareNear   = 300 * time.Millisecond
	shareFar    = 900 * time.Millisecond
	shareFailed = 2 * time.Second
	shareCall   = 800 * time.Millisecond
	// loadTTL is how long a peer's figures count.
	loadTTL = 2 * time.Second
	// controllerTTL is how long the word of a controller spares the others
	// a look at the lease.
	controllerTTL = 700 * time.Millisecond
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
	next       time.Time
	busy       bool
	lost       bool
	// its last message, and the versions that it had then.
	loads         map[serving.EndpointID]relay.PeerLoad
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
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*peer
	for address, p := range s.peers {
		if now.Sub(p.heard) > forgetPeer {
			delete(s.peers, address)
			continue
		}
		if p.busy || now.Before(p.next) {
			continue
		}
		p.busy = true
		interval := shareFar
		if p.dataCentre == s.settings.DataCentre || p.id == "" {
			interval = shareNear
		}
		p.next = now.Add(interval)
		out = append(out, p)
	}
	return out
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
		p.next = time.Now().Add(shareFailed)
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
	if m.GetControls() && p.dataCentre == s.settings.DataCentre {
		s.heardController = now
	}
	p.configuration = m.GetConfigurationVersion()
	p.rows = m.GetEndpointsVersion()
	p.loads = map[serving.EndpointID]relay.PeerLoad{}
	for _, l := range m.GetLoads() {
		p.loads[serving.EndpointID(l.GetEndpoint())] = relay.PeerLoad{Running: int(l.GetRunning()), Unread: int(l.GetUnread())}
	}
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
	s.mu.Lock()
	total := map[serving.EndpointID]relay.PeerLoad{}
	nodes := 1
	for _, p := range s.peers {
		if p.id != "" {
			nodes++
		}
		if now.Sub(p.heard) > loadTTL {
			continue
		}
		for id, l := range p.loads {
			t := total[id]
			t.Running += l.Running
			t.Unread += l.Unread
			total[id] = t
		}
	}
	s.mu.Unlock()
	s.balancer.SetPeers(total)
	s.budget.SetNodes(nodes)
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
	own := s.balancer.Own()
	for _, id := range slices.Sorted(maps.Keys(own)) {
		m.Loads = append(m.Loads, &sharepb.EndpointLoad{Endpoint: string(id), Running: uint32(own[id].Running), Unread: uint32(max(0, own[id].Unread))})
	}
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
	rows, covered := s.directory.Changes(p.rows)
	m.EndpointsVersion, m.RowsSince = covered, p.rows
	if now.Sub(p.heard) < loadTTL {
		m.Rows = toRows(rows)
	} else {
		// What the peer knows is not known: it may have started anew.
		m.RowsSince = covered
	}
	for _, other := range s.peers {
		if other.id != "" && other != p && now.Sub(other.heard) < loadTTL {
			m.Known = append(m.Known, &sharepb.Node{Id: other.id, DataCentre: string(other.dataCentre), Address: other.address})
		}
	}
	return m
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
