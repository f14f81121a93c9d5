package groupcontrol_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
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

// Violated invariants end the tests.
func init() { invariant.SetFatal(true) }

// timeout is far longer than any step takes on an idle machine.
const timeout = 60 * time.Second

var models = []serving.Model{
	{Name: "large", Size: 4, Fraction: 0.57, TimeFactor: 1, LoadTime: 500 * time.Millisecond, WarmTime: 230 * time.Millisecond},
	{Name: "small", Size: 3, Fraction: 0.43, TimeFactor: 0.6, LoadTime: 400 * time.Millisecond, WarmTime: 210 * time.Millisecond},
}

// leaseTTL is the lease TTL of the controllers.
const leaseTTL = 300 * time.Millisecond

// loadsPerSec is the rate limit of the weight store.
const loadsPerSec = 20

// testDataCentre is a data centre with endpoints and controllers, all in memory.
type testDataCentre struct {
	t     *testing.T
	table *memtable.Table
	fleet *fleetstandin.Fleet
	// perDomain is the number of endpoints in a domain.
	perDomain int
	// paced turns on the rate limit of loads.
	paced bool
	// leaseTTL replaces the usual TTL unless it is zero.
	leaseTTL time.Duration

	// recheckDead is the controllers' Options.RecheckDead.
	recheckDead bool
	// links and silenceTolerance are the controllers' options of the same names.
	links            *groupcontrol.Links
	silenceTolerance time.Duration
	// lastEvent is the controllers' Options.LastEvent.
	lastEvent func(serving.EndpointID) time.Time

	// lastDirectory is the directory of the last controller that was started.
	lastDirectory *directory.Directory

	mu       sync.Mutex
	suspects []serving.EndpointID
}

func newDataCentre(t *testing.T, endpoints int) *testDataCentre {
	return newDataCentreWithDomains(t, endpoints, 9)
}

func newDataCentreWithDomains(t *testing.T, endpoints, perDomain int) *testDataCentre {
	dc := &testDataCentre{t: t, table: memtable.New(), perDomain: perDomain}
	dc.fleet = fleetstandin.New(dc.table, models)
	c := serving.Configuration{Version: 1, Services: map[string]serving.Service{
		"llm": {Name: "llm", Engine: &serving.Engine{Models: models, LoadsPerSec: loadsPerSec}},
	}}
	value, err := json.Marshal(c)
	require.NoError(t, err)
	require.NoError(t, dc.table.CommitIgnoringFaults(table.Change{Writes: []table.Row{{
		Table: fleetstandin.ConfigurationTable, Key: fleetstandin.ConfigurationKey, Value: value,
	}}}))
	for i := range endpoints {
		dc.add(i)
	}
	return dc
}

func id(i int) serving.EndpointID { return serving.EndpointID(fmt.Sprintf("e%02d", i)) }

func (dc *testDataCentre) add(i int) {
	dc.fleet.Add(serving.Endpoint{ID: id(i), Service: "llm", DataCentre: "north", Domain: fmt.Sprintf("rack-%d", i/dc.perDomain), Slots: 8})
}

func (dc *testDataCentre) setSuspects(ids ...serving.EndpointID) {
	dc.mu.Lock()
	defer dc.mu.Unlock()
	dc.suspects = ids
}

// startController starts a node's controller. stop ends it without releasing the lease, as a
// crash would.
func (dc *testDataCentre) startController(node string) (stop func()) {
	return dc.startControllerWithStore(node, dc.table)
}

