package integration

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/lab/cluster"
)

func payout(key string) cluster.Call {
	return cluster.Call{
		Key:    noticeKey,
		Path:   "/services/notices/pay",
		Body:   `{"amount":100}`,
		Header: map[string]string{"Idempotency-Key": key, "Ridgehinge-Repeatable": "false"},
	}
}

// checkOnce checks that a key ran at most once, and that every answer told
// the truth about it.
func checkOnce(t *testing.T, c *cluster.Cluster, key string, answers []cluster.Answer) (served int) {
	t.Helper()
	runs := c.Runs(key)
	assert.LessOrEqual(t, runs, 1, key)
	for _, a := range answers {
		if a.Whole {
			served++
		}
		if a.Outcome == "ran" || a.Whole {
			assert.Equal(t, 1, runs, "%s: %d %s", key, a.Status, a.Body)
		}
	}
	assert.LessOrEqual(t, served, 1, key)
	return served
}

// The same key at all entry instances at once runs once.
func TestSameKeyEverywhere(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	c.SetPlatformFaults(platformstandin.Faults{LoseAnswers: 10})
	for i := range 20 {
		key := fmt.Sprintf("same-%d", i)
		answers := make([]cluster.Answer, 2*len(c.Entries))
		var all sync.WaitGroup
		for j := range answers {
			all.Go(func() { answers[j] = c.Entries[j%len(c.Entries)].Send(payout(key)) })
		}
		all.Wait()
		served := checkOnce(t, c, key, answers)
		assert.Equal(t, 1, served, key)
	}
}

// With the platform out a claim cannot be made: the call is refused at once
// as not run, and the same key works when the platform is back.
func TestClaimWhilePlatformOut(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	c.SetPlatformFaults(platformstandin.Faults{Down: true})
	a := c.Entries[0].Send(payout("dark"))
	assert.Equal(t, 503, a.Status, a.Body)
	assert.Equal(t, "not-run", a.Outcome)
	assert.NotEmpty(t, a.RetryAfter)
	assert.Zero(t, c.Runs("dark"))
	c.SetPlatformFaults(platformstandin.Faults{})
	c.Eventually("the same key works again", func() bool { return c.Entries[1].Send(payout("dark")).Whole })
	assert.Equal(t, 1, c.Runs("dark"))
}

// An entry instance is killed while a call is under way; repeating the key
// elsewhere does not run it again.
func TestKilledWithClaim(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	slow := c.Endpoints["notices-kochi"]
	c.Kill(slow)
	// A key that met the dead endpoint is spent, so each try has its own.
	tries := 0
	c.Eventually("the call goes to the other data centre", func() bool {
		tries++
		return c.Entries[0].Send(payout(fmt.Sprintf("elsewhere-%d", tries))).Whole
	})
	c.Restart(slow)
	c.Eventually("the service is back", func() bool {
		s, ok := c.Entries[0].Status()
		return ok && slices.ContainsFunc(s.Instances, func(in control.InstanceStatus) bool {
			return string(in.ID) == slow.Name && in.Fresh
		})
	})
	var all sync.WaitGroup
	keys := make([]string, 30)
	first := make([]cluster.Answer, len(keys))
	for i := range keys {
		keys[i] = fmt.Sprintf("killed-%d", i)
		all.Go(func() { first[i] = c.Entries[0].Send(payout(keys[i])) })
	}
	c.Kill(c.Entries[0].Process)
	all.Wait()
	for i, key := range keys {
		second := c.Entries[1].Send(payout(key))
		checkOnce(t, c, key, []cluster.Answer{first[i], second})
		if second.Outcome == "not-run" {
			assert.Zero(t, c.Runs(key))
		}
	}
}

// Under kills, freezes and cuts, every answer tells the truth: an answer is
// whole and its own, and what is called not run did not run.
func TestTruthUnderFaults(t *testing.T) {
	t.Parallel()
	c := start(t, 6, 1, "-token-time", "2ms")
	type sent struct {
		mark   string
		answer cluster.Answer
	}
	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for worker := range 8 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				mark := fmt.Sprintf("truth-%d-%d", worker, i)
				call := cluster.Chat(walletKey, mark, 40)
				call.Header = map[string]string{"Idempotency-Key": mark, "Ridgehinge-Timeout-Ms": "8000"}
				a := c.Entries[worker%len(c.Entries)].Send(call)
				mu.Lock()
				all = append(all, sent{mark, a})
				mu.Unlock()
			}
		})
	}
	for round, rank := range []int{1, 0} {
		before := c.Groups("kochi")[0]
		victim := member(c, before, rank)
		if round == 0 {
			c.Freeze(victim)
		} else {
			victim.Proxy.Set(c.In("kochi")[0].Source, cutBoth)
			victim.Proxy.Set(c.In("kochi")[1].Source, cutBoth)
		}
		c.Eventually("the group is repaired", func() bool {
			groups := c.Entries[0].Serving("wallet")
			return len(groups) == 1 && groups[0].Generation > before.Generation
		})
		if round == 0 {
			c.Thaw(victim)
		} else {
			victim.Proxy.Heal()
		}
	}
	close(stop)
	callers.Wait()
	require.NotEmpty(t, all)
	served := 0
	for _, s := range all {
		switch {
		case s.answer.Whole:
			served++
			assert.Equal(t, cluster.Want(s.mark, 40), s.answer.Text, s.mark)
		case s.answer.Outcome == "not-run":
			assert.Zero(t, c.Runs(s.mark), s.mark)
		case s.answer.Status == 200:
			assert.True(t, s.answer.Failed, "a stream ended quietly: %s", s.answer.Body)
		}
	}
	t.Logf("%d of %d requests were served whole", served, len(all))
	assert.Positive(t, served)
}
