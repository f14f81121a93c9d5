package peers

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/peers/peerpb"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
)

func nodeToWire(n membership.Node) *peerpb.Node {
	return &peerpb.Node{Id: string(n.ID), DataCentre: string(n.DataCentre), Address: n.Address}
}

func nodeFromWire(n *peerpb.Node) membership.Node {
	return membership.Node{
		ID:         membership.NodeID(n.GetId()),
		DataCentre: fleet.DataCentre(n.GetDataCentre()),
		Address:    n.GetAddress(),
	}
}

func reportToWire(r fleet.Report) *peerpb.Report {
	return &peerpb.Report{
		Instance:    string(r.Instance),
		Incarnation: r.Incarnation,
		Version:     r.Version,
		Phase:       uint32(r.Phase),
		Group:       string(r.Group),
		Generation:  r.Generation,
		Leaving:     r.Draining,
		Weights:     r.Weights,
		Slots:       uint32(r.Slots),
		Load:        uint32(r.Load),
	}
}

func reportFromWire(r *peerpb.Report) fleet.Report {
	return fleet.Report{
		Instance:    fleet.InstanceID(r.GetInstance()),
		Incarnation: r.GetIncarnation(),
		Version:     r.GetVersion(),
		Phase:       fleet.Phase(r.GetPhase()),
		Group:       fleet.GroupID(r.GetGroup()),
		Generation:  r.GetGeneration(),
		Draining:    r.GetLeaving(),
		Weights:     r.GetWeights(),
		Slots:       int(r.GetSlots()),
		Load:        int(r.GetLoad()),
	}
}

// HeartbeatToWire encodes a heartbeat.
func HeartbeatToWire(b membership.Heartbeat) *peerpb.Beat {
	out := &peerpb.Beat{
		From:                  nodeToWire(b.From),
		Incarnation:           b.Incarnation,
		Stamp:                 int64(b.Stamp),
		Echo:                  int64(b.Echo),
		EchoFor:               b.EchoFor,
		OldestAge:             int64(b.OldestAge),
		Since:                 b.Since,
		Seq:                   b.Seq,
		Ack:                   b.Ack,
		Leaving:               b.Stopping,
		ConfigurationRevision: b.ConfigurationRevision,
		GroupsRevision:        b.GroupsRevision,
	}
	for _, r := range b.Reports {
		out.Reports = append(out.Reports, reportToWire(r))
	}
	for _, n := range b.Known {
		out.Known = append(out.Known, nodeToWire(n))
	}
	if len(b.Demand) > 0 {
		out.Demand = make(map[string]float32, len(b.Demand))
	}
	for name, rate := range b.Demand {
		out.Demand[name] = float32(rate)
	}
	return out
}

// HeartbeatFromWire decodes a heartbeat.
func HeartbeatFromWire(m *peerpb.Beat) membership.Heartbeat {
	out := membership.Heartbeat{
		From:                  nodeFromWire(m.GetFrom()),
		Incarnation:           m.GetIncarnation(),
		Stamp:                 time.Duration(m.GetStamp()),
		Echo:                  time.Duration(m.GetEcho()),
		EchoFor:               m.GetEchoFor(),
		OldestAge:             time.Duration(m.GetOldestAge()),
		Since:                 m.GetSince(),
		Seq:                   m.GetSeq(),
		Ack:                   m.GetAck(),
		Stopping:              m.GetLeaving(),
		ConfigurationRevision: m.GetConfigurationRevision(),
		GroupsRevision:        m.GetGroupsRevision(),
	}
	for _, r := range m.GetReports() {
		out.Reports = append(out.Reports, reportFromWire(r))
	}
	for _, n := range m.GetKnown() {
		out.Known = append(out.Known, nodeFromWire(n))
	}
	if len(m.GetDemand()) > 0 {
		out.Demand = make(map[string]float64, len(m.GetDemand()))
	}
	for name, rate := range m.GetDemand() {
		out.Demand[name] = float64(rate)
	}
	return out
}