// startControllerWithStore starts a controller whose directory reads from the given store.
func (dc *testDataCentre) startControllerWithStore(node string, store table.Store) (stop func()) {
	d := directory.New(fleetstandin.Codec())
	dc.lastDirectory = d
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
		Unpaced:              func() bool { return !dc.paced },
		Weights:              groupcontrol.DefaultWeights,
		Demand:               func() map[directory.Pool]groupcontrol.Demand { return nil },
		LastEvent:            dc.lastEvent,
		RecheckDead:          dc.recheckDead,
		Links:                dc.links,
		SilenceTolerance:     dc.silenceTolerance,
		LeaseTTL:             cmp.Or(dc.leaseTTL, leaseTTL),
		LeaseOutageExtension: time.Minute,
		CallTimeout:          40 * time.Millisecond,
		Tick:                 5 * time.Millisecond,
		DrainWait:            20 * time.Millisecond,
	}, dc.table, dc.fleet, d, func() []serving.EndpointID {
		dc.mu.Lock()
		defer dc.mu.Unlock()
		return dc.suspects
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
	dc.t.Cleanup(stop)
	return stop
}

// awaitOpen waits until a number of groups of each model are open and complete.
func (dc *testDataCentre) awaitOpen(large, small int) {
	dc.t.Helper()
	require.Eventually(dc.t, func() bool {
		open := dc.fleet.Open()
		return open["large"] >= large && open["small"] >= small
	}, timeout, 5*time.Millisecond, "open: %v, broken: %v", dc.fleet.Open(), dc.fleet.Violations())
	dc.requireUnbroken()
}

func (dc *testDataCentre) requireUnbroken() {
	dc.t.Helper()
	require.Empty(dc.t, dc.fleet.Violations())
}

func TestController_FormsGroupsAndKeepsSpares(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	// Two spares remain, and each has started one of the models. Every host holds the other
	// model than that of the endpoint's last group.
	dc.awaitStaged()
	dc.requireUnbroken()
	require.Equal(t, 7, dc.fleet.JoinLoads())
	last := map[string]int{}
	for i := range 9 {
		if dc.fleet.Group(id(i)).Group == "" {
			last[dc.fleet.LastModel(id(i))]++
		}
	}
	require.Equal(t, map[string]int{"large": 1, "small": 1}, last)
}

func TestController_ReplacesMemberWithoutLoading(t *testing.T) {
	for rank, name := range []string{"the head", "another member"} {
		t.Run(name, func(t *testing.T) {
			dc := newDataCentre(t, 9)
			// A controller that loses its lease forms groups again, with other loads.
			dc.leaseTTL = 10 * time.Second
			dc.startController("n1")
			dc.awaitOpen(1, 1)
			dc.awaitStaged()
			dead := dc.member("large", rank)
			dc.fleet.SetCondition(dead, fleetstandin.Terminated)
			dc.awaitOpen(1, 1)
			require.Equal(t, 7, dc.fleet.JoinLoads())
		})
	}
}

// loadsPerDomain counts two loads for each of nine endpoints: the model of its last group and
// the one that its host holds.
const loadsPerDomain = 9 + 9

// awaitStaged waits until nothing is left to stage in a domain of nine.
func (dc *testDataCentre) awaitStaged() {
	dc.t.Helper()
	require.Eventually(dc.t, func() bool { return dc.fleet.Loads() == loadsPerDomain }, timeout, 5*time.Millisecond)
	// The last loads must finish before they are usable.
	time.Sleep(2 * models[0].LoadTime)
	require.Equal(dc.t, loadsPerDomain, dc.fleet.Loads())
}

// Guards against a missing large group beside small ones with little demand: when a domain
// with one spare loses a large group, a small group must give up its members without a load.
func TestController_TakesOverLessNeededGroup(t *testing.T) {
	dc := newDataCentreWithDomains(t, 10, 10)
	dc.startController("n1")
	// Ten endpoints form one large group and two small ones.
	dc.awaitOpen(1, 2)
	require.Eventually(t, func() bool { return dc.fleet.Loads() == 2*10 }, timeout, 5*time.Millisecond)
	time.Sleep(2 * models[0].LoadTime)
	dead := dc.member("large", 1)
	dc.fleet.SetCondition(dead, fleetstandin.Terminated)
	dc.awaitOpen(1, 1)
	require.Equal(t, 10, dc.fleet.JoinLoads())
}

