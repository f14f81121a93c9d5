// Package fleetstandin stands in for model endpoints that keep their own
// state in a table and form replica groups by order: joins, opens, leaves,
// staged models, fences and counted orders, with orders that get no answer
// and are carried out late. It notes every promise about groups that is
// broken.
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

// rejoin is how long a member takes that had the model last.
const rejoin = 2 * time.Millisecond

// formation is how long a head takes to open.
const formation = 3 * time.Millisecond

// Codec reads the stand-in's rows, which are plain JSON.
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

// member is an endpoint's place in a group, with the list it was given.
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
	// last is the model of the last group since the start.
	last string
	// gone endpoints are dead; unreachable ones answer nobody; unlisted ones
	// have no row.
	gone        bool
	unreachable bool
	unlisted    bool
}

// Fleet is a number of endpoints over one table.
type Fleet struct {
	table *memtable.Table
	model map[string]serving.Model
	// encode writes an endpoint's row.
	encode func(serving.Endpoint) []byte
	// endpointTable is the table of the rows.
	endpointTable string

	mu        sync.Mutex
	endpoints map[serving.EndpointID]*Endpoint
	// ready are the members that were ready once, by name, epoch and id.
	ready map[readyKey]bool
	// left are the members that left their group or ended in it.
	left map[readyKey]bool
	// lists has what each epoch was given to.
	lists map[uint64]formed
	// late is how long an order without an answer waits.
	late       func() time.Duration
	loads      int
	joinLoads  int
	ordersSeen int
	refused    int
	reports    int
	broken     []string
}

// formed is what an epoch was given to. Each domain's controller has epochs of its own.
type formed struct {
	group   string
	domain  string
	members []serving.EndpointID
}

type readyKey struct {
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

// NewEncoded returns a fleet whose rows stand in a table, and in a form, of
// the caller's choice.
func NewEncoded(t *memtable.Table, models []serving.Model, endpointTable string, encode func(serving.Endpoint) []byte) *Fleet {
	f := &Fleet{
		table: t,

		endpointTable: endpointTable,
		encode:        encode,
		model:         map[string]serving.Model{},
		endpoints:     map[serving.EndpointID]*Endpoint{},
		ready:         map[readyKey]bool{},
		left:          map[readyKey]bool{},
		lists:         map[uint64]formed{},
		late:          func() time.Duration { return 0 },
	}
	for _, m := range models {
		f.model[m.Name] = m
	}
	return f
}

// SetLate has orders carried out late, and unanswered, when the function
// returns more than zero.
func (f *Fleet) SetLate(late func() time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = late
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

// Condition of an endpoint, as a fault sets it.
type Condition uint8

// The conditions.
const (
	// Well endpoints answer and are listed.
	Well Condition = iota
	// Dark endpoints are dead, and say nothing.
	Dark
	// CutOff endpoints run on, but neither the table nor any controller
	// reaches them.
	CutOff
	// Unlisted endpoints answer, but their row is gone.
	Unlisted
	// Leaving endpoints say that they are about to end.
	Leaving
)

// Set puts an endpoint into a condition.
func (f *Fleet) Set(id serving.EndpointID, c Condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	e.gone = c == Dark
	e.unreachable = c == Dark || c == CutOff
	e.unlisted = c == Dark || c == CutOff || c == Unlisted
	e.Draining = c == Leaving
	if e.unlisted {
		f.commit(table.Change{Removals: []table.Row{{Table: f.endpointTable, Key: string(id)}}})
		return
	}
	f.write(e)
}

// Crash ends an incarnation of an endpoint without a word; its row stays as it was.
func (f *Fleet) Crash(id serving.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	e.gone, e.unreachable = true, true
}

// Restart begins a new incarnation of an endpoint under the id that it had: it holds and knows
// nothing of before, but for what is staged on its host.
func (f *Fleet) Restart(id serving.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.endpoints[id]
	// What was under way in the incarnation before acts on its own record.
	before.gone = true
	f.leaves(before)
	fresh := &Endpoint{Endpoint: before.Endpoint}
	fresh.Model, fresh.Draining, fresh.Writes = "", false, 0
	fresh.StartedAt = f.nextStart(before.StartedAt)
	f.endpoints[id] = fresh
	f.write(fresh)
}

// StartedAt returns when the present incarnation of an endpoint started, in Unix milliseconds.
func (f *Fleet) StartedAt(id serving.EndpointID) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id].StartedAt
}

