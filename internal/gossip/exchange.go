package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/delta"
	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// take applies a peer's message.
func (g *Gossiper) take(m *peers.ShareMessage, address string) *peer {
	now := time.Now()
	if packed := m.GetConfiguration(); len(packed) > 0 {
		g.takeConfiguration(packed, m.GetFrom().GetId())
	}
	before, _ := g.directory.TableVersion()
	if m.GetEndpointsVersion() > 0 {
		g.directory.ApplyChanges(fromRows(m.GetRows()), m.GetRowsSince(), m.GetEndpointsVersion(), now)
	}
	after, _ := g.directory.TableVersion()
	for _, o := range m.GetObservations() {
		g.directory.Observe(fromObservation(o), false, now)
	}
	if len(m.GetDemand())+len(m.GetRelayedDemand()) > 0 {
		g.asked.Store(true)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if after > before {
		g.rowsHeard = now
	}
	if known := g.peers[address]; known != nil && known.id != m.GetFrom().GetId() {
		// A restarted peer has nothing of what it was sent before.
		known.observations, known.observationsSeen = 0, 0
		known.quarantine = delta.Cursor{}
		known.advisories = delta.Cursor{}
	}
	p := g.meet(address, m.GetFrom().GetId(), m.GetFrom().GetDataCentre())
	if p == nil {
		return nil
	}
	p.cores = m.GetFrom().GetCores()
	for _, named := range m.GetKnown() {
		if known := g.meet(named.GetAddress(), named.GetId(), named.GetDataCentre()); known != nil {
			known.cores = named.GetCores()
			if named.GetRelays() {
				known.toldRelay = now
			}
		}
	}
	p.heard, p.spoke = now, true
	g.dirty = true
	g.applyRelayed(p, m, now)
	if p.controls && p.dataCentre == g.config.DataCentre {
		g.controller.ObserveController(p.epoch)
		if !m.GetHoldsOver() {
			g.heardController = now
		}
	}
	p.configuration = m.GetConfigurationVersion()
	p.rows = m.GetEndpointsVersion()
	p.observations = m.GetObservationsVersion()
	p.observationsSeen = m.GetObservationsSeen()
	g.quarantine.list.ApplyDelta(&p.quarantine, m.GetQuarantine(), "node "+m.GetFrom().GetId(), now)
	g.throttle.ApplyDelta(&p.advisories, m.GetAdvisories(), "node "+m.GetFrom().GetId(), now)
	p.own = work{fromLoads(m.GetLoads(), now), fromDemand(m.GetDemand())}
	p.relayed = work{fromLoads(m.GetRelayed(), now), fromDemand(m.GetRelayedDemand())}
	p.suspects = p.suspects[:0]
	for _, id := range m.GetSuspects() {
		p.suspects = append(p.suspects, serving.EndpointID(id))
	}
	p.cutOff = p.cutOff[:0]
	for _, dc := range m.GetCutOff() {
		p.cutOff = append(p.cutOff, serving.DataCentre(dc))
	}
	p.peerReports = toPeerReports(m)
	if m.GetLeaving() {
		delete(g.peers, address)
	}
	return p
}

// applyRelayed notes what a message says of the sender as a controller and a relay;
// the caller holds the lock.
func (g *Gossiper) applyRelayed(p *peer, m *peers.ShareMessage, now time.Time) {
	p.controls = m.GetControls()
	p.relays = m.GetRelays()
	if !p.relays {
		p.toldRelay = time.Time{}
	}
	p.epoch = m.GetEpoch()
	p.homeNodes = int(m.GetHomeNodes())
	p.storeSeen = clock.FromAgeMillis(m.GetStoreAgeMs(), now)
	g.nodes = max(g.nodes, int(m.GetNodes()))
	if p.dataCentre == g.config.DataCentre && m.GetRank() > 0 {
		g.rank, g.ranked = int(m.GetRank()), true
		g.toldNodes = true
	}
}

// message is this node's side of a swap with a peer, with what it lacks.
func (g *Gossiper) message(p *peer) *peers.ShareMessage {
	now := time.Now()
	m := &peers.ShareMessage{From: g.self().named()}
	m.Loads = toLoads(g.balancer.LocalLoads(now), now)
	m.Demand = toDemand(g.demand.Rates(now))
	for _, id := range g.balancer.Suspects(now) {
		m.Suspects = append(m.Suspects, string(id))
	}
	for _, dc := range g.balancer.UnreachableDataCentres(now) {
		m.CutOff = append(m.CutOff, string(dc))
	}
	version, value := g.directory.Configuration()
	m.ConfigurationVersion = version
	m.Epoch = g.controller.Epoch()
	m.Controls = m.Epoch != 0
	m.HoldsOver = g.controller.HoldsPastExpiry()
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Leaving = g.leaving
	if p == nil {
		return m
	}
	g.addRelayed(m, p, now)
	g.addObservations(m, p, now)
	m.Quarantine = g.quarantine.list.Delta(&p.quarantine, now)
	m.Advisories = g.throttle.Delta(&p.advisories, now)
	if p.spoke && p.configuration < version && now.Sub(p.heard) < sayAllAfter {
		m.Configuration = g.compressed.of(version, value)
	}
	late := g.mayNeedRows(p) && p.lacksRows(now)
	rows, covered := g.directory.Changes(p.rows)
	m.EndpointsVersion, m.RowsSince = covered, p.rows
	if now.Sub(p.heard) < sayAllAfter && (late || p.rows > 0) {
		m.Rows = toRows(rows)
	} else {
		// What the peer knows is not known: it may have started anew.
		m.RowsSince = covered
	}
	p.messages++
	if p.messages%acquaintEvery == 1 {
		g.addKnownNodes(m, p, now)
	}
	return m
}

// named is a peer as messages name it.
func (p *peer) named() *sharepb.Node {
	return &sharepb.Node{Id: p.id, DataCentre: string(p.dataCentre), Address: p.address, Cores: p.cores}
}

// addKnownNodes names the relays of all data centres, and the next of the peer's own; the
// caller holds the lock.
func (g *Gossiper) addKnownNodes(m *peers.ShareMessage, to *peer, now time.Time) {
	m.Known = m.Known[:0]
	seen := map[string]bool{to.address: true, g.config.Address: true}
	name := func(nodes []*peer, relay bool) {
		for _, p := range nodes {
			if !seen[p.address] {
				seen[p.address] = true
				node := p.named()
				node.Relays = relay
				m.Known = append(m.Known, node)
			}
		}
	}
	for _, dc := range g.dataCentres() {
		name(g.relaysOf(dc, m.Controls, now), true)
	}
	ordered := g.ordered(to.dataCentre)
	name(ordered[:min(len(ordered), namedNodes)], false)
}

// nameRelays tells a peer that called this node, which does not relay, who does: it
// takes this node for a relay. After the lease had passed to the third in rank, the nodes
// of its data centre called the first two for eleven seconds, and heard no loads.
func (g *Gossiper) nameRelays(m *peers.ShareMessage, to *peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addKnownNodes(m, to, time.Now())
}

// addObservations adds what the peer has not seen of this node's observations; the
// caller holds the lock. All of them in each message would be most of its bytes while groups are
// formed.
func (g *Gossiper) addObservations(m *peers.ShareMessage, p *peer, now time.Time) {
	observations, version := g.directory.Observations(p.observationsSeen, now)
	for _, o := range observations {
		m.Observations = append(m.Observations, toObservation(o))
	}
	m.ObservationsVersion = version
	m.ObservationsSeen = p.observations
}

// mayNeedRows reports whether a peer without any endpoints is to get them from this node:
// one of its data centre, or a relay of another. Nodes that start call seeds of other
// data centres, each of which would send them the whole table.
func (g *Gossiper) mayNeedRows(p *peer) bool {
	return p.relays || p.dataCentre == g.config.DataCentre
}

// lacksRows reports whether a peer has lacked all endpoints for so long that it is to
// be sent them; the caller holds the lock of the Gossiper.
func (p *peer) lacksRows(now time.Time) bool {
	if p.rows > 0 {
		p.behindSince = time.Time{}
		return false
	}
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	return now.Sub(p.behindSince) >= largeAfter
}

// addRelayed adds what a relay tells a peer of others; the caller holds the lock.
func (g *Gossiper) addRelayed(m *peers.ShareMessage, p *peer, now time.Time) {
	if !g.relaysHere(m.Controls, now) {
		return
	}
	m.Relays = true
	m.HomeNodes = uint32(g.homeNodes())
	m.Nodes = uint32(g.nodes)
	m.StoreAgeMs = clock.AgeMillis(g.storeSeen, now)
	relayed := g.homeWork(now)
	if p.dataCentre == g.config.DataCentre {
		m.Rank = uint32(g.ranks[p.address])
		relayed = g.othersWork(true, p, now)
		addPeerReports(m, g.aggregated)
	}
	m.Relayed, m.RelayedDemand = toLoads(relayed.loads, now), toDemand(relayed.demand)
}

// eventTold is how long ago an endpoint's last event may be to be told.
const eventTold = 10 * time.Second

// toLoads tells times as ages.
func toLoads(loads map[serving.EndpointID]relay.PeerLoad, now time.Time) []*sharepb.EndpointLoad {
	out := make([]*sharepb.EndpointLoad, 0, len(loads))
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		l := loads[id]
		told := &sharepb.EndpointLoad{
			Endpoint: string(id),
			Running:  uint32(l.Running),
			Unread:   uint32(max(0, l.Unread)),
			Epoch:    l.Epoch,
			Served:   float32(l.Tally.Served),
			Failed:   float32(l.Tally.Failed),
			Took:     float32(l.Pace.Took),
			Reckoned: float32(l.Pace.Expected),
		}
		if now.Sub(l.LastEvent) < eventTold {
			ms := clock.AgeMillis(l.LastEvent, now)
			told.EventAgeMs = &ms
		}
		out = append(out, told)
	}
	return out
}

