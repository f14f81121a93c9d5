package membership

import (
	"sort"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// NodeID names an entry instance.
type NodeID string

// Node is where an entry instance is found.
type Node struct {
	ID         NodeID           `json:"id"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// Address is the IP and port that peers call.
	Address string `json:"address"`
}

// Heartbeat is a message between two entry instances of a data centre. It combines the
// liveness signal, vouches and a delta, so that an idle pair exchanges one small message
// per interval and direction.
type Heartbeat struct {
	From Node
	// Incarnation changes whenever the sender's process starts.
	Incarnation uint64
	// Stamp is the sender's time since its own start when the beat was made.
	Stamp time.Duration
	// Echo is the last Stamp that the sender has from the receiver, and
	// EchoFor the receiver's incarnation that it belongs to. The receiver
	// dates the whole beat by it, on its own clock: whatever delayed the beat
	// (a full buffer, a frozen sender), it was made after that moment.
	Echo    time.Duration
	EchoFor uint64
	// OldestAge is the age of the oldest report that the sender vouches for.
	OldestAge time.Duration
	// Reports are the changes of the sender's reports after Since up to Seq;
	// a Since of 0 replaces all that the receiver has of the sender.
	Since   uint64
	Seq     uint64
	Reports []fleet.Report
	// Ack is the last Seq that the sender has of the receiver's reports. It
	// belongs to the same incarnation of the receiver as Echo.
	Ack uint64
	// Leaving is set by a sender that is stopping.
	Leaving bool
	// ConfigurationRevision and GroupsRevision are what the sender holds.
	ConfigurationRevision uint64
	GroupsRevision        uint64
	// Demand is the sender's recent requests a second for each pool, as far
	// as they have changed noticeably since the last beat to the receiver.
	Demand map[string]float64
	// Known lists other nodes, sent to a node that is not known yet.
	Known []Node
}

// LocalState is the caller's own state that goes into an outgoing heartbeat.
type LocalState struct {
	Leaving               bool
	ConfigurationRevision uint64
	GroupsRevision        uint64
	Demand                map[string]float64
}

// NextHeartbeat returns the next heartbeat for a peer.
func (t *Tracker) NextHeartbeat(now time.Time, to NodeID, own LocalState) Heartbeat {
	b := Heartbeat{
		From:                  t.options.Self,
		Incarnation:           t.options.Incarnation,
		Stamp:                 now.Sub(t.options.Start),
		Leaving:               own.Leaving,
		ConfigurationRevision: own.ConfigurationRevision,
		GroupsRevision:        own.GroupsRevision,
	}
	p := t.peers[to]
	if p == nil {
		p = &peer{}
	}
	if p.greeted {
		b.From = Node{ID: b.From.ID}
	} else {
		b.Known = t.Nodes()
	}
	b.Demand = p.tell(own.Demand)
	b.Echo = p.stamp
	b.EchoFor = p.incarnation
	b.Ack = p.seq
	b.Since = p.acked
	if p.acked < t.floor {
		b.Since = 0
	}
	b.Seq = t.seq
	for _, o := range t.own {
		if o.seq > b.Since {
			b.Reports = append(b.Reports, o.report)
		}
		b.OldestAge = max(b.OldestAge, now.Sub(o.at))
	}
	if b.Since > 0 && t.lastWithdrawn > b.Since {
		b.Reports = append(b.Reports, t.withdrawnSince(b.Since)...)
	}
	sort.Slice(b.Reports, func(i, j int) bool { return b.Reports[i].Instance < b.Reports[j].Instance })
	return b
}

// withdrawnSince returns the withdrawals that a peer lacks, as reports.
func (t *Tracker) withdrawnSince(since uint64) []fleet.Report {
	var out []fleet.Report
	for id, w := range t.withdrawn {
		if w.seq > since {
			out = append(out, fleet.Report{Instance: id, Phase: fleet.PhaseLost})
		}
	}
	return out
}

// Receive takes a peer's beat. It returns false for a beat of an older
// incarnation of the peer, or one overtaken by a later beat.
func (t *Tracker) Receive(now time.Time, b Heartbeat) bool {
	if b.From.ID == t.options.Self.ID {
		return false
	}
	p := t.peers[b.From.ID]
	switch {
	case (p == nil || b.Incarnation > p.incarnation) && b.From.DataCentre == "":
		// The sender takes this node for an earlier life of it, which knew the
		// sender. It will find out by this node's own beat.
		return false
	case p == nil || b.Incarnation > p.incarnation:
		if p != nil {
			t.releaseAll(p)
		}
		p = &peer{node: b.From, incarnation: b.Incarnation, reports: map[fleet.InstanceID]fleet.Report{}, demand: map[string]float64{}}
		t.peers[b.From.ID] = p
	case b.Incarnation < p.incarnation || b.Stamp < p.stamp:
		return false
	}
	if b.From.DataCentre != "" {
		p.node = b.From
	}
	p.stamp = b.Stamp
	p.leaving = b.Leaving
	for pool, rate := range b.Demand {
		p.demand[pool] = rate
	}
	p.configurationRevision = b.ConfigurationRevision
	p.groupsRevision = b.GroupsRevision
	t.takeAck(p, b)
	t.takeReports(p, b)
	if b.EchoFor == t.options.Incarnation {
		p.greeted = true
		p.heard = later(p.heard, t.options.Start.Add(b.Echo))
		p.vouched = later(p.vouched, t.options.Start.Add(b.Echo-b.OldestAge))
	}
	if p.first.IsZero() {
		p.first = now
	}
	for _, node := range b.Known {
		t.learn(now, node)
	}
	return true
}

func (t *Tracker) takeAck(p *peer, b Heartbeat) {
	if b.EchoFor == t.options.Incarnation {
		p.acked = max(p.acked, b.Ack)
		return
	}
	// The peer has nothing of this incarnation yet: send all of it.
	p.acked = 0
}

// takeReports applies the changes of a beat. A beat that starts behind a gap
// is not applied: the peer's acknowledgement then makes the next beat start
// where this node's knowledge ends.
func (t *Tracker) takeReports(p *peer, b Heartbeat) {
	if b.Since > p.seq {
		return
	}
	if b.Since == 0 {
		t.releaseAll(p)
	}
	for _, r := range b.Reports {
		if r.Phase == fleet.PhaseLost {
			t.release(p, r.Instance)
			continue
		}
		t.hold(p, r)
	}
	p.seq = max(p.seq, b.Seq)
}

// demandStep is the factor by which a rate must have changed to be told.
const demandStep = 1.5

// tell returns the rates that have changed since they were last told.
func (p *peer) tell(rates map[string]float64) map[string]float64 {
	var out map[string]float64
	for pool, rate := range rates {
		old := p.told[pool]
		if rate <= (old+1)*demandStep && old <= (rate+1)*demandStep {
			continue
		}
		if out == nil {
			out = map[string]float64{}
		}
		if p.told == nil {
			p.told = map[string]float64{}
		}
		out[pool] = rate
		p.told[pool] = rate
	}
	return out
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
