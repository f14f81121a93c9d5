package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// rowIn is an endpoint's row at a number in an era.
func rowIn(t *testing.T, era, number uint64, e serving.Endpoint) table.Row {
	t.Helper()
	value, err := json.Marshal(e)
	require.NoError(t, err)
	return table.Row{Key: string(e.ID), Value: value, Version: table.VersionInEra(era, number)}
}

// plainCodec reads rows that are plain JSON.
func plainCodec() Codec {
	return Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}}
}

// member is a record of an endpoint in its group.
func member(writes, epoch uint64, leaving bool) serving.Endpoint {
	return serving.Endpoint{
		ID: "e", StartedAt: 5, Service: "llm", Address: "10.0.0.1:1", DataCentre: "north", Slots: 8, Writes: writes, Draining: leaving,
		Membership: serving.Membership{Group: "g", Epoch: epoch, State: serving.MemberOpen},
	}
}

// What the store lost is known here, and its copy's rows do not bring back what was before:
// a notice to leave, a group that has ended, an endpoint that has gone. What the endpoint
// writes after it counts.
func TestRowsOfAnOlderCopyBringNothingBack(t *testing.T) {
	now := time.Now()
	gone := table.Row{Key: "e", Version: table.VersionInEra(1, 20), Removed: true}
	tests := map[string]struct {
		known []table.Row
		copy  serving.Endpoint
		// listed, leaving and epoch are what is known with the copy's row.
		listed  bool
		leaving bool
		epoch   uint64
		// after is what the endpoint writes itself, and then it is listed or not.
		after       serving.Endpoint
		afterLeaves bool
	}{
		"a notice to leave":         {[]table.Row{rowIn(t, 1, 10, member(8, 3, true))}, member(6, 3, false), true, true, 3, member(9, 3, true), true},
		"a notice, at equal counts": {[]table.Row{rowIn(t, 1, 10, member(8, 3, true))}, member(8, 3, false), true, true, 3, member(9, 3, true), true},
		"a group that has ended":    {[]table.Row{rowIn(t, 1, 10, member(8, 4, false))}, member(6, 3, false), true, false, 4, member(9, 4, false), false},
		"an endpoint that has gone": {[]table.Row{rowIn(t, 1, 10, member(8, 3, false)), gone}, member(8, 3, false), false, false, 0, member(9, 3, false), false},
		"the same as before":        {[]table.Row{rowIn(t, 1, 10, member(8, 3, false))}, member(8, 3, false), true, false, 3, member(9, 3, false), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(plainCodec())
			for _, row := range test.known {
				d.ApplySnapshot([]table.Row{row}, row.Version, now)
				if row.Removed {
					d.ApplySnapshot(nil, row.Version, now)
				}
			}
			restored := now.Add(time.Second)
			d.ApplySnapshot([]table.Row{rowIn(t, 2, 7, test.copy)}, table.VersionInEra(2, 7), restored)
			e := d.View().Endpoints["e"]
			require.Equal(t, test.listed, e != nil)
			if e != nil {
				require.Equal(t, test.leaving, e.Draining)
				require.Equal(t, test.epoch, e.Membership.Epoch)
			}
			d.ApplyChanges([]table.Row{rowIn(t, 2, 9, test.after)}, table.VersionInEra(2, 7), table.VersionInEra(2, 9), restored)
			e = d.View().Endpoints["e"]
			require.NotNil(t, e)
			require.Equal(t, test.afterLeaves, e.Draining)
		})
	}
}

// An endpoint that came after the copy was made has no row until it writes again: it counts as
// listed meanwhile, and no longer.
func TestAnEndpointThatTheCopyLacksIsWaitedFor(t *testing.T) {
	d := New(plainCodec())
	d.SetReturnGrace(DefaultReturnGrace)
	now := time.Now()
	d.ApplySnapshot([]table.Row{rowIn(t, 1, 10, member(1, 3, false))}, table.VersionInEra(1, 10), now)
	restored := now.Add(100 * time.Millisecond)
	d.ApplySnapshot(nil, table.VersionInEra(2, 4), restored)
	require.NotNil(t, d.View().Endpoints["e"])
	d.Refresh(restored.Add(DefaultReturnGrace + time.Millisecond))
	require.Nil(t, d.View().Endpoints["e"])
}

// Relays may be of the era before: what they tell of rows is left aside, and a watch does not
// go on from their version.
func TestPeersOfAnEarlierEraTellNothingOfRows(t *testing.T) {
	d := New(plainCodec())
	now := time.Now()
	d.ApplySnapshot(nil, table.VersionInEra(2, 4), now)
	d.ApplyChanges([]table.Row{rowIn(t, 1, 900, member(8, 3, false))}, table.VersionInEra(1, 899), table.VersionInEra(1, 900), now)
	require.Nil(t, d.View().Endpoints["e"])
	version, _ := d.TableVersion()
	require.Equal(t, table.VersionInEra(2, 4), version)
}

// A node that has just started is told all rows by one that lived through the change of era and
// learnt it from peers, which told only what had changed: the rows of the others have versions
// of the era before. A fresh node that left them aside knew no endpoint of a plain service, and
// refused all requests to it until it was started again.
func TestAFreshNodeIsToldRowsOfTheEraBefore(t *testing.T) {
	now := time.Now()
	lived := New(plainCodec())
	lived.ApplySnapshot([]table.Row{rowIn(t, 1, 10, member(8, 3, false))}, table.VersionInEra(1, 10), now)
	lived.ApplyChanges(nil, table.VersionInEra(1, 10), table.VersionInEra(2, 7), now)

	fresh := New(plainCodec())
	rows, version := lived.Changes(0)
	require.Equal(t, table.VersionInEra(2, 7), version)
	fresh.ApplyChanges(rows, 0, version, now)
	require.NotNil(t, fresh.View().Endpoints["e"])
}
