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
	dc       = fleet.DataCentre("dc")
	tickStep = 100 * time.Millisecond
	leaseTTL = 4 * time.Second
	groupLen = 4
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// endpoint is one model engine, with the truth about it.
type endpoint struct {
	in     fleet.Instance
	alive  bool
	frozen bool
	report fleet.Report
	fence  fleet.Fence
	loadBy time.Time
	loads  string
	// inbox has orders and polls that wait for it, oldest first.
	inbox []func(*endpoint)
	// badSince is since when it has not been an answering process of its
	// present incarnation; zero while it is.
	badSince time.Time
}

// message is something under way, delivered at its time.
type message struct {
	at      time.Time
	deliver func()
}

// node is one entry instance made of the pure parts.
type node struct {
	w       *world
	id      membership.NodeID
	alive   bool
	frozen  bool
	cut     bool
	options membership.Options
	tracker *membership.Tracker
	lease   *lease.Machine
	planner *placement.Planner
	ledger  *ledger.Ledger
	groups  *fleet.Groups
	epoch   uint64
	// epochVersion is the epoch row's version as read or written last.
	epochVersion uint64
	busy         bool
	queue        []placement.Action
	polled       map[fleet.InstanceID]time.Time
	beaten       map[membership.NodeID]time.Time
	ordered      map[fleet.InstanceID]time.Time
	nextHead     time.Time
	nextPlan     time.Time
	lastRevision uint64
	// inbox waits while the node is frozen.
	inbox []func()
}

type row struct {
	version uint64
	value   json.RawMessage
}

// world is all of it; everything random comes from its source.
type world struct {
	random    *rand.Rand
	now       time.Time
	rows      map[string]row
	version   uint64
	down      bool
	loseRate  float64
	endpoints []*endpoint
	nodes     []*node
	flying    []message
	want      int
	steps     int
	commits   int
	broken    string
	// mutate switches single mechanisms off, to show that the run finds it.
	mutate mutation
}

// mutation is a mechanism that is taken out.
type mutation uint8

const (
	mutateNothing mutation = iota
	// mutateNoConditions commits without checking any row.
	mutateNoConditions
	// mutateNoEcho dates a peer's evidence by its arrival.
	mutateNoEcho
	// mutateArrivalDate dates an own poll by its answer.
	mutateArrivalDate
)

