package control

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/configuration"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
	"github.com/ridgehinge/ridgehinge/pkg/routing"
)

// Snapshot is the control state that request handling needs. It is immutable.
type Snapshot struct {
	CreatedAt time.Time
	// Ready is set once this node has a configuration, until it stops.
	Ready         bool
	Configuration configuration.Revision
	Groups        uint64
	// Workspaces is keyed by the hash of the bearer key.
	Workspaces map[string]Workspace
	// Targets accept new requests.
	Targets []routing.Target
	// Complete has every group and service endpoint whose members are all present, including
	// draining ones, because their requests continue.
	Complete map[fleet.GroupID]CompleteGroup
	// Slots is the maximum number of this node's concurrent requests by pool.
	Slots map[string]int
	// Remotes are reachable entry instances of other data centres, Neighbours the other live ones of this
	// data centre.
	Remotes    []Remote
	Neighbours []membership.Node
	// IsController is set while this node is its data centre's leaseholder.
	IsController bool
}

// CompleteGroup is a group whose members are all present until the given time,
// unless newer reports extend it.
type CompleteGroup struct {
	Generation uint64
	Until      time.Time
}

// Workspace is one workspace with its template.
type Workspace struct {
	configuration.Workspace
	Template *configuration.Template
}

// Remote is an entry instance of another data centre and its load.
type Remote struct {
	Node  membership.Node
	Pools map[string]PoolLoad
}

// ModelPool returns the name of the pool of a template's groups.
func ModelPool(template string) string { return "model/" + template }

// ServicePool returns the name of the pool of a plain service's endpoints.
func ServicePool(service string) string { return "service/" + service }

// ServiceGroup returns the id of the single-endpoint group of a plain service
// instance.
func ServiceGroup(id fleet.InstanceID) fleet.GroupID { return fleet.GroupID("service/" + string(id)) }

// match records since when an endpoint has matched its group.
type match struct {
	group      fleet.GroupID
	generation uint64
	since      time.Time
}

// unfencedMatchDelay is how long an endpoint that does not check fences must
// have matched before its group serves: a late order of an earlier controller
// would take effect within that time.
const unfencedMatchDelay = time.Second

// remoteTTL is how long a response of another data centre is valid.
const remoteTTL = 6 * time.Second

// state is what a snapshot depends on, besides time.
type state struct {
	reports            uint64
	configuration      configuration.Revision
	groups             uint64
	instancesChangedAt time.Time
	stopping           bool
}

// publish publishes a snapshot after a change, or when the Refresh interval
// has passed, to extend the validity of the targets.
func (l *Loop) publish(now time.Time) {
	s := state{l.tracker.Changes(), l.store.Revision(), l.groups.Revision(), l.instancesChangedAt, l.stopping}
	changed := s != l.published && !now.Before(l.next.publish)
	if !changed && now.Before(l.next.refresh) {
		return
	}
	l.published = s
	l.next.publish = now.Add(l.intervals.Publish)
	l.next.refresh = now.Add(l.intervals.Refresh)
	l.publishNow(now)
}

func (l *Loop) publishNow(now time.Time) {
	_, isController := l.lease.Held(now)
	s := &Snapshot{
		IsController:  isController,
		CreatedAt:     now,
		Configuration: l.store.Revision(),
		Groups:        l.groups.Revision(),
		Ready:         l.store.Revision() > 0 && !l.stopping,
		Workspaces:    l.workspaces(),
		Complete:      map[fleet.GroupID]CompleteGroup{},
		Remotes:       l.remoteList(now),
		Neighbours:    l.neighbours(now),
	}
	s.Targets = l.targets(now, s.Complete)
	s.Slots = l.slots(now, s.Targets)
	l.snapshot.Store(s)
	if l.options.Publish != nil {
		l.options.Publish(s)
	}
}

// workspaces is rebuilt only when the configuration has changed.
func (l *Loop) workspaces() map[string]Workspace {
	last := l.snapshot.Load()
	if last.Configuration == l.store.Revision() && last.Workspaces != nil {
		return last.Workspaces
	}
	out := map[string]Workspace{}
	for _, entry := range l.store.Entries() {
		if entry.Template == nil {
			continue
		}
		for _, w := range entry.Template.Workspaces {
			out[w.KeyHash] = Workspace{w, entry.Template}
		}
	}
	return out
}

