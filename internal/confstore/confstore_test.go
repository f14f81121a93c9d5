package confstore

import (
	"context"
	"errors"
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
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
)

func newTable(t *testing.T) (*platform.Client, *platformstandin.Server) {
	t.Helper()
	table := platformstandin.New()
	server := httptest.NewServer(table.Handler())
	t.Cleanup(server.Close)
	client := platform.New(platform.Options{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: 5 * time.Second})
	t.Cleanup(client.Close)
	return client, table
}

func template(name, key string, size int) *configuration.Template {
	return &configuration.Template{Name: name, Model: "m", ReplicaSize: size, Workspaces: []configuration.Workspace{
		{Name: "w-" + name, KeyHash: configuration.HashKey(key)},
	}}
}

func TestSubmit_Outcomes(t *testing.T) {
	table, _ := newTable(t)
	ctx := context.Background()
	submit := func(requestID string, base configuration.Revision, t *configuration.Template) (Accepted, error) {
		return Submit(ctx, table, Submission{RequestID: requestID, Base: base, Template: t}, time.Unix(0, 0))
	}
	got, err := submit("1", 0, template("a", "key-a", 4))
	require.NoError(t, err)
	assert.Equal(t, Accepted{Revision: 1}, got)
	got, err = submit("1", 0, template("a", "key-a", 4))
	require.NoError(t, err)
	assert.Equal(t, Accepted{Revision: 1, Repeated: true}, got)
	_, err = submit("1", 0, template("b", "key-b", 4))
	assert.ErrorIs(t, err, ErrRequestIDReused)
	_, err = submit("2", 0, template("a", "key-a", 8))
	var conflict *Conflict
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, configuration.Revision(1), conflict.Current)
	_, err = submit("3", 0, template("b", "key-a", 4))
	var inUse *WorkspaceConflict
	require.ErrorAs(t, err, &inUse, "a key identifies one workspace")
	got, err = submit("4", 1, template("a", "key-a", 8))
	require.NoError(t, err)
	assert.Equal(t, Accepted{Revision: 2}, got)
	history, err := History(ctx, table, "a")
	require.NoError(t, err)
	require.Len(t, history, 2)
	assert.Equal(t, []configuration.Difference{{Field: "replica_size", Left: "4", Right: "8"}},
		configuration.Diff(history[0].Entry.Template, history[1].Entry.Template))
}

// casOp is one submission. The model is a register with compare-and-set: a new
// value is accepted only if the base equals the current value.
type casOp struct {
	base configuration.Revision
}

type casOutput struct {
	revision configuration.Revision
	ok       bool
}

var casModel = porcupine.Model{
	Init: func() any { return configuration.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		in, out, current := input.(casOp), output.(casOutput), state.(configuration.Revision)
		if out.ok {
			return in.base == current && out.revision > current, out.revision
		}
		return in.base != current, current
	},
}

// With concurrent submissions and lost responses, revisions must only rise and no
// change on a stale base may be accepted.
func TestSubmit_ConcurrentIsLinearizable(t *testing.T) {
	table, faults := newTable(t)
	ctx := context.Background()
	var mu sync.Mutex
	var history []porcupine.Operation
	begin := time.Now()
	var all sync.WaitGroup
	for worker := range 6 {
		all.Go(func() {
			random := rand.New(rand.NewPCG(4, uint64(worker)))
			known := configuration.Revision(0)
			for i := range 15 {
				if random.IntN(4) == 0 {
					faults.SetFaults(platformstandin.Faults{LoseAnswers: 2})
				}
				call := time.Since(begin)
				s := Submission{RequestID: fmt.Sprintf("%d-%d", worker, i), Base: known, Template: template("a", "key", 4+worker)}
				accepted, err := Submit(ctx, table, s, begin)
				out := casOutput{revision: accepted.Revision, ok: err == nil}
				var conflict *Conflict
				if errors.As(err, &conflict) {
					known = conflict.Current
				} else if err == nil {
					known = accepted.Revision
				} else {
					// Too many concurrent changes: nothing was written.
					continue
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: worker, Input: casOp{base: s.Base}, Output: out, Call: int64(call), Return: int64(time.Since(begin))})
				mu.Unlock()
			}
		})
	}
	all.Wait()
	require.NotEmpty(t, history)
	assert.True(t, porcupine.CheckOperations(casModel, history))
}

// A node that is far behind must read all templates and reach the head revision.
func TestDelta_ReadsAllTemplatesWhenFarBehind(t *testing.T) {
	table, _ := newTable(t)
	ctx := context.Background()
	base := configuration.Revision(0)
	for i := range maxChangeReads + 10 {
		got, err := Submit(ctx, table, Submission{RequestID: fmt.Sprint(i), Base: base, Template: template("a", "key", 4+i%2)}, time.Unix(0, 0))
		require.NoError(t, err)
		base = got.Revision
	}
	store := configuration.NewStore()
	d, err := Delta(ctx, table, 0, base)
	require.NoError(t, err)
	assert.Len(t, d.Entries, 1)
	require.True(t, store.Apply(d))
	assert.Equal(t, base, store.Revision())
}
