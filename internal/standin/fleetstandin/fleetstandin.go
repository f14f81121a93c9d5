// Package fleetstandin is a stand-in for model endpoints that store their state in a table and
// form replica groups on orders of a controller: join, open, leave and stage, with fencing
// tokens and order counts. Orders can be left unanswered and applied late. Violated invariants
// of groups are recorded.
package fleetstandin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Names of the rows that the stand-in writes.
const (
	ConfigurationTable = "configuration"
	ConfigurationKey   = "newest"
	EndpointTable      = "endpoints"
)

// rejoinTime is the load time of a member whose last group served the same model.
const rejoinTime = 2 * time.Millisecond

// openTime is the time that a head takes to open its group.
const openTime = 3 * time.Millisecond

// Codec decodes the stand-in's rows, which are JSON.
func Codec() directory.Codec {
	return directory.Codec{
		Configuration: func(value []byte) (*serving.Configuration, error) {
			c := &serving.Configuration{}
			if err := json.Unmarshal(value, c); err != nil {
				return nil, err
			}
			c.Index()
			return c, nil
		},
		Endpoint: func(_ string, value []byte) (serving.Endpoint, error) {
			e := serving.Endpoint{}
			err := json.Unmarshal(value, &e)
			return e, err
		},
		ConfigurationTable: ConfigurationTable,
		ConfigurationKey:   ConfigurationKey,
		EndpointTable:      EndpointTable,
	}
}

// member is an endpoint's membership of a group, with the member list of its join order.
type member struct {
	serving.Membership
	members []serving.EndpointID
}

// Endpoint is one model endpoint.
type Endpoint struct {
	serving.Endpoint
	orders uint64
	fence  uint64
	epoch  uint64
	group  member
	// lastModel is the model of the last group of this incarnation.
	lastModel string
	// Terminated endpoints do nothing, unreachable ones respond to no call, and unlisted ones have
	// no row.
	terminated  bool
	unreachable bool
	unlisted    bool
	// coldPeriods counts how often the endpoint became cold.
	coldPeriods int
}

// Fleet is a set of endpoints that share a table.
type Fleet struct {
	table  *memtable.Table
	models map[string]serving.Model
	// encode returns the value of an endpoint's row.
	encode        func(serving.Endpoint) []byte
	endpointTable string

	mu        sync.Mutex
	endpoints map[serving.EndpointID]*Endpoint
	// everReady holds the members that have been ready.
	everReady map[memberKey]bool
	// formerMembers holds the members that left their group or were restarted in it.
	formerMembers map[memberKey]bool
	// epochs maps each epoch to the group it was last assigned to.
	epochs map[uint64]epochGroup
	// orderDelay returns the delay after which an order takes effect without a response; 0 means
	// that it is handled normally.
	orderDelay func() time.Duration
	// coldStart is how long restarted endpoints are cold, and onCold is called when an endpoint
	// becomes cold or is no longer.
	coldStart      time.Duration
	onCold         func(id serving.EndpointID, cold bool)
	loads          int
	joinLoads      int
	ordersSeen     int
	rejectedOrders int
	reports        int
	violations     []string
}

// epochGroup is the group that an epoch was assigned to. Each domain's controller has its own
// epochs.
type epochGroup struct {
	group   string
	domain  string
	members []serving.EndpointID
}

type memberKey struct {
	group string
	epoch uint64
	id    serving.EndpointID
}

// New returns a fleet without endpoints.
func New(t *memtable.Table, models []serving.Model) *Fleet {
	encode := func(e serving.Endpoint) []byte {
		value, _ := json.Marshal(e) // Plain structs always encode.
		return value
	}
	return NewEncoded(t, models, EndpointTable, encode)
}

// NewEncoded returns a fleet without endpoints that stores its rows in the given table and
// encoding.
func NewEncoded(t *memtable.Table, models []serving.Model, endpointTable string, encode func(serving.Endpoint) []byte) *Fleet {
	f := &Fleet{
		table: t,

		endpointTable: endpointTable,
		encode:        encode,
		models:        map[string]serving.Model{},
		endpoints:     map[serving.EndpointID]*Endpoint{},
		everReady:     map[memberKey]bool{},
		formerMembers: map[memberKey]bool{},
		epochs:        map[uint64]epochGroup{},
		orderDelay:    func() time.Duration { return 0 },
		onCold:        func(serving.EndpointID, bool) {},
	}
	for _, m := range models {
		f.models[m.Name] = m
	}
	return f
}

