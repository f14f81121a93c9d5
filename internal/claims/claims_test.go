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

// bed is a table and some nodes' stores.
type bed struct {
	table  *platformstandin.Server
	stores []*Store
}

func newBed(t *testing.T, nodes int) *bed {
	t.Helper()
	b := &bed{table: platformstandin.New()}
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

// Claims of the same keys by many nodes, with lost answers and outages, have
// a history in which each key is granted to one at most.
func TestClaimsAreLinearizable(t *testing.T) {
	b := newBed(t, 4)
	const keys, rounds = 30, 12
	var mu sync.Mutex
	var history []porcupine.Operation
	var all sync.WaitGroup
	begin := time.Now()
	for worker := range rounds {
		all.Go(func() {
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
	all.Wait()
	assert.True(t, porcupine.CheckOperations(model, history))
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

// model is one key: free or taken. A claim without an answer may have taken
// it for a while, so anything may follow it.
var model = porcupine.Model{
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
				return true, "doubt"
			}
			return true, state
		}
	},
}

func TestReleasedKeyIsFreeAgain(t *testing.T) {
	b := newBed(t, 2)
	held, _, result := b.stores[0].Claim(context.Background(), "w", "k")
	require.Equal(t, claim.ResultGranted, result)
	_, earlier, result := b.stores[1].Claim(context.Background(), "w", "k")
	require.Equal(t, claim.ResultTaken, result)
	assert.Equal(t, claim.StateClaimed, earlier.State)
	b.stores[0].Release(held)
	require.Eventually(t, func() bool { return len(b.table.Rows("claim/")) == 0 }, 10*time.Second, time.Millisecond)
	held, _, result = b.stores[1].Claim(context.Background(), "w", "k")
	require.Equal(t, claim.ResultGranted, result)
	b.stores[1].MarkRan(held)
	require.Eventually(t, func() bool {
		_, earlier, result = b.stores[0].Claim(context.Background(), "w", "k")
		return result == claim.ResultTaken && earlier.State == claim.StateRan
	}, 10*time.Second, time.Millisecond)
}

// Many claims at once share few transactions.
func TestClaimsShareTransactions(t *testing.T) {
	b := newBed(t, 1)
	var all sync.WaitGroup
	for i := range 64 {
		all.Go(func() {
			_, _, result := b.stores[0].Claim(context.Background(), "w", fmt.Sprint(i))
			assert.Equal(t, claim.ResultGranted, result)
		})
	}
	all.Wait()
	assert.Less(t, b.table.Counts().Commits, 40)
}
