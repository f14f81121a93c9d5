package relay

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// What the table of endpoints tells of one at which requests broke off.
func TestReplaced_FindsOtherIncarnations(t *testing.T) {
	at := quarantine.Incarnation{Endpoint: "e", StartedAt: 5, Address: "a:1"}
	for _, test := range []struct {
		name   string
		listed []serving.Endpoint
		want   bool
	}{
		{"it is listed", []serving.Endpoint{{ID: "e", StartedAt: 5, Address: "a:1"}}, false},
		{"it is not listed", nil, false},
		{"another incarnation has its id", []serving.Endpoint{{ID: "e", StartedAt: 6, Address: "a:1"}}, true},
		{"another endpoint has its address", []serving.Endpoint{{ID: "f", StartedAt: 6, Address: "a:1"}}, true},
		{"another endpoint is listed elsewhere", []serving.Endpoint{{ID: "f", StartedAt: 6, Address: "b:1"}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := &directory.View{Endpoints: map[serving.EndpointID]*serving.Endpoint{}}
			for _, e := range test.listed {
				view.Endpoints[e.ID] = &e
			}
			require.Equal(t, test.want, isReplaced(view, at))
		})
	}
}

func endsOf(q *quarantine.Quarantine, f qlist.Fingerprint) int {
	r, _ := q.Allowed(f, time.Now())
	return len(r.Crashes)
}

// crashing is an endpoint whose process ends when it has begun to answer.
func crashing(t *testing.T) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &endpoint{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				_ = conn.Close()
				continue
			}
			e.mu.Lock()
			e.seen = append(e.seen, r)
			e.mu.Unlock()
			_ = listener.Close()
			events(1, 1, broken)(conn, r)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return e
}

// A request ended one endpoint in each of its caller's tries. The fourth endpoint never sees
// it, its caller is told at once that it was not run, and others are served there.
func TestQuarantine_RejectsARequestThatCrashedThreeEndpoints(t *testing.T) {
	heads := []*endpoint{crashing(t), crashing(t), crashing(t), newEndpoint(t, events(1, 3, whole))}
	w := newWorld(t, nil, heads)
	pool := directory.Pool{Service: "llm", Model: "m"}
	all := w.view.Heads[pool]
	poison := request(hostStream)
	f := qlist.FingerprintOf([]byte("bakery"), []byte(poison.Host), []byte(poison.Method), []byte(poison.URI), poison.Body)
	for i := range qlist.MaxCrashes {
		w.view.Heads[pool] = all[i : i+1]
		require.NotEqual(t, http.StatusServiceUnavailable, w.serve(poison).status)
		require.Len(t, heads[i].arrivals(), 1)
		require.Eventually(t, func() bool { return endsOf(w.relay.options.Quarantine, f) == i+1 }, patience, time.Millisecond)
	}
	w.view.Heads[pool] = all[qlist.MaxCrashes:]
	out := w.serve(poison)
	require.Equal(t, http.StatusServiceUnavailable, out.status)
	require.Equal(t, quarantineRetryAfter.String(), out.header.Get("After"))
	require.Empty(t, heads[qlist.MaxCrashes].arrivals())
	innocent := request(hostStream)
	innocent.URI += "&other"
	require.Equal(t, http.StatusOK, w.serve(innocent).status)
}

// A request that had ended two endpoints ended a third one and was sent on to a fourth within
// the same try, before the dial had told that the third was gone.
func TestQuarantine_StopsRetriesAfterTheThirdCrash(t *testing.T) {
	endpoints := []*endpoint{crashing(t), crashing(t), crashing(t), crashing(t)}
	w := newWorld(t, endpoints, nil)
	all := w.view.Plain["shop"]
	poison := request(hostPlain)
	f := qlist.FingerprintOf([]byte("bakery"), []byte(poison.Host), []byte(poison.Method), []byte(poison.URI), poison.Body)
	w.view.Plain["shop"] = all[:2]
	w.serve(poison)
	require.Eventually(t, func() bool { return endsOf(w.relay.options.Quarantine, f) == 2 }, patience, time.Millisecond)
	w.view.Plain["shop"] = all[2:]
	w.serve(poison)
	require.Len(t, append(endpoints[2].arrivals(), endpoints[3].arrivals()...), 1)
}

// Streams that have no length and no last chunk end with their connection, and look whole when
// their endpoint ends. A request that had ended three endpoints was taken for one that was
// served, and was sent on: it needed three waves more each time.
func TestQuarantine_UnframedAnswersClearNothing(t *testing.T) {
	w := newWorld(t, nil, []*endpoint{crashing(t), newEndpoint(t, func(c net.Conn, r *http.Request) {
		_, _ = c.Write([]byte(head(r, 200) + "\r\n" + eventText(1)))
		_ = c.Close()
	})})
	pool := directory.Pool{Service: "llm", Model: "m"}
	all := w.view.Heads[pool]
	poison := request(hostStream)
	f := qlist.FingerprintOf([]byte("bakery"), []byte(poison.Host), []byte(poison.Method), []byte(poison.URI), poison.Body)
	w.view.Heads[pool] = all[:1]
	w.serve(poison)
	require.Eventually(t, func() bool { return endsOf(w.relay.options.Quarantine, f) == 1 }, patience, time.Millisecond)
	w.view.Heads[pool] = all[1:]
	require.True(t, w.serve(poison).ended, "its caller gets it as it is")
	require.Equal(t, 1, endsOf(w.relay.options.Quarantine, f))
}

// A popular request runs at every endpoint that ends of another cause. Each answer that it
// gets clears it.
func TestQuarantine_ServesAPopularRequestBesideUnrelatedCrashes(t *testing.T) {
	w := newWorld(t, nil, []*endpoint{newEndpoint(t, events(1, 3, whole)), crashing(t), crashing(t), crashing(t), crashing(t)})
	pool := directory.Pool{Service: "llm", Model: "m"}
	all := w.view.Heads[pool]
	popular := request(hostStream)
	f := qlist.FingerprintOf([]byte("bakery"), []byte(popular.Host), []byte(popular.Method), []byte(popular.URI), popular.Body)
	for _, ending := range all[1:] {
		w.view.Heads[pool] = []*directory.Head{ending}
		w.serve(popular)
		require.Eventually(t, func() bool { return endsOf(w.relay.options.Quarantine, f) == 1 }, patience, time.Millisecond)
		w.view.Heads[pool] = all[:1]
		require.Equal(t, http.StatusOK, w.serve(popular).status)
		require.Zero(t, endsOf(w.relay.options.Quarantine, f))
	}
}