// Guards against exceeding the rate limit of the weight store, however many endpoints are
// empty. A slow machine only lowers the rate.
func TestController_RespectsLoadRateLimit(t *testing.T) {
	dc := newDataCentre(t, 36)
	dc.paced = true
	start := time.Now()
	dc.startController("n1")
	const allowance, slack = 1.1, 3
	for dc.fleet.Loads() < 36 {
		loads := dc.fleet.Loads()
		require.LessOrEqual(t, float64(loads), loadsPerSec*allowance*time.Since(start).Seconds()+slack)
		require.Less(t, time.Since(start), timeout)
		time.Sleep(5 * time.Millisecond)
	}
	dc.requireUnbroken()
}

// member returns the member with a rank in an open group of a model.
func (dc *testDataCentre) member(model string, rank int) serving.EndpointID {
	size := models[0].Size
	if model == "small" {
		size = models[1].Size
	}
	groups := map[string][]serving.EndpointID{}
	for i := range 9 {
		if m := dc.fleet.Group(id(i)); m.Group != "" {
			groups[m.Group] = append(groups[m.Group], id(i))
		}
	}
	for _, members := range groups {
		if len(members) != size {
			continue
		}
		for _, e := range members {
			if dc.fleet.Group(e).Rank == rank {
				return e
			}
		}
	}
	dc.t.Fatalf("no group of model %s", model)
	return ""
}

// Guards against members in two groups: an unreachable head may still be open and accept
// requests, so its members must leave before they join another group.
func TestController_WaitsForMembersOfIsolatedHead(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	head := dc.member("large", 0)
	dc.setSuspects(head)
	dc.fleet.SetCondition(head, fleetstandin.Isolated)
	require.Eventually(t, func() bool {
		groups := map[string]int{}
		for i := range 9 {
			if id(i) != head {
				groups[dc.fleet.Group(id(i)).Group]++
			}
		}
		return groups[dc.fleet.Group(head).Group] == 0 && dc.fleet.Open()["large"] == 1
	}, timeout, 5*time.Millisecond)
	dc.requireUnbroken()
}

func TestController_ReplacesGroupOfDrainingMember(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	draining := dc.member("large", 2)
	dc.fleet.SetCondition(draining, fleetstandin.Draining)
	require.Eventually(t, func() bool { return dc.fleet.Group(draining).Group == "" && dc.fleet.Open()["large"] == 1 }, timeout, 5*time.Millisecond)
	dc.requireUnbroken()
}

func TestController_KeepsGroupsOfItsPredecessor(t *testing.T) {
	dc := newDataCentre(t, 9)
	stop := dc.startController("n1")
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	stop()
	orders := dc.fleet.Orders()
	dc.startController("n2")
	// Nothing changes until the new controller has the lease and something to repair.
	time.Sleep(time.Second)
	require.Equal(t, orders, dc.fleet.Orders())
	dc.fleet.SetCondition(dc.member("small", 1), fleetstandin.Terminated)
	dc.awaitOpen(1, 1)
}

// Guards against a controller whose epochs start again at zero, because the row of another writer has one that no lease
// reaches: no endpoint accepts a join of an earlier epoch.
func TestController_IgnoresImplausibleEpochs(t *testing.T) {
	for _, epoch := range []uint64{math.MaxUint64, math.MaxUint64 - 100_000, 1 << 63} {
		t.Run(fmt.Sprint(epoch), func(t *testing.T) {
			dc := newDataCentre(t, 9)
			stop := dc.startController("n1")
			dc.awaitOpen(1, 1)
			stop()
			value, err := json.Marshal(serving.Endpoint{ID: "foreign", Service: "llm", DataCentre: "north", Domain: "elsewhere", Slots: 8,
				Membership: serving.Membership{Group: "g", Epoch: epoch, State: serving.MemberOpen}})
			require.NoError(t, err)
			require.NoError(t, dc.table.CommitIgnoringFaults(table.Change{Writes: []table.Row{{Table: fleetstandin.EndpointTable, Key: "foreign", Value: value}}}))
			for n := range 2 {
				stop := dc.startController(fmt.Sprint("next-", n))
				dc.fleet.SetCondition(dc.member("small", 1), fleetstandin.Terminated)
				require.Eventually(t, func() bool { return dc.fleet.Open()["small"] == 0 }, timeout, time.Millisecond)
				dc.awaitOpen(1, 1)
				stop()
			}
		})
	}
}

