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

	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/operatorapi"
	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/lab/cluster"
	"github.com/ridgehinge/ridgehinge/lab/faultproxy"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
)

var bg = context.Background()

var stallBoth = faultproxy.Fault{StallUpstream: true, StallDownstream: true}

func withCancel() (context.Context, context.CancelFunc) { return context.WithCancel(bg) }

// Guards against an instance in two groups when a controller is frozen beyond its lease, its
// successor changes the groups, and the old controller is thawed.
func TestController_ThawedAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	c := start(t, 9, 1)
	old := c.Controller("kochi")
	other := c.OtherEntries(old)[0]
	var last control.Status
	lastOK := false
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("%s was frozen; last status of %s, responded %v: controller %s, epoch %d, age of the table's last response %.1f s", old.Name, other.Name, lastOK, last.Controller, last.Epoch, last.PlatformAge)
		}
	})
	c.Freeze(old.Process)
	c.Eventually("another takes the lease", func() bool {
		s, ok := other.Status()
		last, lastOK = s, ok
		return ok && s.Controller == other.Name
	})
	before := c.Groups("kochi")[0]
	c.Kill(member(c, before, 1))
	c.Submit(other, template(2), 1)
	c.Eventually("the successor repairs the group and adds another", func() bool { return len(other.ServingGroups("wallet")) == 2 })
	c.Thaw(old.Process)
	c.Eventually("the old controller accepts its successor", func() bool {
		s, ok := old.Status()
		return ok && s.Controller == other.Name && len(old.ServingGroups("wallet")) == 2
	})
	require.Len(t, c.Groups("kochi"), 2)
	assertComplete(t, old.Send(cluster.Chat(walletKey, "thawed", 8)), "thawed", 8)
}

// Guards against a group staying out of service when its member and the controller crash at the
// same time.
func TestController_CrashesWithMember(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	old := c.Controller("tvm")
	before := c.Groups("tvm")[0]
	c.Kill(old.Process)
	c.Kill(member(c, before, 0))
	other := c.OtherEntries(old)[0]
	c.Eventually("the group is repaired", func() bool {
		groups := other.ServingGroups("wallet")
		return len(groups) == 1 && groups[0].Generation > before.Generation
	})
	assertComplete(t, other.Send(cluster.Chat(walletKey, "after the repair", 8)), "after the repair", 8)
}

// Guards against surplus groups and leaked instances when the response to a commit that took
// effect is lost.
func TestPlatform_LosesCommitResponses(t *testing.T) {
	t.Parallel()
	c := start(t, 9, 1)
	c.SetPlatformFaults(platformstandin.Faults{LoseAnswers: 6})
	c.Submit(c.Entries[0], template(2), 1)
	c.WaitServing("kochi", "wallet", 2)
	c.WaitServing("tvm", "wallet", 2)
	require.Len(t, c.Groups("kochi"), 2)
	require.Len(t, c.Groups("tvm"), 2)
}

// During a platform outage requests are still served, and a crashed member takes its group out
// of service. The group is repaired after the outage.
func TestPlatform_Outage(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	e := c.Entries[0]
	c.SetPlatformFaults(platformstandin.Faults{Down: true})
	c.Eventually("the lease has expired", func() bool {
		s, ok := e.Status()
		return ok && s.PlatformAge > 3
	})
	for i := range 5 {
		prompt := fmt.Sprintf("during the outage %d", i)
		assertComplete(t, e.Send(cluster.Chat(walletKey, prompt, 8)), prompt, 8)
	}
	c.Kill(c.Endpoints[string(e.ServingGroups("wallet")[0].Members[1].Instance)])
	c.Eventually("the group is out of service", func() bool { return len(e.ServingGroups("wallet")) == 0 })
	c.SetPlatformFaults(platformstandin.Faults{})
	c.Eventually("the group is repaired", func() bool { return len(e.ServingGroups("wallet")) == 1 })
	assertComplete(t, e.Send(cluster.Chat(walletKey, "after the outage", 8)), "after the outage", 8)
}

