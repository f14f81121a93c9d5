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

// hall is a data centre in a test: its planner's actions are carried out at
// once, and endpoints load at once.
type hall struct {
	t       *testing.T
	planner *Planner
	view    View
	log     []string
	next    int
}

func newHall(t *testing.T, domains map[string]int, demands ...Demand) *hall {
	h := &hall{t: t, planner: New(DefaultOptions())}
	h.view.Now = start
	h.view.Demands = demands
	for _, domain := range []string{"r1", "r2", "r3"} {
		for i := range domains[domain] {
			id := fleet.InstanceID(fmt.Sprintf("%s-%02d", domain, i))
			h.view.Instances = append(h.view.Instances, Instance{
				Instance: fleet.Instance{ID: id, Domain: domain, Kind: fleet.KindEngine, Accelerators: 4, ChecksFences: true},
				Fresh:    true,
				Report:   fleet.Report{Instance: id, Incarnation: 1},
			})
		}
	}
	return h
}

func demand(name string, want int, downtime, stranded float64) Demand {
	return Demand{Template: name, Weights: name + "@1", Role: fleet.RoleMixed, Size: 4, Want: want, Soon: want, WeightDowntime: downtime, WeightStranded: stranded}
}

func (h *hall) instance(id string) *Instance {
	for i := range h.view.Instances {
		if string(h.view.Instances[i].ID) == id {
			return &h.view.Instances[i]
		}
	}
	h.t.Fatalf("no instance %s", id)
	return nil
}

// step lets time pass and carries out what the planner decides.
func (h *hall) step(pass time.Duration) []string {
	h.view.Now = h.view.Now.Add(pass)
	var log []string
	for _, a := range h.planner.Step(h.view) {
		log = append(log, h.carryOut(a))
	}
	h.checkOwners()
	h.log = append(h.log, log...)
	return log
}

func (h *hall) carryOut(a Action) string {
	if a.Kind == ActionPreload {
		h.instance(string(a.Instance)).Report.Weights = a.Weights
		return "preload " + string(a.Instance)
	}
	h.next++
	g := a.Group
	switch a.Kind {
	case ActionForm:
		g.ID = fleet.GroupID(fmt.Sprintf("g%d", h.next))
		h.view.Groups = append(h.view.Groups, g)
	case ActionEnd:
		g.Deleted = true
	}
	g.Generation = uint64(h.next)
	for i := range h.view.Groups {
		if h.view.Groups[i].ID != g.ID {
			continue
		}
		h.view.Groups[i] = g
	}
	for _, m := range g.Members {
		in := h.instance(string(m.Instance))
		if g.Deleted || !in.Fresh {
			continue
		}
		in.Report.Phase, in.Report.Group, in.Report.Generation, in.Report.Weights = fleet.PhaseReady, g.ID, g.Generation, g.Weights
	}
	return fmt.Sprintf("%s %s %s", a.Kind, g.Template, a.Reason)
}

func (h *hall) checkOwners() {
	owner := map[fleet.InstanceID]fleet.GroupID{}
	for _, g := range h.groups("") {
		for _, m := range g.Members {
			require.Empty(h.t, owner[m.Instance], "%s is in two groups", m.Instance)
			owner[m.Instance] = g.ID
			require.Equal(h.t, g.Domain, h.instance(string(m.Instance)).Domain, "a group spans two domains")
		}
	}
}

func (h *hall) groups(template string) []fleet.Group {
	var out []fleet.Group
	for _, g := range h.view.Groups {
		if !g.Deleted && (template == "" || g.Template == template) {
			out = append(out, g)
		}
	}
	return out
}

// lose takes the evidence of a member away.
func (h *hall) lose(id fleet.InstanceID) { h.instance(string(id)).Fresh = false }

func TestFormsWhatIsWanted(t *testing.T) {
	h := newHall(t, map[string]int{"r1": 5, "r2": 9}, demand("a", 2, 1000, 0.001))
	h.step(0)
	require.Len(t, h.groups("a"), 2)
	// Best fit: the small domain is filled first, the large hole stays.
	assert.Equal(t, "r1", h.groups("a")[0].Domain)
	assert.Equal(t, "r2", h.groups("a")[1].Domain)
}

func TestRepairsInPlaceWithAWarmSpare(t *testing.T) {
	h := newHall(t, map[string]int{"r1": 6}, demand("a", 1, 1000, 0.001))
	h.step(0)
	h.step(time.Second)
	assert.Contains(t, h.log, "preload r1-04")
	before := h.groups("a")[0]
	h.lose(before.Members[1].Instance)
	h.step(100 * time.Millisecond)
	assert.Equal(t, before.Members, h.groups("a")[0].Members, "the loss may be a pause")
	// The first of the two spares is cold at the moment that counts.
	h.instance("r1-04").Report.Weights = ""
	h.step(200 * time.Millisecond)
	after := h.groups("a")[0]
	assert.Equal(t, before.ID, after.ID)
	assert.Equal(t, fleet.InstanceID("r1-05"), after.Members[1].Instance, "the spare with the weights is taken")
	assert.Equal(t, before.Members[0], after.Members[0], "survivors stay")
}

// Without a warm spare a short pause costs less than a load.
func TestColdSpareWaitsLonger(t *testing.T) {
	h := newHall(t, map[string]int{"r1": 5}, demand("a", 1, 1000, 0.001))
	h.planner.options.LoadBudget = 4
	h.step(0)
	before := h.groups("a")[0]
	h.lose(before.Members[1].Instance)
	h.instance("r1-04").Report.Phase = fleet.PhaseLoading
	h.step(time.Second)
	h.step(900 * time.Millisecond)
	assert.Equal(t, before.Members, h.groups("a")[0].Members)
	h.step(2 * time.Second)
	h.step(2 * time.Second)
	assert.NotEqual(t, before.Members, h.groups("a")[0].Members)
}

