package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// noticeTest applies rows of one endpoint to a directory.
type noticeTest struct {
	t       *testing.T
	d       *Directory
	version uint64
	now     time.Time
	notices int
}

func newNoticeTest(t *testing.T) *noticeTest {
	nt := &noticeTest{t: t, now: time.Now()}
	nt.d = New(Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}})
	nt.d.SetReturnGrace(DefaultReturnGrace)
	nt.d.SetOnNotice(func() { nt.notices++ })
	return nt
}

// row returns the next row of the endpoint.
func (nt *noticeTest) row(draining, removed bool) table.Row {
	nt.version++
	value, err := json.Marshal(serving.Endpoint{ID: "e", StartedAt: 1, Service: "shop", Address: "a:1", Slots: int(nt.version), Draining: draining})
	require.NoError(nt.t, err)
	return table.Row{Key: "e", Value: value, Version: nt.version, Removed: removed}
}

// read applies a row as read from the store.
func (nt *noticeTest) read(row table.Row) {
	nt.d.RecordRead(nt.now, nt.now)
	nt.d.ApplyChanges([]table.Row{row}, nt.version-1, nt.version, nt.now)
}

func (nt *noticeTest) keys(after uint64, ownOnly bool) (keys []string) {
	rows, _ := nt.d.Notices(after, ownOnly)
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	return keys
}

// Only rows that take an endpoint out of service may use the streams of notices, each of them once.
func TestNotices_ListsLeavingRowsOnly(t *testing.T) {
	nt := newNoticeTest(t)
	nt.read(nt.row(false, false))
	require.Empty(t, nt.keys(0, false))
	nt.read(nt.row(true, false))
	require.Equal(t, []string{"e"}, nt.keys(0, false))
	require.Equal(t, 1, nt.notices)
	nt.read(nt.row(true, false))
	require.Equal(t, 1, nt.notices, "a later row of an endpoint that leaves is no notice")
	nt.read(nt.row(true, true))
	require.Equal(t, 1, nt.notices, "nor is its end")
	_, last := nt.d.Notices(0, false)
	require.Empty(t, nt.keys(last, false))
}

func TestNotices_EndpointsThatReturnAreNone(t *testing.T) {
	nt := newNoticeTest(t)
	nt.read(nt.row(false, false))
	nt.read(nt.row(false, true))
	require.Equal(t, []string{"e"}, nt.keys(0, false))
	nt.read(nt.row(false, false))
	require.Empty(t, nt.keys(0, false), "it is listed again")
}

// The nodes of a data centre must not tell their relay each notice that it sent them.
func TestNotices_OwnOnlyLeavesOutThoseOfPeers(t *testing.T) {
	nt := newNoticeTest(t)
	nt.read(nt.row(false, false))
	nt.d.ApplyNotices(Update{Rows: []table.Row{nt.row(true, false)}, Source: "peer"}, nt.now, nt.now)
	require.Equal(t, []string{"e"}, nt.keys(0, false))
	require.Empty(t, nt.keys(0, true))
}

// Guards against a node that takes the rows before a notice for known, and never gets them.
func TestApplyNotices_KeepsTableVersion(t *testing.T) {
	nt := newNoticeTest(t)
	nt.read(nt.row(false, false))
	before, _ := nt.d.TableVersion()
	nt.version += 5
	nt.d.ApplyNotices(Update{Rows: []table.Row{nt.row(true, false)}, Source: "peer"}, nt.now, nt.now)
	after, _ := nt.d.TableVersion()
	require.Equal(t, before, after)
	require.True(t, nt.d.View().Endpoints["e"].Draining)
}

// Guards against endpoints that stay listed because rows which waited for large messages look like the
// return of the store after an outage.
func TestApplyNotices_DelayedRowsAreNoOutage(t *testing.T) {
	for _, test := range []struct {
		name    string
		notices bool
		listed  bool
	}{
		{"an outage: neither rows nor notices", false, true},
		{"rows late, notices in time", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			nt := newNoticeTest(t)
			nt.read(nt.row(false, false))
			for range 4 {
				nt.now = nt.now.Add(500 * time.Millisecond)
				if test.notices {
					nt.d.ApplyNotices(Update{}, nt.now, nt.now)
				}
			}
			removed := nt.row(false, true)
			nt.d.ApplyChanges([]table.Row{removed}, nt.version-1, nt.version, nt.now)
			require.Equal(t, test.listed, nt.d.View().Endpoints["e"] != nil)
			require.Equal(t, test.listed, len(nt.keys(0, false)) == 0, "an endpoint that is waited for has not left")
		})
	}
}

// An endpoint whose row was removed in an outage and does not return must be told once its grace period is
// over, to nodes that did not see the outage as well.
func TestNotices_AfterGracePeriod(t *testing.T) {
	nt := newNoticeTest(t)
	nt.read(nt.row(false, false))
	nt.now = nt.now.Add(5 * time.Second)
	nt.read(nt.row(false, true))
	require.Empty(t, nt.keys(0, false))
	nt.now = nt.now.Add(DefaultReturnGrace + time.Millisecond)
	nt.d.Refresh(nt.now)
	require.Equal(t, []string{"e"}, nt.keys(0, false))
}

// Guards against a starting node that takes the endpoints which leave for the whole table, and against one
// that forgets them when an older table arrives.
func TestApplyNotices_WaitForTable(t *testing.T) {
	for _, test := range []struct {
		name  string
		table func(nt *noticeTest, older table.Row)
	}{
		{"read", func(nt *noticeTest, older table.Row) {
			nt.d.ApplySnapshot([]table.Row{older}, older.Version, nt.now)
		}},
		{"from a peer", func(nt *noticeTest, older table.Row) {
			nt.d.Apply(Update{Rows: []table.Row{older}, Version: older.Version, Source: "peer"}, nt.now)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			nt := newNoticeTest(t)
			older := nt.row(false, false)
			nt.d.ApplyNotices(Update{Rows: []table.Row{nt.row(true, false)}, Source: "peer"}, nt.now, nt.now)
			require.Empty(t, nt.d.View().Endpoints)
			test.table(nt, older)
			require.True(t, nt.d.View().Endpoints["e"].Draining)
		})
	}
}
