package gossip

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

// keeper is a node that keeps the quarantine's table, on a clock of its own.
type keeper struct {
	*quarantineTable
	duty quarantineDuty
	now  time.Time
}

func newKeeper(store table.Store, first bool) *keeper {
	return &keeper{newQuarantineTable(quarantine.NewQuarantine(func() bool { return false }), store), quarantineDuty{keeps: true, first: first}, time.Now()}
}

// Run lets time pass.
func (k *keeper) run(ctx context.Context, d time.Duration) {
	for until := k.now.Add(d); k.now.Before(until); k.now = k.now.Add(quarantineTick) {
		k.step(ctx, k.duty, k.now)
	}
}

// ended makes known that a content has ended endpoints.
func (k *keeper) ended(content uint64, lives ...qlist.Incarnation) {
	r := qlist.Record{Fingerprint: contentOf(content)}
	for _, life := range lives {
		r.Crashes = append(r.Crashes, qlist.Crash{Incarnation: life, At: k.now})
	}
	k.list.Merge([]qlist.Record{r}, "test", k.now)
}

func contentOf(n uint64) qlist.Fingerprint {
	var f qlist.Fingerprint
	binary.LittleEndian.PutUint64(f[:], n)
	return f
}

func (k *keeper) blocked() int {
	_, blocked := k.list.Counts()
	return blocked
}

// All nodes may be killed at once. If what they knew of a request that had ended three
// endpoints were gone, it would end three more in each life of the whole.
func TestQuarantineTable_OutlivesAllNodes(t *testing.T) {
	store := memtable.New()
	before := newKeeper(store, true)
	before.ended(1, 1, 2, 3)
	before.ended(2, 1, 2)
	before.ended(3, 1)
	before.run(t.Context(), time.Second)
	after := newKeeper(store, true)
	after.run(t.Context(), time.Second)
	require.Equal(t, 1, after.blocked())
	known, _ := after.list.Counts()
	require.Equal(t, 2, known, "one end is not worth a row")
	after.ended(2, 9)
	require.Equal(t, 2, after.blocked())
}

// While two data centres do not hear each other, each learns from the table what requests
// have ended the endpoints of the other.
func TestQuarantineTable_IsReadByAnIsolatedDataCentre(t *testing.T) {
	store := memtable.New()
	north, south := newKeeper(store, true), newKeeper(store, true)
	north.duty.apart, south.duty.apart = true, true
	both := func(d time.Duration) {
		for until := north.now.Add(d); north.now.Before(until); {
			north.run(t.Context(), quarantineTick)
			south.run(t.Context(), quarantineTick)
		}
	}
	both(time.Second)
	north.ended(1, 1, 2)
	both(2 * time.Second)
	south.ended(1, 3)
	require.Equal(t, 1, south.blocked())
	both(2 * time.Second)
	require.Equal(t, 1, north.blocked())
}

// The store may be out, and lose what it was told: nothing is forgotten, and no more calls
// are made than one a second.
func TestQuarantineTable_IsWrittenOnceTheStoreIsBack(t *testing.T) {
	for _, faults := range []memtable.Faults{{Down: true}, {LoseAnswers: true}} {
		store := memtable.New()
		k := newKeeper(store, true)
		k.run(t.Context(), time.Second)
		store.SetFaults(faults)
		calls := store.Calls()
		k.ended(1, 1, 2, 3)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		k.run(ctx, 10*time.Second)
		cancel()
		require.LessOrEqual(t, store.Calls()-calls, 11, "%+v", faults)
		require.Equal(t, 1, k.blocked())
		store.SetFaults(memtable.Faults{})
		k.run(t.Context(), 3*time.Second)
		after := newKeeper(store, true)
		after.run(t.Context(), time.Second)
		require.Equal(t, 1, after.blocked(), "%+v", faults)
	}
}

// The relays of all data centres know the same: one of them writes it.
func TestQuarantineTable_OneNodeWrites(t *testing.T) {
	store := memtable.New()
	keepers := []*keeper{newKeeper(store, true), newKeeper(store, false), newKeeper(store, false)}
	for range 40 {
		for _, k := range keepers {
			k.run(t.Context(), quarantineTick)
		}
		if time.Until(keepers[0].now) > 3*time.Second {
			for _, k := range keepers {
				k.ended(1, 1, 2, 3)
			}
		}
	}
	t.Logf("%d calls of three nodes in ten seconds", store.Calls())
	require.LessOrEqual(t, store.Calls(), 6)
	// The first one is cut off from the store.
	for _, k := range keepers[1:] {
		k.ended(2, 1, 2, 3)
	}
	for range 40 {
		for _, k := range keepers[1:] {
			k.run(t.Context(), quarantineTick)
		}
	}
	after := newKeeper(store, true)
	after.run(t.Context(), time.Second)
	require.Equal(t, 2, after.blocked())
}