func TestRestartedMemberTakesItsOldPlace(t *testing.T) {
	h := newHall(t, map[string]int{"r1": 4}, demand("a", 1, 1, 1))
	h.step(0)
	id := h.groups("a")[0].Members[2].Instance
	h.instance(string(id)).Report = fleet.Report{Instance: id, Incarnation: 2}
	h.step(time.Second)
	assert.Equal(t, fleet.Member{Instance: id, Incarnation: 2}, h.groups("a")[0].Members[2])
}

// Two groups that each lost a member become one whole group.
func TestTwoBrokenGroupsMakeOneWhole(t *testing.T) {
	h := newHall(t, map[string]int{"r1": 8}, demand("light", 1, 1, 0.001), demand("heavy", 1, 50, 0.001))
	h.step(0)
	h.lose(h.groups("light")[0].Members[0].Instance)
	h.lose(h.groups("heavy")[0].Members[0].Instance)
	h.step(time.Second)
	h.step(3 * time.Second)
	require.Len(t, h.groups("heavy"), 1)
	for _, m := range h.groups("heavy")[0].Members {
		assert.True(t, h.instance(string(m.Instance)).Fresh)
	}
	assert.Empty(t, h.groups("light"))
}

// The two users' weights make visibly different choices of the same hall:
// the wallet keeps spares, the roaster has everything serve.
func TestWeightsDecideAboutSpares(t *testing.T) {
	for _, c := range []struct {
		name               string
		downtime, stranded float64
		groups             int
	}{
		{"wallet", 1000, 0.001, 1},
		{"roaster", 1, 10, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHall(t, map[string]int{"r1": 12}, demand("a", 1, c.downtime, c.stranded))
			for range 5 {
				h.step(time.Second)
			}
			assert.Len(t, h.groups("a"), c.groups)
		})
	}
}

// A surplus group that serves gives its members up for a repair, by draining.
func TestSurplusIsDrainedForARepair(t *testing.T) {
	h := newHall(t, map[string]int{"r1": 8}, demand("a", 1, 1, 10))
	h.step(0)
	h.step(time.Second)
	require.Len(t, h.groups("a"), 2)
	h.view.Demands = []Demand{demand("a", 1, 1, 10), demand("b", 1, 100, 10)}
	log := h.step(time.Second)
	assert.Equal(t, []string{"drain a template b is short"}, log)
	for range 3 {
		h.step(3 * time.Second)
	}
	require.Len(t, h.groups("b"), 1)
	require.Len(t, h.groups("a"), 1)
}

// A version is rolled with a new group first where there is room, and the
// old one drains only then.
func TestRollKeepsCapacity(t *testing.T) {
	h := newHall(t, map[string]int{"r1": 8}, demand("a", 1, 1000, 0.001))
	h.step(0)
	h.step(time.Second)
	h.step(5 * time.Second)
	next := demand("a", 1, 1000, 0.001)
	next.Weights = "a@2"
	h.view.Demands = []Demand{next}
	assert.Equal(t, []string{"form a it brings the new version"}, h.step(time.Second)[:1])
	// The other entry instances may see the new group some seconds later than
	// the controller does.
	assert.Empty(t, h.step(time.Second))
	assert.Empty(t, h.step(2*time.Second))
	assert.Equal(t, []string{"drain a a newer version serves"}, h.step(2 * time.Second)[:1])
	for range 3 {
		h.step(5 * time.Second)
	}
	require.Len(t, h.groups("a"), 1)
	assert.Equal(t, "a@2", h.groups("a")[0].Weights)
}

func TestLeavingMemberIsReplacedWithoutACut(t *testing.T) {
	h := newHall(t, map[string]int{"r1": 8}, demand("a", 1, 1000, 0.001))
	h.step(0)
	old := h.groups("a")[0]
	h.instance(string(old.Leader())).Report.Load = 1
	h.instance(string(old.Members[3].Instance)).Draining = true
	h.step(time.Second)
	for range 4 {
		h.step(10 * time.Second)
	}
	require.Len(t, h.groups("a"), 2, "the old group still has a request")
	h.instance(string(old.Leader())).Report.Load = 0
	h.step(10 * time.Second)
	require.Len(t, h.groups("a"), 1)
	assert.NotEqual(t, old.ID, h.groups("a")[0].ID)
}

func TestLoadBudget(t *testing.T) {
	h := newHall(t, map[string]int{"r1": 12, "r2": 12}, demand("a", 6, 1, 1))
	h.planner.options.LoadBudget = 8
	log := h.step(0)
	assert.Len(t, log, 2, "eight loads at once are two groups of four")
}

// Short capacity goes to the heavier template first, but not only to it.
func TestScarceCapacity(t *testing.T) {
	h := newHall(t, map[string]int{"r1": 12}, demand("a", 3, 1, 1), demand("b", 3, 2, 1))
	h.step(0)
	assert.Len(t, h.groups("b"), 2)
	assert.Len(t, h.groups("a"), 1)
}

// Nothing changes while nothing changes: a steady view gives no actions.
func TestNoChurn(t *testing.T) {
	h := newHall(t, map[string]int{"r1": 13, "r2": 7}, demand("a", 2, 1000, 0.001), demand("b", 1, 1, 10))
	for range 20 {
		h.step(time.Second)
	}
	before := len(h.log)
	for range 600 {
		h.step(time.Second)
	}
	assert.Equal(t, before, len(h.log), "%v", h.log[before:])
}
