package relay

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

func newTestOverload() *Overload {
	b := NewBalancer("north", rand.NewPCG(1, 2), DefaultWeights)
	return NewOverload(admission.DefaultPolicy(), NewArrivals(), b, rand.NewPCG(3, 4))
}

// Guards against memory that grows with the model names that callers invent.
func TestAdmit_UnknownModelsTakeNoMemory(t *testing.T) {
	o := newTestOverload()
	for i := range 100 {
		pool := directory.Pool{Service: "llm", Model: fmt.Sprint("invented-", i)}
		require.True(t, o.Admit(overloadRequest{pool: pool}, time.Now()))
	}
	require.Empty(t, o.OwnRates(time.Now()))
	require.Empty(t, o.pools)
}

// crowdedPool returns a request for a pool of which other nodes use the given number of 10 slots, and
// have sent the given number of prompt tokens that the engine has not read.
func (o *Overload) crowdedPool(running, unread int) overloadRequest {
	engine := &serving.Engine{Slots: 10, TokensPerSec: 10_000}
	head := &directory.Head{Endpoint: &serving.Endpoint{ID: "h", DataCentre: "north", Slots: 10}, Engine: engine, TimeFactor: 1}
	o.balancer.SetPeerLoads(map[serving.EndpointID]PeerLoad{"h": {Running: running, Unread: unread}})
	pool := directory.Pool{Service: "llm", Model: "m"}
	return overloadRequest{pool: pool, heads: []*directory.Head{head}, tokens: 10, objective: time.Second}
}

// rejected returns how many of 40 requests are rejected, of which half had their first event.
func (o *Overload) rejected(q overloadRequest, now time.Time) int {
	rejected := 0
	for i := range 40 {
		at := now.Add(time.Duration(i) * 20 * time.Millisecond)
		if i%2 == 0 {
			o.arrivals.RecordStart(q.pool, q.tokens, at)
		}
		if !o.Admit(q, at) {
			rejected++
		}
	}
	return rejected
}

// Guards against a plan from the loads of all nodes and the rates of one, after the relay failed: a node
// corrected the excess of all nodes by its own requests alone.
func TestAdmit_StaleEvidenceAdmitsAll(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		heardAt  time.Time
		rejected bool
	}{
		"peers report":           {now, true},
		"no report for a second": {now.Add(-maxEvidenceAge - time.Millisecond), false},
		"never any report":       {time.Time{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			o := newTestOverload()
			if !test.heardAt.IsZero() {
				o.SetPeerRates(nil, test.heardAt)
			}
			require.Equal(t, test.rejected, o.rejected(o.crowdedPool(12, 0), now) > 0)
		})
	}
}

// Guards against shedding at calm pools whose routes have no objective.
func TestAdmit_NoObjectiveSetsNoBacklogLimit(t *testing.T) {
	now := time.Now()
	for objective, rejected := range map[time.Duration]bool{0: false, 100 * time.Millisecond: true} {
		o := newTestOverload()
		o.SetPeerRates(nil, now)
		q := o.crowdedPool(2, 2000)
		q.objective = objective
		require.Equal(t, rejected, o.rejected(q, now) > 0, "objective %v", objective)
	}
}

// Guards against a last line that says the opposite of the pool's state, after a change within the
// interval of the lines.
func TestUpdate_LogsLastState(t *testing.T) {
	var log bytes.Buffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	o := newTestOverload()
	now := time.Now()
	o.rejected(o.crowdedPool(12, 0), now)
	require.Equal(t, 1, strings.Count(log.String(), "short=true"))
	for range 100 {
		o.arrivals.RecordStart(o.crowdedPool(0, 0).pool, 10, now.Add(900*time.Millisecond))
	}
	o.Admit(o.crowdedPool(0, 0), now.Add(900*time.Millisecond))
	require.False(t, o.pools[o.crowdedPool(0, 0).pool].plan.Short())
	o.Admit(o.crowdedPool(0, 0), now.Add(2*time.Second))
	require.Equal(t, 1, strings.Count(log.String(), "short=false"), log.String())
}