// staleRows is a store whose endpoint rows never change.
type staleRows struct {
	table.Store
	page table.Page
}

func (s staleRows) Read(ctx context.Context, name, partition string) (table.Page, error) {
	if name == fleetstandin.EndpointTable {
		return s.page, nil
	}
	return s.Store.Read(ctx, name, partition)
}

func (s staleRows) Watch(ctx context.Context, name string, since uint64, wait time.Duration) (table.Page, error) {
	if name == fleetstandin.EndpointTable {
		return table.Page{Version: since}, nil
	}
	return s.Store.Watch(ctx, name, since, wait)
}

// Guards against joining members of open groups that stale rows or peers show as free.
func TestController_StaleRowsDoNotBreakOpenGroups(t *testing.T) {
	dc := newDataCentre(t, 9)
	before, err := dc.table.Read(context.Background(), fleetstandin.EndpointTable, "")
	require.NoError(t, err)
	stop := dc.startController("n1")
	dc.awaitOpen(1, 1)
	stop()
	dc.startControllerWithStore("n2", staleRows{dc.table, before})
	reports := dc.fleet.Reports()
	require.Eventually(t, func() bool { return dc.fleet.Reports() > reports }, timeout, 5*time.Millisecond)
	// After the first report it has the endpoints' actual state.
	time.Sleep(time.Second)
	dc.requireUnbroken()
	require.Equal(t, map[string]int{"large": 1, "small": 1}, dc.fleet.Open())
}

// Guards against dissolving a group because a member is partitioned from the store alone. The
// group is replaced only when the member stops responding.
func TestController_KeepsGroupWithUnlistedMember(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	orders := dc.fleet.Orders()
	member := dc.member("large", 2)
	group := dc.fleet.Group(member).Group
	dc.fleet.SetCondition(member, fleetstandin.Unlisted)
	time.Sleep(time.Second)
	require.Equal(t, orders, dc.fleet.Orders())
	require.Equal(t, group, dc.fleet.Group(member).Group)
	dc.fleet.SetCondition(member, fleetstandin.Terminated)
	require.Eventually(t, func() bool { return dc.fleet.Orders() > orders && dc.fleet.Open()["large"] == 1 }, timeout, 5*time.Millisecond)
	dc.requireUnbroken()
}

// Guards against dissolving a group that serves although neither the controller nor the store
// reaches a member. The group is dissolved once the head sends no events either.
func TestController_KeepsUnreachableServingGroup(t *testing.T) {
	dc := newDataCentre(t, 9)
	var silent atomic.Bool
	dc.lastEvent = func(serving.EndpointID) time.Time {
		if silent.Load() {
			return time.Time{}
		}
		return time.Now()
	}
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	head, member := dc.member("large", 0), dc.member("large", 2)
	group := dc.fleet.Group(member).Group
	dc.fleet.SetCondition(member, fleetstandin.Isolated)
	dc.setSuspects(member)
	time.Sleep(time.Second)
	require.Equal(t, group, dc.fleet.Group(head).Group, "the group must be kept")
	silent.Store(true)
	require.Eventually(t, func() bool { return dc.fleet.Group(head).Group != group }, timeout, 5*time.Millisecond)
	dc.requireUnbroken()
}

