package integration

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/lab/cluster"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// member returns the process of one member of a group.
func member(c *cluster.Cluster, g fleet.Group, rank int) *cluster.Process {
	return c.Endpoints[string(g.Members[rank].Instance)]
}

// startStream sends a streaming call in the background; started is closed at the first token.
func startStream(e *cluster.Entry, call cluster.Call) (started chan struct{}, answer chan cluster.Response) {
	started = make(chan struct{})
	answer = make(chan cluster.Response, 1)
	var once sync.Once
	go func() {
		answer <- e.SendContext(bg, call, func(string) { once.Do(func() { close(started) }) })
	}()
	return started, answer
}

// assertComplete checks that a response is the complete response to the prompt.
func assertComplete(t *testing.T, a cluster.Response, prompt string, tokens int) {
	t.Helper()
	require.NoError(t, a.Err)
	require.Equal(t, 200, a.Status, a.Body)
	assert.True(t, a.Complete, "the stream is incomplete: %s", a.Body)
	assert.Equal(t, cluster.ExpectedText(prompt, tokens), a.Text)
}

// When a member crashes or freezes, the group is repaired with a spare and streams in flight
// complete.
func TestMember_CrashesOrFreezes(t *testing.T) {
	for _, fault := range []struct {
		name string
		rank int
		harm func(*cluster.Cluster, *cluster.Process)
	}{
		{"killed", 1, (*cluster.Cluster).Kill},
		{"leader killed", 0, (*cluster.Cluster).Kill},
		{"frozen", 2, (*cluster.Cluster).Freeze},
		{"leader frozen", 0, (*cluster.Cluster).Freeze},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			c := start(t, 5, 1, "-token-time", "20ms")
			e := c.Entries[0]
			before := c.Groups("kochi")[0]
			prompt := "a long explanation, " + fault.name
			started, answer := startStream(e, cluster.Chat(walletKey, prompt, 300))
			<-started
			victim := member(c, before, fault.rank)
			fault.harm(c, victim)
			c.Eventually("the group is repaired", func() bool {
				groups := e.ServingGroups("wallet")
				return len(groups) == 1 && groups[0].Generation > before.Generation &&
					!groups[0].Has(fleet.InstanceID(victim.Name))
			})
			assertComplete(t, <-answer, prompt, 300)
			assertComplete(t, e.Send(cluster.Chat(walletKey, "and after", 8)), "and after", 8)
		})
	}
}

// Guards against a frozen member joining its former group again when it is thawed after the
// repair: it must be released.
func TestMember_ThawedAfterRepair(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	before := c.Groups("kochi")[0]
	victim := member(c, before, 1)
	c.Freeze(victim)
	c.Eventually("the group is repaired", func() bool {
		groups := c.Entries[0].ServingGroups("wallet")
		return len(groups) == 1 && groups[0].Generation > before.Generation
	})
	c.Thaw(victim)
	c.Eventually("the old member is released", func() bool {
		return c.Report(victim).Group == ""
	})
	groups := c.Groups("kochi")
	require.Len(t, groups, 1)
	assert.False(t, groups[0].Has(fleet.InstanceID(victim.Name)))
	assertComplete(t, c.Entries[0].Send(cluster.Chat(walletKey, "still here?", 8)), "still here?", 8)
}

// Guards against a member that restarts quickly being taken for its former incarnation, although
// it no longer has the model loaded.
func TestMember_Restarts(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	before := c.Groups("kochi")[0]
	victim := member(c, before, 3)
	c.Kill(victim)
	c.Restart(victim)
	c.Eventually("the group is complete with the new incarnation", func() bool {
		groups := c.Entries[0].ServingGroups("wallet")
		return len(groups) == 1 && groups[0].Generation > before.Generation
	})
	assertComplete(t, c.Entries[0].Send(cluster.Chat(walletKey, "back", 8)), "back", 8)
}

// Without a complete group or a spare, a request is rejected as not run with Retry-After, and
// has not run.
func TestRequest_RejectedWithoutGroup(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	// A member crashes in both data centres, so that requests cannot be forwarded.
	for _, dc := range []string{"kochi", "tvm"} {
		c.Kill(member(c, c.Groups(dc)[0], 2))
	}
	e := c.Entries[0]
	// Until the other data centre has detected its own crash, requests may be forwarded to it.
	c.WaitServing("kochi", "wallet", 0)
	c.WaitServing("tvm", "wallet", 0)
	for i := range 10 {
		call := cluster.Chat(walletKey, "no group", 8)
		key := fmt.Sprintf("rejected-%d", i)
		call.Header = map[string]string{"Idempotency-Key": key}
		a := e.Send(call)
		assert.Equal(t, 503, a.Status, a.Body)
		assert.Equal(t, "not-run", a.Outcome)
		assert.NotEmpty(t, a.RetryAfter)
		assert.Zero(t, c.Runs(key))
	}
}

// A draining endpoint gets no new requests, its group's streams complete, and a new group takes
// over.
func TestEndpoint_Draining(t *testing.T) {
	for _, by := range []string{"itself", "the platform"} {
		t.Run(by, func(t *testing.T) {
			t.Parallel()
			c := start(t, 8, 1, "-token-time", "20ms")
			e := c.Entries[0]
			before := c.Groups("kochi")[0]
			leader := member(c, before, 0)
			call := cluster.Chat(walletKey, "while draining", 200)
			call.Header = map[string]string{"Idempotency-Key": "draining-stream"}
			started, answer := startStream(e, call)
			<-started
			if by == "itself" {
				c.StartDraining(leader)
			} else {
				in := c.Instance(leader.Name)
				in.Draining = true
				c.PutInstance(in)
			}
			c.Eventually("another group has taken over", func() bool {
				groups := e.ServingGroups("wallet")
				return len(groups) == 1 && groups[0].ID != before.ID
			})
			for i := range 10 {
				key := fmt.Sprintf("late-%d", i)
				late := cluster.Chat(walletKey, key, 4)
				late.Header = map[string]string{"Idempotency-Key": key}
				assertComplete(t, e.Send(late), key, 4)
			}
			assertComplete(t, <-answer, "while draining", 200)
			assert.Equal(t, 1, c.Runs("draining-stream"), "the stream ran more than once")
			c.Eventually("the old group is dissolved", func() bool {
				groups := c.Groups("kochi")
				return len(groups) == 1 && groups[0].ID != before.ID
			})
		})
	}
}

// A request whose caller disconnects frees its slot on the engine.
func TestRequest_CallerDisconnects(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1, "-token-time", "50ms")
	leader := member(c, c.Groups("kochi")[0], 0)
	ctx, cancel := withCancel()
	var once sync.Once
	done := make(chan struct{})
	started := make(chan struct{})
	go func() {
		defer close(done)
		c.Entries[0].SendContext(ctx, cluster.Chat(walletKey, "never mind", 1000), func(string) {
			once.Do(func() { close(started) })
		})
	}()
	<-started
	c.Eventually("the engine reports the request", func() bool { return c.Report(leader).Load == 1 })
	cancel()
	<-done
	c.Eventually("the engine's slot is free", func() bool { return c.Report(leader).Load == 0 })
}