// nextStart returns when an incarnation begins that follows another one.
func (f *Fleet) nextStart(before int64) int64 { return max(before+1, time.Now().UnixMilli()) }

// Broken returns the promises that were broken, in order.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// Loads returns the number of loads from the weight store.
func (f *Fleet) Loads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads
}

// LastModel returns the model of an endpoint's last group, which it starts at
// once.
func (f *Fleet) LastModel(id serving.EndpointID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id].last
}

// JoinLoads returns how many joins had to load their model.
func (f *Fleet) JoinLoads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.joinLoads
}

// Refused returns how many orders that were answered were refused.
func (f *Fleet) Refused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// Orders returns the number of orders that reached an endpoint.
func (f *Fleet) Orders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ordersSeen
}

// Reports returns the number of reports that endpoints gave.
func (f *Fleet) Reports() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports
}

// Open returns the open groups whose members are all there, by model.
func (f *Fleet) Open() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for _, e := range f.endpoints {
		if e.group.State == serving.MemberOpen && !e.gone && f.complete(e) {
			out[e.last]++
		}
	}
	return out
}

// Group returns an endpoint's place in its group.
func (f *Fleet) Group(id serving.EndpointID) serving.Membership {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id].group.Membership
}

// complete reports whether all members of a head's group are with it.
func (f *Fleet) complete(head *Endpoint) bool {
	for _, id := range head.group.members {
		e := f.endpoints[id]
		if e == nil || e.gone || e.group.Group != head.group.Group || e.group.Epoch != head.group.Epoch {
			return false
		}
	}
	return true
}

// write stores an endpoint's row; the caller holds the lock.
func (f *Fleet) write(e *Endpoint) {
	if e.unlisted {
		return
	}
	e.Writes++
	row := e.Endpoint
	row.Membership = e.group.Membership
	f.commit(table.Change{Writes: []table.Row{{Table: f.endpointTable, Key: string(e.ID), Value: f.encode(row)}}})
}

// WriteAgain has every endpoint write its row, each at a moment of its own within a time, as
// after the table came back from an older copy. Rows of those that are unlisted go.
func (f *Fleet) WriteAgain(within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.endpoints {
		time.AfterFunc(rand.N(within), func() { f.writeAgain(id) })
	}
}

func (f *Fleet) writeAgain(id serving.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	switch {
	case e.unlisted:
		f.commit(table.Change{Removals: []table.Row{{Table: f.endpointTable, Key: string(id)}}})
	case !e.gone:
		f.write(e)
	}
}

// commit writes to the table as its own endpoints do, whatever the faults
// that other callers see.
func (f *Fleet) commit(c table.Change) { _ = f.table.Force(c) }

// Report implements groupcontrol.Endpoints.
func (f *Fleet) Report(ctx context.Context, _ string, id serving.EndpointID) (serving.Report, error) {
	f.mu.Lock()
	e := f.endpoints[id]
	if e == nil || e.unreachable {
		f.mu.Unlock()
		<-ctx.Done()
		return serving.Report{}, errors.Join(groupcontrol.ErrNoAnswer, ctx.Err())
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
	late := f.late()
	if e == nil || e.unreachable {
		f.mu.Unlock()
		<-ctx.Done()
		return false, errors.Join(groupcontrol.ErrNoAnswer, ctx.Err())
	}
	if late > 0 {
		f.mu.Unlock()
		time.AfterFunc(late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.take(e, o)
		})
		<-ctx.Done()
		return false, errors.Join(groupcontrol.ErrNoAnswer, ctx.Err())
	}
	defer f.mu.Unlock()
	done, err := f.take(e, o)
	if err != nil {
		f.refused++
	}
	return done, err
}

