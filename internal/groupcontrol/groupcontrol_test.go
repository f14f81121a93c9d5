package groupcontrol_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/internal/standin/fleetstandin"
	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Every promise that is asserted in the program ends the tests when broken.
func init() { invariant.SetFatal(true) }

// patience is far longer than anything here takes on an idle machine.
const patience = 60 * time.Second

var models = []serving.Model{
	{Name: "large", Size: 4, Fraction: 0.57, Pace: 1, LoadTime: 500 * time.Millisecond, WarmTime: 230 * time.Millisecond},
	{Name: "small", Size: 3, Fraction: 0.43, Pace: 0.6, LoadTime: 400 * time.Millisecond, WarmTime: 210 * time.Millisecond},
}

// hallLease is the lease of a hall's controllers.
const hallLease = 300 * time.Millisecond

// loadsPerSec is what the weight store allows.
const loadsPerSec = 20

// hall is one data centre with endpoints and controllers, all in memory.
type hall struct {
	t     *testing.T
	table *memtable.Table
	fleet *fleetstandin.Fleet
	// perDomain is the number of endpoints in a domain.
	perDomain int
	// paced is set where loads are short no more.
	paced bool

	// lastEvent tells the controllers when a head last gave anybody an event.
	lastEvent func(serving.EndpointID) time.Time

	// known is the directory of the controller that was started last.
	known *directory.Directory

	mu       sync.Mutex
	suspects []serving.EndpointID
}

func newHall(t *testing.T, endpoints int) *hall { return newHallOf(t, endpoints, 9) }

func newHallOf(t *testing.T, endpoints, perDomain int) *hall {
	h := &hall{t: t, table: memtable.New(), perDomain: perDomain}
	h.fleet = fleetstandin.New(h.table, models)
	c := serving.Configuration{Version: 1, Services: map[string]serving.Service{
		"llm": {Name: "llm", Engine: &serving.Engine{Models: models, LoadsPerSec: loadsPerSec}},
	}}
	value, err := json.Marshal(c)
	require.NoError(t, err)
	require.NoError(t, h.table.Force(table.Change{Writes: []table.Row{{
		Table: fleetstandin.ConfigurationTable, Key: fleetstandin.ConfigurationKey, Value: value,
	}}}))
	for i := range endpoints {
		h.add(i)
	}
	return h
}

func id(i int) serving.EndpointID { return serving.EndpointID(fmt.Sprintf("e%02d", i)) }

func (h *hall) add(i int) {
	h.fleet.Add(serving.Endpoint{ID: id(i), Service: "llm", DataCentre: "north", Domain: fmt.Sprintf("rack-%d", i/h.perDomain), Slots: 8})
}

func (h *hall) suspect(ids ...serving.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects = ids
}

// controller starts a node's controller; stop ends it as a kill would, with
// the lease still held.
func (h *hall) controller(node string) (stop func()) { return h.controllerOver(node, h.table) }

// controllerOver starts a controller that reads the rows of a store.
func (h *hall) controllerOver(node string, store table.Store) (stop func()) {
	d := directory.New(fleetstandin.Codec())
	h.known = d
	watcher := &directory.Watcher{Store: store, Directory: d, Options: directory.WatchOptions{
		LongPoll:      50 * time.Millisecond,
		EndpointPause: 3 * time.Millisecond,
		RetryPause:    3 * time.Millisecond,
		CallTimeout:   100 * time.Millisecond,
	}}
	c := groupcontrol.New(groupcontrol.Options{
		Node:                 node,
		DataCentre:           "north",
		DataCentres:          1,
		Unpaced:              func() bool { return !h.paced },
		Weights:              groupcontrol.DefaultWeights,
		Demand:               func() map[directory.Pool]groupcontrol.Demand { return nil },
		LastEvent:            h.lastEvent,
		LeaseTTL:             hallLease,
		LeaseOutageExtension: time.Minute,
		CallTimeout:          40 * time.Millisecond,
		Tick:                 5 * time.Millisecond,
		DrainWait:            20 * time.Millisecond,
	}, h.table, h.fleet, d, func() []serving.EndpointID {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.suspects
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { watcher.Run(ctx) })
	running.Go(func() { c.Run(ctx) })
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			running.Wait()
		})
	}
	h.t.Cleanup(stop)
	return stop
}