// fromLoads is the reverse of toLoads.
func fromLoads(loads []*sharepb.EndpointLoad, now time.Time) map[serving.EndpointID]relay.PeerLoad {
	out := make(map[serving.EndpointID]relay.PeerLoad, len(loads))
	for _, l := range loads {
		load := relay.PeerLoad{
			Running: int(l.GetRunning()),
			Unread:  int(l.GetUnread()),
			Epoch:   l.GetEpoch(),
			Tally:   health.Tally{Served: float64(l.GetServed()), Failed: float64(l.GetFailed())},
			Pace:    health.Pace{Took: float64(l.GetTook()), Expected: float64(l.GetReckoned())},
		}
		if l.EventAgeMs != nil {
			load.LastEvent = clock.FromAgeMillis(l.GetEventAgeMs(), now)
		}
		out[serving.EndpointID(l.GetEndpoint())] = load
	}
	return out
}

func toDemand(demand map[directory.Pool]relay.ModelDemand) []*sharepb.Demand {
	out := make([]*sharepb.Demand, 0, len(demand))
	for pool, asked := range demand {
		out = append(out, &sharepb.Demand{
			Service:  pool.Service,
			Model:    pool.Model,
			Groups:   asked.Groups,
			Requests: float32(asked.Requests),
			InTime:   float32(asked.InTime),
			Late:     float32(asked.Late),
		})
	}
	return out
}

