package integration

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/operatorapi"
	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/lab/cluster"
	"github.com/ridgehinge/ridgehinge/lab/faultproxy"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
)

var bg = context.Background()

var cutBoth = faultproxy.Fault{HoldUp: true, HoldDown: true}

func withCancel() (context.Context, context.CancelFunc) { return context.WithCancel(bg) }

// A controller that is frozen past its lease wakes up and still believes that
// it holds it. Its successor has changed the groups meanwhile; no instance
// comes to be in two of them.
func TestControllerFrozen(t *testing.T) {
	t.Parallel()
	c := start(t, 9, 1)
	old := c.Controller("kochi")
	other := c.Others(old)[0]
	c.Freeze(old.Process)
	c.Eventually("another takes the lease", func() bool {
		s, ok := other.Status()
		return ok && s.Controller == other.Name
	})
	before := c.Groups("kochi")[0]
	c.Kill(member(c, before, 1))
	c.Submit(other, template(2), 1)
	c.Eventually("the successor repairs and grows", func() bool { return len(other.Serving("wallet")) == 2 })
	c.Thaw(old.Process)
	c.Eventually("the old controller follows", func() bool {
		s, ok := old.Status()
		return ok && s.Controller == other.Name && len(old.Serving("wallet")) == 2
	})
	require.Len(t, c.Groups("kochi"), 2)
	assertWhole(t, old.Send(cluster.Chat(walletKey, "awake", 8)), "awake", 8)
}

// A controller that is killed is replaced, and the group that lost a member
// at the same moment is repaired.
func TestControllerAndMemberKilled(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	old := c.Controller("tvm")
	before := c.Groups("tvm")[0]
	c.Kill(old.Process)
	c.Kill(member(c, before, 0))
	other := c.Others(old)[0]
	c.Eventually("the group is repaired", func() bool {
		groups := other.Serving("wallet")
		return len(groups) == 1 && groups[0].Generation > before.Generation
	})
	assertWhole(t, other.Send(cluster.Chat(walletKey, "go on", 8)), "go on", 8)
}

// Answers of the table that are lost after the write took effect lead to no
// second group and leak no instance.
func TestLostCommitAnswers(t *testing.T) {
	t.Parallel()
	c := start(t, 9, 1)
	c.SetPlatformFaults(platformstandin.Faults{LoseAnswers: 6})
	c.Submit(c.Entries[0], template(2), 1)
	c.WaitServing("kochi", "wallet", 2)
	c.WaitServing("tvm", "wallet", 2)
	require.Len(t, c.Groups("kochi"), 2)
	require.Len(t, c.Groups("tvm"), 2)
}

// With the platform out, requests go on being served, and a member's loss
// still takes its group out of service. When the platform is back, the group
// is repaired.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	e := c.Entries[0]
	c.SetPlatformFaults(platformstandin.Faults{Down: true})
	c.Eventually("the lease has lapsed", func() bool {
		s, ok := e.Status()
		return ok && s.PlatformAge > 3
	})
	for i := range 5 {
		prompt := fmt.Sprintf("in the dark %d", i)
		assertWhole(t, e.Send(cluster.Chat(walletKey, prompt, 8)), prompt, 8)
	}
	c.Kill(c.Endpoints[string(e.Serving("wallet")[0].Members[1].Instance)])
	c.Eventually("the group is out of service", func() bool { return len(e.Serving("wallet")) == 0 })
	c.SetPlatformFaults(platformstandin.Faults{})
	c.Eventually("the group is repaired", func() bool { return len(e.Serving("wallet")) == 1 })
	assertWhole(t, e.Send(cluster.Chat(walletKey, "light again", 8)), "light again", 8)
}

