package membership

import (
	"sort"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// NodeID identifies an entry instance.
type NodeID string

// Node is an entry instance and its address.
type Node struct {
	ID         NodeID           `json:"id"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// Address is the IP address and port for peers.
	Address string `json:"address"`
}

// Heartbeat is a message between two entry instances of a data centre. It combines the
// liveness signal, a vouch for earlier reports and a delta of reports, so that an idle pair
// exchanges one small message per interval and direction.
type Heartbeat struct {
	From Node
	// Incarnation changes whenever the sender's process starts.
	Incarnation uint64
	// Stamp is the time since the sender's start at which it created the
	// heartbeat.
	Stamp time.Duration
	// Echo is the last Stamp received from the receiver, and EchoFor the
	// receiver's incarnation that sent it. The receiver uses it as the time of
	// the heartbeat on its own clock: the heartbeat was created after that
	// moment, however long a full buffer or a frozen sender delayed it.
	Echo    time.Duration
	EchoFor uint64
	// OldestAge is the age of the oldest report that the sender vouches for.
	OldestAge time.Duration
	// Reports are the changes of the sender's reports after Since up to Seq. If
	// Since is 0 they are a snapshot, which replaces the previous reports.
	Since   uint64
	Seq     uint64
	Reports []fleet.Report
	// Ack is the last Seq received from the receiver's incarnation EchoFor.
	Ack uint64
	// Stopping is set when the sender is shutting down.
	Stopping bool
	// ConfigurationRevision and GroupsRevision are the sender's revisions.
	ConfigurationRevision uint64
	GroupsRevision        uint64
	// Demand is the sender's recent requests per second by pool, for pools
	// whose rate has changed noticeably since it was last sent.
	Demand map[string]float64
	// Known lists the nodes that the sender knows. It is sent until the receiver
	// knows the sender's incarnation.
	Known []Node
}

// LocalState is the caller's state that an outgoing heartbeat includes.
type LocalState struct {
	Stopping              bool
	ConfigurationRevision uint64
	GroupsRevision        uint64
	Demand                map[string]float64
}

// NextHeartbeat returns the next heartbeat for a peer.
func (t *Tracker) NextHeartbeat(now time.Time, to NodeID, state LocalState) Heartbeat {
	h := Heartbeat{
		From:                  t.options.Self,
		Incarnation:           t.options.Incarnation,
		Stamp:                 now.Sub(t.options.Start),
		Stopping:              state.Stopping,
		ConfigurationRevision: state.ConfigurationRevision,
		GroupsRevision:        state.GroupsRevision,
	}
	p := t.peers[to]
	if p == nil {
		p = &peer{}
	}
	if p.knowsIncarnation {
		h.From = Node{ID: h.From.ID}
	} else {
		h.Known = t.Nodes()
	}
	h.Demand = p.demandDelta(state.Demand)
	h.Echo = p.stamp
	h.EchoFor = p.incarnation
	h.Ack = p.seq
	h.Since = p.ackedSeq
	if p.ackedSeq < t.minDeltaSeq {
		h.Since = 0
	}
	h.Seq = t.seq
	for _, o := range t.local {
		if o.seq > h.Since {
			h.Reports = append(h.Reports, o.report)
		}
		h.OldestAge = max(h.OldestAge, now.Sub(o.sentAt))
	}
	if h.Since > 0 && t.lastWithdrawn > h.Since {
		h.Reports = append(h.Reports, t.withdrawnSince(h.Since)...)
	}
	sort.Slice(h.Reports, func(i, j int) bool { return h.Reports[i].Instance < h.Reports[j].Instance })
	return h
}

// withdrawnSince returns the withdrawals after a seq, as reports of PhaseLost.
func (t *Tracker) withdrawnSince(since uint64) []fleet.Report {
	var out []fleet.Report
	for id, w := range t.withdrawn {
		if w.seq > since {
			out = append(out, fleet.Report{Instance: id, Phase: fleet.PhaseLost})
		}
	}
	return out
}

// Receive applies a peer's heartbeat. It returns false for a heartbeat of an
// older incarnation of the peer, one that arrives after a later one, or one of
// an unknown peer without its address.
func (t *Tracker) Receive(now time.Time, h Heartbeat) bool {
	if h.From.ID == t.options.Self.ID {
		return false
	}
	p := t.peers[h.From.ID]
	switch {
	case (p == nil || h.Incarnation > p.incarnation) && h.From.DataCentre == "":
		// The sender omits its address because it has not noticed that this
		// node restarted. This node's next heartbeat shows it.
		return false
	case p == nil || h.Incarnation > p.incarnation:
		if p != nil {
			t.removePeerReports(p)
		}
		p = &peer{node: h.From, incarnation: h.Incarnation, reports: map[fleet.InstanceID]fleet.Report{}, demand: map[string]float64{}}
		t.peers[h.From.ID] = p
	case h.Incarnation < p.incarnation || h.Stamp < p.stamp:
		return false
	}
	if h.From.DataCentre != "" {
		p.node = h.From
	}
	p.stamp = h.Stamp
	p.stopping = h.Stopping
	for pool, rate := range h.Demand {
		p.demand[pool] = rate
	}
	p.configurationRevision = h.ConfigurationRevision
	p.groupsRevision = h.GroupsRevision
	t.applyAck(p, h)
	t.applyReports(p, h)
	if h.EchoFor == t.options.Incarnation {
		p.knowsIncarnation = true
		p.aliveAt = laterOf(p.aliveAt, t.options.Start.Add(h.Echo))
		p.vouchedAt = laterOf(p.vouchedAt, t.options.Start.Add(h.Echo-h.OldestAge))
	}
	if p.firstReceived.IsZero() {
		p.firstReceived = now
	}
	for _, node := range h.Known {
		t.addKnown(now, node)
	}
	return true
}

func (t *Tracker) applyAck(p *peer, h Heartbeat) {
	if h.EchoFor == t.options.Incarnation {
		p.ackedSeq = max(p.ackedSeq, h.Ack)
		return
	}
	// The peer has no reports of this incarnation yet: send a snapshot.
	p.ackedSeq = 0
}

// applyReports applies the reports of a heartbeat. A delta that would leave a
// gap is ignored: because of this node's Ack, the peer's next delta starts
// earlier.
func (t *Tracker) applyReports(p *peer, h Heartbeat) {
	if h.Since > p.seq {
		return
	}
	if h.Since == 0 {
		t.removePeerReports(p)
	}
	for _, r := range h.Reports {
		if r.Phase == fleet.PhaseLost {
			t.removePeerReport(p, r.Instance)
			continue
		}
		t.setPeerReport(p, r)
	}
	p.seq = max(p.seq, h.Seq)
}

// minDemandFactor is the minimum factor by which a rate must change to be sent
// again.
const minDemandFactor = 1.5

// demandDelta returns the rates that have changed since they were last sent.
func (p *peer) demandDelta(rates map[string]float64) map[string]float64 {
	var out map[string]float64
	for pool, rate := range rates {
		last := p.sentDemand[pool]
		if rate <= (last+1)*minDemandFactor && last <= (rate+1)*minDemandFactor {
			continue
		}
		if out == nil {
			out = map[string]float64{}
		}
		if p.sentDemand == nil {
			p.sentDemand = map[string]float64{}
		}
		out[pool] = rate
		p.sentDemand[pool] = rate
	}
	return out
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