// awaitOpen waits until a number of groups of each model are open and whole.
func (h *hall) awaitOpen(large, small int) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		open := h.fleet.Open()
		return open["large"] >= large && open["small"] >= small
	}, patience, 5*time.Millisecond, "open: %v, broken: %v", h.fleet.Open(), h.fleet.Broken())
	h.unbroken()
}

func (h *hall) unbroken() {
	h.t.Helper()
	require.Empty(h.t, h.fleet.Broken())
}

func TestADomainServesEachModelAndKeepsSpares(t *testing.T) {
	h := newHall(t, 9)
	h.controller("n1")
	h.awaitOpen(1, 1)
	// Two spares remain, and each has started one of the models. All hosts hold
	// the other model than that of the last group.
	h.awaitStaged()
	h.unbroken()
	require.Equal(t, 7, h.fleet.JoinLoads())
	last := map[string]int{}
	for i := range 9 {
		if h.fleet.Group(id(i)).Group == "" {
			last[h.fleet.LastModel(id(i))]++
		}
	}
	require.Equal(t, map[string]int{"large": 1, "small": 1}, last)
}

func TestALostMemberIsReplacedWithoutALoad(t *testing.T) {
	for rank, name := range []string{"the head", "another member"} {
		t.Run(name, func(t *testing.T) {
			h := newHall(t, 9)
			h.controller("n1")
			h.awaitOpen(1, 1)
			h.awaitStaged()
			lost := h.member("large", rank)
			h.fleet.Set(lost, fleetstandin.Dark)
			h.awaitOpen(1, 1)
			require.Equal(t, 7, h.fleet.JoinLoads())
		})
	}
}

// loadsOfADomain are those of nine endpoints that can each start both models:
// that of their last group, and the one that their host holds.
const loadsOfADomain = 9 + 9

// awaitStaged waits until nothing is left to be staged in a domain of nine.
func (h *hall) awaitStaged() {
	h.t.Helper()
	require.Eventually(h.t, func() bool { return h.fleet.Loads() == loadsOfADomain }, patience, 5*time.Millisecond)
	// The last loads have to end before they can help.
	time.Sleep(2 * models[0].LoadTime)
	require.Equal(h.t, loadsOfADomain, h.fleet.Loads())
}

// A domain with one spare loses two members of its large group: a small group
// gives its members up, as the large one is needed more, and no join loads.
// Six groups of the large model were three after fifteen calm seconds, while the other
// model's were a third full.
func TestAGroupThatIsNeededLessGivesItsMembersUp(t *testing.T) {
	h := newHallOf(t, 10, 10)
	h.controller("n1")
	// Ten endpoints make one large group and two small ones.
	h.awaitOpen(1, 2)
	require.Eventually(t, func() bool { return h.fleet.Loads() == 2*10 }, patience, 5*time.Millisecond)
	time.Sleep(2 * models[0].LoadTime)
	lost := h.member("large", 1)
	h.fleet.Set(lost, fleetstandin.Dark)
	h.awaitOpen(1, 1)
	require.Equal(t, 10, h.fleet.JoinLoads())
}

// Loads from the weight store are paced, however many endpoints are empty
// (CEILING). A slow machine only makes them fewer.
func TestLoadsAreNoMoreThanTheWeightStoreAllows(t *testing.T) {
	h := newHall(t, 36)
	h.paced = true
	began := time.Now()
	h.controller("n1")
	const allowance, slack = 1.1, 3
	for h.fleet.Loads() < 36 {
		loads := h.fleet.Loads()
		require.LessOrEqual(t, float64(loads), loadsPerSec*allowance*time.Since(began).Seconds()+slack)
		require.Less(t, time.Since(began), patience)
		time.Sleep(5 * time.Millisecond)
	}
	h.unbroken()
}