// laggingRows is a store whose endpoint rows arrive late.
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

// Guards against waiting for the row of a member that has left: its next join would carry the
// wrong number of orders and be rejected.
func TestController_FreesMemberBeforeItsRowChanges(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startControllerWithStore("n1", laggingRows{dc.table, 60 * time.Millisecond})
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	dead := dc.member("large", 1)
	dc.fleet.SetCondition(dead, fleetstandin.Terminated)
	require.Eventually(t, func() bool { return dc.fleet.Open()["large"] == 0 }, timeout, 5*time.Millisecond)
	dc.awaitOpen(1, 1)
	require.Zero(t, dc.fleet.RejectedOrders())
}

// Runs with delayed orders, crashed and isolated endpoints, crashed controllers and two
// controllers at once. No incomplete group may open, and no endpoint may be in two groups.
func TestController_InvariantsUnderRandomFaults(t *testing.T) {
	// From the seventh on, isolated endpoints return and are used again before their exclusion ends.
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			dc := newDataCentre(t, 18)
			dc.recheckDead = seed >= 6
			isolated := map[serving.EndpointID]bool{}
			var lateMu sync.Mutex
			lateRandom := rand.New(rand.NewPCG(seed, 2))
			dc.fleet.SetOrderDelay(func() time.Duration {
				lateMu.Lock()
				defer lateMu.Unlock()
				if lateRandom.Float64() < 0.25 {
					return time.Duration(60+lateRandom.IntN(300)) * time.Millisecond
				}
				return 0
			})
			stops := []func(){dc.startController("n0"), dc.startController("n1")}
			added := 18
			for step := range 25 {
				time.Sleep(60 * time.Millisecond)
				victim := id(random.IntN(added))
				if dc.recheckDead && step%8 == 7 {
					for e := range isolated {
						dc.fleet.SetCondition(e, fleetstandin.Healthy)
					}
					clear(isolated)
					time.Sleep(1200 * time.Millisecond)
				}
				delete(isolated, victim)
				switch random.IntN(6) {
				case 0:
					dc.fleet.SetCondition(victim, fleetstandin.Terminated)
				case 1:
					dc.fleet.SetCondition(victim, fleetstandin.Isolated)
					isolated[victim] = true
				case 2:
					dc.setSuspects(victim)
				case 3:
					dc.fleet.SetCondition(victim, fleetstandin.Unlisted)
				case 4:
					dc.add(added)
					added++
				case 5:
					at := random.IntN(len(stops))
					stops[at]()
					stops[at] = dc.startController(fmt.Sprintf("n%d", step+2))
				}
				dc.requireUnbroken()
			}
			time.Sleep(300 * time.Millisecond)
			dc.requireUnbroken()
		})
	}
}

// Guards against groups that stay lost while the store is down: endpoints accept orders
// without it.
func TestController_RepairsDuringStoreOutage(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startController("n1")
	dc.startController("n2")
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	dc.table.SetFaults(memtable.Faults{Down: true})
	// Longer than the lease TTL.
	time.Sleep(3 * leaseTTL)
	dead := dc.member("large", 1)
	dc.fleet.SetCondition(dead, fleetstandin.Terminated)
	dc.setSuspects(dead)
	dc.awaitOpen(1, 1)
	// The group survives the end of the outage.
	dc.table.SetFaults(memtable.Faults{})
	dc.awaitOpen(1, 1)
}

