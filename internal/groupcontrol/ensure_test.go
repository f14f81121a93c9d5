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

// newOperation returns an operation on one endpoint that is listed and in no group.
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

// Guards against taking a member of another group for free after the leave of a group that
// could not be formed with it.
func TestRecordAccepted_IgnoresLeaveOfAnotherGroup(t *testing.T) {
	op, e := newOperation(t)
	serves := serving.Membership{Group: "serves", Epoch: 3, State: serving.MemberOpen}

	op.recordAccepted(e, serving.Order{Kind: serving.OrderLeave, Group: "failed", Epoch: 4}, knownState{0, 5, serves})
	state, known := op.lastState(e)
	require.True(t, known)
	require.Equal(t, knownState{0, 5, serves}, state)
	require.Equal(t, "serves", op.directory.View().Endpoints["e"].Membership.Group)

	op.recordAccepted(e, serving.Order{Kind: serving.OrderLeave, Group: "serves", Epoch: 3}, knownState{0, 5, serves})
	state, _ = op.lastState(e)
	require.Equal(t, knownState{orders: 6}, state)
	require.Empty(t, op.directory.View().Endpoints["e"].Membership.Group)
}

// Guards against an endpoint in two operations: a failed operation releases its members one by
// one, and must not clear the marks of the operations that use them next.
func TestOperation_FinishKeepsMarksOfNextOperation(t *testing.T) {
	c := New(Options{LeaseTTL: time.Second}, memtable.New(), nil, directory.New(directory.Codec{}), nil)
	e := &serving.Endpoint{ID: "e"}
	first := c.begin([]*serving.Endpoint{e}, "m")
	first.release(e)
	require.False(t, c.isBusy("e"))
	second := c.begin([]*serving.Endpoint{e}, "m")
	first.release(e)
	require.True(t, c.isBusy("e"), "the next operation must keep its mark")
	first.finish()
	require.True(t, c.isBusy("e"), "the next operation must keep its mark")
	second.finish()
	require.False(t, c.isBusy("e"))
}

// Guards against counting a leave that had no effect: the wrong number of orders could match a
// join by another operation, and the next join would take the endpoint out of an open group.
func TestRecordAccepted_IgnoresLeaveOfFreeEndpoint(t *testing.T) {
	op, e := newOperation(t)
	before := knownState{0, 5, serving.Membership{}}
	join := serving.Order{Kind: serving.OrderJoin, Group: "opens", Epoch: 3, Model: "m", Members: []serving.EndpointID{"e"}}
	op.recordAccepted(e, join, before)
	op.recordAccepted(e, serving.Order{Kind: serving.OrderLeave, Group: "failed", Epoch: 2}, before)
	state, known := op.lastState(e)
	require.False(t, known && state.membership.Group == "", "must be unknown or in its group")
	require.Equal(t, "opens", op.directory.View().Endpoints["e"].Membership.Group)
}
