package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

var start = time.Unix(1_000_000, 0)

// testDataCentre applies the planner's actions at once, and its endpoints load at once.
type testDataCentre struct {
	t       *testing.T
	planner *Planner
	view    View
	log     []string
	next    int
}

func newDataCentre(t *testing.T, domains map[string]int, demands ...Demand) *testDataCentre {
	dc := &testDataCentre{t: t, planner: New(DefaultOptions())}
	dc.view.Now = start
	dc.view.Demands = demands
	for _, domain := range []string{"r1", "r2", "r3"} {
		for i := range domains[domain] {
			id := fleet.InstanceID(fmt.Sprintf("%s-%02d", domain, i))
			dc.view.Instances = append(dc.view.Instances, Instance{
				Instance: fleet.Instance{ID: id, Domain: domain, Kind: fleet.KindEngine, Accelerators: 4, ChecksFences: true},
				Fresh:    true,
				Report:   fleet.Report{Instance: id, Incarnation: 1},
			})
		}
	}
	return dc
}

func demand(name string, want int, downtime, stranded float64) Demand {
	return Demand{Template: name, Weights: name + "@1", Role: fleet.RoleMixed, Size: 4, Want: want, Soon: want, WeightDowntime: downtime, WeightStranded: stranded}
}

func (dc *testDataCentre) instance(id string) *Instance {
	for i := range dc.view.Instances {
		if string(dc.view.Instances[i].ID) == id {
			return &dc.view.Instances[i]
		}
	}
	dc.t.Fatalf("no instance %s", id)
	return nil
}

// step advances the clock and applies the planner's actions.
func (dc *testDataCentre) step(pass time.Duration) []string {
	dc.view.Now = dc.view.Now.Add(pass)
	var log []string
	for _, a := range dc.planner.Step(dc.view) {
		log = append(log, dc.apply(a))
	}
	dc.checkOwners()
	dc.log = append(dc.log, log...)
	return log
}

func (dc *testDataCentre) apply(a Action) string {
	if a.Kind == ActionPreload {
		dc.instance(string(a.Instance)).Report.Weights = a.Weights
		return "preload " + string(a.Instance)
	}
	dc.next++
	g := a.Group
	switch a.Kind {
	case ActionForm:
		g.ID = fleet.GroupID(fmt.Sprintf("g%d", dc.next))
		dc.view.Groups = append(dc.view.Groups, g)
	case ActionDissolve:
		g.Deleted = true
	}
	g.Generation = uint64(dc.next)
	for i := range dc.view.Groups {
		if dc.view.Groups[i].ID != g.ID {
			continue
		}
		dc.view.Groups[i] = g
	}
	for _, m := range g.Members {
		in := dc.instance(string(m.Instance))
		if g.Deleted || !in.Fresh {
			continue
		}
		in.Report.Phase, in.Report.Group, in.Report.Generation, in.Report.Weights = fleet.PhaseReady, g.ID, g.Generation, g.Weights
	}
	return fmt.Sprintf("%s %s %s", a.Kind, g.Template, a.Reason)
}

func (dc *testDataCentre) checkOwners() {
	owner := map[fleet.InstanceID]fleet.GroupID{}
	for _, g := range dc.groups("") {
		for _, m := range g.Members {
			require.Empty(dc.t, owner[m.Instance], "%s is in two groups", m.Instance)
			owner[m.Instance] = g.ID
			require.Equal(dc.t, g.Domain, dc.instance(string(m.Instance)).Domain, "a group spans two domains")
		}
	}
}

func (dc *testDataCentre) groups(template string) []fleet.Group {
	var out []fleet.Group
	for _, g := range dc.view.Groups {
		if !g.Deleted && (template == "" || g.Template == template) {
			out = append(out, g)
		}
	}
	return out
}

// expire marks the evidence for an instance as expired.
func (dc *testDataCentre) expire(id fleet.InstanceID) { dc.instance(string(id)).Fresh = false }

