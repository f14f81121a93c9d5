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

func payoutCall(key string) cluster.Call {
	return cluster.Call{
		Key:    noticeKey,
		Path:   "/services/notices/pay",
		Body:   `{"amount":100}`,
		Header: map[string]string{"Idempotency-Key": key, "Ridgehinge-Repeatable": "false"},
	}
}

// assertAtMostOnce checks that a key ran at most once and that the outcome of every response is
// accurate. It returns the number of complete responses.
func assertAtMostOnce(t *testing.T, c *cluster.Cluster, key string, answers []cluster.Response) (served int) {
	t.Helper()
	runs := c.Runs(key)
	assert.LessOrEqual(t, runs, 1, key)
	for _, a := range answers {
		if a.Complete {
			served++
		}
		if a.Outcome == "ran" || a.Complete {
			assert.Equal(t, 1, runs, "%s: %d %s", key, a.Status, a.Body)
		}
	}
	assert.LessOrEqual(t, served, 1, key)
	return served
}

// Concurrent calls with the same key at all entry instances run once.
func TestClaim_SameKeyAtAllEntries(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	c.SetPlatformFaults(platformstandin.Faults{LoseAnswers: 10})
	for i := range 20 {
		key := fmt.Sprintf("same-%d", i)
		answers := make([]cluster.Response, 2*len(c.Entries))
		var all sync.WaitGroup
		for j := range answers {
			all.Go(func() { answers[j] = c.Entries[j%len(c.Entries)].Send(payoutCall(key)) })
		}
		all.Wait()
		served := assertAtMostOnce(t, c, key, answers)
		assert.Equal(t, 1, served, key)
	}
}

// During a platform outage no claim can be made: the call is rejected as not run, and the same
// key works after the outage.
func TestClaim_PlatformOutage(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	c.SetPlatformFaults(platformstandin.Faults{Down: true})
	a := c.Entries[0].Send(payoutCall("outage"))
	assert.Equal(t, 503, a.Status, a.Body)
	assert.Equal(t, "not-run", a.Outcome)
	assert.NotEmpty(t, a.RetryAfter)
	assert.Zero(t, c.Runs("outage"))
	c.SetPlatformFaults(platformstandin.Faults{})
	c.Eventually("the same key works again", func() bool { return c.Entries[1].Send(payoutCall("outage")).Complete })
	assert.Equal(t, 1, c.Runs("outage"))
}

// When an entry instance is killed with calls in flight, retries of their keys at another
// instance must not run them a second time.
func TestClaim_EntryKilled(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	service := c.Endpoints["notices-kochi"]
	c.Kill(service)
	// A key that was sent to the crashed endpoint stays claimed, so each attempt uses a new one.
	attempts := 0
	c.Eventually("the call goes to the other data centre", func() bool {
		attempts++
		return c.Entries[0].Send(payoutCall(fmt.Sprintf("elsewhere-%d", attempts))).Complete
	})
	c.Restart(service)
	c.Eventually("the service endpoint is available", func() bool {
		s, ok := c.Entries[0].Status()
		return ok && slices.ContainsFunc(s.Instances, func(in control.InstanceStatus) bool {
			return string(in.ID) == service.Name && in.Fresh
		})
	})
	var all sync.WaitGroup
	keys := make([]string, 30)
	first := make([]cluster.Response, len(keys))
	for i := range keys {
		keys[i] = fmt.Sprintf("killed-%d", i)
		all.Go(func() { first[i] = c.Entries[0].Send(payoutCall(keys[i])) })
	}
	c.Kill(c.Entries[0].Process)
	all.Wait()
	for i, key := range keys {
		second := c.Entries[1].Send(payoutCall(key))
		assertAtMostOnce(t, c, key, []cluster.Response{first[i], second})
		if second.Outcome == "not-run" {
			assert.Zero(t, c.Runs(key))
		}
	}
}

// Under freezes and partitions of members, complete responses must be correct, truncated streams
// must end with an error, and requests rejected as not run must not have run.
func TestOutcome_AccurateUnderFaults(t *testing.T) {
	t.Parallel()
	c := start(t, 6, 1, "-token-time", "2ms")
	type sent struct {
		key    string
		answer cluster.Response
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
				key := fmt.Sprintf("outcome-%d-%d", worker, i)
				call := cluster.Chat(walletKey, key, 40)
				call.Header = map[string]string{"Idempotency-Key": key, "Ridgehinge-Timeout-Ms": "8000"}
				a := c.Entries[worker%len(c.Entries)].Send(call)
				mu.Lock()
				all = append(all, sent{key, a})
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
			victim.Proxy.SetFault(c.EntriesIn("kochi")[0].Source, stallBoth)
			victim.Proxy.SetFault(c.EntriesIn("kochi")[1].Source, stallBoth)
		}
		c.Eventually("the group is repaired", func() bool {
			groups := c.Entries[0].ServingGroups("wallet")
			return len(groups) == 1 && groups[0].Generation > before.Generation
		})
		if round == 0 {
			c.Thaw(victim)
		} else {
			victim.Proxy.ClearFaults()
		}
	}
	close(stop)
	callers.Wait()
	require.NotEmpty(t, all)
	served := 0
	for _, s := range all {
		switch {
		case s.answer.Complete:
			served++
			assert.Equal(t, cluster.ExpectedText(s.key, 40), s.answer.Text, s.key)
		case s.answer.Outcome == "not-run":
			assert.Zero(t, c.Runs(s.key), s.key)
		case s.answer.Status == 200:
			assert.True(t, s.answer.ErrorEvent, "a stream ended without an error: %s", s.answer.Body)
		}
	}
	t.Logf("%d of %d requests were served completely", served, len(all))
	assert.Positive(t, served)
}
