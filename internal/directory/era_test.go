package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// rowInEra returns an endpoint's row with a version number in an era.
func rowInEra(t *testing.T, era, number uint64, e serving.Endpoint) table.Row {
	t.Helper()
	value, err := json.Marshal(e)
	require.NoError(t, err)
	return table.Row{Key: string(e.ID), Value: value, Version: table.VersionInEra(era, number)}
}

func jsonCodec() Codec {
	return Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}}
}

// memberEndpoint returns an endpoint that is in a group.
func memberEndpoint(writes, epoch uint64, draining bool) serving.Endpoint {
	return serving.Endpoint{
		ID: "e", StartedAt: 5, Service: "llm", Address: "10.0.0.1:1", DataCentre: "north", Slots: 8, Writes: writes, Draining: draining,
		Membership: serving.Membership{Group: "g", Epoch: epoch, State: serving.MemberOpen},
	}
}

// Rows of a restored older copy must not undo a drain, a change of group or a removal that the
// node knows of. Rows that the endpoint writes afterwards apply.
func TestEra_IgnoresRowsOfOlderCopy(t *testing.T) {
	now := time.Now()
	removal := table.Row{Key: "e", Version: table.VersionInEra(1, 20), Removed: true}
	tests := map[string]struct {
		known []table.Row
		copy  serving.Endpoint
		// listed, draining and epoch are the expected state after the copy's row.
		listed   bool
		draining bool
		epoch    uint64
		// after is the row that the endpoint writes next; it is listed then.
		after         serving.Endpoint
		drainingAfter bool
	}{
		"draining":                     {[]table.Row{rowInEra(t, 1, 10, memberEndpoint(8, 3, true))}, memberEndpoint(6, 3, false), true, true, 3, memberEndpoint(9, 3, true), true},
		"draining, equal write counts": {[]table.Row{rowInEra(t, 1, 10, memberEndpoint(8, 3, true))}, memberEndpoint(8, 3, false), true, true, 3, memberEndpoint(9, 3, true), true},
		"dissolved group":              {[]table.Row{rowInEra(t, 1, 10, memberEndpoint(8, 4, false))}, memberEndpoint(6, 3, false), true, false, 4, memberEndpoint(9, 4, false), false},
		"removed endpoint":             {[]table.Row{rowInEra(t, 1, 10, memberEndpoint(8, 3, false)), removal}, memberEndpoint(8, 3, false), false, false, 0, memberEndpoint(9, 3, false), false},
		"unchanged":                    {[]table.Row{rowInEra(t, 1, 10, memberEndpoint(8, 3, false))}, memberEndpoint(8, 3, false), true, false, 3, memberEndpoint(9, 3, false), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(jsonCodec())
			for _, row := range test.known {
				d.ApplySnapshot([]table.Row{row}, row.Version, now)
				if row.Removed {
					d.ApplySnapshot(nil, row.Version, now)
				}
			}
			restored := now.Add(time.Second)
			d.ApplySnapshot([]table.Row{rowInEra(t, 2, 7, test.copy)}, table.VersionInEra(2, 7), restored)
			e := d.View().Endpoints["e"]
			require.Equal(t, test.listed, e != nil)
			if e != nil {
				require.Equal(t, test.draining, e.Draining)
				require.Equal(t, test.epoch, e.Membership.Epoch)
			}
			d.ApplyChanges([]table.Row{rowInEra(t, 2, 9, test.after)}, table.VersionInEra(2, 7), table.VersionInEra(2, 9), restored)
			e = d.View().Endpoints["e"]
			require.NotNil(t, e)
			require.Equal(t, test.drainingAfter, e.Draining)
		})
	}
}

// An endpoint added after the copy was taken has no row until it writes it again, and stays listed
// for the grace period.
func TestEra_ReturnGraceForRowsMissingInCopy(t *testing.T) {
	d := New(jsonCodec())
	d.SetReturnGrace(DefaultReturnGrace)
	now := time.Now()
	d.ApplySnapshot([]table.Row{rowInEra(t, 1, 10, memberEndpoint(1, 3, false))}, table.VersionInEra(1, 10), now)
	restored := now.Add(100 * time.Millisecond)
	d.ApplySnapshot(nil, table.VersionInEra(2, 4), restored)
	require.NotNil(t, d.View().Endpoints["e"])
	d.Refresh(restored.Add(DefaultReturnGrace + time.Millisecond))
	require.Nil(t, d.View().Endpoints["e"])
}

// A relay node may still be in the previous era: its rows are ignored, and a watch must not
// continue from its version.
func TestEra_IgnoresPeersOfEarlierEra(t *testing.T) {
	d := New(jsonCodec())
	now := time.Now()
	d.ApplySnapshot(nil, table.VersionInEra(2, 4), now)
	d.ApplyChanges([]table.Row{rowInEra(t, 1, 900, memberEndpoint(8, 3, false))}, table.VersionInEra(1, 899), table.VersionInEra(1, 900), now)
	require.Nil(t, d.View().Endpoints["e"])
	version, _ := d.TableVersion()
	require.Equal(t, table.VersionInEra(2, 4), version)
}

// A node that crossed an era change by deltas of peers keeps rows with versions of the earlier
// era. A new node that ignored them rejected requests to their endpoints until it was restarted.
func TestEra_NewNodeAcceptsRowsOfEarlierEra(t *testing.T) {
	now := time.Now()
	old := New(jsonCodec())
	old.ApplySnapshot([]table.Row{rowInEra(t, 1, 10, memberEndpoint(8, 3, false))}, table.VersionInEra(1, 10), now)
	old.ApplyChanges(nil, table.VersionInEra(1, 10), table.VersionInEra(2, 7), now)

	fresh := New(jsonCodec())
	rows, version := old.Changes(0)
	require.Equal(t, table.VersionInEra(2, 7), version)
	fresh.ApplyChanges(rows, 0, version, now)
	require.NotNil(t, fresh.View().Endpoints["e"])
}