// take carries an order out; the caller holds the lock.
func (f *Fleet) take(e *Endpoint, o serving.Order) (bool, error) {
	f.ordersSeen++
	if o.Fence < e.fence {
		return false, groupcontrol.ErrFenced
	}
	if o.Expected != e.orders {
		return false, groupcontrol.ErrRefused
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
	return false, groupcontrol.ErrRefused
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
	model := f.model[o.Model]
	wait := rejoin
	switch {
	case e.last == o.Model:
	case slices.Contains(e.Staged, o.Model):
		wait = model.WarmTime
	default:
		wait = model.LoadTime
		f.loads++
		f.joinLoads++
	}
	f.write(e)
	orders := e.orders
	time.AfterFunc(wait, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if e.orders != orders || e.gone {
			return
		}
		e.last, e.Model, e.Staged = o.Model, o.Model, []string{o.Model}
		e.group.State = serving.MemberReady
		f.ready[readyKey{o.Group, o.Epoch, e.ID}] = true
		f.write(e)
	})
	return false, nil
}

// checkEpoch notes an epoch that is given out twice: to two lists of members, or again to an
// endpoint that was in a group of it in another incarnation or has left it.
func (f *Fleet) checkEpoch(e *Endpoint, o serving.Order) {
	if known, ok := f.lists[o.Epoch]; ok && (known.group != o.Group || !slices.Equal(known.members, o.Members)) && known.domain == e.Domain {
		f.broken = append(f.broken, fmt.Sprintf("epoch %d is of %s with %v and of %s with %v", o.Epoch, known.group, known.members, o.Group, o.Members))
	}
	f.lists[o.Epoch] = formed{o.Group, e.Domain, o.Members}
	if f.left[readyKey{o.Group, o.Epoch, e.ID}] {
		f.broken = append(f.broken, fmt.Sprintf("%s joined %s of epoch %d again", e.ID, o.Group, o.Epoch))
	}
	if e.group.Group != "" && (e.group.Group != o.Group || e.group.Epoch != o.Epoch) {
		f.leaves(e)
	}
}

// leaves notes that an endpoint is in its group no more.
func (f *Fleet) leaves(e *Endpoint) {
	if e.group.Group != "" {
		f.left[readyKey{e.group.Group, e.group.Epoch, e.ID}] = true
	}
}

// checkJoin notes an endpoint that joins while the group that it has not
// left is open.
func (f *Fleet) checkJoin(e *Endpoint, o serving.Order) {
	if e.group.Group == "" || e.group.Group == o.Group && e.group.Epoch == o.Epoch {
		return
	}
	head := f.endpoints[e.group.members[0]]
	stands := head != nil && !head.gone && head.group.Group == e.group.Group && head.group.Epoch == e.group.Epoch
	if stands && (head.group.State == serving.MemberOpen || head.group.State == serving.MemberClosing) {
		f.broken = append(f.broken, fmt.Sprintf("%s joined %s while %s, which it had not left, was open", e.ID, o.Group, e.group.Group))
	}
}

func (f *Fleet) open(e *Endpoint, o serving.Order) (bool, error) {
	if e.group.Group != o.Group || e.group.Epoch != o.Epoch || e.group.Rank != 0 {
		return false, groupcontrol.ErrRefused
	}
	if e.group.State == serving.MemberOpen {
		return true, nil
	}
	if e.group.State != serving.MemberReady {
		return false, groupcontrol.ErrRefused
	}
	for _, id := range e.group.members {
		if !f.ready[readyKey{o.Group, o.Epoch, id}] {
			f.broken = append(f.broken, fmt.Sprintf("%s opened while %s had never been ready in it", o.Group, id))
		}
	}
	if len(e.group.members) != f.model[e.last].Size {
		f.broken = append(f.broken, o.Group+" opened with a wrong number of members")
	}
	e.orders++
	orders := e.orders
	time.AfterFunc(formation, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if e.orders == orders && !e.gone {
			e.group.State = serving.MemberOpen
			f.write(e)
		}
	})
	return false, nil
}

func (f *Fleet) leave(e *Endpoint, o serving.Order) (bool, error) {
	if e.group.Group != o.Group || e.group.Epoch != o.Epoch {
		return false, groupcontrol.ErrRefused
	}
	e.orders++
	f.leaves(e)
	e.group = member{}
	f.write(e)
	// It takes effect at once, which the platform's endpoints answer as done.
	return true, nil
}

func (f *Fleet) stage(e *Endpoint, o serving.Order) (bool, error) {
	if slices.Contains(e.Staged, o.Model) {
		return true, nil
	}
	e.orders++
	f.loads++
	time.AfterFunc(f.model[o.Model].LoadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !e.gone {
			e.Staged = []string{o.Model}
			f.write(e)
		}
	})
	return false, nil
}
