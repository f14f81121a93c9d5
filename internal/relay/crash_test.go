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

func TestIsReplaced(t *testing.T) {
	crashed := quarantine.Incarnation{Endpoint: "e", StartedAt: 5, Address: "a:1"}
	for _, test := range []struct {
		name   string
		listed []serving.Endpoint
		want   bool
	}{
		{"same incarnation", []serving.Endpoint{{ID: "e", StartedAt: 5, Address: "a:1"}}, false},
		{"not in the table", nil, false},
		{"another incarnation with its ID", []serving.Endpoint{{ID: "e", StartedAt: 6, Address: "a:1"}}, true},
		{"another endpoint at its address", []serving.Endpoint{{ID: "f", StartedAt: 6, Address: "a:1"}}, true},
		{"another endpoint elsewhere", []serving.Endpoint{{ID: "f", StartedAt: 6, Address: "b:1"}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := &directory.View{Endpoints: map[serving.EndpointID]*serving.Endpoint{}}
			for _, e := range test.listed {
				view.Endpoints[e.ID] = &e
			}
			require.Equal(t, test.want, isReplaced(view, crashed))
		})
	}
}

func crashCount(q *quarantine.Quarantine, f qlist.Fingerprint) int {
	return len(q.Record(f).Crashes)
}

// newCrashingEndpoint returns an endpoint that stops listening when it gets its first request, and
// breaks off its response: by default a stream, after its first event.
func newCrashingEndpoint(t *testing.T, response ...script) *endpoint {
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
			e.received = append(e.received, r)
			e.mu.Unlock()
			_ = listener.Close()
			append(response, events(1, 1, breakStream))[0](conn, r)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return e
}

// A request that crashed MaxCrashes endpoints must be rejected before it reaches another one, while
// other requests are still served.
func TestQuarantine_RejectsAfterMaxCrashes(t *testing.T) {
	heads := []*endpoint{newCrashingEndpoint(t), newCrashingEndpoint(t), newCrashingEndpoint(t), newEndpoint(t, events(1, 3, endStream))}
	fx := newFixture(t, nil, heads)
	pool := directory.Pool{Service: "llm", Model: "m"}
	all := fx.view.Heads[pool]
	crasher := request(hostStream)
	f := qlist.FingerprintOf([]byte("bakery"), []byte(crasher.Host), []byte(crasher.Method), []byte(crasher.URI), crasher.Body)
	for i := range qlist.MaxCrashes {
		fx.view.Heads[pool] = all[i : i+1]
		require.NotEqual(t, http.StatusServiceUnavailable, fx.serve(crasher).status)
		require.Len(t, heads[i].requests(), 1)
		require.Eventually(t, func() bool { return crashCount(fx.relay.options.Quarantine, f) == i+1 }, testTimeout, time.Millisecond)
	}
	fx.view.Heads[pool] = all[qlist.MaxCrashes:]
	out := fx.serve(crasher)
	require.Equal(t, http.StatusServiceUnavailable, out.status)
	require.Equal(t, quarantineRetryAfter.String(), out.header.Get("After"))
	require.Empty(t, heads[qlist.MaxCrashes].requests())
	other := request(hostStream)
	other.URI += "&other"
	require.Equal(t, http.StatusOK, fx.serve(other).status)
}

// A request must not be retried before the probe of the endpoint that it may have crashed is done.
func TestQuarantine_StopsRetriesAfterMaxCrashes(t *testing.T) {
	endpoints := []*endpoint{newCrashingEndpoint(t), newCrashingEndpoint(t), newCrashingEndpoint(t), newCrashingEndpoint(t)}
	fx := newFixture(t, endpoints, nil)
	all := fx.view.Plain["shop"]
	crasher := request(hostPlain)
	f := qlist.FingerprintOf([]byte("bakery"), []byte(crasher.Host), []byte(crasher.Method), []byte(crasher.URI), crasher.Body)
	fx.view.Plain["shop"] = all[:2]
	fx.serve(crasher)
	require.Eventually(t, func() bool { return crashCount(fx.relay.options.Quarantine, f) == 2 }, testTimeout, time.Millisecond)
	fx.view.Plain["shop"] = all[2:]
	fx.serve(crasher)
	require.Len(t, append(endpoints[2].requests(), endpoints[3].requests()...), 1)
}

// A response without framing looks complete when its endpoint crashes, so it must not clear the
// request of earlier crashes.
func TestQuarantine_IgnoresUnframedResponses(t *testing.T) {
	fx := newFixture(t, nil, []*endpoint{newCrashingEndpoint(t), newEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.Header.Get("Last") == "1" {
			nothingLeft(c, r)
			return
		}
		_, _ = c.Write([]byte(responseHead(r, 200) + "\r\n" + eventText(1)))
		_ = c.Close()
	})})
	pool := directory.Pool{Service: "llm", Model: "m"}
	all := fx.view.Heads[pool]
	crasher := request(hostStream)
	f := qlist.FingerprintOf([]byte("bakery"), []byte(crasher.Host), []byte(crasher.Method), []byte(crasher.URI), crasher.Body)
	fx.view.Heads[pool] = all[:1]
	fx.serve(crasher)
	require.Eventually(t, func() bool { return crashCount(fx.relay.options.Quarantine, f) == 1 }, testTimeout, time.Millisecond)
	fx.view.Heads[pool] = all[1:]
	require.True(t, fx.serve(crasher).ended, "the client receives the response")
	require.Equal(t, 1, crashCount(fx.relay.options.Quarantine, f))
}

// A frequent request is in flight at endpoints that crash for unrelated reasons; each success must
// clear it.
func TestQuarantine_SuccessClearsCrashes(t *testing.T) {
	fx := newFixture(t, nil, []*endpoint{newEndpoint(t, events(1, 3, endStream)), newCrashingEndpoint(t), newCrashingEndpoint(t), newCrashingEndpoint(t), newCrashingEndpoint(t)})
	pool := directory.Pool{Service: "llm", Model: "m"}
	all := fx.view.Heads[pool]
	popular := request(hostStream)
	f := qlist.FingerprintOf([]byte("bakery"), []byte(popular.Host), []byte(popular.Method), []byte(popular.URI), popular.Body)
	for _, crashing := range all[1:] {
		fx.view.Heads[pool] = []*directory.Head{crashing}
		fx.serve(popular)
		require.Eventually(t, func() bool { return crashCount(fx.relay.options.Quarantine, f) == 1 }, testTimeout, time.Millisecond)
		fx.view.Heads[pool] = all[:1]
		require.Equal(t, http.StatusOK, fx.serve(popular).status)
		require.Zero(t, crashCount(fx.relay.options.Quarantine, f))
	}
}