// SetOrderDelay leaves orders without a response and applies them after the delay that the
// function returns, if it is positive.
func (f *Fleet) SetOrderDelay(delay func() time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orderDelay = delay
}

// Add starts an endpoint and writes its row.
func (f *Fleet) Add(e serving.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	added := &Endpoint{Endpoint: e}
	added.StartedAt = f.nextStart(0)
	f.endpoints[e.ID] = added
	f.write(added)
}

// Condition is the state of an endpoint set by fault injection.
type Condition uint8

const (
	// Healthy endpoints respond and are listed.
	Healthy Condition = iota
	// Terminated endpoints do not run and have no row.
	Terminated
	// Isolated endpoints run, but have no row and are unreachable for controllers.
	Isolated
	// Unlisted endpoints respond, but have no row.
	Unlisted
	// Draining endpoints advertise that they are draining.
	Draining
	// Silent endpoints run and are listed, but respond to no call.
	Silent
)

// SetCondition changes the condition of an endpoint.
func (f *Fleet) SetCondition(id serving.EndpointID, c Condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	e.terminated = c == Terminated
	e.unreachable = c == Terminated || c == Isolated || c == Silent
	e.unlisted = c == Terminated || c == Isolated || c == Unlisted
	e.Draining = c == Draining
	if e.unlisted {
		f.commit(table.Change{Removals: []table.Row{{Table: f.endpointTable, Key: string(id)}}})
		return
	}
	f.write(e)
}

// Crash terminates an endpoint and leaves its row unchanged.
func (f *Fleet) Crash(id serving.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	e.terminated, e.unreachable = true, true
}

// Restart starts a new incarnation of an endpoint under the same ID. Only the staged models
// are kept.
func (f *Fleet) Restart(id serving.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.endpoints[id]
	// Pending timers of the previous incarnation refer to this record.
	before.terminated = true
	f.recordLeave(before)
	fresh := &Endpoint{Endpoint: before.Endpoint}
	fresh.Model, fresh.Draining, fresh.Writes = "", false, 0
	fresh.StartedAt = f.nextStart(before.StartedAt)
	fresh.ColdFor = 0
	f.endpoints[id] = fresh
	if before.ColdFor > 0 {
		f.onCold(id, false)
	}
	f.setCold(fresh, f.coldStart)
	f.write(fresh)
}

// SetSlots sets the number of requests that an endpoint takes at a time.
func (f *Fleet) SetSlots(id serving.EndpointID, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	e.Slots = slots
	f.write(e)
}

// SetColdStart sets how long endpoints are cold after a restart. onCold is called when an endpoint
// becomes cold or is no longer; it must not call the fleet.
func (f *Fleet) SetColdStart(duration time.Duration, onCold func(id serving.EndpointID, cold bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldStart, f.onCold = duration, onCold
}

// SetCold makes an endpoint cold for a time, which its row shows.
func (f *Fleet) SetCold(id serving.EndpointID, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	f.setCold(e, duration)
	if !e.terminated {
		f.write(e)
	}
}

// setCold makes an endpoint cold; f.mu must be held. The row shows the whole duration until it is
// over, which takes it for cold no shorter than it is.
func (f *Fleet) setCold(e *Endpoint, duration time.Duration) {
	if duration <= 0 {
		return
	}
	e.ColdFor = duration
	e.coldPeriods++
	period := e.coldPeriods
	f.onCold(e.ID, true)
	time.AfterFunc(duration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if e.coldPeriods != period || f.endpoints[e.ID] != e {
			return
		}
		e.ColdFor = 0
		f.onCold(e.ID, false)
		if !e.terminated {
			f.write(e)
		}
	})
}

// StartedAt returns the start of an endpoint's current incarnation in Unix milliseconds.
func (f *Fleet) StartedAt(id serving.EndpointID) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id].StartedAt
}

// nextStart returns a start time later than that of the previous incarnation.
func (f *Fleet) nextStart(before int64) int64 { return max(before+1, time.Now().UnixMilli()) }

// Violations returns the violated invariants in the order of their detection.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Loads returns the number of loads from the weight store.
func (f *Fleet) Loads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads
}

// LastModel returns the model of an endpoint's last group.
func (f *Fleet) LastModel(id serving.EndpointID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id].lastModel
}

// JoinLoads returns the number of joins that loaded their model from the weight store.
func (f *Fleet) JoinLoads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.joinLoads
}

// RejectedOrders returns the number of orders that were rejected in a response.
func (f *Fleet) RejectedOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rejectedOrders
}

// Orders returns the number of orders that reached an endpoint.
func (f *Fleet) Orders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ordersSeen
}

