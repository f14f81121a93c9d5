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

// stream sends a long streamed call in the background; begun is closed when
// the first token is there.
func stream(e *cluster.Entry, call cluster.Call) (begun chan struct{}, answer chan cluster.Answer) {
	begun = make(chan struct{})
	answer = make(chan cluster.Answer, 1)
	var once sync.Once
	go func() {
		answer <- e.SendContext(bg, call, func(string) { once.Do(func() { close(begun) }) })
	}()
	return begun, answer
}

// assertWhole checks that an answer is the whole answer to its own request.
func assertWhole(t *testing.T, a cluster.Answer, prompt string, tokens int) {
	t.Helper()
	require.NoError(t, a.Err)
	require.Equal(t, 200, a.Status, a.Body)
	assert.True(t, a.Whole, "the stream has no end mark: %s", a.Body)
	assert.Equal(t, cluster.Want(prompt, tokens), a.Text)
}

// A member that is killed, or only freezes, takes the group out of service;
// a spare takes its place, and a stream that was under way is finished.
func TestMemberLost(t *testing.T) {
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
			begun, answer := stream(e, cluster.Chat(walletKey, prompt, 300))
			<-begun
			victim := member(c, before, fault.rank)
			fault.harm(c, victim)
			c.Eventually("the group is repaired", func() bool {
				groups := e.Serving("wallet")
				return len(groups) == 1 && groups[0].Generation > before.Generation &&
					!groups[0].Has(fleet.InstanceID(victim.Name))
			})
			assertWhole(t, <-answer, prompt, 300)
			assertWhole(t, e.Send(cluster.Chat(walletKey, "and after", 8)), "and after", 8)
		})
	}
}

// A frozen member that comes back as if nothing had happened is no member
// any more: it is released, and the group that took its place stays.
func TestMemberReturns(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	before := c.Groups("kochi")[0]
	victim := member(c, before, 1)
	c.Freeze(victim)
	c.Eventually("the group is repaired", func() bool {
		groups := c.Entries[0].Serving("wallet")
		return len(groups) == 1 && groups[0].Generation > before.Generation
	})
	c.Thaw(victim)
	c.Eventually("the old member is released", func() bool {
		return c.Report(victim).Group == ""
	})
	groups := c.Groups("kochi")
	require.Len(t, groups, 1)
	assert.False(t, groups[0].Has(fleet.InstanceID(victim.Name)))
	assertWhole(t, c.Entries[0].Send(cluster.Chat(walletKey, "still here?", 8)), "still here?", 8)
}

// A member that restarts at once has lost its part of the model, though its
// address answers all the time and the instance list says that it lives.
func TestMemberRestarts(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	before := c.Groups("kochi")[0]
	victim := member(c, before, 3)
	c.Kill(victim)
	c.Restart(victim)
	c.Eventually("the group is whole again with the new incarnation", func() bool {
		groups := c.Entries[0].Serving("wallet")
		return len(groups) == 1 && groups[0].Generation > before.Generation
	})
	assertWhole(t, c.Entries[0].Send(cluster.Chat(walletKey, "back", 8)), "back", 8)
}

// Without a spare, a request that finds no whole group is refused at once as
// not run, with a time to come back; and it did not run.
func TestNoGroupIsNotRun(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	// Both data centres lose a member, so that no other can help out.
	for _, dc := range []string{"kochi", "tvm"} {
		c.Kill(member(c, c.Groups(dc)[0], 2))
	}
	e := c.Entries[0]
	// Until the other data centre has noticed its own loss, it may take a
	// request that is forwarded to it.
	c.WaitServing("kochi", "wallet", 0)
	c.WaitServing("tvm", "wallet", 0)
	for i := range 10 {
		call := cluster.Chat(walletKey, "anyone there?", 8)
		mark := fmt.Sprintf("refused-%d", i)
		call.Header = map[string]string{"Idempotency-Key": mark}
		a := e.Send(call)
		assert.Equal(t, 503, a.Status, a.Body)
		assert.Equal(t, "not-run", a.Outcome)
		assert.NotEmpty(t, a.RetryAfter)
		assert.Zero(t, c.Runs(mark))
	}
}

// An endpoint that says it is leaving gets no new work, and its group's
// streams are not cut; a new group takes over.
func TestLeavingEndpoint(t *testing.T) {
	for _, by := range []string{"itself", "the platform"} {
		t.Run(by, func(t *testing.T) {
			t.Parallel()
			c := start(t, 8, 1, "-token-time", "20ms")
			e := c.Entries[0]
			before := c.Groups("kochi")[0]
			leader := member(c, before, 0)
			call := cluster.Chat(walletKey, "while it leaves", 200)
			call.Header = map[string]string{"Idempotency-Key": "leaving-stream"}
			begun, answer := stream(e, call)
			<-begun
			if by == "itself" {
				c.Leave(leader)
			} else {
				in := c.Instance(leader.Name)
				in.Draining = true
				c.PutInstance(in)
			}
			c.Eventually("another group has taken over", func() bool {
				groups := e.Serving("wallet")
				return len(groups) == 1 && groups[0].ID != before.ID
			})
			for i := range 10 {
				mark := fmt.Sprintf("late-%d", i)
				late := cluster.Chat(walletKey, mark, 4)
				late.Header = map[string]string{"Idempotency-Key": mark}
				assertWhole(t, e.Send(late), mark, 4)
			}
			assertWhole(t, <-answer, "while it leaves", 200)
			assert.Equal(t, 1, c.Runs("leaving-stream"), "the stream was run again")
			c.Eventually("the old group is taken apart", func() bool {
				groups := c.Groups("kochi")
				return len(groups) == 1 && groups[0].ID != before.ID
			})
		})
	}
}

// A caller that goes away frees its place on the engine.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1, "-token-time", "50ms")
	leader := member(c, c.Groups("kochi")[0], 0)
	ctx, cancel := withCancel()
	var once sync.Once
	done := make(chan struct{})
	begun := make(chan struct{})
	go func() {
		defer close(done)
		c.Entries[0].SendContext(ctx, cluster.Chat(walletKey, "never mind", 1000), func(string) {
			once.Do(func() { close(begun) })
		})
	}()
	<-begun
	c.Eventually("the engine reports the request", func() bool { return c.Report(leader).Load == 1 })
	cancel()
	<-done
	c.Eventually("the engine's place is free", func() bool { return c.Report(leader).Load == 0 })
}
