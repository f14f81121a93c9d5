package soak

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSoak_Streams checks whose text callers get, for a few seeds: streams that endpoints cut off, spoil or follow with
// other answers, beside all other faults.
func TestSoak_Streams(t *testing.T) {
	for _, p := range StreamProfiles {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			runSeeds(t, func(t *testing.T, seed uint64) { runStreams(t, p, seed) })
		})
	}
}

func runStreams(t *testing.T, p StreamProfile, seed uint64) {
	r := startCluster(t, seed, p.Entries, p.Workers)
	require.NoError(t, r.SetStreamProfile(p))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calling sync.WaitGroup
	calling.Go(func() { r.SendStreams(ctx, p) })
	r.KillAllRepeatedly()
	r.InjectFaults()
	recoveryErr := r.WaitHealthy()
	cancel()
	calling.Wait()
	t.Logf("%s", strings.Join(r.StreamSummary(), "\n"))
	require.NoError(t, recoveryErr)
	require.Empty(t, r.Violations())
	require.NoError(t, r.CheckLogs())
	r.requireStreamFaults(t)
}

// leastStreamFaults has how often what is counted has to come in a run, by the beginning of its name. A kind with
// variants is counted over all of them.
var leastStreamFaults = []struct {
	what  string
	least int
}{
	{"framing chunked", 50}, {"framing with a length", 50}, {"framing unframed", 50},
	{"cut after the head, chunked", 2}, {"cut after the head, with a length", 2}, {"cut after the head, unframed", 2},
	{"cut between events, chunked", 2}, {"cut between events, with a length", 2}, {"cut between events, unframed", 2},
	{"cut inside an event, chunked", 2}, {"cut inside an event, with a length", 2}, {"cut inside an event, unframed", 2},
	{"cut before the last chunk, chunked", 2}, {"cut on a route without resumption", 5},
	{"event left out", 2}, {"event repeated", 2}, {"events swapped", 2}, {"late first event", 2}, {"event without an id", 2},
	{"line of garbage", 2}, {"lost blank line", 2}, {"whole answer ends inside an event", 2},
	{"surplus answer at once", 10}, {"surplus answer as the next one", 10}, {"surplus answer as the next one, reused connection", 1},
	{"stalled", 3}, {"resumed runs", 50},
	{"streams whole", 50}, {"stream resumptions", 50}, {"stream broken", 20}, {"stream given up", 1}, {"stream left in the middle", 5},
}

// requireStreamFaults fails a run that has exercised too little.
func (r *Run) requireStreamFaults(t *testing.T) {
	counts := r.platform.StreamCounts()
	for what, n := range r.Counts() {
		counts[what] += n
	}
	for _, kind := range leastStreamFaults {
		n := 0
		for what, of := range counts {
			if strings.HasPrefix(what, kind.what) {
				n += of
			}
		}
		require.GreaterOrEqual(t, n, kind.least, kind.what)
	}
}
