package directory

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// newLargeDirectory returns a directory of 1,107 endpoints.
func newLargeDirectory(tb testing.TB) *Directory {
	tb.Helper()
	d := New(Codec{Endpoint: func(_ string, value []byte) (e serving.Endpoint, err error) {
		return e, json.Unmarshal(value, &e)
	}})
	d.SetLogsEachChange(func(serving.DataCentre) bool { return false })
	var rows []table.Row
	for i := range 1107 {
		id := fmt.Sprintf("e%04d", i)
		value, err := json.Marshal(serving.Endpoint{ID: serving.EndpointID(id), Service: "llm", Domain: fmt.Sprint(i / 73)})
		require.NoError(tb, err)
		rows = append(rows, table.Row{Key: id, Value: value, Version: uint64(i + 1)})
	}
	d.ApplySnapshot(rows, 1107, time.Now())
	d.configuration = &serving.Configuration{Version: 1, Services: map[string]serving.Service{"llm": {Name: "llm", Engine: &serving.Engine{}}}}
	return d
}

// Guards against building a view for each observation of a message.
func TestView_BuiltOnceForManyChanges(t *testing.T) {
	d := newLargeDirectory(t)
	before := d.View()
	for i := range 219 {
		d.Observe(Observation{ID: serving.EndpointID(fmt.Sprintf("e%04d", i)), Membership: serving.Membership{Group: "g", Epoch: 1}, Orders: 1}, false, time.Now())
		require.Same(t, before, d.view.Load(), "no view is built before the next call of View")
	}
	require.Equal(t, "g", d.View().Endpoints["e0218"].Membership.Group)
	require.Same(t, d.View(), d.View())
}

// Guards against reading the previous view while another goroutine builds the next: an endpoint that
// has just left its group would count as a member, and the group be dissolved a second time.
func TestView_ConcurrentReadersSeeLatestChange(t *testing.T) {
	d := newLargeDirectory(t)
	before := d.View()
	building, finish := make(chan struct{}), make(chan struct{})
	var once sync.Once
	d.SetDraining(func(serving.Incarnation) bool {
		once.Do(func() {
			close(building)
			<-finish
		})
		return false
	})
	d.Observe(Observation{ID: "e0000", Membership: serving.Membership{Group: "g", Epoch: 1}, Orders: 1}, true, time.Now())
	views := make(chan *View, 2)
	go func() { views <- d.View() }()
	<-building
	go func() { views <- d.View() }()
	select {
	case stale := <-views:
		require.True(t, before != stale, "the reader did not wait for the view that was being built")
	case <-time.After(50 * time.Millisecond):
	}
	close(finish)
	for range 2 {
		require.Equal(t, "g", (<-views).Endpoints["e0000"].Membership.Group)
	}
}

func BenchmarkObservations(b *testing.B) {
	d := newLargeDirectory(b)
	for epoch := range uint64(b.N) {
		for i := range 219 {
			d.Observe(Observation{ID: serving.EndpointID(fmt.Sprintf("e%04d", i)), Membership: serving.Membership{Group: "g", Epoch: epoch + 1}, Orders: epoch + 1}, false, time.Now())
		}
		_ = d.View()
	}
}

// Operations look at single endpoints many times a second. With a view built for each look, the
// controller of a thousand endpoints spends its processor on views while groups are formed.
func TestEndpoint_BuildsNoView(t *testing.T) {
	d := newLargeDirectory(t)
	before := d.View()
	draining := serving.EndpointID("e0003")
	d.SetDraining(func(inc serving.Incarnation) bool { return inc.ID == draining })
	d.Observe(Observation{ID: "e0001", Membership: serving.Membership{Group: "g", Epoch: 1}, Orders: 1}, true, time.Now())
	d.ApplyChanges([]table.Row{{Key: "e0002", Version: 1 << 20, Removed: true}}, 0, 1<<20, time.Now())
	looked := map[serving.EndpointID]*serving.Endpoint{}
	for _, id := range []serving.EndpointID{"e0000", "e0001", "e0002", draining, "unknown"} {
		looked[id] = d.Endpoint(id)
	}
	require.Same(t, before, d.view.Load())
	for id, e := range looked {
		require.Equal(t, d.View().Endpoints[id], e, id)
	}
	require.Equal(t, "g", looked["e0001"].Membership.Group)
	require.Nil(t, looked["e0002"])
	require.True(t, looked[draining].Draining)
}