func TestStep_FormsGroupsByBestFit(t *testing.T) {
	dc := newDataCentre(t, map[string]int{"r1": 5, "r2": 9}, demand("a", 2, 1000, 0.001))
	dc.step(0)
	require.Len(t, dc.groups("a"), 2)
	// The small domain is filled first, which leaves room in the large one.
	assert.Equal(t, "r1", dc.groups("a")[0].Domain)
	assert.Equal(t, "r2", dc.groups("a")[1].Domain)
}

func TestStep_RepairsInPlaceWithWarmSpare(t *testing.T) {
	dc := newDataCentre(t, map[string]int{"r1": 6}, demand("a", 1, 1000, 0.001))
	dc.step(0)
	dc.step(time.Second)
	assert.Contains(t, dc.log, "preload r1-04")
	before := dc.groups("a")[0]
	dc.expire(before.Members[1].Instance)
	dc.step(100 * time.Millisecond)
	assert.Equal(t, before.Members, dc.groups("a")[0].Members, "the member is replaced only after its grace")
	// The first of the two spares is cold when the member is replaced.
	dc.instance("r1-04").Report.Weights = ""
	dc.step(200 * time.Millisecond)
	after := dc.groups("a")[0]
	assert.Equal(t, before.ID, after.ID)
	assert.Equal(t, fleet.InstanceID("r1-05"), after.Members[1].Instance, "the warm spare must be used")
	assert.Equal(t, before.Members[0], after.Members[0], "remaining members must stay")
}

// Guards against a load where waiting for a short pause costs less.
func TestStep_WaitsLongerWithColdSpare(t *testing.T) {
	dc := newDataCentre(t, map[string]int{"r1": 5}, demand("a", 1, 1000, 0.001))
	dc.planner.options.LoadBudget = 4
	dc.step(0)
	before := dc.groups("a")[0]
	dc.expire(before.Members[1].Instance)
	dc.instance("r1-04").Report.Phase = fleet.PhaseLoading
	dc.step(time.Second)
	dc.step(900 * time.Millisecond)
	assert.Equal(t, before.Members, dc.groups("a")[0].Members)
	dc.step(2 * time.Second)
	dc.step(2 * time.Second)
	assert.NotEqual(t, before.Members, dc.groups("a")[0].Members)
}

func TestStep_RestartedMemberRejoinsItsGroup(t *testing.T) {
	dc := newDataCentre(t, map[string]int{"r1": 4}, demand("a", 1, 1, 1))
	dc.step(0)
	id := dc.groups("a")[0].Members[2].Instance
	dc.instance(string(id)).Report = fleet.Report{Instance: id, Incarnation: 2}
	dc.step(time.Second)
	assert.Equal(t, fleet.Member{Instance: id, Incarnation: 2}, dc.groups("a")[0].Members[2])
}

// Guards against two broken groups of a domain that both stay down: one must use the other's
// remaining members.
func TestStep_RepairsFromAnotherBrokenGroup(t *testing.T) {
	dc := newDataCentre(t, map[string]int{"r1": 8}, demand("light", 1, 1, 0.001), demand("heavy", 1, 50, 0.001))
	dc.step(0)
	dc.expire(dc.groups("light")[0].Members[0].Instance)
	dc.expire(dc.groups("heavy")[0].Members[0].Instance)
	dc.step(time.Second)
	dc.step(3 * time.Second)
	require.Len(t, dc.groups("heavy"), 1)
	for _, m := range dc.groups("heavy")[0].Members {
		assert.True(t, dc.instance(string(m.Instance)).Fresh)
	}
	assert.Empty(t, dc.groups("light"))
}

// A high downtime weight must keep spares, and a high weight of stranded accelerators must
// have all instances serve.
func TestStep_WeightsDecideOnSpares(t *testing.T) {
	for _, c := range []struct {
		name               string
		downtime, stranded float64
		groups             int
	}{
		{"high downtime weight", 1000, 0.001, 1},
		{"high stranded weight", 1, 10, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			dc := newDataCentre(t, map[string]int{"r1": 12}, demand("a", 1, c.downtime, c.stranded))
			for range 5 {
				dc.step(time.Second)
			}
			assert.Len(t, dc.groups("a"), c.groups)
		})
	}
}