// member returns the member of a rank in an open group of a size.
func (h *hall) member(model string, rank int) serving.EndpointID {
	want := models[0].Size
	if model == "small" {
		want = models[1].Size
	}
	groups := map[string][]serving.EndpointID{}
	for i := range 9 {
		if m := h.fleet.Group(id(i)); m.Group != "" {
			groups[m.Group] = append(groups[m.Group], id(i))
		}
	}
	for _, members := range groups {
		if len(members) != want {
			continue
		}
		for _, e := range members {
			if h.fleet.Group(e).Rank == rank {
				return e
			}
		}
	}
	h.t.Fatalf("no group of %s", model)
	return ""
}

// A head that neither the table nor a controller reaches may be open still,
// and take requests: its members must have left before they join again, or they are
// in two groups.
func TestAHeadThatIsCutOffKeepsNoMemberInTwoGroups(t *testing.T) {
	h := newHall(t, 9)
	h.controller("n1")
	h.awaitOpen(1, 1)
	head := h.member("large", 0)
	h.suspect(head)
	h.fleet.Set(head, fleetstandin.CutOff)
	require.Eventually(t, func() bool {
		groups := map[string]int{}
		for i := range 9 {
			if id(i) != head {
				groups[h.fleet.Group(id(i)).Group]++
			}
		}
		return groups[h.fleet.Group(head).Group] == 0 && h.fleet.Open()["large"] == 1
	}, patience, 5*time.Millisecond)
	h.unbroken()
}

func TestAGroupWithALeavingMemberIsReplaced(t *testing.T) {
	h := newHall(t, 9)
	h.controller("n1")
	h.awaitOpen(1, 1)
	leaving := h.member("large", 2)
	h.fleet.Set(leaving, fleetstandin.Leaving)
	require.Eventually(t, func() bool { return h.fleet.Group(leaving).Group == "" && h.fleet.Open()["large"] == 1 }, patience, 5*time.Millisecond)
	h.unbroken()
}

func TestANewControllerTakesOverGroupsThatStand(t *testing.T) {
	h := newHall(t, 9)
	stop := h.controller("n1")
	h.awaitOpen(1, 1)
	h.awaitStaged()
	stop()
	orders := h.fleet.Orders()
	h.controller("n2")
	// The new one has the lease when it repairs; until then nothing moves.
	time.Sleep(time.Second)
	require.Equal(t, orders, h.fleet.Orders())
	h.fleet.Set(h.member("small", 1), fleetstandin.Dark)
	h.awaitOpen(1, 1)
}

// oldRows is a store whose endpoint rows stand still.
type oldRows struct {
	table.Store
	page table.Page
}

func (s oldRows) Read(ctx context.Context, name, partition string) (table.Page, error) {
	if name == fleetstandin.EndpointTable {
		return s.page, nil
	}
	return s.Store.Read(ctx, name, partition)
}

func (s oldRows) Watch(ctx context.Context, name string, since uint64, wait time.Duration) (table.Page, error) {
	if name == fleetstandin.EndpointTable {
		return table.Page{Version: since}, nil
	}
	return s.Store.Watch(ctx, name, since, wait)
}

// Rows lag, and peers repeat what was: a controller that believes endpoints
// of open groups free must not have them join.
func TestAControllerWithOldRowsTakesNobodyFromAnOpenGroup(t *testing.T) {
	h := newHall(t, 9)
	before, err := h.table.Read(context.Background(), fleetstandin.EndpointTable, "")
	require.NoError(t, err)
	stop := h.controller("n1")
	h.awaitOpen(1, 1)
	stop()
	h.controllerOver("n2", oldRows{h.table, before})
	taken := h.fleet.Reports()
	require.Eventually(t, func() bool { return h.fleet.Reports() > taken }, patience, 5*time.Millisecond)
	// It has asked the first endpoint, and goes by the answers from here on.
	time.Sleep(time.Second)
	h.unbroken()
	require.Equal(t, map[string]int{"large": 1, "small": 1}, h.fleet.Open())
}