// targets returns the groups and plain service endpoints that accept new
// requests, and adds all that are complete to the map.
func (l *Loop) targets(now time.Time, complete map[fleet.GroupID]CompleteGroup) []routing.Target {
	var out []routing.Target
	for _, g := range l.groups.All() {
		t, state := l.groupTarget(now, g)
		if state != groupDown {
			complete[g.ID] = CompleteGroup{t.Generation, t.Until}
		}
		if state == groupOpen {
			out = append(out, t)
		}
	}
	for _, in := range l.instances {
		if in.Kind != fleet.KindService {
			continue
		}
		status, fresh := l.tracker.Status(now, in.ID)
		if !fresh {
			continue
		}
		t := serviceTarget(in, status)
		complete[t.Group] = CompleteGroup{t.Generation, t.Until}
		if !t.Draining {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Group < out[j].Group })
	return out
}

func serviceTarget(in fleet.Instance, status membership.Status) routing.Target {
	return routing.Target{
		Group:         ServiceGroup(in.ID),
		Address:       in.Address,
		Incarnation:   status.Report.Incarnation,
		Pool:          ServicePool(in.Service),
		Slots:         max(1, status.Report.Slots),
		Load:          status.Report.Load,
		ReportVersion: status.Report.Version,
		CompleteAt:    status.Seen,
		Until:         status.Until,
		Draining:      in.Draining || status.Report.Draining,
	}
}

// groupState states which requests a group may serve.
type groupState uint8

const (
	// groupDown: a member is missing.
	groupDown groupState = iota
	// groupClosed: all members are present, but new requests are not sent.
	groupClosed
	// groupOpen: new requests may be sent.
	groupOpen
)

func (l *Loop) groupTarget(now time.Time, g fleet.Group) (routing.Target, groupState) {
	t := routing.Target{
		Group:      g.ID,
		Generation: g.Generation,
		Epoch:      g.Epoch,
		Pool:       ModelPool(g.Template),
	}
	state := groupOpen
	if g.Draining {
		state = groupClosed
	}
	for rank, m := range g.Members {
		in, listed := l.instances[m.Instance]
		status, fresh := l.tracker.Status(now, m.Instance)
		r := status.Report
		if !listed || !fresh || !l.matches(now, g, m, in, r) {
			return t, groupDown
		}
		if in.Draining || r.Draining {
			t.Draining = true
			state = groupClosed
		}
		if rank == 0 || status.Until.Before(t.Until) {
			t.Until = status.Until
		}
		if rank == 0 || status.Seen.Before(t.CompleteAt) {
			t.CompleteAt = status.Seen
		}
		if rank == 0 {
			t.Address = in.Address
			t.Incarnation = r.Incarnation
			t.Slots = max(1, r.Slots)
			t.Load = r.Load
			t.ReportVersion = r.Version
		}
	}
	if len(g.Members) == 0 {
		return t, groupDown
	}
	return t, state
}

func (l *Loop) matches(now time.Time, g fleet.Group, m fleet.Member, in fleet.Instance, r fleet.Report) bool {
	if !g.Matches(m, r) {
		delete(l.matched, m.Instance)
		return false
	}
	if in.ChecksFences {
		return true
	}
	previous := l.matched[m.Instance]
	if previous.group != g.ID || previous.generation != g.Generation {
		l.matched[m.Instance] = match{g.ID, g.Generation, now}
		return false
	}
	return now.Sub(previous.since) >= unfencedMatchDelay
}

// slots divides each pool's slots among the live nodes by their recent
// demand. Every node gets at least one, so that a first request is admitted.
func (l *Loop) slots(now time.Time, targets []routing.Target) map[string]int {
	total := map[string]int{}
	for _, t := range targets {
		total[t.Pool] += t.Slots
	}
	nodes := float64(len(l.tracker.Live(now)))
	peerDemand := l.tracker.Demand(now)
	loads := l.options.Load()
	out := map[string]int{}
	for pool, slots := range total {
		localRate := loads[pool].Rate
		share := (localRate + 1) / (localRate + peerDemand[pool] + nodes)
		out[pool] = max(1, int(math.Ceil(float64(slots)*share)))
	}
	return out
}

// neighbours returns the other live entry instances of this data centre.
func (l *Loop) neighbours(now time.Time) []membership.Node {
	live := l.tracker.Live(now)
	var out []membership.Node
	for _, node := range l.tracker.Nodes() {
		if node.ID != l.options.Self.ID && slices.Contains(live, node.ID) {
			out = append(out, node)
		}
	}
	return out
}

func (l *Loop) remoteList(now time.Time) []Remote {
	var out []Remote
	for _, r := range l.remotes {
		if now.Sub(r.lastResponseAt) > remoteTTL {
			continue
		}
		pools := map[string]PoolLoad{}
		for _, p := range r.pools {
			pools[p.GetPool()] = PoolLoad{
				Slots:    int(p.GetSlots()),
				InFlight: int(p.GetInFlight()),
				Queued:   int(p.GetQueued()),
			}
		}
		out = append(out, Remote{r.node, pools})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node.ID < out[j].Node.ID })
	return out
}
