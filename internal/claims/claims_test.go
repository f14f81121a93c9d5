package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/pkg/claim"
)

// testStores is a table and the stores of several nodes.
type testStores struct {
	table  *platformstandin.Server
	stores []*Store
}

func newTestStores(t *testing.T, nodes int) *testStores {
	t.Helper()
	b := &testStores{table: platformstandin.New()}
	server := httptest.NewServer(b.table.Handler())
	t.Cleanup(server.Close)
	for i := range nodes {
		client := platform.New(platform.Options{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: time.Second})
		t.Cleanup(client.Close)
		s := New(Options{Node: fmt.Sprint(i), Table: client, Window: time.Millisecond, MaxBatch: 16, Timeout: 5 * time.Second})
		t.Cleanup(s.Close)
		b.stores = append(b.stores, s)
	}
	return b
}

// Concurrent claims by several nodes, with lost responses and outages, must
// grant each key at most once.
func TestClaim_Linearizable(t *testing.T) {
	b := newTestStores(t, 4)
	const keys, rounds = 30, 12
	var mu sync.Mutex
	var history []porcupine.Operation
	var workers sync.WaitGroup
	begin := time.Now()
	for worker := range rounds {
		workers.Go(func() {
			random := rand.New(rand.NewPCG(9, uint64(worker)))
			for range keys {
				if random.IntN(10) == 0 {
					b.table.SetFaults(platformstandin.Faults{LoseAnswers: random.IntN(4), Down: random.IntN(5) == 0})
				}
				key := fmt.Sprint(random.IntN(keys))
				call := time.Since(begin)
				_, _, result := b.stores[worker%len(b.stores)].Claim(context.Background(), "w", key)
				if result == claim.ResultUnavailable {
					b.table.SetFaults(platformstandin.Faults{})
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: worker, Input: key, Output: result, Call: int64(call), Return: int64(time.Since(begin)),
				})
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	assert.True(t, porcupine.CheckOperations(keyModel, history))
	granted := map[any]int{}
	for _, op := range history {
		if op.Output == claim.ResultGranted {
			granted[op.Input]++
		}
	}
	require.NotEmpty(t, granted)
	for key, n := range granted {
		assert.Equal(t, 1, n, "key %s", key)
	}
}

// keyModel is the state of one key. A claim without a response may have been
// written, so any result may follow it.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input] = append(byKey[op.Input], op)
		}
		var out [][]porcupine.Operation
		for _, list := range byKey {
			out = append(out, list)
		}
		return out
	},
	Init: func() any { return "free" },
	Step: func(state, _, output any) (bool, any) {
		switch output {
		case claim.ResultGranted:
			return state != "taken", "taken"
		case claim.ResultTaken:
			return state != "free", state
		default:
			if state == "free" {
				return true, "unknown"
			}
			return true, state
		}
	},
}

func TestRelease_FreesKey(t *testing.T) {
	b := newTestStores(t, 2)
	grant, _, result := b.stores[0].Claim(context.Background(), "w", "k")
	require.Equal(t, claim.ResultGranted, result)
	_, earlier, result := b.stores[1].Claim(context.Background(), "w", "k")
	require.Equal(t, claim.ResultTaken, result)
	assert.Equal(t, claim.StateClaimed, earlier.State)
	b.stores[0].Release(grant)
	require.Eventually(t, func() bool { return len(b.table.Rows("claim/")) == 0 }, 10*time.Second, time.Millisecond)
	grant, _, result = b.stores[1].Claim(context.Background(), "w", "k")
	require.Equal(t, claim.ResultGranted, result)
	b.stores[1].MarkRan(grant)
	require.Eventually(t, func() bool {
		_, earlier, result = b.stores[0].Claim(context.Background(), "w", "k")
		return result == claim.ResultTaken && earlier.State == claim.StateRan
	}, 10*time.Second, time.Millisecond)
}

// Concurrent claims are committed in few transactions.
func TestClaim_BatchesTransactions(t *testing.T) {
	b := newTestStores(t, 1)
	var workers sync.WaitGroup
	for i := range 64 {
		workers.Go(func() {
			_, _, result := b.stores[0].Claim(context.Background(), "w", fmt.Sprint(i))
			assert.Equal(t, claim.ResultGranted, result)
		})
	}
	workers.Wait()
	assert.Less(t, b.table.Counts().Commits, 40)
}