// Reports returns the number of reports that endpoints returned.
func (f *Fleet) Reports() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports
}

// Open returns the number of complete open groups by model.
func (f *Fleet) Open() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for _, e := range f.endpoints {
		if e.group.State == serving.MemberOpen && !e.terminated && f.complete(e) {
			out[e.lastModel]++
		}
	}
	return out
}

// Group returns an endpoint's group membership.
func (f *Fleet) Group(id serving.EndpointID) serving.Membership {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id].group.Membership
}

// complete reports whether all members of a head's group are running and in the group.
func (f *Fleet) complete(head *Endpoint) bool {
	for _, id := range head.group.members {
		e := f.endpoints[id]
		if e == nil || e.terminated || e.group.Group != head.group.Group || e.group.Epoch != head.group.Epoch {
			return false
		}
	}
	return true
}

// write stores an endpoint's row; f.mu must be held.
func (f *Fleet) write(e *Endpoint) {
	if e.unlisted {
		return
	}
	e.Writes++
	row := e.Endpoint
	row.Membership = e.group.Membership
	f.commit(table.Change{Writes: []table.Row{{Table: f.endpointTable, Key: string(e.ID), Value: f.encode(row)}}})
}

// RewriteRows makes every running endpoint rewrite its row at a random time within a period, as
// after a restore of the table. The rows of unlisted endpoints are removed.
func (f *Fleet) RewriteRows(within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.endpoints {
		time.AfterFunc(rand.N(within), func() { f.rewriteRow(id) })
	}
}

func (f *Fleet) rewriteRow(id serving.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	switch {
	case e.unlisted:
		f.commit(table.Change{Removals: []table.Row{{Table: f.endpointTable, Key: string(id)}}})
	case !e.terminated:
		f.write(e)
	}
}

// commit writes to the table regardless of its faults.
func (f *Fleet) commit(c table.Change) { _ = f.table.CommitIgnoringFaults(c) }

// Report implements groupcontrol.Endpoints.
func (f *Fleet) Report(ctx context.Context, _ string, id serving.EndpointID) (serving.Report, error) {
	f.mu.Lock()
	e := f.endpoints[id]
	if e == nil || e.unreachable {
		f.mu.Unlock()
		<-ctx.Done()
		return serving.Report{}, errors.Join(groupcontrol.ErrNoResponse, ctx.Err())
	}
	defer f.mu.Unlock()
	f.reports++
	return serving.Report{
		StartedAt:  e.StartedAt,
		Membership: e.group.Membership,
		Model:      e.Model,
		Staged:     slices.Clone(e.Staged),
		Domain:     e.Domain,
		Orders:     e.orders,
	}, nil
}

// Order implements groupcontrol.Endpoints.
func (f *Fleet) Order(ctx context.Context, _ string, id serving.EndpointID, o serving.Order) (bool, error) {
	f.mu.Lock()
	e := f.endpoints[id]
	delay := f.orderDelay()
	if e == nil || e.unreachable {
		f.mu.Unlock()
		<-ctx.Done()
		return false, errors.Join(groupcontrol.ErrNoResponse, ctx.Err())
	}
	if delay > 0 {
		f.mu.Unlock()
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.handleOrder(e, o)
		})
		<-ctx.Done()
		return false, errors.Join(groupcontrol.ErrNoResponse, ctx.Err())
	}
	defer f.mu.Unlock()
	done, err := f.handleOrder(e, o)
	if err != nil {
		f.rejectedOrders++
	}
	return done, err
}

// handleOrder executes an order; f.mu must be held.
func (f *Fleet) handleOrder(e *Endpoint, o serving.Order) (bool, error) {
	f.ordersSeen++
	if o.Fence < e.fence {
		return false, groupcontrol.ErrFenced
	}
	if o.Expected != e.orders {
		return false, groupcontrol.ErrRejected
	}
	e.fence = o.Fence
	switch o.Kind {
	case serving.OrderJoin:
		return f.join(e, o)
	case serving.OrderOpen:
		return f.open(e, o)
	case serving.OrderLeave:
		return f.leave(e, o)
	case serving.OrderStage:
		return f.stage(e, o)
	}
	return false, groupcontrol.ErrRejected
}

