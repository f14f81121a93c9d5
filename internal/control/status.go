package control

import (
	"context"
	"sort"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/configuration"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Status is one node's view of its data centre, for operators.
type Status struct {
	Node          string                 `json:"node"`
	DataCentre    fleet.DataCentre       `json:"data_centre"`
	Configuration configuration.Revision `json:"configuration_revision"`
	Groups        uint64                 `json:"groups_revision"`
	Controller    string                 `json:"controller"`
	Epoch         uint64                 `json:"epoch"`
	// PlatformAge is the time since the table last responded, in seconds, or
	// -1 if it never did.
	PlatformAge float64          `json:"platform_age_seconds"`
	Nodes       []NodeStatus     `json:"nodes"`
	Instances   []InstanceStatus `json:"instances"`
	GroupList   []GroupStatus    `json:"groups"`
	Remotes     []RemoteStatus   `json:"other_data_centres"`
}

// NodeStatus is one entry instance.
type NodeStatus struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Alive         bool   `json:"alive"`
	Configuration uint64 `json:"configuration_revision"`
}

// InstanceStatus is one endpoint.
type InstanceStatus struct {
	ID       fleet.InstanceID `json:"id"`
	Domain   string           `json:"domain"`
	Fresh    bool             `json:"fresh"`
	Phase    string           `json:"phase"`
	Group    fleet.GroupID    `json:"group,omitempty"`
	Draining bool             `json:"leaving,omitempty"`
}

// GroupStatus is one replica group.
type GroupStatus struct {
	fleet.Group
	// Serving is set if the node sends new requests to the group.
	Serving bool `json:"serving"`
}

// RemoteStatus is an entry instance of another data centre.
type RemoteStatus struct {
	ID            string           `json:"id"`
	DataCentre    fleet.DataCentre `json:"data_centre"`
	Reachable     bool             `json:"reachable"`
	Configuration uint64           `json:"configuration_revision"`
}

type statusRequest struct{ reply chan Status }

// Status returns the loop's view of the data centre.
func (l *Loop) Status(ctx context.Context) (Status, error) {
	e := statusRequest{make(chan Status, 1)}
	select {
	case l.events <- e:
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
	select {
	case s := <-e.reply:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

func (e statusRequest) apply(l *Loop, now time.Time) { e.reply <- l.status(now) }

func (l *Loop) status(now time.Time) Status {
	holder, epoch := l.lease.Holder()
	s := Status{
		Node:          string(l.options.Self.ID),
		DataCentre:    l.options.Self.DataCentre,
		Configuration: l.store.Revision(),
		Groups:        l.groups.Revision(),
		Controller:    holder,
		Epoch:         epoch,
		PlatformAge:   -1,
	}
	if !l.reads.lastResponseAt.IsZero() {
		s.PlatformAge = now.Sub(l.reads.lastResponseAt).Seconds()
	}
	l.addNodes(now, &s)
	for id, in := range l.instances {
		status, fresh := l.tracker.Status(now, id)
		phase := fleet.PhaseLost
		if fresh {
			phase = status.Report.Phase
		}
		s.Instances = append(s.Instances, InstanceStatus{
			ID:       id,
			Domain:   in.Domain,
			Fresh:    fresh,
			Phase:    phase.String(),
			Group:    status.Report.Group,
			Draining: in.Draining || status.Report.Draining,
		})
	}
	sort.Slice(s.Instances, func(i, j int) bool { return s.Instances[i].ID < s.Instances[j].ID })
	open := map[fleet.GroupID]bool{}
	for _, t := range l.snapshot.Load().Targets {
		open[t.Group] = now.Before(t.Until)
	}
	for _, g := range l.groups.All() {
		s.GroupList = append(s.GroupList, GroupStatus{g, open[g.ID]})
	}
	for _, r := range l.remotes {
		s.Remotes = append(s.Remotes, RemoteStatus{
			ID:            string(r.node.ID),
			DataCentre:    r.node.DataCentre,
			Reachable:     now.Sub(r.lastResponseAt) <= remoteTTL,
			Configuration: r.revision,
		})
	}
	sort.Slice(s.Remotes, func(i, j int) bool { return s.Remotes[i].ID < s.Remotes[j].ID })
	return s
}

func (l *Loop) addNodes(now time.Time, s *Status) {
	alive := map[string]bool{}
	for _, id := range l.tracker.Live(now) {
		alive[string(id)] = true
	}
	for _, node := range l.tracker.Nodes() {
		revision, _ := l.tracker.Revisions(node.ID)
		if node.ID == l.options.Self.ID {
			revision = uint64(l.store.Revision())
		}
		s.Nodes = append(s.Nodes, NodeStatus{
			ID:            string(node.ID),
			Address:       node.Address,
			Alive:         alive[string(node.ID)],
			Configuration: revision,
		})
	}
}
