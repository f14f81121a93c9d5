package directory

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// known returns a directory with one endpoint.
func known(t *testing.T) (d *Directory, row func(serving.Membership, string), membership func() serving.Membership) {
	d = New(Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}})
	version := uint64(0)
	row = func(m serving.Membership, model string) {
		version++
		value, err := json.Marshal(serving.Endpoint{ID: "e", Membership: m, Model: model})
		require.NoError(t, err)
		d.TakeChanges([]table.Row{{Key: "e", Value: value, Version: version}}, 0, version, time.Now())
	}
	row(serving.Membership{}, "")
	return d, row, func() serving.Membership { return d.View().Endpoints["e"].Membership }
}

func observe(d *Directory, m serving.Membership, orders uint64) {
	d.Observe(Observation{ID: "e", Model: "m", Membership: m, Orders: orders}, false, time.Now())
}

// A peer's message came after a later one, and the head of an open group looked
// like one that is not open yet. Found by a test of the emulator beside load.
func TestAnOlderObservationOfAGroupIsLeftAside(t *testing.T) {
	d, _, membership := known(t)
	open := serving.Membership{Group: "g", Epoch: 3, State: serving.MemberOpen}
	ready := serving.Membership{Group: "g", Epoch: 3, State: serving.MemberReady}
	observe(d, open, 2)
	observe(d, ready, 2)
	require.Equal(t, open, membership())
	observe(d, serving.Membership{Group: "h", Epoch: 4, State: serving.MemberJoining}, 4)
	require.Equal(t, "h", membership().Group)
}

func TestARowOfAGroupThatWasLeftBringsItNotBack(t *testing.T) {
	d, row, membership := known(t)
	observe(d, serving.Membership{Group: "g", Epoch: 3, State: serving.MemberJoining}, 1)
	observe(d, serving.Membership{}, 2)
	row(serving.Membership{Group: "g", Epoch: 3, State: serving.MemberReady}, "m")
	require.Empty(t, membership().Group)
	row(serving.Membership{Group: "h", Epoch: 4, State: serving.MemberJoining}, "m")
	require.Equal(t, "h", membership().Group)
}

// What an endpoint can start at once is the model of its last group, which its
// row does not tell while it is in none.
func TestTheModelOfTheLastGroupIsRemembered(t *testing.T) {
	d, row, _ := known(t)
	row(serving.Membership{Group: "g", Epoch: 3, State: serving.MemberReady}, "m")
	row(serving.Membership{}, "")
	require.Equal(t, "m", d.View().Endpoints["e"].Model)
}
