package groupcontrol

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// newOperation returns an operation whose only member is an endpoint that is listed and in
// no group.
func newOperation(t *testing.T) (*operation, *serving.Endpoint) {
	t.Helper()
	d := directory.New(directory.Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}})
	e := &serving.Endpoint{ID: "e", Model: "m"}
	value, err := json.Marshal(e)
	require.NoError(t, err)
	d.ApplyChanges([]table.Row{{Key: "e", Value: value, Version: 1}}, 0, 1, time.Now())
	c := New(Options{LeaseTTL: time.Second}, memtable.New(), nil, d, nil)
	return c.begin([]*serving.Endpoint{e}, "m"), e
}

// A group could not be formed since an endpoint was in another one. The leave of
// the group that was not formed must not make it look free: a controller tried the same
// three endpoints for ten seconds.
func TestALeaveOfAnotherGroupFreesNobody(t *testing.T) {
	op, e := newOperation(t)
	serves := serving.Membership{Group: "serves", Epoch: 3, State: serving.MemberOpen}

	op.recordAccepted(e, serving.Order{Kind: serving.OrderLeave, Group: "not formed", Epoch: 4}, knownState{0, 5, serves})
	state, known := op.lastState(e)
	require.True(t, known)
	require.Equal(t, knownState{0, 5, serves}, state)
	require.Equal(t, "serves", op.directory.View().Endpoints["e"].Membership.Group)

	op.recordAccepted(e, serving.Order{Kind: serving.OrderLeave, Group: "serves", Epoch: 3}, knownState{0, 5, serves})
	state, _ = op.lastState(e)
	require.Equal(t, knownState{orders: 6}, state)
	require.Empty(t, op.directory.View().Endpoints["e"].Membership.Group)
}

// At 300 nodes before 3,000 endpoints an endpoint was joined to a group while the one that it
// was in was open. An operation that fails lets its members go one by one, and those that have
// left are used again at once; when it ended, it took the marks of whoever used them next for
// its own, since marks were names of models. The endpoint was then in two operations. This
// was found by reading: of that day there are no logs.
func TestAnOperationThatEndsKeepsTheMarksOfTheNext(t *testing.T) {
	c := New(Options{LeaseTTL: time.Second}, memtable.New(), nil, directory.New(directory.Codec{}), nil)
	e := &serving.Endpoint{ID: "e"}
	first := c.begin([]*serving.Endpoint{e}, "m")
	first.release(e)
	require.False(t, c.isBusy("e"))
	second := c.begin([]*serving.Endpoint{e}, "m")
	first.release(e)
	require.True(t, c.isBusy("e"), "the next operation has it")
	first.finish()
	require.True(t, c.isBusy("e"), "the next operation has it")
	second.finish()
	require.False(t, c.isBusy("e"))
}

// A leave of an endpoint that was believed in no group changes nothing there, so it did not
// take an order. Counted as one, the number was that of a join which another operation gave
// it meanwhile: it looked free at the very number of orders that it had, and its next join
// took it out of an open group.
func TestALeaveOfAnEndpointInNoGroupIsNotCounted(t *testing.T) {
	op, e := newOperation(t)
	before := knownState{0, 5, serving.Membership{}}
	join := serving.Order{Kind: serving.OrderJoin, Group: "opens", Epoch: 3, Model: "m", Members: []serving.EndpointID{"e"}}
	op.recordAccepted(e, join, before)
	op.recordAccepted(e, serving.Order{Kind: serving.OrderLeave, Group: "not formed", Epoch: 2}, before)
	state, known := op.lastState(e)
	require.False(t, known && state.membership.Group == "", "it is asked before its next join, or known to be in its group")
	require.Equal(t, "opens", op.directory.View().Endpoints["e"].Membership.Group)
}