// A member that is cut off from the store alone does its work: its group serves
// on, and is replaced only when the member does not answer any more.
func TestAGroupServesOnWithAMemberThatIsNotListed(t *testing.T) {
	h := newHall(t, 9)
	h.controller("n1")
	h.awaitOpen(1, 1)
	h.awaitStaged()
	orders := h.fleet.Orders()
	member := h.member("large", 2)
	group := h.fleet.Group(member).Group
	h.fleet.Set(member, fleetstandin.Unlisted)
	time.Sleep(time.Second)
	require.Equal(t, orders, h.fleet.Orders())
	require.Equal(t, group, h.fleet.Group(member).Group)
	h.fleet.Set(member, fleetstandin.Dark)
	require.Eventually(t, func() bool { return h.fleet.Orders() > orders && h.fleet.Open()["large"] == 1 }, patience, 5*time.Millisecond)
	h.unbroken()
}

// A member that neither control nor the store reaches does its work as long as its
// head gives events, which it cannot without any of its members. The group ends once
// the head is silent as well.
func TestAGroupThatGivesEventsStands(t *testing.T) {
	h := newHall(t, 9)
	var silent atomic.Bool
	h.lastEvent = func(serving.EndpointID) time.Time {
		if silent.Load() {
			return time.Time{}
		}
		return time.Now()
	}
	h.controller("n1")
	h.awaitOpen(1, 1)
	h.awaitStaged()
	head, member := h.member("large", 0), h.member("large", 2)
	group := h.fleet.Group(member).Group
	h.fleet.Set(member, fleetstandin.CutOff)
	h.suspect(member)
	time.Sleep(time.Second)
	require.Equal(t, group, h.fleet.Group(head).Group, "it stands")
	silent.Store(true)
	require.Eventually(t, func() bool { return h.fleet.Group(head).Group != group }, patience, 5*time.Millisecond)
	h.unbroken()
}

// laggingRows is a store whose endpoint rows come late.
type laggingRows struct {
	table.Store
	lag time.Duration
}

func (s laggingRows) Watch(ctx context.Context, name string, since uint64, wait time.Duration) (table.Page, error) {
	page, err := s.Store.Watch(ctx, name, since, wait)
	if name == fleetstandin.EndpointTable {
		time.Sleep(s.lag)
	}
	return page, err
}

// A member that has left is known to be free at once, and not only by its row:
// its next join must name the right number of orders. One member of sixteen "in another
// group" ended the forming of a group twelve times in three seconds.
func TestAMemberThatHasLeftIsFreeAtOnce(t *testing.T) {
	h := newHall(t, 9)
	h.controllerOver("n1", laggingRows{h.table, 60 * time.Millisecond})
	h.awaitOpen(1, 1)
	h.awaitStaged()
	lost := h.member("large", 1)
	h.fleet.Set(lost, fleetstandin.Dark)
	require.Eventually(t, func() bool { return h.fleet.Open()["large"] == 0 }, patience, 5*time.Millisecond)
	h.awaitOpen(1, 1)
	require.Zero(t, h.fleet.Refused())
}

// Orders get no answer and are carried out late, endpoints die and are cut
// off, controllers are killed and two run at once: whatever happens, no group
// opens that was not whole, and no endpoint is in two.
func TestRandomTroubleBreaksNoPromise(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			h := newHall(t, 18)
			var lateMu sync.Mutex
			lateRandom := rand.New(rand.NewPCG(seed, 2))
			h.fleet.SetLate(func() time.Duration {
				lateMu.Lock()
				defer lateMu.Unlock()
				if lateRandom.Float64() < 0.25 {
					return time.Duration(60+lateRandom.IntN(300)) * time.Millisecond
				}
				return 0
			})
			stops := []func(){h.controller("n0"), h.controller("n1")}
			added := 18
			for step := range 25 {
				time.Sleep(60 * time.Millisecond)
				victim := id(random.IntN(added))
				switch random.IntN(6) {
				case 0:
					h.fleet.Set(victim, fleetstandin.Dark)
				case 1:
					h.fleet.Set(victim, fleetstandin.CutOff)
				case 2:
					h.suspect(victim)
				case 3:
					h.fleet.Set(victim, fleetstandin.Unlisted)
				case 4:
					h.add(added)
					added++
				case 5:
					at := random.IntN(len(stops))
					stops[at]()
					stops[at] = h.controller(fmt.Sprintf("n%d", step+2))
				}
				h.unbroken()
			}
			time.Sleep(300 * time.Millisecond)
			h.unbroken()
		})
	}
}

