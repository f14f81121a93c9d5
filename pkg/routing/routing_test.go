package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

var now = time.Unix(1000, 0)

func target(id string, load int) Target {
	return Target{Group: fleet.GroupID(id), Generation: 1, Pool: "p", Slots: 4, Load: load, ReportVersion: 1, CompleteAt: now, Until: now.Add(time.Second)}
}

func TestChoose_IgnoresExpiredTargets(t *testing.T) {
	r := New()
	r.SetTargets([]Target{target("a", 0)})
	_, ok := r.Choose(now.Add(time.Second-1), Request{Pool: "p"})
	assert.True(t, ok)
	_, ok = r.Choose(now.Add(time.Second), Request{Pool: "p"})
	assert.False(t, ok, "the evidence has expired")
	_, ok = r.Choose(now, Request{Pool: "other"})
	assert.False(t, ok)
}

func TestChoose_ExcludesFailedTargets(t *testing.T) {
	r := New()
	failed := []Failure{{Group: "a", Generation: 1, At: now}}
	for _, c := range []struct {
		name   string
		change func(*Target)
		want   bool
	}{
		{"same evidence", func(*Target) {}, false},
		{"complete since", func(t *Target) { t.CompleteAt = now.Add(1) }, true},
		{"new generation", func(t *Target) { t.Generation = 2 }, true},
	} {
		x := target("a", 0)
		c.change(&x)
		r.SetTargets([]Target{x})
		_, ok := r.Choose(now, Request{Pool: "p", Failed: failed})
		assert.Equal(t, c.want, ok, c.name)
	}
}

func TestChoose_PrefersLowerLoad(t *testing.T) {
	r := New()
	r.SetTargets([]Target{target("idle", 0), target("busy", 12)})
	counts := map[fleet.GroupID]int{}
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		got, ok := r.Choose(now, Request{Pool: "p", Random: random.Uint64()})
		require.True(t, ok)
		counts[got.Group]++
	}
	assert.Equal(t, 100, counts["idle"])
}

func TestChoose_BoundsPrefixAffinity(t *testing.T) {
	r := New()
	r.SetTargets([]Target{target("a", 0), target("b", 0)})
	first, _ := r.Choose(now, Request{Pool: "p", Prefix: 7, Random: 1})
	for i := range 4 {
		again, _ := r.Choose(now, Request{Pool: "p", Prefix: 7, Random: uint64(i)})
		assert.Equal(t, first.Group, again.Group)
		r.Started(again.Group)
	}
	// All its slots are taken now, and the other group is idle.
	other, _ := r.Choose(now, Request{Pool: "p", Prefix: 7, Random: 0})
	assert.NotEqual(t, first.Group, other.Group)
}

func TestChoose_AvoidsFailingGroup(t *testing.T) {
	r := New()
	r.SetTargets([]Target{target("a", 0), target("b", 0)})
	r.Started("a")
	r.Finished(now, "a", time.Millisecond, false)
	for i := range uint64(20) {
		got, _ := r.Choose(now, Request{Pool: "p", Random: i})
		assert.Equal(t, fleet.GroupID("b"), got.Group)
	}
	// A failing group is used if there is no other.
	r.SetTargets([]Target{target("a", 0)})
	_, ok := r.Choose(now, Request{Pool: "p"})
	assert.True(t, ok)
}

// A group that is slow without failing must be avoided.
func TestChoose_AvoidsSlowGroup(t *testing.T) {
	r := New()
	r.SetTargets([]Target{target("quick", 0), target("slow", 0)})
	for range 30 {
		r.Started("slow")
		r.Finished(now, "slow", 3*time.Second, true)
	}
	got, _ := r.Choose(now, Request{Pool: "p", Random: 0})
	assert.Equal(t, fleet.GroupID("quick"), got.Group)
	got, _ = r.Choose(now, Request{Pool: "p", Random: 1})
	assert.Equal(t, fleet.GroupID("quick"), got.Group)
}

// Nodes with the same outdated reports must not all choose the same group.
func TestChoose_SpreadsAcrossNodes(t *testing.T) {
	var targets []Target
	for i := range 10 {
		targets = append(targets, target(fmt.Sprint(i), i%3))
	}
	random := rand.New(rand.NewPCG(3, 3))
	counts := map[fleet.GroupID]int{}
	for range 9 {
		r := New()
		r.SetTargets(targets)
		for range 20 {
			got, _ := r.Choose(now, Request{Pool: "p", Random: random.Uint64()})
			r.Started(got.Group)
			counts[got.Group]++
		}
	}
	for id, n := range counts {
		assert.Less(t, n, 40, "group %s has %d of 180", id, n)
	}
}

func ExampleRouter() {
	r := New()
	until := now.Add(time.Second)
	r.SetTargets([]Target{{Group: "g1", Pool: "model/letters", Slots: 8, Address: "10.0.0.1:80", Until: until}})
	t, ok := r.Choose(now, Request{Pool: "model/letters", Random: 42})
	fmt.Println(t.Address, ok)
	// Output: 10.0.0.1:80 true
}
