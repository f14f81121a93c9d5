package quarantinetable

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/internal/table"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// testTable is a quarantineTable with a role and a simulated clock.
type testTable struct {
	*Table
	role Role
	now  time.Time
}

func newTestTable(store table.Store, firstDataCentre bool) *testTable {
	return &testTable{New(quarantine.NewQuarantine(func() bool { return false }), store), Role{FirstDataCentre: firstDataCentre}, time.Now()}
}

// run syncs the table while the simulated clock advances.
func (q *testTable) run(ctx context.Context, d time.Duration) {
	for until := q.now.Add(d); q.now.Before(until); q.now = q.now.Add(Interval) {
		q.Sync(ctx, q.role, q.now)
	}
}

// addCrashes adds crashes of incarnations to the record of a fingerprint.
func (q *testTable) addCrashes(fingerprint uint64, incarnations ...qlist.Incarnation) {
	r := qlist.Record{Fingerprint: fingerprintOf(fingerprint)}
	for _, incarnation := range incarnations {
		r.Crashes = append(r.Crashes, qlist.Crash{Incarnation: incarnation, At: q.now})
	}
	q.list.Merge([]qlist.Record{r}, "test", q.now)
}

func fingerprintOf(n uint64) qlist.Fingerprint {
	var f qlist.Fingerprint
	binary.LittleEndian.PutUint64(f[:], n)
	return f
}

func (q *testTable) blocked() int {
	_, blocked := q.list.Counts()
	return blocked
}

// All nodes may be killed at once. If the records were lost, a quarantined request would crash
// more endpoints after each such restart.
func TestQuarantineTable_SurvivesLossOfAllNodes(t *testing.T) {
	store := memtable.New()
	before := newTestTable(store, true)
	before.addCrashes(1, 1, 2, 3)
	before.addCrashes(2, 1, 2)
	before.addCrashes(3, 1)
	before.run(t.Context(), time.Second)
	after := newTestTable(store, true)
	after.run(t.Context(), time.Second)
	require.Equal(t, 1, after.blocked())
	known, _ := after.list.Counts()
	require.Equal(t, 2, known, "one crash is not stored")
	after.addCrashes(2, 9)
	require.Equal(t, 2, after.blocked())
}

// Rows have no times and no successes. After all nodes are killed, a popular request whose rack failed
// must not be blocked by that one burst, and one that crashed endpoints in three bursts must be.
func TestQuarantineTable_RestoresBursts(t *testing.T) {
	store := memtable.New()
	before := newTestTable(store, true)
	served := before.now
	crash := func(fingerprint uint64, first, n int, after time.Duration) {
		r := qlist.Record{Fingerprint: fingerprintOf(fingerprint), Served: served}
		for i := range n {
			r.Crashes = append(r.Crashes, qlist.Crash{Incarnation: qlist.Incarnation(first + i), At: served.Add(after)})
		}
		before.list.Merge([]qlist.Record{r}, "test", before.now)
		before.run(t.Context(), time.Second)
	}
	crash(1, 1, 8, time.Millisecond)
	crash(2, 1, 8, time.Millisecond)
	crash(2, 11, 1, 2*time.Second)
	crash(2, 12, 1, 4*time.Second)
	require.Equal(t, 1, before.blocked())
	after := newTestTable(store, true)
	after.run(t.Context(), time.Second)
	require.Equal(t, 1, after.blocked())
	_, allowed := after.list.Allowed(qlist.Subject{Content: fingerprintOf(1)}, after.now)
	require.True(t, allowed)
}

// A node that reads the table and never writes it must not collect the rows that expire.
func TestQuarantineTable_SuspendForgetsExpiredRows(t *testing.T) {
	store := memtable.New()
	writer := newTestTable(store, true)
	writer.addCrashes(1, 1, 2, 3)
	writer.run(t.Context(), time.Second)
	reader := newTestTable(store, true)
	require.True(t, reader.Load(t.Context()))
	reader.Expire(reader.now.Add(2 * time.Hour))
	require.Len(t, reader.expired, 1)
	reader.Suspend()
	require.Empty(t, reader.expired)
	writer.Expire(writer.now.Add(2 * time.Hour))
	writer.run(t.Context(), time.Second)
	require.Empty(t, rowsOf(t, store))
}

// Partitioned data centres exchange records through the table.
func TestQuarantineTable_BridgesPartition(t *testing.T) {
	store := memtable.New()
	north, south := newTestTable(store, true), newTestTable(store, true)
	north.role.Partitioned, south.role.Partitioned = true, true
	both := func(d time.Duration) {
		for until := north.now.Add(d); north.now.Before(until); {
			north.run(t.Context(), Interval)
			south.run(t.Context(), Interval)
		}
	}
	both(time.Second)
	north.addCrashes(1, 1, 2)
	both(2 * time.Second)
	south.addCrashes(1, 3)
	require.Equal(t, 1, south.blocked())
	both(2 * time.Second)
	require.Equal(t, 1, north.blocked())
}

