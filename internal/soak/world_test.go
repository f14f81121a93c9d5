package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/lease"
	"github.com/ridgehinge/ridgehinge/pkg/ledger"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

const (
	dataCentre   = fleet.DataCentre("dc")
	stepDuration = 100 * time.Millisecond
	leaseTTL     = 4 * time.Second
	groupSize    = 4
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// endpoint is a simulated model engine with its actual state.
type endpoint struct {
	instance fleet.Instance
	alive    bool
	frozen   bool
	report   fleet.Report
	fence    fleet.Fence
	loadedAt time.Time
	loading  string
	// inbox queues orders and polls while the endpoint is frozen.
	inbox []func(*endpoint)
	// unavailableSince is when the endpoint crashed or froze; zero while it is running.
	unavailableSince time.Time
}

// message is an in-flight message.
type message struct {
	at      time.Time
	deliver func()
}

// node is a simulated entry instance built from the pure state machines.
type node struct {
	w        *world
	id       membership.NodeID
	alive    bool
	frozen   bool
	isolated bool
	options  membership.Options
	tracker  *membership.Tracker
	lease    *lease.Machine
	planner  *placement.Planner
	ledger   *ledger.Ledger
	groups   *fleet.Groups
	epoch    uint64
	// epochVersion is the version of the epoch row as last read or written.
	epochVersion uint64
	busy         bool
	queue        []placement.Action
	lastPoll     map[fleet.InstanceID]time.Time
	lastExchange map[membership.NodeID]time.Time
	lastOrder    map[fleet.InstanceID]time.Time
	nextHead     time.Time
	nextPlan     time.Time
	lastRevision uint64
	// inbox queues messages while the node is frozen.
	inbox []func()
}

type row struct {
	version uint64
	value   json.RawMessage
}

// world is a simulated data centre with its table, nodes and endpoints. All randomness comes
// from its random source.
type world struct {
	random         *rand.Rand
	now            time.Time
	rows           map[string]row
	version        uint64
	tableDown      bool
	loseAnswerRate float64
	endpoints      []*endpoint
	nodes          []*node
	inFlight       []message
	wantedGroups   int
	steps          int
	commits        int
	violation      string
	// mutate disables a safety mechanism.
	mutate mutation
}

// mutation is a disabled safety mechanism.
type mutation uint8

const (
	mutateNone mutation = iota
	// mutateNoConditions commits without checking the conditions.
	mutateNoConditions
	// mutateNoEcho dates a peer's evidence by its arrival instead of the echoed time.
	mutateNoEcho
	// mutateArrivalDate dates a poll by its response instead of its request.
	mutateArrivalDate
)

func newWorld(random *rand.Rand, nodes, endpoints, wantedGroups int) *world {
	w := &world{random: random, now: startTime, rows: map[string]row{}, wantedGroups: wantedGroups}
	for i := range endpoints {
		id := fleet.InstanceID(fmt.Sprintf("e%02d", i))
		instance := fleet.Instance{ID: id, DataCentre: dataCentre, Domain: "rack", Kind: fleet.KindEngine, Accelerators: 4, ChecksFences: true}
		e := &endpoint{instance: instance}
		e.start(w)
		w.endpoints = append(w.endpoints, e)
	}
	for i := range nodes {
		n := &node{w: w, id: membership.NodeID(fmt.Sprintf("n%d", i))}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (e *endpoint) start(w *world) {
	e.alive, e.frozen = true, false
	e.fence = fleet.Fence{}
	e.inbox = nil
	e.unavailableSince = time.Time{}
	e.report = fleet.Report{Instance: e.instance.ID, Incarnation: uint64(w.now.UnixNano()), Version: 1, Slots: 8}
}

func (e *endpoint) change(f func(*fleet.Report)) {
	before := e.report
	f(&e.report)
	if e.report != before {
		e.report.Version++
	}
}

func (n *node) start() {
	w := n.w
	n.alive, n.frozen = true, false
	n.inbox = nil
	n.options = membership.DefaultOptions(membership.Node{ID: n.id, DataCentre: dataCentre, Address: "x"}, uint64(w.now.UnixNano()), w.now)
	n.tracker = membership.New(n.options)
	var known []membership.Node
	for _, other := range w.nodes {
		known = append(known, membership.Node{ID: other.id, DataCentre: dataCentre, Address: "x"})
	}
	n.tracker.SetKnown(w.now, known)
	n.lease = lease.New(lease.Options{Self: string(n.id), TTL: leaseTTL, RenewInterval: leaseTTL / 4, Guard: leaseTTL / 4})
	n.planner = placement.New(placement.DefaultOptions())
	n.groups = fleet.NewGroups()
	n.ledger, n.queue, n.busy, n.epoch, n.lastRevision = nil, nil, false, 0, 0
	n.lastPoll = map[fleet.InstanceID]time.Time{}
	n.lastExchange = map[membership.NodeID]time.Time{}
	n.lastOrder = map[fleet.InstanceID]time.Time{}
	n.nextHead, n.nextPlan = time.Time{}, time.Time{}
}

// send delivers a message after a random delay, which is occasionally long.
func (w *world) send(deliver func()) {
	delay := time.Duration(w.random.IntN(60)) * time.Millisecond
	if w.random.IntN(50) == 0 {
		delay = time.Duration(w.random.IntN(6000)) * time.Millisecond
	}
	w.inFlight = append(w.inFlight, message{w.now.Add(delay), deliver})
}

// toNode sends a message to the current incarnation of a node. A frozen node handles it once it
// is thawed; an isolated or restarted one never does.
func (w *world) toNode(n *node, f func()) {
	incarnation := n.options.Incarnation
	w.send(func() {
		if !n.alive || n.options.Incarnation != incarnation || n.isolated {
			return
		}
		if n.frozen {
			n.inbox = append(n.inbox, f)
			return
		}
		f()
	})
}

func (w *world) toEndpoint(e *endpoint, f func(*endpoint)) {
	incarnation := e.report.Incarnation
	w.send(func() {
		if !e.alive || e.report.Incarnation != incarnation {
			return
		}
		if e.frozen {
			e.inbox = append(e.inbox, f)
			return
		}
		f(e)
	})
}

// step advances the time by stepDuration, delivers due messages and runs endpoints and nodes.
func (w *world) step() {
	w.steps++
	w.now = w.now.Add(stepDuration)
	var due, rest []message
	for _, m := range w.inFlight {
		if m.at.After(w.now) {
			rest = append(rest, m)
		} else {
			due = append(due, m)
		}
	}
	w.inFlight = rest
	sort.SliceStable(due, func(i, j int) bool { return due[i].at.Before(due[j].at) })
	for _, m := range due {
		m.deliver()
	}
	for _, e := range w.endpoints {
		e.tick(w)
	}
	for _, n := range w.nodes {
		if n.alive && !n.frozen {
			n.tick()
		}
	}
	w.check()
}

func (e *endpoint) tick(w *world) {
	if !e.alive || e.frozen {
		return
	}
	if e.report.Phase == fleet.PhaseLoading && !w.now.Before(e.loadedAt) {
		e.change(func(r *fleet.Report) {
			r.Weights = e.loading
			r.Phase = fleet.PhaseReady
			if r.Group == "" {
				r.Phase = fleet.PhaseIdle
			}
		})
	}
}

// commit applies a conditional write to the table. Its response is lost at loseAnswerRate.
func (w *world) commit(conditions []ledger.Condition, writes []ledger.Write, deletes ...string) (version uint64, committed, answered bool) {
	if w.tableDown {
		return 0, false, false
	}
	for _, c := range conditions {
		if w.rows[c.Key].version != c.Version && w.mutate != mutateNoConditions {
			return 0, false, true
		}
	}
	w.version++
	w.commits++
	for _, write := range writes {
		text, err := json.Marshal(write.Value)
		if err != nil {
			panic(err)
		}
		w.rows[write.Key] = row{w.version, text}
	}
	for _, key := range deletes {
		delete(w.rows, key)
	}
	return w.version, true, w.random.Float64() >= w.loseAnswerRate
}

func (w *world) scan(prefix string) []ledger.Row {
	var out []ledger.Row
	for key, r := range w.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, ledger.Row{Key: key, Version: r.version, Value: r.value})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// callTable executes a request at the table after a random delay and then runs the function that
// the request returned, unless the node has crashed or restarted.
func (n *node) callTable(request func() (finish func())) {
	w := n.w
	incarnation := n.options.Incarnation
	n.busy = true
	isolated := n.isolated
	w.send(func() {
		// A request in flight takes effect even if its sender has crashed or is frozen.
		finish := func() { n.lease.StoreUnavailable() }
		if !isolated && !w.tableDown {
			finish = request()
		}
		w.inFlight = append(w.inFlight, message{w.now, func() {
			done := func() {
				n.busy = false
				finish()
			}
			if !n.alive || n.options.Incarnation != incarnation {
				return
			}
			if n.frozen {
				n.inbox = append(n.inbox, done)
				return
			}
			done()
		}})
	})
}

func (n *node) tick() {
	w := n.w
	n.tracker.Expire(w.now)
	candidates := n.tracker.WatchCandidates(w.now)
	for _, e := range w.endpoints {
		if n.tracker.Watches(candidates, e.instance.ID) && w.now.Sub(n.lastPoll[e.instance.ID]) >= 400*time.Millisecond {
			n.poll(e)
		}
	}
	for _, other := range w.nodes {
		if other != n && w.now.Sub(n.lastExchange[other.id]) >= 400*time.Millisecond {
			n.exchange(other)
		}
	}
	n.stepLease()
	n.stepController()
}

func (n *node) poll(e *endpoint) {
	w := n.w
	n.lastPoll[e.instance.ID] = w.now
	if n.isolated {
		return
	}
	sentAt := w.now
	w.toEndpoint(e, func(e *endpoint) {
		report := e.report
		w.toNode(n, func() {
			if w.mutate == mutateArrivalDate {
				sentAt = w.now
			}
			n.tracker.Observe(sentAt, report)
		})
	})
}

// keptRevisions is lower than the daemon's, so that short runs drop tombstones.
const keptRevisions = 5

func (n *node) applyGroups(d fleet.GroupsDelta) {
	n.groups.Apply(d)
	if revision := n.groups.Revision(); revision > keptRevisions {
		n.groups.DropTombstones(revision - keptRevisions)
	}
}

func (n *node) heartbeat(to *node) membership.Heartbeat {
	n.tracker.Expire(n.w.now)
	return n.tracker.NextHeartbeat(n.w.now, to.id, membership.LocalState{GroupsRevision: n.groups.Revision()})
}

func (n *node) receive(b membership.Heartbeat) {
	if n.w.mutate == mutateNoEcho {
		b.Echo, b.EchoFor = n.w.now.Sub(n.options.Start), n.options.Incarnation
	}
	n.tracker.Receive(n.w.now, b)
}

func (n *node) exchange(to *node) {
	w := n.w
	n.lastExchange[to.id] = w.now
	if n.isolated || to.isolated {
		return
	}
	_, knownRevision := n.tracker.Revisions(to.id)
	b := n.heartbeat(to)
	delta := n.groups.DeltaSince(knownRevision)
	w.toNode(to, func() {
		to.lastExchange[n.id] = w.now
		to.receive(b)
		to.applyGroups(delta)
		response := to.heartbeat(n)
		responseDelta := to.groups.DeltaSince(b.GroupsRevision)
		w.toNode(n, func() {
			n.receive(response)
			n.applyGroups(responseDelta)
		})
	})
}

func (n *node) stepLease() {
	w := n.w
	if n.busy {
		return
	}
	action := n.lease.Next(w.now)
	switch action.Kind {
	case lease.ActionRead:
		n.callTable(func() func() {
			r, epoch := w.rows[ledger.LeaseKey(dataCentre)], w.rows[ledger.EpochKey(dataCentre)]
			return func() {
				var value lease.Row
				if r.version > 0 {
					_ = json.Unmarshal(r.value, &value)
				}
				n.epochVersion = epoch.version
				n.lease.ReadDone(w.now, value, r.version)
			}
		})
	case lease.ActionAcquire, lease.ActionRenew:
		n.writeLease(action)
	}
}

func (n *node) writeLease(action lease.Action) {
	w := n.w
	sentAt := w.now
	conditions := []ledger.Condition{{Key: ledger.LeaseKey(dataCentre), Version: action.Version}}
	writes := []ledger.Write{{Key: ledger.LeaseKey(dataCentre), Value: action.Row}}
	if action.Kind == lease.ActionAcquire {
		conditions = append(conditions, ledger.Condition{Key: ledger.EpochKey(dataCentre), Version: n.epochVersion})
		writes = append(writes, ledger.Write{Key: ledger.EpochKey(dataCentre), Value: ledger.Epoch{Epoch: action.Row.Epoch, Holder: string(n.id)}})
	}
	n.callTable(func() func() {
		version, ok, answered := w.commit(conditions, writes)
		return func() {
			if !answered {
				n.lease.StoreUnavailable()
				return
			}
			n.lease.WriteDone(sentAt, action.Row, version, ok)
			if ok && action.Kind == lease.ActionAcquire {
				n.epochVersion = version
			}
		}
	})
}

// stepController does the work of the daemon's controller with the same state machines.
func (n *node) stepController() {
	w := n.w
	epoch, held := n.lease.Held(w.now)
	if !held {
		n.epoch, n.ledger, n.queue = 0, nil, nil
		return
	}
	if n.epoch != epoch {
		n.epoch, n.ledger, n.queue = epoch, nil, nil
		n.planner = placement.New(placement.DefaultOptions())
	}
	if n.busy || w.now.Sub(n.options.Start) < 2*time.Second {
		return
	}
	if n.ledger == nil {
		n.loadLedger()
		return
	}
	if len(n.queue) > 0 {
		action := n.queue[0]
		n.queue = n.queue[1:]
		n.execute(action)
		return
	}
	if !w.now.Before(n.nextPlan) {
		n.nextPlan = w.now.Add(500 * time.Millisecond)
		n.queue = n.planner.Step(n.placementView())
	}
	n.sendOrders()
}

func (n *node) loadLedger() {
	w := n.w
	epoch, version := n.epoch, n.epochVersion
	n.callTable(func() func() {
		rows := w.scan(ledger.Prefix(dataCentre))
		return func() {
			if n.epoch != epoch {
				return
			}
			l, delta, err := ledger.Load(dataCentre, epoch, version, rows)
			if err != nil {
				panic(err)
			}
			n.ledger = l
			n.applyGroups(delta)
		}
	})
}

func (n *node) placementView() placement.View {
	v := placement.View{Now: n.w.now, Groups: n.groups.All()}
	for _, e := range n.w.endpoints {
		status, fresh := n.tracker.Status(n.w.now, e.instance.ID)
		v.Instances = append(v.Instances, placement.Instance{Instance: e.instance, Fresh: fresh, Report: status.Report})
	}
	v.Demands = []placement.Demand{{
		Template: "t", Weights: "m@1", Role: fleet.RoleMixed, Size: groupSize,
		Want: n.w.wantedGroups, Soon: n.w.wantedGroups, WeightDowntime: 1000, WeightStranded: 0.001,
	}}
	return v
}

func (n *node) execute(a placement.Action) {
	if a.Kind == placement.ActionPreload {
		return
	}
	change, ok := n.ledger.Change(a, n.groups)
	if !ok {
		n.queue = nil
		return
	}
	n.callTable(func() func() {
		version, committed, answered := n.w.commit(change.Conditions, change.Writes, change.Deletes...)
		return func() {
			if n.ledger == nil {
				return
			}
			if !answered || !committed {
				n.ledger = nil
				return
			}
			n.applyGroups(n.ledger.Committed(change, version))
		}
	})
}

// sendOrders sends orders to members whose reports don't match their group, and releases
// endpoints that belong to no group.
func (n *node) sendOrders() {
	owner := map[fleet.InstanceID]fleet.Group{}
	for _, g := range n.groups.All() {
		for _, m := range g.Members {
			owner[m.Instance] = g
		}
	}
	for _, e := range n.w.endpoints {
		status, fresh := n.tracker.Status(n.w.now, e.instance.ID)
		r := status.Report
		g, member := owner[e.instance.ID]
		switch {
		case !fresh || n.w.now.Sub(n.lastOrder[e.instance.ID]) < time.Second:
		case member && !(r.Group == g.ID && r.Generation == g.Generation):
			n.lastOrder[e.instance.ID] = n.w.now
			n.sendOrder(e, r.Incarnation, g.Fence(), g.ID, g.Weights)
		case !member && r.Group != "":
			n.lastOrder[e.instance.ID] = n.w.now
			n.sendOrder(e, r.Incarnation, fleet.Fence{Epoch: n.epoch, Generation: n.groups.Revision()}, "", "")
		}
	}
}

func (n *node) sendOrder(e *endpoint, incarnation uint64, fence fleet.Fence, group fleet.GroupID, weights string) {
	w := n.w
	apply := func(e *endpoint) {
		if e.report.Incarnation != incarnation || fence.Less(e.fence) {
			return
		}
		same := e.fence == fence && e.report.Group == group
		e.fence = fence
		if same {
			return
		}
		e.loading, e.loadedAt = weights, w.now.Add(500*time.Millisecond)
		e.change(func(r *fleet.Report) {
			r.Group, r.Generation, r.Phase = group, fence.Generation, fleet.PhaseLoading
			if group == "" {
				r.Generation, r.Phase = 0, fleet.PhaseIdle
			}
		})
	}
	w.toEndpoint(e, apply)
	if w.random.IntN(4) == 0 {
		w.toEndpoint(e, apply)
	}
}