func newWorld(random *rand.Rand, nodes, endpoints, want int) *world {
	w := &world{random: random, now: epochStart, rows: map[string]row{}, want: want}
	for i := range endpoints {
		id := fleet.InstanceID(fmt.Sprintf("e%02d", i))
		in := fleet.Instance{ID: id, DataCentre: dc, Domain: "rack", Kind: fleet.KindEngine, Accelerators: 4, ChecksFences: true}
		e := &endpoint{in: in}
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
	e.badSince = time.Time{}
	e.report = fleet.Report{Instance: e.in.ID, Incarnation: uint64(w.now.UnixNano()), Version: 1, Slots: 8}
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
	n.options = membership.DefaultOptions(membership.Node{ID: n.id, DataCentre: dc, Address: "x"}, uint64(w.now.UnixNano()), w.now)
	n.tracker = membership.New(n.options)
	var known []membership.Node
	for _, other := range w.nodes {
		known = append(known, membership.Node{ID: other.id, DataCentre: dc, Address: "x"})
	}
	n.tracker.SetKnown(w.now, known)
	n.lease = lease.New(lease.Options{Self: string(n.id), TTL: leaseTTL, RenewInterval: leaseTTL / 4, Guard: leaseTTL / 4})
	n.planner = placement.New(placement.DefaultOptions())
	n.groups = fleet.NewGroups()
	n.ledger, n.queue, n.busy, n.epoch, n.lastRevision = nil, nil, false, 0, 0
	n.polled = map[fleet.InstanceID]time.Time{}
	n.beaten = map[membership.NodeID]time.Time{}
	n.ordered = map[fleet.InstanceID]time.Time{}
	n.nextHead, n.nextPlan = time.Time{}, time.Time{}
}

// send delivers something after a random delay, now and then a long one. A
// node's life that has ended gets nothing.
func (w *world) send(deliver func()) {
	delay := time.Duration(w.random.IntN(60)) * time.Millisecond
	if w.random.IntN(50) == 0 {
		delay = time.Duration(w.random.IntN(6000)) * time.Millisecond
	}
	w.flying = append(w.flying, message{w.now.Add(delay), deliver})
}

// toNode delivers to a node's present life; a frozen one gets it on waking.
func (w *world) toNode(n *node, f func()) {
	life := n.options.Incarnation
	w.send(func() {
		if !n.alive || n.options.Incarnation != life || n.cut {
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
	life := e.report.Incarnation
	w.send(func() {
		if !e.alive || e.report.Incarnation != life {
			return
		}
		if e.frozen {
			e.inbox = append(e.inbox, f)
			return
		}
		f(e)
	})
}

// step lets a little time pass and everything happen that is due.
func (w *world) step() {
	w.steps++
	w.now = w.now.Add(tickStep)
	var due, rest []message
	for _, m := range w.flying {
		if m.at.After(w.now) {
			rest = append(rest, m)
		} else {
			due = append(due, m)
		}
	}
	w.flying = rest
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
	if e.report.Phase == fleet.PhaseLoading && !w.now.Before(e.loadBy) {
		e.change(func(r *fleet.Report) {
			r.Weights = e.loads
			r.Phase = fleet.PhaseReady
			if r.Group == "" {
				r.Phase = fleet.PhaseIdle
			}
		})
	}
}

// commit is the table: conditional, and now and then its answer is lost.
func (w *world) commit(conditions []ledger.Condition, writes []ledger.Write, deletes ...string) (version uint64, committed, answered bool) {
	if w.down {
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
	return w.version, true, w.random.Float64() >= w.loseRate
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

// call asks the table after a delay and answers after another.
func (n *node) call(ask func() (answer func())) {
	w := n.w
	life := n.options.Incarnation
	n.busy = true
	cut := n.cut
	w.send(func() {
		// A request that has left takes effect even if its sender is frozen
		// or dead by now.
		answer := func() { n.lease.StoreUnavailable() }
		if !cut && !w.down {
			answer = ask()
		}
		w.flying = append(w.flying, message{w.now, func() {
			done := func() {
				n.busy = false
				answer()
			}
			if !n.alive || n.options.Incarnation != life {
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
	live := n.tracker.WatchCandidates(w.now)
	for _, e := range w.endpoints {
		if n.tracker.Watches(live, e.in.ID) && w.now.Sub(n.polled[e.in.ID]) >= 400*time.Millisecond {
			n.poll(e)
		}
	}
	for _, other := range w.nodes {
		if other != n && w.now.Sub(n.beaten[other.id]) >= 400*time.Millisecond {
			n.exchange(other)
		}
	}
	n.keepLease()
	n.control()
}

func (n *node) poll(e *endpoint) {
	w := n.w
	n.polled[e.in.ID] = w.now
	if n.cut {
		return
	}
	asked := w.now
	w.toEndpoint(e, func(e *endpoint) {
		report := e.report
		w.toNode(n, func() {
			if w.mutate == mutateArrivalDate {
				asked = w.now
			}
			n.tracker.Observe(asked, report)
		})
	})
}

// keep is shorter than the daemon's, so that short runs meet the dropping.
const keep = 5

func (n *node) applyGroups(d fleet.GroupsDelta) {
	n.groups.Apply(d)
	if revision := n.groups.Revision(); revision > keep {
		n.groups.DropTombstones(revision - keep)
	}
}

func (n *node) beat(to *node) membership.Heartbeat {
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
	n.beaten[to.id] = w.now
	if n.cut || to.cut {
		return
	}
	_, have := n.tracker.Revisions(to.id)
	b := n.beat(to)
	delta := n.groups.DeltaSince(have)
	w.toNode(to, func() {
		to.beaten[n.id] = w.now
		to.receive(b)
		to.applyGroups(delta)
		answer := to.beat(n)
		back := to.groups.DeltaSince(b.GroupsRevision)
		w.toNode(n, func() {
			n.receive(answer)
			n.applyGroups(back)
		})
	})
}

func (n *node) keepLease() {
	w := n.w
	if n.busy {
		return
	}
	action := n.lease.Next(w.now)
	switch action.Kind {
	case lease.ActionRead:
		n.call(func() func() {
			r, epoch := w.rows[ledger.LeaseKey(dc)], w.rows[ledger.EpochKey(dc)]
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
	asked := w.now
	conditions := []ledger.Condition{{Key: ledger.LeaseKey(dc), Version: action.Version}}
	writes := []ledger.Write{{Key: ledger.LeaseKey(dc), Value: action.Row}}
	if action.Kind == lease.ActionAcquire {
		conditions = append(conditions, ledger.Condition{Key: ledger.EpochKey(dc), Version: n.epochVersion})
		writes = append(writes, ledger.Write{Key: ledger.EpochKey(dc), Value: ledger.Epoch{Epoch: action.Row.Epoch, Holder: string(n.id)}})
	}
	n.call(func() func() {
		version, ok, answered := w.commit(conditions, writes)
		return func() {
			if !answered {
				n.lease.StoreUnavailable()
				return
			}
			n.lease.WriteDone(asked, action.Row, version, ok)
			if ok && action.Kind == lease.ActionAcquire {
				n.epochVersion = version
			}
		}
	})
}

// control is what the daemon's controller does, on the same pure parts.
func (n *node) control() {
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
		n.load()
		return
	}
	if len(n.queue) > 0 {
		action := n.queue[0]
		n.queue = n.queue[1:]
		n.carryOut(action)
		return
	}
	if !w.now.Before(n.nextPlan) {
		n.nextPlan = w.now.Add(500 * time.Millisecond)
		n.queue = n.planner.Step(n.view())
	}
	n.order()
}

func (n *node) load() {
	w := n.w
	epoch, version := n.epoch, n.epochVersion
	n.call(func() func() {
		rows := w.scan(ledger.Prefix(dc))
		return func() {
			if n.epoch != epoch {
				return
			}
			l, delta, err := ledger.Load(dc, epoch, version, rows)
			if err != nil {
				panic(err)
			}
			n.ledger = l
			n.applyGroups(delta)
		}
	})
}

func (n *node) view() placement.View {
	v := placement.View{Now: n.w.now, Groups: n.groups.All()}
	for _, e := range n.w.endpoints {
		status, fresh := n.tracker.Status(n.w.now, e.in.ID)
		v.Instances = append(v.Instances, placement.Instance{Instance: e.in, Fresh: fresh, Report: status.Report})
	}
	v.Demands = []placement.Demand{{
		Template: "t", Weights: "m@1", Role: fleet.RoleMixed, Size: groupLen,
		Want: n.w.want, Soon: n.w.want, WeightDowntime: 1000, WeightStranded: 0.001,
	}}
	return v
}

func (n *node) carryOut(a placement.Action) {
	if a.Kind == placement.ActionPreload {
		return
	}
	change, ok := n.ledger.Change(a, n.groups)
	if !ok {
		n.queue = nil
		return
	}
	n.call(func() func() {
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

// order sends orders to members that are not in line, late and doubled at
// random, and releases those that belong to no group.
func (n *node) order() {
	owner := map[fleet.InstanceID]fleet.Group{}
	for _, g := range n.groups.All() {
		for _, m := range g.Members {
			owner[m.Instance] = g
		}
	}
	for _, e := range n.w.endpoints {
		status, fresh := n.tracker.Status(n.w.now, e.in.ID)
		r := status.Report
		g, member := owner[e.in.ID]
		switch {
		case !fresh || n.w.now.Sub(n.ordered[e.in.ID]) < time.Second:
		case member && !(r.Group == g.ID && r.Generation == g.Generation):
			n.ordered[e.in.ID] = n.w.now
			n.sendOrder(e, r.Incarnation, g.Fence(), g.ID, g.Weights)
		case !member && r.Group != "":
			n.ordered[e.in.ID] = n.w.now
			n.sendOrder(e, r.Incarnation, fleet.Fence{Epoch: n.epoch, Generation: n.groups.Revision()}, "", "")
		}
	}
}

func (n *node) sendOrder(e *endpoint, incarnation uint64, fence fleet.Fence, group fleet.GroupID, weights string) {
	w := n.w
	obey := func(e *endpoint) {
		if e.report.Incarnation != incarnation || fence.Less(e.fence) {
			return
		}
		same := e.fence == fence && e.report.Group == group
		e.fence = fence
		if same {
			return
		}
		e.loads, e.loadBy = weights, w.now.Add(500*time.Millisecond)
		e.change(func(r *fleet.Report) {
			r.Group, r.Generation, r.Phase = group, fence.Generation, fleet.PhaseLoading
			if group == "" {
				r.Generation, r.Phase = 0, fleet.PhaseIdle
			}
		})
	}
	w.toEndpoint(e, obey)
	if w.random.IntN(4) == 0 {
		w.toEndpoint(e, obey)
	}
}
