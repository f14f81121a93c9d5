package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func request(id ID, workspace string) Request {
	return Request{ID: id, Pool: "p", Workspace: workspace, Share: 1, MaxInFlight: 1000, Priority: PriorityNormal, Deadline: start.Add(time.Minute)}
}

func TestArrive_RejectsWithoutCapacity(t *testing.T) {
	m := New()
	d := m.Arrive(start, request(1, "a"))
	assert.Equal(t, Decision{ID: 1, Outcome: OutcomeRejected, Reason: ReasonNoCapacity, RetryAfter: noCapacityRetryAfter}, d)
}

func TestFinish_AdmitsQueuedRequest(t *testing.T) {
	m := New()
	m.SetSlots(start, "p", 1)
	assert.Equal(t, OutcomeAdmitted, m.Arrive(start, request(1, "a")).Outcome)
	assert.Equal(t, OutcomeQueued, m.Arrive(start, request(2, "a")).Outcome)
	admitted := m.Finish(start.Add(time.Second), 1, true)
	assert.Equal(t, []Decision{{ID: 2, Outcome: OutcomeAdmitted}}, admitted)
	assert.Equal(t, Load{Slots: 1, InFlight: 1}, m.Load("p"))
}

func TestArrive_RejectsAtWorkspaceLimit(t *testing.T) {
	m := New()
	m.SetSlots(start, "p", 10)
	q := request(1, "a")
	q.MaxInFlight = 1
	assert.Equal(t, OutcomeAdmitted, m.Arrive(start, q).Outcome)
	q.ID = 2
	assert.Equal(t, ReasonLimit, m.Arrive(start, q).Reason)
}

func TestArrive_RejectsUnreachableDeadline(t *testing.T) {
	m := New()
	m.SetSlots(start, "p", 1)
	m.Arrive(start, request(1, "a"))
	q := request(2, "a")
	q.Deadline = start.Add(10 * time.Millisecond)
	d := m.Arrive(start, q)
	assert.Equal(t, OutcomeRejected, d.Outcome)
	assert.Equal(t, ReasonBusy, d.Reason)
	assert.GreaterOrEqual(t, d.RetryAfter, minRetryAfter)
}

// Rejected callers must not all retry at the same time.
func TestArrive_SpreadsRetryTimes(t *testing.T) {
	m := New()
	m.SetSlots(start, "p", 1)
	for i := range ID(8) {
		m.Arrive(start, request(i, "a"))
	}
	last := time.Duration(0)
	for i := range ID(10) {
		q := request(100+i, "a")
		q.Deadline = start.Add(time.Second)
		d := m.Arrive(start, q)
		require.Equal(t, OutcomeRejected, d.Outcome)
		assert.Greater(t, d.RetryAfter, last)
		last = d.RetryAfter
	}
}

// Retries precede new requests of their workspace; their predicted wait
// depends on other retries only.
func TestFinish_AdmitsRetriesFirst(t *testing.T) {
	m := New()
	m.SetSlots(start, "p", 1)
	for i := range ID(20) {
		m.Arrive(start, request(i, "a"))
	}
	q := request(100, "a")
	q.Deadline = start.Add(3 * time.Second)
	require.Equal(t, OutcomeRejected, m.Arrive(start, q).Outcome)
	q.IsRetry = true
	require.Equal(t, OutcomeQueued, m.Arrive(start, q).Outcome)
	assert.Equal(t, ID(100), m.Finish(start.Add(time.Second), 0, true)[0].ID)
}

func TestTick_RejectsExpiredRequests(t *testing.T) {
	m := New()
	m.SetSlots(start, "p", 1)
	m.Arrive(start, request(1, "a"))
	q := request(2, "a")
	q.Deadline = start.Add(2 * time.Second)
	require.Equal(t, OutcomeQueued, m.Arrive(start, q).Outcome)
	require.Empty(t, m.Tick(start.Add(time.Second)))
	out := m.Tick(start.Add(2 * time.Second))
	require.Len(t, out, 1)
	assert.Equal(t, ReasonExpired, out[0].Reason)
}