// Guards against excluding endpoints that restart under the same id: their reports must not be
// taken for stale ones of the crashed incarnation.
func TestController_ReusesRestartedEndpoints(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	for _, rank := range []int{0, 1} {
		var crashed []serving.EndpointID
		for i := range 9 {
			if m := dc.fleet.Group(id(i)); m.Group != "" && m.Rank == rank {
				crashed = append(crashed, id(i))
				dc.fleet.Crash(id(i))
			}
		}
		require.NotEmpty(t, crashed)
		dc.setSuspects(crashed...)
		time.Sleep(60 * time.Millisecond)
		for _, e := range crashed {
			dc.fleet.Restart(e)
		}
		dc.setSuspects()
		start := time.Now()
		require.Eventually(t, func() bool { return dc.fleet.Open()["large"]+dc.fleet.Open()["small"] == 2 }, timeout, 5*time.Millisecond)
		elapsed := time.Since(start)
		t.Logf("members of rank %d: all groups open after %s", rank, elapsed)
		require.Less(t, elapsed, 4*time.Second, "a model loads in 0.5 s; a dead endpoint is excluded for 8 s")
		dc.requireUnbroken()
	}
}

// Guards against excluding endpoints that were unreachable for a short time: the members of a group
// whose network returns must serve again before the exclusion of dead endpoints ends.
func TestController_ReusesEndpointsThatRespondAgain(t *testing.T) {
	const exclusion = 8 * time.Second
	for _, recheck := range []bool{false, true} {
		t.Run(fmt.Sprint(recheck), func(t *testing.T) {
			dc := newDataCentreWithDomains(t, 7, 7)
			dc.recheckDead = recheck
			// A controller that loses its lease forgets which endpoints are dead.
			dc.leaseTTL = time.Minute
			dc.startController("n1")
			dc.awaitOpen(1, 1)
			var lost serving.EndpointID
			for i := range 7 {
				if dc.fleet.LastModel(id(i)) == "small" && dc.fleet.Group(id(i)).Rank == 1 {
					lost = id(i)
				}
			}
			require.NotEmpty(t, lost)
			start := time.Now()
			dc.setSuspects(lost)
			dc.fleet.SetCondition(lost, fleetstandin.Isolated)
			require.Eventually(t, func() bool { return dc.fleet.Open()["small"] == 0 }, timeout, 5*time.Millisecond)
			dc.setSuspects()
			dc.fleet.SetCondition(lost, fleetstandin.Healthy)
			dc.awaitOpen(1, 1)
			elapsed := time.Since(start)
			t.Logf("open again after %s", elapsed)
			require.Equal(t, recheck, elapsed < exclusion)
			dc.requireUnbroken()
		})
	}
}

// Guards against dissolving groups after a restart: rows from a peer may reach the controller
// before the complete table, and groups would seem to lack the members whose rows are missing.
func TestController_WaitsForCompleteTable(t *testing.T) {
	dc := newDataCentre(t, 9)
	stop := dc.startController("n1")
	dc.awaitOpen(1, 1)
	stop()
	orders := dc.fleet.Orders()
	store := &failingReads{Store: dc.table}
	dc.startControllerWithStore("n2", store)
	page, err := dc.table.Read(t.Context(), fleetstandin.EndpointTable, "")
	require.NoError(t, err)
	var part []table.Row
	for _, row := range page.Rows {
		if m := dc.fleet.Group(serving.EndpointID(row.Key)); m.Rank > 0 {
			part = append(part, row)
		}
	}
	require.NotEmpty(t, part)
	dc.lastDirectory.ApplyChanges(part, page.Version-1, page.Version, time.Now())
	time.Sleep(3 * time.Second)
	require.Equal(t, orders, dc.fleet.Orders(), "no order before the table is complete, even after the grace for lagging rows")
	store.available.Store(true)
	time.Sleep(time.Second)
	dc.awaitOpen(1, 1)
}

// failingReads is a store whose endpoint reads fail until it becomes available.
type failingReads struct {
	table.Store
	available atomic.Bool
}

func (p *failingReads) Read(ctx context.Context, name, partition string) (table.Page, error) {
	if name == fleetstandin.EndpointTable && !p.available.Load() {
		return table.Page{}, table.ErrUnavailable
	}
	return p.Store.Read(ctx, name, partition)
}
