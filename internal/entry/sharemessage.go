package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

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
	p.epoch = m.GetEpoch()
	if p.controls && p.dataCentre == s.settings.DataCentre {
		s.controller.HeardController(p.epoch)
		if !m.GetHoldsOver() {
			s.heardController = now
		}
	}
	p.configuration = m.GetConfigurationVersion()
	p.rows = m.GetEndpointsVersion()
	p.own = work{fromLoads(m.GetLoads()), fromDemand(m.GetDemand())}
	p.relayed = work{fromLoads(m.GetRelayed()), fromDemand(m.GetRelayedDemand())}
	p.suspects = p.suspects[:0]
	for _, id := range m.GetSuspects() {
		p.suspects = append(p.suspects, serving.EndpointID(id))
	}
	if m.GetLeaving() {
		delete(s.peers, address)
	}
	return p
}

// message is this node's side of a swap with a peer, with what it lacks.
func (s *sharing) message(p *peer) *peers.ShareMessage {
	now := time.Now()
	m := &peers.ShareMessage{From: &sharepb.Node{Id: s.life, DataCentre: string(s.settings.DataCentre), Address: s.settings.Peers}}
	m.Loads = toLoads(s.balancer.Own())
	m.Demand = toDemand(s.demand.Rates(now))
	for _, id := range s.balancer.Suspects(now) {
		m.Suspects = append(m.Suspects, string(id))
	}
	for _, o := range s.directory.Observations(now) {
		m.Observations = append(m.Observations, toObservation(o))
	}
	version, value := s.directory.Configuration()
	m.ConfigurationVersion = version
	m.Epoch = s.controller.Epoch()
	m.Controls = m.Epoch != 0
	m.HoldsOver = s.controller.HoldsOver()
	s.mu.Lock()
	defer s.mu.Unlock()
	m.Leaving = s.leaving
	if p == nil {
		return m
	}
	relayed := s.relayedTo(p, m.Controls, now)
	m.Relayed, m.RelayedDemand = toLoads(relayed.loads), toDemand(relayed.demand)
	late := p.behind(version, now)
	if late && p.configuration < version {
		m.Configuration = value
	}
	rows, covered := s.directory.Changes(p.rows)
	m.EndpointsVersion, m.RowsSince = covered, p.rows
	if now.Sub(p.heard) < sayAllAfter && (late || p.rows > 0) {
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

// behind reports whether a peer has lacked the configuration of a version, or
// all endpoints, for so long that it is to be sent them; the caller holds the
// lock of the sharing.
func (p *peer) behind(version uint64, now time.Time) bool {
	if p.configuration >= version && p.rows > 0 {
		p.behindSince = time.Time{}
		return false
	}
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	return now.Sub(p.behindSince) >= largeAfter
}

// relayedTo is the work of others that a controller tells a peer; the caller
// holds the lock.
func (s *sharing) relayedTo(p *peer, controls bool, now time.Time) work {
	switch {
	case controls && p.dataCentre == s.settings.DataCentre:
		return s.othersWork(true, p, now)
	case controls:
		return s.homeWork(now)
	}
	return work{}
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

func toDemand(demand map[directory.Pool]float64) []*sharepb.Demand {
	out := make([]*sharepb.Demand, 0, len(demand))
	for pool, groups := range demand {
		out = append(out, &sharepb.Demand{Service: pool.Service, Model: pool.Model, Groups: groups})
	}
	return out
}

func fromDemand(demand []*sharepb.Demand) map[directory.Pool]float64 {
	out := make(map[directory.Pool]float64, len(demand))
	for _, d := range demand {
		out[directory.Pool{Service: d.GetService(), Model: d.GetModel()}] = d.GetGroups()
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