// A workspace below its share gets the next free slot, however long the queue
// of another workspace is.
func TestFinish_FairShare(t *testing.T) {
	m := New()
	m.SetSlots(start, "p", 4)
	for i := range ID(50) {
		m.Arrive(start, request(i, "surge"))
	}
	require.Equal(t, OutcomeQueued, m.Arrive(start, request(100, "quiet")).Outcome)
	next := m.Finish(start.Add(time.Second), 0, true)
	require.Len(t, next, 1)
	assert.Equal(t, ID(100), next[0].ID)
}

func TestFinish_AgesLowPriorities(t *testing.T) {
	m := New()
	m.SetSlots(start, "p", 1)
	m.Arrive(start, request(1, "a"))
	low := request(2, "a")
	low.Priority = PriorityLow
	m.Arrive(start, low)
	high := request(3, "a")
	high.Priority = PriorityHigh
	m.Arrive(start.Add(time.Second), high)
	assert.Equal(t, ID(3), m.Finish(start.Add(time.Second), 1, true)[0].ID)
	// The low request has waited long enough to precede a new high one.
	high.ID = 4
	m.Arrive(start.Add(6*time.Second), high)
	assert.Equal(t, ID(2), m.Finish(start.Add(6*time.Second), 3, true)[0].ID)
}

// For random operations, each request gets exactly one final decision, the
// counters match, and no request waits while slots are free.
func TestMachine_RandomisedInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		now := start
		slots := 3
		m.SetSlots(now, "p", slots)
		running, queued := map[ID]bool{}, map[ID]bool{}
		next := ID(0)
		apply := func(list []Decision) {
			for _, d := range list {
				if !queued[d.ID] {
					t.Fatalf("decision for request %d, which is not queued", d.ID)
				}
				delete(queued, d.ID)
				if d.Outcome == OutcomeAdmitted {
					running[d.ID] = true
				}
			}
		}
		anyOf := func(set map[ID]bool) (ID, bool) {
			if len(set) == 0 {
				return 0, false
			}
			var ids []ID
			for id := range next + 1 {
				if set[id] {
					ids = append(ids, id)
				}
			}
			return rapid.SampledFrom(ids).Draw(t, "id"), true
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				next++
				q := request(next, fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "workspace")))
				q.Priority = Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
				q.IsRetry = rapid.Bool().Draw(t, "returning")
				q.Share = rapid.Float64Range(0, 5).Draw(t, "share")
				q.Deadline = now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "deadline")) * time.Millisecond)
				d := m.Arrive(now, q)
				switch d.Outcome {
				case OutcomeAdmitted:
					running[next] = true
				case OutcomeQueued:
					queued[next] = true
				case OutcomeRejected:
					if d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter {
						t.Fatalf("RetryAfter is out of bounds: %s", d.RetryAfter)
					}
				}
			},
			"finish": func(t *rapid.T) {
				if id, ok := anyOf(running); ok {
					delete(running, id)
					apply(m.Finish(now, id, rapid.Bool().Draw(t, "served")))
				}
			},
			"abandon": func(t *rapid.T) {
				if id, ok := anyOf(queued); ok {
					delete(queued, id)
					apply(m.Cancel(now, "p", id))
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				apply(m.Tick(now))
			},
			"slots": func(t *rapid.T) {
				slots = rapid.IntRange(0, 5).Draw(t, "slots")
				apply(m.SetSlots(now, "p", slots))
			},
			"": func(t *rapid.T) {
				load := m.Load("p")
				if load.InFlight != len(running) || load.Queued != len(queued) {
					t.Fatalf("load is %+v, but %d requests run and %d are queued", load, len(running), len(queued))
				}
				if load.Queued > 0 && load.InFlight < load.Slots {
					t.Fatalf("requests are queued while slots are free: %+v", load)
				}
			},
		})
	})
}