// A flood of requests that end endpoints costs a bounded number of calls and rows. Measured
// here: 4,000 of them, ten seconds.
func TestQuarantineTable_BoundsItsRows(t *testing.T) {
	store := memtable.New()
	k := newKeeper(store, true)
	for content := range uint64(4000) {
		lives := []qlist.Incarnation{1, 2, 3}
		k.ended(content, lives[:2+content%2]...)
	}
	k.run(t.Context(), 10*time.Second)
	page, err := store.Read(t.Context(), QuarantineTable, "")
	require.NoError(t, err)
	t.Logf("%d calls, %d rows", store.Calls(), len(page.Rows))
	require.LessOrEqual(t, store.Calls(), 41)
	require.LessOrEqual(t, len(page.Rows), quarantineRows)
	after := newKeeper(store, true)
	after.run(t.Context(), time.Second)
	require.GreaterOrEqual(t, after.blocked(), quarantineRows/2, "those in quarantine have half of the rows at least")
	k.list.Expire(time.Now())
	calls := store.Calls()
	k.run(t.Context(), 10*time.Second)
	require.Equal(t, calls, store.Calls(), "a full table is left alone")
}

// Rows that another writer left say nothing, and the others hold.
func TestQuarantineTable_LeavesForeignRowsAlone(t *testing.T) {
	store := memtable.New()
	k := newKeeper(store, true)
	k.ended(1, 1, 2, 3)
	k.run(t.Context(), time.Second)
	rows := []table.Row{
		{Table: QuarantineTable, Key: "another", Value: []byte(`{"ends":[1,2,3]}`)},
		{Table: QuarantineTable, Key: contentOf(7).String(), Value: []byte{0xff, 0xfe}},
		{Table: QuarantineTable, Key: contentOf(8).String(), Value: []byte(`{"ends":"all"}`)},
		{Table: QuarantineTable, Key: contentOf(9).String(), Value: nil},
	}
	require.NoError(t, store.Force(table.Change{Writes: rows}))
	after := newKeeper(store, true)
	after.run(t.Context(), time.Second)
	require.Equal(t, 1, after.blocked())
	// Its own row of such a content is written all the same.
	after.ended(7, 1, 2, 3)
	after.run(t.Context(), 5*time.Second)
	again := newKeeper(store, true)
	again.run(t.Context(), time.Second)
	require.Equal(t, 2, again.blocked())
}

// What a row takes of the table: 102 bytes with three ends.
func TestQuarantineTable_BytesOfARow(t *testing.T) {
	row, err := json.Marshal(quarantineRow{Ends: []qlist.Incarnation{1 << 63, 1<<63 + 1, 1<<63 + 2}})
	require.NoError(t, err)
	rowBytes := len(row) + len(contentOf(1).String())
	t.Logf("%d bytes of a row with its key", rowBytes)
	require.LessOrEqual(t, rowBytes, 128)
}

// The store came back from a copy that was older than the rows: no node wrote them again, and
// when all were killed a request that had ended three endpoints was sent on.
func TestQuarantineTable_RewritesWhatAnOlderCopyLacks(t *testing.T) {
	store := memtable.New()
	older := store.Copy()
	k := newKeeper(store, true)
	for n := range uint64(250) {
		k.ended(n, 1, 2, 3)
	}
	k.run(t.Context(), 2*time.Second)
	require.NotEmpty(t, rowsOf(t, store))

	store.Restore(older)
	require.Empty(t, rowsOf(t, store))
	k.run(t.Context(), quarantineTick)
	require.LessOrEqual(t, len(rowsOf(t, store)), rowsWritten, "not all at once")
	k.run(t.Context(), 2*time.Second)
	require.Len(t, rowsOf(t, store), 250)
}

func rowsOf(t *testing.T, store *memtable.Table) []table.Row {
	t.Helper()
	page, err := store.Read(t.Context(), QuarantineTable, "")
	require.NoError(t, err)
	return page.Rows
}
