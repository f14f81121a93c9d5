package gossip

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/delta"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/sharecodec"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// applyMessage applies a peer's message and returns the peer.
func (g *Gossiper) applyMessage(m *peers.ShareMessage, address string) *peer {
	now := time.Now()
	if packed := m.GetConfiguration(); len(packed) > 0 {
		g.applyConfiguration(packed, m.GetFrom().GetId())
	}
	g.applyEvacuations(m, now)
	g.applyRows(m, now)
	for _, o := range m.GetObservations() {
		g.directory.Observe(fromObservation(o), false, now)
	}
	if len(m.GetDemand())+len(m.GetRelayedDemand()) > 0 {
		g.demandReported.Store(true)
	}
	ownRates, relayedRates := g.decodeRates(m, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.peers[address]; known != nil && known.id != m.GetFrom().GetId() {
		// A restarted peer has lost what it received before.
		known.observations, known.observationsSeen = 0, 0
		known.quarantine = delta.Cursor{}
		known.advisories = delta.Cursor{}
	}
	p := g.addPeer(address, m.GetFrom().GetId(), m.GetFrom().GetDataCentre())
	if p == nil {
		return nil
	}
	p.cores = m.GetFrom().GetCores()
	for _, node := range m.GetKnown() {
		if known := g.addPeer(node.GetAddress(), node.GetId(), node.GetDataCentre()); known != nil {
			known.cores = node.GetCores()
			if node.GetRelays() {
				known.namedRelayAt = now
			}
		}
	}
	p.lastHeard, p.hasSent = now, true
	g.heard = true
	g.dirty = true
	g.applyRelayed(p, m, now)
	g.applyNeighbours(p, m, now)
	if p.controls && p.dataCentre == g.config.DataCentre {
		g.controller.ObserveController(p.epoch)
		if !m.GetHoldsOver() {
			g.controllerHeard = now
		}
	}
	p.configuration = m.GetConfigurationVersion()
	p.evacuations = m.GetEvacuationsVersion()
	p.rows = m.GetEndpointsVersion()
	p.readsCompressedRows = m.GetReadsCompressedRows()
	p.observations = m.GetObservationsVersion()
	p.observationsSeen = m.GetObservationsSeen()
	g.quarantine.ApplyDelta(&p.quarantine, m.GetQuarantine(), "node "+m.GetFrom().GetId(), now)
	g.throttle.ApplyDelta(&p.advisories, m.GetAdvisories(), "node "+m.GetFrom().GetId(), now)
	p.own = work{fromLoads(m.GetLoads(), now), fromDemand(m.GetDemand()), ownRates}
	p.relayed = work{fromLoads(m.GetRelayed(), now), fromDemand(m.GetRelayedDemand()), relayedRates}
	p.suspects = p.suspects[:0]
	for _, id := range m.GetSuspects() {
		p.suspects = append(p.suspects, serving.EndpointID(id))
	}
	p.unreachableDataCentres = p.unreachableDataCentres[:0]
	for _, dc := range m.GetCutOff() {
		p.unreachableDataCentres = append(p.unreachableDataCentres, serving.DataCentre(dc))
	}
	p.peerReports = peerReportsFrom(m)
	if m.GetLeaving() {
		delete(g.peers, address)
	}
	return p
}

// applyRelayed applies what the sender reports as a controller and as a relay; the caller holds
// the lock.
func (g *Gossiper) applyRelayed(p *peer, m *peers.ShareMessage, now time.Time) {
	p.controls = m.GetControls()
	p.relays = m.GetRelays()
	if p.relays {
		p.relayedAt = now
	} else {
		p.namedRelayAt = time.Time{}
	}
	p.epoch = m.GetEpoch()
	p.localNodes = int(m.GetHomeNodes())
	if p.dataCentre == g.config.DataCentre {
		g.dataCentreNodes[p.dataCentre] = max(g.dataCentreNodes[p.dataCentre], p.localNodes)
	}
	p.storeSeen = clock.FromAgeMillis(m.GetStoreAgeMs(), now)
	g.nodes = max(g.nodes, int(m.GetNodes()))
	if p.dataCentre == g.config.DataCentre && m.GetRank() > 0 {
		g.rank, g.ranked = int(m.GetRank()), true
		g.nodesReported = true
	}
}

// buildMessage returns this node's side of an exchange, with the changes that the peer lacks.
func (g *Gossiper) buildMessage(p *peer) *peers.ShareMessage {
	m, readsCompressedRows := g.collectChanges(p)
	// Compressing takes long, and nothing else may wait for it.
	if len(m.Configuration) > 0 {
		m.Configuration = g.compressed.compress(m.ConfigurationVersion, m.Configuration)
	}
	if readsCompressedRows {
		g.compressedRows.compress(m)
	}
	return m
}

// collectChanges returns a message that is not compressed yet, and whether the peer reads compressed rows.
func (g *Gossiper) collectChanges(p *peer) (m *peers.ShareMessage, readsCompressedRows bool) {
	now := time.Now()
	m = &peers.ShareMessage{From: g.self().toNode(), ReadsCompressedRows: true}
	m.Loads = toLoads(g.balancer.LocalLoads(now), now)
	m.Demand = toDemand(g.demand.Rates(now))
	ownRates := g.ownRates(now)
	m.Rates = toRates(ownRates, g.rates.NearlyShort)
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
	m.RunsForwarded = g.runsForwarded()
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Leaving = g.stopping
	if p == nil {
		return m, false
	}
	g.addRelayed(m, p, ownRates, now)
	g.addObservations(m, p, now)
	g.addEvacuations(m, p, now)
	m.Quarantine = g.quarantine.Delta(&p.quarantine, now)
	m.Advisories = g.throttle.Delta(&p.advisories, now)
	if p.hasSent && p.configuration < version && now.Sub(p.lastHeard) < peerStateTTL {
		m.Configuration = value
	}
	late := g.mayNeedRows(p) && p.lacksRows(now)
	rows, covered := g.directory.Changes(p.rows)
	m.EndpointsVersion, m.RowsSince = covered, p.rows
	// A node that knows notices alone has rows, but no version that they lead to.
	if covered > 0 && now.Sub(p.lastHeard) < peerStateTTL && (late || p.rows > 0) {
		m.Rows = sharecodec.ToRows(rows, g.directory.LeavingLearnedAt, now)
	} else {
		// The peer's state is unknown: it may have restarted.
		m.RowsSince = covered
	}
	p.sentMessages++
	if p.sentMessages%knownNodesEvery == 1 {
		g.addKnownNodes(m, p, now)
	}
	g.addNeighbours(m, p, now)
	return m, p.readsCompressedRows
}

// toNode returns a peer as it is encoded in messages.
func (p *peer) toNode() *sharepb.Node {
	return &sharepb.Node{Id: p.id, DataCentre: string(p.dataCentre), Address: p.address, Cores: p.cores}
}

// addKnownNodes adds the relays of all data centres, and the next in rank of the peer's own, to
// a message; the caller holds the lock.
func (g *Gossiper) addKnownNodes(m *peers.ShareMessage, to *peer, now time.Time) {
	m.Known = m.Known[:0]
	seen := map[string]bool{to.address: true, g.config.Address: true}
	add := func(nodes []*peer, relay bool) {
		for _, p := range nodes {
			if !seen[p.address] {
				seen[p.address] = true
				node := p.toNode()
				node.Relays = relay
				m.Known = append(m.Known, node)
			}
		}
	}
	for _, dc := range g.dataCentres() {
		add(g.relaysOf(dc, m.Controls, now), true)
	}
	byRank := g.byRank(to.dataCentre)
	add(byRank[:min(len(byRank), maxKnownNodes)], false)
}

// nameRelays adds the known relays to a message for a peer that mistakes this node for one. After
// a change of the leaseholder, nodes would otherwise keep calling the previous relays, for ten seconds
// and more, and get no loads.
func (g *Gossiper) nameRelays(m *peers.ShareMessage, to *peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addKnownNodes(m, to, time.Now())
}

// addObservations adds the observations that the peer lacks; the caller holds the lock. While
// groups are formed, a full list would be most of the message.
func (g *Gossiper) addObservations(m *peers.ShareMessage, p *peer, now time.Time) {
	observations, version := g.directory.Observations(p.observationsSeen, now)
	for _, o := range observations {
		m.Observations = append(m.Observations, toObservation(o))
	}
	m.ObservationsVersion = version
	m.ObservationsSeen = p.observations
}

// mayNeedRows reports whether a peer without endpoints gets them from this node: one of the same
// data centre, or a relay of another. A starting node calls seeds of other data centres, each of
// which would otherwise send it the full table.
func (g *Gossiper) mayNeedRows(p *peer) bool {
	return p.relays || p.dataCentre == g.config.DataCentre
}

// lacksRows reports whether a peer has lacked all endpoints for snapshotDelay; the caller holds
// the lock of the Gossiper.
func (p *peer) lacksRows(now time.Time) bool {
	if p.rows > 0 {
		p.rowsMissingSince = time.Time{}
		return false
	}
	if p.rowsMissingSince.IsZero() {
		p.rowsMissingSince = now
	}
	return now.Sub(p.rowsMissingSince) >= snapshotDelay
}

// addRelayed adds the totals and reports that a relay sends to a peer; the caller holds the lock.
func (g *Gossiper) addRelayed(m *peers.ShareMessage, p *peer, ownRates poolRates, now time.Time) {
	if !g.isRelay(m.Controls, now) {
		return
	}
	m.Relays = true
	m.HomeNodes = uint32(g.localNodes())
	m.Nodes = uint32(g.nodes)
	m.StoreAgeMs = clock.AgeMillis(g.storeSeen, now)
	relayed := g.localWork(now)
	if p.dataCentre == g.config.DataCentre {
		m.Rank = uint32(g.ranks[p.address])
		relayed = g.peerWork(true, p, now)
		addPeerReports(m, g.aggregated)
	}
	m.Relayed, m.RelayedDemand = toLoads(relayed.loads, now), toDemand(relayed.demand)
	g.addRelayedRates(m, p, ownRates, relayed)
}