func (f *Fleet) join(e *Endpoint, o serving.Order) (bool, error) {
	if o.Epoch < e.epoch {
		return false, groupcontrol.ErrFenced
	}
	f.checkEpoch(e, o)
	f.checkJoin(e, o)
	e.orders++
	e.epoch = o.Epoch
	e.group = member{
		serving.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.ID), State: serving.MemberJoining},
		o.Members,
	}
	model := f.models[o.Model]
	loadTime := rejoinTime
	switch {
	case e.lastModel == o.Model:
	case slices.Contains(e.Staged, o.Model):
		loadTime = model.WarmTime
	default:
		loadTime = model.LoadTime
		f.loads++
		f.joinLoads++
	}
	f.write(e)
	orders := e.orders
	time.AfterFunc(loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if e.orders != orders || e.terminated {
			return
		}
		e.lastModel, e.Model, e.Staged = o.Model, o.Model, []string{o.Model}
		e.group.State = serving.MemberReady
		f.everReady[memberKey{o.Group, o.Epoch, e.ID}] = true
		f.write(e)
	})
	return false, nil
}

// checkEpoch records a violation if an epoch is assigned to two groups or member lists, or if a
// former member of its group joins it again, also in another incarnation.
func (f *Fleet) checkEpoch(e *Endpoint, o serving.Order) {
	if previous, ok := f.epochs[o.Epoch]; ok && (previous.group != o.Group || !slices.Equal(previous.members, o.Members)) && previous.domain == e.Domain {
		f.violations = append(f.violations, fmt.Sprintf("epoch %d was assigned to %s with members %v and to %s with members %v", o.Epoch, previous.group, previous.members, o.Group, o.Members))
	}
	f.epochs[o.Epoch] = epochGroup{o.Group, e.Domain, o.Members}
	if f.formerMembers[memberKey{o.Group, o.Epoch, e.ID}] {
		f.violations = append(f.violations, fmt.Sprintf("%s joined %s of epoch %d a second time", e.ID, o.Group, o.Epoch))
	}
	if e.group.Group != "" && (e.group.Group != o.Group || e.group.Epoch != o.Epoch) {
		f.recordLeave(e)
	}
}

func (f *Fleet) recordLeave(e *Endpoint) {
	if e.group.Group != "" {
		f.formerMembers[memberKey{e.group.Group, e.group.Epoch, e.ID}] = true
	}
}

// checkJoin records a violation if an endpoint joins another group while its current one is
// open.
func (f *Fleet) checkJoin(e *Endpoint, o serving.Order) {
	if e.group.Group == "" || e.group.Group == o.Group && e.group.Epoch == o.Epoch {
		return
	}
	head := f.endpoints[e.group.members[0]]
	current := head != nil && !head.terminated && head.group.Group == e.group.Group && head.group.Epoch == e.group.Epoch
	if current && (head.group.State == serving.MemberOpen || head.group.State == serving.MemberClosing) {
		f.violations = append(f.violations, fmt.Sprintf("%s joined %s while still a member of the open group %s", e.ID, o.Group, e.group.Group))
	}
}

func (f *Fleet) open(e *Endpoint, o serving.Order) (bool, error) {
	if e.group.Group != o.Group || e.group.Epoch != o.Epoch || e.group.Rank != 0 {
		return false, groupcontrol.ErrRejected
	}
	if e.group.State == serving.MemberOpen {
		return true, nil
	}
	if e.group.State != serving.MemberReady {
		return false, groupcontrol.ErrRejected
	}
	for _, id := range e.group.members {
		if !f.everReady[memberKey{o.Group, o.Epoch, id}] {
			f.violations = append(f.violations, fmt.Sprintf("%s opened before member %s was ready", o.Group, id))
		}
	}
	if len(e.group.members) != f.models[e.lastModel].Size {
		f.violations = append(f.violations, o.Group+" opened with the wrong number of members")
	}
	e.orders++
	orders := e.orders
	time.AfterFunc(openTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if e.orders == orders && !e.terminated {
			e.group.State = serving.MemberOpen
			f.write(e)
		}
	})
	return false, nil
}

func (f *Fleet) leave(e *Endpoint, o serving.Order) (bool, error) {
	if e.group.Group != o.Group || e.group.Epoch != o.Epoch {
		return false, groupcontrol.ErrRejected
	}
	e.orders++
	f.recordLeave(e)
	e.group = member{}
	f.write(e)
	// A leave takes effect at once, which the platform's endpoints report as done.
	return true, nil
}

func (f *Fleet) stage(e *Endpoint, o serving.Order) (bool, error) {
	if slices.Contains(e.Staged, o.Model) {
		return true, nil
	}
	e.orders++
	f.loads++
	time.AfterFunc(f.models[o.Model].LoadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !e.terminated {
			e.Staged = []string{o.Model}
			f.write(e)
		}
	})
	return false, nil
}