// Guards against an older configuration, or none, at an entry instance that starts during a
// platform outage: it must get the current one from its peers.
func TestPlatform_OutageDuringStart(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	revision := c.Submit(c.Entries[0], strings.Replace(template(1), "deadline = 30s", "deadline = 25s", 1), 1)
	for _, e := range c.Entries {
		c.Eventually("the revision is active at "+e.Name, func() bool {
			s, ok := e.Status()
			return ok && s.Configuration == revision
		})
	}
	c.SetPlatformFaults(platformstandin.Faults{Down: true})
	e := c.Entries[1]
	c.Kill(e.Process)
	c.Restart(e.Process)
	c.Eventually("the restarted instance uses the newest configuration", func() bool {
		s, ok := e.Status()
		if !ok {
			return false
		}
		require.Contains(t, []configuration.Revision{0, revision}, s.Configuration, "an older configuration is active")
		return s.Configuration == revision && len(e.ServingGroups("wallet")) == 1
	})
	assertComplete(t, e.Send(cluster.Chat(walletKey, "fresh", 8)), "fresh", 8)
}

// A data centre that is isolated from the platform and the other data centre keeps serving, and
// applies the missed changes once it is connected again.
func TestDataCentre_Isolated(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	kochi, tvm := c.EntriesIn("kochi"), c.EntriesIn("tvm")
	cluster.Partition(tvm, c.Platform)
	cluster.Partition(tvm, cluster.Processes(kochi)...)
	cluster.Partition(kochi, cluster.Processes(tvm)...)
	revision := c.Submit(kochi[0], strings.Replace(template(1), "deadline = 30s", "deadline = 26s", 1), 1)
	c.Eventually("kochi has applied the change", func() bool {
		s, ok := kochi[1].Status()
		return ok && s.Configuration == revision
	})
	c.Eventually("tvm has detected the partition", func() bool {
		s, ok := tvm[0].Status()
		return ok && s.PlatformAge > 3
	})
	for _, e := range tvm {
		s, ok := e.Status()
		require.True(t, ok)
		assert.Less(t, s.Configuration, revision)
		assertComplete(t, e.Send(cluster.Chat(walletKey, "isolated", 8)), "isolated", 8)
	}
	cluster.Heal(tvm, c.Platform)
	cluster.Heal(tvm, cluster.Processes(kochi)...)
	cluster.Heal(kochi, cluster.Processes(tvm)...)
	for _, e := range tvm {
		c.Eventually("the change is active at "+e.Name, func() bool {
			s, ok := e.Status()
			return ok && s.Configuration == revision
		})
	}
}

// Of concurrent submissions of one template, exactly one is accepted and the others get a
// conflict with the differences. Retrying the accepted one is idempotent.
func TestSubmit_ConcurrentOperators(t *testing.T) {
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
				retry, err := e.Client().Submit("race.ini", []byte(text), 1, fmt.Sprintf("race-%d", i))
				assert.NoError(t, err)
				assert.True(t, retry.Repeated)
				assert.Equal(t, accepted.Revision, retry.Revision)
				return
			}
			conflict, ok := err.(*operatorapi.Error)
			if assert.True(t, ok, "%v", err) && assert.Equal(t, http.StatusConflict, conflict.Status, conflict.Message) {
				conflicts++
				assert.NotEmpty(t, conflict.Conflict.Theirs)
				assert.NotEmpty(t, conflict.Conflict.Yours)
			}
		})
	}
	all.Wait()
	assert.Equal(t, 1, wins)
	assert.Equal(t, 7, conflicts)
}

// A planned stop completes the streams in flight, and another instance takes over the lease.
func TestEntry_PlannedStop(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1, "-token-time", "15ms")
	e := c.Controller("kochi")
	var answers []chan cluster.Response
	for i := range 5 {
		started, answer := startStream(e, cluster.Chat(walletKey, fmt.Sprintf("stop %d", i), 200))
		<-started
		answers = append(answers, answer)
	}
	stopped := c.Terminate(e.Process)
	for i, answer := range answers {
		assertComplete(t, <-answer, fmt.Sprintf("stop %d", i), 200)
	}
	require.NoError(t, <-stopped)
	for _, other := range c.EntriesIn("kochi") {
		if other == e {
			continue
		}
		c.Eventually("another has the lease", func() bool {
			s, ok := other.Status()
			return ok && s.Controller == other.Name
		})
		assertComplete(t, other.Send(cluster.Chat(walletKey, "next", 8)), "next", 8)
	}
}

