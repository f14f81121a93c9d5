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

// timeout is far longer than anything here takes on an idle machine.
const timeout = 60 * time.Second

var models = []serving.Model{
	{Name: "large", Size: 4, Fraction: 0.57, Pace: 1, LoadTime: 500 * time.Millisecond, WarmTime: 230 * time.Millisecond},
	{Name: "small", Size: 3, Fraction: 0.43, Pace: 0.6, LoadTime: 400 * time.Millisecond, WarmTime: 210 * time.Millisecond},
}

// leaseTTL is the lease of a hall's controllers.
const leaseTTL = 300 * time.Millisecond

// loadsPerSec is what the weight store allows.
const loadsPerSec = 20

// testDataCentre is one data centre with endpoints and controllers, all in memory.
type testDataCentre struct {
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
	require.NoError(t, dc.table.Force(table.Change{Writes: []table.Row{{
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

// startController starts a node's startController; stop ends it as a kill would, with
// the lease still held.
func (dc *testDataCentre) startController(node string) (stop func()) {
	return dc.startControllerWithStore(node, dc.table)
}

// startControllerWithStore starts a controller that reads the rows of a store.
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
		LeaseTTL:             leaseTTL,
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

// awaitOpen waits until a number of groups of each model are open and whole.
func (dc *testDataCentre) awaitOpen(large, small int) {
	dc.t.Helper()
	require.Eventually(dc.t, func() bool {
		open := dc.fleet.Open()
		return open["large"] >= large && open["small"] >= small
	}, timeout, 5*time.Millisecond, "open: %v, broken: %v", dc.fleet.Open(), dc.fleet.Broken())
	dc.requireUnbroken()
}

func (dc *testDataCentre) requireUnbroken() {
	dc.t.Helper()
	require.Empty(dc.t, dc.fleet.Broken())
}

func TestADomainServesEachModelAndKeepsSpares(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	// Two spares remain, and each has started one of the models. All hosts hold
	// the other model than that of the last group.
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

func TestALostMemberIsReplacedWithoutALoad(t *testing.T) {
	for rank, name := range []string{"the head", "another member"} {
		t.Run(name, func(t *testing.T) {
			dc := newDataCentre(t, 9)
			dc.startController("n1")
			dc.awaitOpen(1, 1)
			dc.awaitStaged()
			dead := dc.member("large", rank)
			dc.fleet.Set(dead, fleetstandin.Dark)
			dc.awaitOpen(1, 1)
			require.Equal(t, 7, dc.fleet.JoinLoads())
		})
	}
}

// loadsPerDomain are those of nine endpoints that can each start both models:
// that of their last group, and the one that their host holds.
const loadsPerDomain = 9 + 9

// awaitStaged waits until nothing is left to be staged in a domain of nine.
func (dc *testDataCentre) awaitStaged() {
	dc.t.Helper()
	require.Eventually(dc.t, func() bool { return dc.fleet.Loads() == loadsPerDomain }, timeout, 5*time.Millisecond)
	// The last loads have to end before they can help.
	time.Sleep(2 * models[0].LoadTime)
	require.Equal(dc.t, loadsPerDomain, dc.fleet.Loads())
}

// A domain with one spare loses two members of its large group: a small group
// gives its members up, as the large one is needed more, and no join loads.
// Six groups of the large model were three after fifteen calm seconds, while the other
// model's were a third full.
func TestAGroupThatIsNeededLessGivesItsMembersUp(t *testing.T) {
	dc := newDataCentreWithDomains(t, 10, 10)
	dc.startController("n1")
	// Ten endpoints make one large group and two small ones.
	dc.awaitOpen(1, 2)
	require.Eventually(t, func() bool { return dc.fleet.Loads() == 2*10 }, timeout, 5*time.Millisecond)
	time.Sleep(2 * models[0].LoadTime)
	dead := dc.member("large", 1)
	dc.fleet.Set(dead, fleetstandin.Dark)
	dc.awaitOpen(1, 1)
	require.Equal(t, 10, dc.fleet.JoinLoads())
}

// Loads from the weight store are paced, however many endpoints are empty
// (CEILING). A slow machine only makes them fewer.
func TestLoadsAreNoMoreThanTheWeightStoreAllows(t *testing.T) {
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

// member returns the member of a rank in an open group of a size.
func (dc *testDataCentre) member(model string, rank int) serving.EndpointID {
	want := models[0].Size
	if model == "small" {
		want = models[1].Size
	}
	groups := map[string][]serving.EndpointID{}
	for i := range 9 {
		if m := dc.fleet.Group(id(i)); m.Group != "" {
			groups[m.Group] = append(groups[m.Group], id(i))
		}
	}
	for _, members := range groups {
		if len(members) != want {
			continue
		}
		for _, e := range members {
			if dc.fleet.Group(e).Rank == rank {
				return e
			}
		}
	}
	dc.t.Fatalf("no group of %s", model)
	return ""
}

// A head that neither the table nor a controller reaches may be open still,
// and take requests: its members must have left before they join again, or they are
// in two groups.
func TestAHeadThatIsCutOffKeepsNoMemberInTwoGroups(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	head := dc.member("large", 0)
	dc.setSuspects(head)
	dc.fleet.Set(head, fleetstandin.CutOff)
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

func TestAGroupWithALeavingMemberIsReplaced(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	draining := dc.member("large", 2)
	dc.fleet.Set(draining, fleetstandin.Leaving)
	require.Eventually(t, func() bool { return dc.fleet.Group(draining).Group == "" && dc.fleet.Open()["large"] == 1 }, timeout, 5*time.Millisecond)
	dc.requireUnbroken()
}

func TestANewControllerTakesOverGroupsThatStand(t *testing.T) {
	dc := newDataCentre(t, 9)
	stop := dc.startController("n1")
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	stop()
	orders := dc.fleet.Orders()
	dc.startController("n2")
	// The new one has the lease when it repairs; until then nothing moves.
	time.Sleep(time.Second)
	require.Equal(t, orders, dc.fleet.Orders())
	dc.fleet.Set(dc.member("small", 1), fleetstandin.Dark)
	dc.awaitOpen(1, 1)
}

// staleRows is a store whose endpoint rows stand still.
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

// Rows lag, and peers repeat what was: a controller that believes endpoints
// of open groups free must not have them join.
func TestAControllerWithOldRowsTakesNobodyFromAnOpenGroup(t *testing.T) {
	dc := newDataCentre(t, 9)
	before, err := dc.table.Read(context.Background(), fleetstandin.EndpointTable, "")
	require.NoError(t, err)
	stop := dc.startController("n1")
	dc.awaitOpen(1, 1)
	stop()
	dc.startControllerWithStore("n2", staleRows{dc.table, before})
	taken := dc.fleet.Reports()
	require.Eventually(t, func() bool { return dc.fleet.Reports() > taken }, timeout, 5*time.Millisecond)
	// It has asked the first endpoint, and goes by the answers from here on.
	time.Sleep(time.Second)
	dc.requireUnbroken()
	require.Equal(t, map[string]int{"large": 1, "small": 1}, dc.fleet.Open())
}

// A member that is cut off from the store alone does its work: its group serves
// on, and is replaced only when the member does not answer any more.
func TestAGroupServesOnWithAMemberThatIsNotListed(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startController("n1")
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	orders := dc.fleet.Orders()
	member := dc.member("large", 2)
	group := dc.fleet.Group(member).Group
	dc.fleet.Set(member, fleetstandin.Unlisted)
	time.Sleep(time.Second)
	require.Equal(t, orders, dc.fleet.Orders())
	require.Equal(t, group, dc.fleet.Group(member).Group)
	dc.fleet.Set(member, fleetstandin.Dark)
	require.Eventually(t, func() bool { return dc.fleet.Orders() > orders && dc.fleet.Open()["large"] == 1 }, timeout, 5*time.Millisecond)
	dc.requireUnbroken()
}

// A member that neither control nor the store reaches does its work as long as its
// head gives events, which it cannot without any of its members. The group ends once
// the head is silent as well.
func TestAGroupThatGivesEventsStands(t *testing.T) {
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
	dc.fleet.Set(member, fleetstandin.CutOff)
	dc.setSuspects(member)
	time.Sleep(time.Second)
	require.Equal(t, group, dc.fleet.Group(head).Group, "it stands")
	silent.Store(true)
	require.Eventually(t, func() bool { return dc.fleet.Group(head).Group != group }, timeout, 5*time.Millisecond)
	dc.requireUnbroken()
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
	dc := newDataCentre(t, 9)
	dc.startControllerWithStore("n1", laggingRows{dc.table, 60 * time.Millisecond})
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	dead := dc.member("large", 1)
	dc.fleet.Set(dead, fleetstandin.Dark)
	require.Eventually(t, func() bool { return dc.fleet.Open()["large"] == 0 }, timeout, 5*time.Millisecond)
	dc.awaitOpen(1, 1)
	require.Zero(t, dc.fleet.Refused())
}

// Orders get no answer and are carried out late, endpoints die and are cut
// off, controllers are killed and two run at once: whatever happens, no group
// opens that was not whole, and no endpoint is in two.
func TestRandomTroubleBreaksNoPromise(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			dc := newDataCentre(t, 18)
			var lateMu sync.Mutex
			lateRandom := rand.New(rand.NewPCG(seed, 2))
			dc.fleet.SetLate(func() time.Duration {
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
				switch random.IntN(6) {
				case 0:
					dc.fleet.Set(victim, fleetstandin.Dark)
				case 1:
					dc.fleet.Set(victim, fleetstandin.CutOff)
				case 2:
					dc.setSuspects(victim)
				case 3:
					dc.fleet.Set(victim, fleetstandin.Unlisted)
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

// A member is lost while the store does not answer anybody. The controller
// repairs its group all the same: endpoints take its orders. In eight seconds of outage
// two groups were lost and none formed.
func TestAGroupIsRepairedWhileTheStoreIsOut(t *testing.T) {
	dc := newDataCentre(t, 9)
	dc.startController("n1")
	dc.startController("n2")
	dc.awaitOpen(1, 1)
	dc.awaitStaged()
	dc.table.SetFaults(memtable.Faults{Down: true})
	// Longer than the lease.
	time.Sleep(3 * leaseTTL)
	dead := dc.member("large", 1)
	dc.fleet.Set(dead, fleetstandin.Dark)
	dc.setSuspects(dead)
	dc.awaitOpen(1, 1)
	// It still stands once the store is back.
	dc.table.SetFaults(memtable.Faults{})
	dc.awaitOpen(1, 1)
}

// Heads end and begin again within a fraction of a second, under the ids that they had. The
// controller took what they said for old news, and them for dead: here the groups were whole
// after 9.8 s in three runs of three, and after 1.1 s with lives told apart.
func TestMembersThatStartAgainUnderTheirIDsAreUsedAtOnce(t *testing.T) {
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
		took := time.Since(start)
		t.Logf("members of rank %d: whole again after %s", rank, took)
		require.Less(t, took, 4*time.Second, "a model loads in half a second here; a dead endpoint is left out for eight")
		dc.requireUnbroken()
	}
}

// A node that has just started may hold the lease before it has read the table of endpoints. A
// peer may bring it the rows that have changed since another life of it last heard: then it
// knows some members of groups alone, and would have them leave for want of the others. Found
// by reading; fails without the wait for a whole table.
func TestAControllerThatKnowsAPartOfTheTableEndsNothing(t *testing.T) {
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
	require.Equal(t, orders, dc.fleet.Orders(), "longer than the grace for rows that lag")
	store.available.Store(true)
	time.Sleep(time.Second)
	dc.awaitOpen(1, 1)
}

// failingReads is a store of which reads of the endpoints fail for a while.
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