// An entry instance that starts while the platform is out learns from its
// peers what is in force and serves it.
func TestStartWhilePlatformOut(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	revision := c.Submit(c.Entries[0], strings.Replace(template(1), "deadline = 30s", "deadline = 25s", 1), 1)
	for _, e := range c.Entries {
		c.Eventually("the revision is in force at "+e.Name, func() bool {
			s, ok := e.Status()
			return ok && s.Configuration == revision
		})
	}
	c.SetPlatformFaults(platformstandin.Faults{Down: true})
	e := c.Entries[1]
	c.Kill(e.Process)
	c.Restart(e.Process)
	c.Eventually("the fresh instance serves the newest configuration", func() bool {
		s, ok := e.Status()
		if !ok {
			return false
		}
		require.Contains(t, []configuration.Revision{0, revision}, s.Configuration, "an older configuration is in force")
		return s.Configuration == revision && len(e.Serving("wallet")) == 1
	})
	assertWhole(t, e.Send(cluster.Chat(walletKey, "fresh", 8)), "fresh", 8)
}

// A data centre that is cut off from the platform and from the other one goes
// on serving, and takes the changes that it missed when it is back.
func TestDataCentreCut(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	kochi, tvm := c.In("kochi"), c.In("tvm")
	cluster.Cut(tvm, c.Platform)
	cluster.Cut(tvm, cluster.Processes(kochi)...)
	cluster.Cut(kochi, cluster.Processes(tvm)...)
	revision := c.Submit(kochi[0], strings.Replace(template(1), "deadline = 30s", "deadline = 26s", 1), 1)
	c.Eventually("kochi has the change", func() bool {
		s, ok := kochi[1].Status()
		return ok && s.Configuration == revision
	})
	c.Eventually("tvm has noticed the cut", func() bool {
		s, ok := tvm[0].Status()
		return ok && s.PlatformAge > 3
	})
	for _, e := range tvm {
		s, ok := e.Status()
		require.True(t, ok)
		assert.Less(t, s.Configuration, revision)
		assertWhole(t, e.Send(cluster.Chat(walletKey, "alone", 8)), "alone", 8)
	}
	cluster.Heal(tvm, c.Platform)
	cluster.Heal(tvm, cluster.Processes(kochi)...)
	cluster.Heal(kochi, cluster.Processes(tvm)...)
	for _, e := range tvm {
		c.Eventually("the change is in force at "+e.Name, func() bool {
			s, ok := e.Status()
			return ok && s.Configuration == revision
		})
	}
}

// Operators who race each other on one template: one wins, the others are
// shown what was changed. Repeating a submission changes nothing.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	var wins, conflicts int
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			e := c.Entries[i%len(c.Entries)]
			text := strings.Replace(template(1), "deadline = 30s", fmt.Sprintf("deadline = %ds", 40+i), 1)
			accepted, err := e.Client().Submit("race.ini", []byte(text), 1, fmt.Sprintf("race-%d", i))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				wins++
				again, err := e.Client().Submit("race.ini", []byte(text), 1, fmt.Sprintf("race-%d", i))
				assert.NoError(t, err)
				assert.True(t, again.Repeated)
				assert.Equal(t, accepted.Revision, again.Revision)
				return
			}
			refused, ok := err.(*operatorapi.Error)
			if assert.True(t, ok, "%v", err) && assert.Equal(t, http.StatusConflict, refused.Status, refused.Message) {
				conflicts++
				assert.NotEmpty(t, refused.Conflict.Theirs)
				assert.NotEmpty(t, refused.Conflict.Yours)
			}
		})
	}
	all.Wait()
	assert.Equal(t, 1, wins)
	assert.Equal(t, 7, conflicts)
}

// An entry instance that stops finishes what it has, and others see it go.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1, "-token-time", "15ms")
	e := c.Controller("kochi")
	var answers []chan cluster.Answer
	for i := range 5 {
		begun, answer := stream(e, cluster.Chat(walletKey, fmt.Sprintf("stop %d", i), 200))
		<-begun
		answers = append(answers, answer)
	}
	stopped := c.Terminate(e.Process)
	for i, answer := range answers {
		assertWhole(t, <-answer, fmt.Sprintf("stop %d", i), 200)
	}
	require.NoError(t, <-stopped)
	for _, other := range c.In("kochi") {
		if other == e {
			continue
		}
		c.Eventually("another has the lease", func() bool {
			s, ok := other.Status()
			return ok && s.Controller == other.Name
		})
		assertWhole(t, other.Send(cluster.Chat(walletKey, "next", 8)), "next", 8)
	}
}