func fromDemand(demand []*sharepb.Demand) map[directory.Pool]relay.ModelDemand {
	out := make(map[directory.Pool]relay.ModelDemand, len(demand))
	for _, d := range demand {
		out[directory.Pool{Service: d.GetService(), Model: d.GetModel()}] = relay.ModelDemand{
			Groups:   d.GetGroups(),
			Requests: float64(d.GetRequests()),
			InTime:   float64(d.GetInTime()),
			Late:     float64(d.GetLate()),
		}
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
		Endpoint:  string(o.ID),
		Model:     o.Model,
		Group:     o.Membership.Group,
		Epoch:     o.Membership.Epoch,
		Rank:      uint32(o.Membership.Rank),
		State:     uint32(o.Membership.State),
		Orders:    o.Orders,
		StartedAt: o.StartedAt,
	}
}

func fromObservation(o *sharepb.Observation) directory.Observation {
	return directory.Observation{
		ID:        serving.EndpointID(o.GetEndpoint()),
		Model:     o.GetModel(),
		Orders:    o.GetOrders(),
		StartedAt: o.GetStartedAt(),
		Membership: serving.Membership{
			Group: o.GetGroup(),
			Epoch: o.GetEpoch(),
			Rank:  int(o.GetRank()),
			State: serving.MemberState(o.GetState()),
		},
	}
}