// A serving surplus group must be drained for another template.
func TestStep_DrainsSurplusForAnotherTemplate(t *testing.T) {
	dc := newDataCentre(t, map[string]int{"r1": 8}, demand("a", 1, 1, 10))
	dc.step(0)
	dc.step(time.Second)
	require.Len(t, dc.groups("a"), 2)
	dc.view.Demands = []Demand{demand("a", 1, 1, 10), demand("b", 1, 100, 10)}
	log := dc.step(time.Second)
	assert.Equal(t, []string{"drain a template b is below its target"}, log)
	for range 3 {
		dc.step(3 * time.Second)
	}
	require.Len(t, dc.groups("b"), 1)
	require.Len(t, dc.groups("a"), 1)
}

// Guards against loss of capacity during a rollout: the old group drains only after the new
// one serves.
func TestStep_RolloutKeepsCapacity(t *testing.T) {
	dc := newDataCentre(t, map[string]int{"r1": 8}, demand("a", 1, 1000, 0.001))
	dc.step(0)
	dc.step(time.Second)
	dc.step(5 * time.Second)
	next := demand("a", 1, 1000, 0.001)
	next.Weights = "a@2"
	dc.view.Demands = []Demand{next}
	assert.Equal(t, []string{"form a rollout of a new version"}, dc.step(time.Second)[:1])
	// Other entry instances may see the new group some seconds after the controller.
	assert.Empty(t, dc.step(time.Second))
	assert.Empty(t, dc.step(2*time.Second))
	assert.Equal(t, []string{"drain a a newer version is serving"}, dc.step(2 * time.Second)[:1])
	for range 3 {
		dc.step(5 * time.Second)
	}
	require.Len(t, dc.groups("a"), 1)
	assert.Equal(t, "a@2", dc.groups("a")[0].Weights)
}

func TestStep_DrainsBeforeReplacingDrainingMember(t *testing.T) {
	dc := newDataCentre(t, map[string]int{"r1": 8}, demand("a", 1, 1000, 0.001))
	dc.step(0)
	old := dc.groups("a")[0]
	dc.instance(string(old.Leader())).Report.Load = 1
	dc.instance(string(old.Members[3].Instance)).Draining = true
	dc.step(time.Second)
	for range 4 {
		dc.step(10 * time.Second)
	}
	require.Len(t, dc.groups("a"), 2, "the old group still has a request")
	dc.instance(string(old.Leader())).Report.Load = 0
	dc.step(10 * time.Second)
	require.Len(t, dc.groups("a"), 1)
	assert.NotEqual(t, old.ID, dc.groups("a")[0].ID)
}

func TestStep_RespectsLoadBudget(t *testing.T) {
	dc := newDataCentre(t, map[string]int{"r1": 12, "r2": 12}, demand("a", 6, 1, 1))
	dc.planner.options.LoadBudget = 8
	log := dc.step(0)
	assert.Len(t, log, 2, "eight loads at once allow two groups of four")
}

// Scarce instances go to the heavier template first, but not only to it.
func TestStep_SharesScarceCapacityByWeight(t *testing.T) {
	dc := newDataCentre(t, map[string]int{"r1": 12}, demand("a", 3, 1, 1), demand("b", 3, 2, 1))
	dc.step(0)
	assert.Len(t, dc.groups("b"), 2)
	assert.Len(t, dc.groups("a"), 1)
}

// Guards against churn: a steady view must yield no actions.
func TestStep_NoChurn(t *testing.T) {
	dc := newDataCentre(t, map[string]int{"r1": 13, "r2": 7}, demand("a", 2, 1000, 0.001), demand("b", 1, 1, 10))
	for range 20 {
		dc.step(time.Second)
	}
	before := len(dc.log)
	for range 600 {
		dc.step(time.Second)
	}
	assert.Equal(t, before, len(dc.log), "%v", dc.log[before:])
}