// A data centre without a whole group has its requests run in the other one,
// through an entry instance there.
func TestForwarded(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	c.Kill(member(c, c.Groups("tvm")[0], 0))
	e := c.In("tvm")[0]
	c.Eventually("the group is out of service", func() bool { return len(e.Serving("wallet")) == 0 })
	c.Eventually("a request is served by the other data centre", func() bool {
		return e.Send(cluster.Chat(walletKey, "far away", 8)).Whole
	})
	for i := range 5 {
		prompt := fmt.Sprintf("far away %d", i)
		assertWhole(t, e.Send(cluster.Chat(walletKey, prompt, 16)), prompt, 16)
	}
}

// One entry instance is cut off from the endpoints only: it must not go on
// sending to groups on old evidence of its own, but its peers' evidence is as
// good.
func TestWatcherCut(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	e := c.In("kochi")[0]
	var endpoints []*cluster.Process
	for i := 1; i <= 5; i++ {
		endpoints = append(endpoints, c.Endpoints[fmt.Sprintf("kochi-rack-%d", i)])
	}
	for _, p := range endpoints {
		p.Proxy.Set(e.Source, faultproxy.Fault{HoldUp: true})
	}
	group := c.Groups("kochi")[0]
	other := c.In("kochi")[1]
	assertWhole(t, other.Send(cluster.Chat(walletKey, "through the other", 8)), "through the other", 8)
	require.Equal(t, group.Generation, c.Groups("kochi")[0].Generation)
	for _, p := range endpoints {
		p.Proxy.Heal()
	}
	c.Eventually("it serves again", func() bool {
		a := e.Send(cluster.Chat(walletKey, "healed", 4))
		return a.Whole
	})
}

// The controller is cut off from the table in one direction only: either its
// questions do not arrive, or the answers do not, though writes take effect.
func TestOneWayCutFromTheTable(t *testing.T) {
	for name, fault := range map[string]faultproxy.Fault{
		"questions held": {HoldUp: true},
		"answers held":   {HoldDown: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, 5, 1)
			old := c.Controller("kochi")
			other := c.Others(old)[0]
			before := c.Groups("kochi")[0]
			c.Platform.Proxy.Set(old.Source, fault)
			c.Kill(member(c, before, 1))
			c.Eventually("another repairs the group", func() bool {
				groups := other.Serving("wallet")
				return len(groups) == 1 && groups[0].Generation > before.Generation
			})
			c.Eventually("the cut controller learns of it from its peer", func() bool {
				groups := old.Serving("wallet")
				return len(groups) == 1 && groups[0].Generation > before.Generation
			})
			c.Platform.Proxy.Heal()
			c.Eventually("it follows the new controller", func() bool {
				s, ok := old.Status()
				return ok && s.Controller == other.Name
			})
			require.Len(t, c.Groups("kochi"), 1)
			assertWhole(t, old.Send(cluster.Chat(walletKey, "one way", 8)), "one way", 8)
		})
	}
}

// Entry instances that hear each other in one direction only still agree on
// what serves.
func TestOneWayCutBetweenPeers(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	a, b := c.In("kochi")[0], c.In("kochi")[1]
	a.Proxy.Set(b.Source, faultproxy.Fault{HoldDown: true})
	before := c.Groups("kochi")[0]
	c.Kill(member(c, before, 2))
	for _, e := range []*cluster.Entry{a, b} {
		c.Eventually("the repaired group serves at "+e.Name, func() bool {
			groups := e.Serving("wallet")
			return len(groups) == 1 && groups[0].Generation > before.Generation
		})
		assertWhole(t, e.Send(cluster.Chat(walletKey, "half deaf", 8)), "half deaf", 8)
	}
	a.Proxy.Heal()
	require.Len(t, c.Groups("kochi"), 1)
}