// During a store outage, or when commits get no response, records are kept and calls are limited
// to one a second.
func TestQuarantineTable_WritesAfterStoreOutage(t *testing.T) {
	for _, faults := range []memtable.Faults{{Down: true}, {LoseAnswers: true}} {
		store := memtable.New()
		q := newTestTable(store, true)
		q.run(t.Context(), time.Second)
		store.SetFaults(faults)
		calls := store.Calls()
		q.addCrashes(1, 1, 2, 3)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		q.run(ctx, 10*time.Second)
		cancel()
		require.LessOrEqual(t, store.Calls()-calls, 11, "%+v", faults)
		require.Equal(t, 1, q.blocked())
		store.SetFaults(memtable.Faults{})
		q.run(t.Context(), 3*time.Second)
		after := newTestTable(store, true)
		after.run(t.Context(), time.Second)
		require.Equal(t, 1, after.blocked(), "%+v", faults)
	}
}

// All relays have the same records; only one of them writes.
func TestQuarantineTable_OneNodeWrites(t *testing.T) {
	store := memtable.New()
	tables := []*testTable{newTestTable(store, true), newTestTable(store, false), newTestTable(store, false)}
	for range 40 {
		for _, q := range tables {
			q.run(t.Context(), Interval)
		}
		if time.Until(tables[0].now) > 3*time.Second {
			for _, q := range tables {
				q.addCrashes(1, 1, 2, 3)
			}
		}
	}
	t.Logf("%d calls of three nodes in ten seconds", store.Calls())
	require.LessOrEqual(t, store.Calls(), 6)
	// The first one cannot reach the store.
	for _, q := range tables[1:] {
		q.addCrashes(2, 1, 2, 3)
	}
	for range 40 {
		for _, q := range tables[1:] {
			q.run(t.Context(), Interval)
		}
	}
	after := newTestTable(store, true)
	after.run(t.Context(), time.Second)
	require.Equal(t, 2, after.blocked())
}

// A flood of requests that crash endpoints must cost a bounded number of calls and rows.
func TestQuarantineTable_BoundsItsRows(t *testing.T) {
	store := memtable.New()
	q := newTestTable(store, true)
	for n := range uint64(4000) {
		incarnations := []qlist.Incarnation{1, 2, 3}
		q.addCrashes(n, incarnations[:2+n%2]...)
	}
	q.run(t.Context(), 10*time.Second)
	page, err := store.Read(t.Context(), Name, "")
	require.NoError(t, err)
	t.Logf("%d calls, %d rows", store.Calls(), len(page.Rows))
	require.LessOrEqual(t, store.Calls(), 41)
	require.LessOrEqual(t, len(page.Rows), maxRows)
	after := newTestTable(store, true)
	after.run(t.Context(), time.Second)
	require.GreaterOrEqual(t, after.blocked(), maxRows/2, "at least half of the rows are for blocked requests")
	q.list.Expire(time.Now())
	calls := store.Calls()
	q.run(t.Context(), 10*time.Second)
	require.Equal(t, calls, store.Calls(), "a full table causes no calls")
}

// Rows written by another program are ignored, and the other rows still count.
func TestQuarantineTable_IgnoresForeignRows(t *testing.T) {
	store := memtable.New()
	q := newTestTable(store, true)
	q.addCrashes(1, 1, 2, 3)
	q.run(t.Context(), time.Second)
	rows := []table.Row{
		{Table: Name, Key: "another", Value: []byte(`{"ends":[1,2,3]}`)},
		{Table: Name, Key: fingerprintOf(7).String(), Value: []byte{0xff, 0xfe}},
		{Table: Name, Key: fingerprintOf(8).String(), Value: []byte(`{"ends":"all"}`)},
		{Table: Name, Key: fingerprintOf(9).String(), Value: nil},
	}
	require.NoError(t, store.CommitIgnoringFaults(table.Change{Writes: rows}))
	after := newTestTable(store, true)
	after.run(t.Context(), time.Second)
	require.Equal(t, 1, after.blocked())
	// A record replaces an invalid row with its key.
	after.addCrashes(7, 1, 2, 3)
	after.run(t.Context(), 5*time.Second)
	again := newTestTable(store, true)
	again.run(t.Context(), time.Second)
	require.Equal(t, 2, again.blocked())
}

// Guards against rows of more than 128 bytes with their key.
func TestQuarantineTable_BoundsRowBytes(t *testing.T) {
	row, err := json.Marshal(rowValue{Ends: []qlist.Incarnation{1 << 63, 1<<63 + 1, 1<<63 + 2}})
	require.NoError(t, err)
	rowBytes := len(row) + len(fingerprintOf(1).String())
	t.Logf("%d bytes of a row with its key", rowBytes)
	require.LessOrEqual(t, rowBytes, 128)
}

// Rows missing after a restore of the store from an older copy used not to be written again.
func TestQuarantineTable_RewritesAfterStoreRestore(t *testing.T) {
	store := memtable.New()
	older := store.Copy()
	q := newTestTable(store, true)
	for n := range uint64(250) {
		q.addCrashes(n, 1, 2, 3)
	}
	q.run(t.Context(), 2*time.Second)
	require.NotEmpty(t, rowsOf(t, store))

	store.Restore(older)
	require.Empty(t, rowsOf(t, store))
	q.run(t.Context(), Interval)
	require.LessOrEqual(t, len(rowsOf(t, store)), maxRowsPerChange, "one change at a time")
	q.run(t.Context(), 2*time.Second)
	require.Len(t, rowsOf(t, store), 250)
}

func rowsOf(t *testing.T, store *memtable.Table) []table.Row {
	t.Helper()
	page, err := store.Read(t.Context(), Name, "")
	require.NoError(t, err)
	return page.Rows
}