// Requests of a data centre without a complete group are forwarded to the other data centre.
func TestRequest_ForwardedToOtherDataCentre(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	c.Kill(member(c, c.Groups("tvm")[0], 0))
	e := c.EntriesIn("tvm")[0]
	c.Eventually("the group is out of service", func() bool { return len(e.ServingGroups("wallet")) == 0 })
	c.Eventually("the other data centre serves a request", func() bool {
		return e.Send(cluster.Chat(walletKey, "forwarded", 8)).Complete
	})
	for i := range 5 {
		prompt := fmt.Sprintf("forwarded %d", i)
		assertComplete(t, e.Send(cluster.Chat(walletKey, prompt, 16)), prompt, 16)
	}
}

// An entry instance that is isolated from the endpoints alone must not cause a repair of healthy
// groups, and its peer still serves.
func TestEntry_IsolatedFromEndpoints(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	e := c.EntriesIn("kochi")[0]
	var endpoints []*cluster.Process
	for i := 1; i <= 5; i++ {
		endpoints = append(endpoints, c.Endpoints[fmt.Sprintf("kochi-rack-%d", i)])
	}
	for _, p := range endpoints {
		p.Proxy.SetFault(e.Source, faultproxy.Fault{StallUpstream: true})
	}
	group := c.Groups("kochi")[0]
	other := c.EntriesIn("kochi")[1]
	assertComplete(t, other.Send(cluster.Chat(walletKey, "through the other", 8)), "through the other", 8)
	require.Equal(t, group.Generation, c.Groups("kochi")[0].Generation)
	for _, p := range endpoints {
		p.Proxy.ClearFaults()
	}
	c.Eventually("the isolated entry instance serves again", func() bool {
		a := e.Send(cluster.Chat(walletKey, "healed", 4))
		return a.Complete
	})
}

// Guards against a stalled repair when the controller is partitioned from the table in one
// direction: either its requests are not delivered, or only the responses, so that writes take
// effect.
func TestController_OneWayPartitionFromTable(t *testing.T) {
	for name, fault := range map[string]faultproxy.Fault{
		"requests lost":  {StallUpstream: true},
		"responses lost": {StallDownstream: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, 5, 1)
			old := c.Controller("kochi")
			other := c.OtherEntries(old)[0]
			before := c.Groups("kochi")[0]
			c.Platform.Proxy.SetFault(old.Source, fault)
			c.Kill(member(c, before, 1))
			c.Eventually("another repairs the group", func() bool {
				groups := other.ServingGroups("wallet")
				return len(groups) == 1 && groups[0].Generation > before.Generation
			})
			c.Eventually("the partitioned controller gets the repair from its peer", func() bool {
				groups := old.ServingGroups("wallet")
				return len(groups) == 1 && groups[0].Generation > before.Generation
			})
			c.Platform.Proxy.ClearFaults()
			c.Eventually("it accepts the new controller", func() bool {
				s, ok := old.Status()
				return ok && s.Controller == other.Name
			})
			require.Len(t, c.Groups("kochi"), 1)
			assertComplete(t, old.Send(cluster.Chat(walletKey, "one way", 8)), "one way", 8)
		})
	}
}

// Entry instances with a one-way partition between them still agree on the serving groups.
func TestEntry_OneWayPartitionBetweenPeers(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	a, b := c.EntriesIn("kochi")[0], c.EntriesIn("kochi")[1]
	a.Proxy.SetFault(b.Source, faultproxy.Fault{StallDownstream: true})
	before := c.Groups("kochi")[0]
	c.Kill(member(c, before, 2))
	for _, e := range []*cluster.Entry{a, b} {
		c.Eventually("the repaired group serves at "+e.Name, func() bool {
			groups := e.ServingGroups("wallet")
			return len(groups) == 1 && groups[0].Generation > before.Generation
		})
		assertComplete(t, e.Send(cluster.Chat(walletKey, "one-way partition", 8)), "one-way partition", 8)
	}
	a.Proxy.ClearFaults()
	require.Len(t, c.Groups("kochi"), 1)
}