// A member is lost while the store does not answer anybody. The controller
// repairs its group all the same: endpoints take its orders. In eight seconds of outage
// two groups were lost and none formed.
func TestAGroupIsRepairedWhileTheStoreIsOut(t *testing.T) {
	h := newHall(t, 9)
	h.controller("n1")
	h.controller("n2")
	h.awaitOpen(1, 1)
	h.awaitStaged()
	h.table.SetFaults(memtable.Faults{Down: true})
	// Longer than the lease.
	time.Sleep(3 * hallLease)
	lost := h.member("large", 1)
	h.fleet.Set(lost, fleetstandin.Dark)
	h.suspect(lost)
	h.awaitOpen(1, 1)
	// It still stands once the store is back.
	h.table.SetFaults(memtable.Faults{})
	h.awaitOpen(1, 1)
}

// Heads end and begin again within a fraction of a second, under the ids that they had. The
// controller took what they said for old news, and them for dead: here the groups were whole
// after 9.8 s in three runs of three, and after 1.1 s with lives told apart.
func TestMembersThatStartAgainUnderTheirIDsAreUsedAtOnce(t *testing.T) {
	h := newHall(t, 9)
	h.controller("n1")
	h.awaitOpen(1, 1)
	for _, rank := range []int{0, 1} {
		var ended []serving.EndpointID
		for i := range 9 {
			if m := h.fleet.Group(id(i)); m.Group != "" && m.Rank == rank {
				ended = append(ended, id(i))
				h.fleet.Crash(id(i))
			}
		}
		require.NotEmpty(t, ended)
		h.suspect(ended...)
		time.Sleep(60 * time.Millisecond)
		for _, e := range ended {
			h.fleet.Restart(e)
		}
		h.suspect()
		began := time.Now()
		require.Eventually(t, func() bool { return h.fleet.Open()["large"]+h.fleet.Open()["small"] == 2 }, patience, 5*time.Millisecond)
		took := time.Since(began)
		t.Logf("members of rank %d: whole again after %s", rank, took)
		require.Less(t, took, 4*time.Second, "a model loads in half a second here; a dead endpoint is left out for eight")
		h.unbroken()
	}
}

// A node that has just started may hold the lease before it has read the table of endpoints. A
// peer may bring it the rows that have changed since another life of it last heard: then it
// knows some members of groups alone, and would have them leave for want of the others. Found
// by reading; fails without the wait for a whole table.
func TestAControllerThatKnowsAPartOfTheTableEndsNothing(t *testing.T) {
	h := newHall(t, 9)
	stop := h.controller("n1")
	h.awaitOpen(1, 1)
	stop()
	orders := h.fleet.Orders()
	hidden := &partOfTheTable{Store: h.table}
	h.controllerOver("n2", hidden)
	page, err := h.table.Read(t.Context(), fleetstandin.EndpointTable, "")
	require.NoError(t, err)
	var part []table.Row
	for _, row := range page.Rows {
		if m := h.fleet.Group(serving.EndpointID(row.Key)); m.Rank > 0 {
			part = append(part, row)
		}
	}
	require.NotEmpty(t, part)
	h.known.ApplyChanges(part, page.Version-1, page.Version, time.Now())
	time.Sleep(3 * time.Second)
	require.Equal(t, orders, h.fleet.Orders(), "longer than the grace for rows that lag")
	hidden.whole.Store(true)
	time.Sleep(time.Second)
	h.awaitOpen(1, 1)
}

// partOfTheTable is a store of which reads of the endpoints fail for a while.
type partOfTheTable struct {
	table.Store
	whole atomic.Bool
}

func (p *partOfTheTable) Read(ctx context.Context, name, partition string) (table.Page, error) {
	if name == fleetstandin.EndpointTable && !p.whole.Load() {
		return table.Page{}, table.ErrUnavailable
	}
	return p.Store.Read(ctx, name, partition)
}
