package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/standin/enginestandin"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/routing"
)

const (
	testKey = "workspace-key"
	maxBody = 4096
)

// testGateway is a gateway with one endpoint and without a control loop.
type testGateway struct {
	t       *testing.T
	gateway *Gateway
	server  *Server
	// close closes the server.
	close   func()
	address string
}

func newTestGateway(t *testing.T, endpoint http.Handler) *testGateway {
	t.Helper()
	return newTestGatewayFor(t, httptest.NewUnstartedServer(endpoint))
}

// newTestGatewayFor is newTestGateway with a server that is not started.
func newTestGatewayFor(t *testing.T, upstream *httptest.Server) *testGateway {
	t.Helper()
	upstream.Start()
	t.Cleanup(upstream.Close)
	client := engine.New(nil)
	t.Cleanup(client.Close)
	m := metrics.New("test", "dc")
	t.Cleanup(m.Close)
	g := New(Options{Node: "test", Engine: client, Metrics: m, MaxBody: maxBody, MaxAttempts: 2, RetryShare: 0.1,
		Quarantine: quarantine.NewQuarantine(func() bool { return false })})
	template := &configuration.Template{Name: "t", Model: "m", Version: "1", Service: "s"}
	workspace := configuration.Workspace{Name: "w", KeyHash: configuration.HashKey(testKey), Share: 1, MaxInFlight: 100, Deadline: 5 * time.Second}
	address := strings.TrimPrefix(upstream.URL, "http://")
	until := time.Now().Add(time.Hour)
	g.Publish(&control.Snapshot{
		CreatedAt:  time.Now(),
		Ready:      true,
		Workspaces: map[string]control.Workspace{workspace.KeyHash: {Workspace: workspace, Template: template}},
		Targets: []routing.Target{
			{Group: "g", Generation: 1, Address: address, Pool: control.ModelPool("t"), Slots: 8, Until: until},
			{Group: "service/s1", Address: address, Pool: control.ServicePool("s"), Slots: 8, Until: until},
		},
		Complete: map[fleet.GroupID]control.CompleteGroup{"g": {Generation: 1, Until: until}},
		Slots:    map[string]int{control.ModelPool("t"): 8, control.ServicePool("s"): 8},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &testGateway{t: t, gateway: g, address: listener.Addr().String()}
	require.NoError(t, listener.Close())
	server, err := Serve(ServerOptions{Address: b.address, MaxBody: maxBody, MaxRequests: 256, Handler: http.NotFoundHandler(), Gateway: g})
	require.NoError(t, err)
	b.server, b.close = server, sync.OnceFunc(server.Close)
	t.Cleanup(b.close)
	return b
}

func newEngineStandIn() *enginestandin.Server {
	o := enginestandin.DefaultOptions("e", 1)
	o.ChecksFences = false
	return enginestandin.New(o)
}

func (b *testGateway) send(method, path, body string, header map[string]string) (*http.Response, string) {
	b.t.Helper()
	request, err := http.NewRequest(method, "http://"+b.address+path, strings.NewReader(body))
	require.NoError(b.t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(b.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(b.t, err)
	return response, string(text)
}

const chatBody = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`

// Each invalid request gets a specific error, and a valid one after it is
// served.
func TestServe_RejectsInvalidRequests(t *testing.T) {
	b := newTestGateway(t, newEngineStandIn().Handler())
	long := strings.Repeat("x", 300)
	for _, c := range []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		want                     string
	}{
		{"wrong key", "POST", engine.PathChat, chatBody, map[string]string{"Authorization": "Bearer nope"}, 401, "no workspace has this key"},
		{"no bearer", "POST", engine.PathChat, chatBody, map[string]string{"Authorization": "Basic x"}, 401, "no workspace has this key"},
		{"bad JSON", "POST", engine.PathChat, `{"messages":`, nil, 400, "the body is not a JSON object"},
		{"no messages", "POST", engine.PathChat, `{}`, nil, 400, "messages must be a list"},
		{"stream not boolean", "POST", engine.PathChat, `{"messages":[],"stream":"yes"}`, nil, 400, "stream must be true or false"},
		{"unknown model", "POST", engine.PathChat, `{"model":"other","messages":[]}`, nil, 404, `workspace w has no model \"other\"`},
		{"unknown service", "POST", "/services/other/x", "", nil, 404, `workspace w has no service \"other\"`},
		{"unknown path", "POST", "/v1/other", "", nil, 404, "the paths are"},
		{"wrong method", "GET", engine.PathChat, "", nil, 405, "by POST"},
		{"too large", "POST", engine.PathChat, `{"messages":["` + strings.Repeat("x", maxBody-16) + `"]}`, nil, 413, "at most 4096"},
		{"far too large", "POST", engine.PathChat, strings.Repeat("x", 100*maxBody), nil, 413, "larger than this entry instance takes"},
		{"header too large", "POST", engine.PathChat, chatBody, map[string]string{"X-Large": strings.Repeat("x", 600<<10)}, 413, "larger than this entry instance takes"},
		{"bad timeout", "POST", engine.PathChat, chatBody, map[string]string{HeaderTimeout: "soon"}, 400, HeaderTimeout},
		{"bad deadline", "POST", engine.PathChat, chatBody, map[string]string{HeaderDeadline: "tomorrow"}, 400, HeaderDeadline},
		{"deadline past", "POST", engine.PathChat, chatBody, map[string]string{HeaderDeadline: "2020-01-01T00:00:00Z"}, 504, "the deadline had passed"},
		{"bad priority", "POST", engine.PathChat, chatBody, map[string]string{HeaderPriority: "urgent"}, 400, HeaderPriority},
		{"bad repeatable", "POST", engine.PathChat, chatBody, map[string]string{HeaderRepeatable: "maybe"}, 400, HeaderRepeatable},
		{"long key", "POST", engine.PathChat, chatBody, map[string]string{HeaderKey: long}, 400, HeaderKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			response, text := b.send(c.method, c.path, c.body, c.header)
			assert.Equal(t, c.status, response.StatusCode, text)
			assert.Equal(t, "not-run", response.Header.Get(HeaderOutcome))
			assert.Contains(t, text, c.want)
			response, text = b.send("POST", engine.PathChat, chatBody, nil)
			assert.Equal(t, 200, response.StatusCode, text)
		})
	}
}

// closeConnectionAfter writes the given text and closes the connection.
func closeConnectionAfter(text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = buffer.WriteString(text)
		_ = buffer.Flush()
		_ = conn.Close()
	})
}

// setTargets publishes other targets.
func (b *testGateway) setTargets(targets ...routing.Target) {
	s := *b.gateway.snapshot.Load()
	s.Targets = targets
	b.gateway.Publish(&s)
}

// Guards against a response that looks whole to its caller although its endpoint, which crashed in the middle, had not
// marked its end, and against one that is cut off because an endpoint that is leaving, or a node whose links are lost,
// looks like a crash.
func TestPlain_UnmarkedEndOfCrashingEndpoint(t *testing.T) {
	large := strings.Repeat("x", 10*copyBuffer)
	for _, test := range []struct {
		name, method, head, body string
		crashes                  bool
		// leaves and refusing are set if the endpoint is no longer listed, and if another one refuses dials too.
		leaves, refusing bool
		complete         bool
	}{
		{"unmarked, crash", "GET", "", "half", true, false, false, false},
		{"unmarked, crash, not repeatable", "POST", "", "half", true, false, false, false},
		{"unmarked, crash, large", "POST", "", large, true, false, false, false},
		{"unmarked, crash, empty", "GET", "", "", true, false, false, false},
		{"unmarked, leaving", "POST", "", "whole", true, true, false, true},
		{"unmarked, all endpoints refuse", "POST", "", "whole", true, false, true, true},
		{"unmarked, alive", "POST", "", "whole", false, false, false, true},
		{"length, crash", "POST", "Content-Length: 5\r\n", "whole", true, false, false, true},
		{"chunks, crash", "POST", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", true, false, false, true},
		{"head, crash", "HEAD", "", "", true, false, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var b *testGateway
			inner := closeConnectionAfter("HTTP/1.1 200 OK\r\n" + test.head + "\r\n" + test.body)
			var listener net.Listener
			upstream := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/pay" {
					// A probe of the links.
					return
				}
				if test.crashes {
					_ = listener.Close()
				}
				if test.leaves {
					b.setTargets()
				}
				inner.ServeHTTP(w, r)
			}))
			listener = upstream.Listener
			b = newTestGatewayFor(t, upstream)
			if test.refusing {
				b.setTargets(append(b.gateway.snapshot.Load().Targets, routing.Target{Group: "service/s2", Address: "127.0.0.1:1"})...)
			}
			request, err := http.NewRequest(test.method, "http://"+b.address+"/services/s/pay", nil)
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+testKey)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusOK, response.StatusCode)
			text, err := io.ReadAll(response.Body)
			if !test.complete {
				require.Error(t, err, "an incomplete response appears complete")
				return
			}
			require.NoError(t, err)
			if test.method != "HEAD" {
				require.Equal(t, "whole", string(text))
			}
		})
	}
}

// A request whose connection breaks after it was sent is never reported as not
// run, and is sent only once if it is not repeatable.
func TestServe_EndpointConnectionBreaks(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		status       int
		aborted      bool
	}{
		{"before the response", "", 502, false},
		{"in the header", "HTTP/1.1 200 OK\r\nContent-Ty", 502, false},
		{"in the body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", 200, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			inner := closeConnectionAfter(c.answer)
			b := newTestGateway(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				sent.Add(1)
				inner.ServeHTTP(w, r)
			}))
			request, err := http.NewRequest("POST", "http://"+b.address+"/services/s/pay", nil)
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+testKey)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			assert.Equal(t, c.status, response.StatusCode)
			_, err = io.ReadAll(response.Body)
			if c.aborted {
				assert.Error(t, err, "an incomplete response appears complete")
			} else {
				assert.Equal(t, "unknown", response.Header.Get(HeaderOutcome))
			}
			assert.Equal(t, int64(1), sent.Load())
		})
	}
}

// event returns one token of a response.
func event(attempt string, token int, text string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"ridgehinge_token\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", attempt, token, text)
}

// Events of another attempt, or out of order, never reach the caller.
func TestChat_DropsForeignEvents(t *testing.T) {
	for _, c := range []struct {
		name string
		body func(attempt string) string
	}{
		{"another attempt", func(a string) string { return event(a, 0, "mine") + event("other-1", 1, "theirs") }},
		{"repeated", func(a string) string { return event(a, 0, "mine") + event(a, 0, "theirs") }},
		{"skipped", func(a string) string { return event(a, 0, "mine") + event(a, 2, "theirs") }},
		{"cut off before [DONE]", func(a string) string { return event(a, 0, "mine") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestGateway(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, c.body(r.Header.Get(engine.HeaderAttempt)))
			}))
			_, text := b.send("POST", engine.PathChat, `{"stream":true,"messages":[]}`, map[string]string{HeaderRepeatable: "false"})
			assert.Contains(t, text, "mine")
			assert.NotContains(t, text, "theirs")
			assert.NotContains(t, text, "[DONE]")
			assert.Contains(t, text, "event: error")
			assert.Contains(t, text, `"outcome":"unknown"`)
		})
	}
}

// A caller that stops reading is disconnected instead of buffering without
// bound.
func TestServe_DisconnectsSlowReaders(t *testing.T) {
	other := newEngineStandIn().Handler()
	b := newTestGateway(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/large" {
			other.ServeHTTP(w, r)
			return
		}
		part := strings.Repeat("y", 64<<10)
		for range 400 {
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
		}
	}))
	conn, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /services/s/large HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
	require.NoError(t, err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	assert.Contains(t, line, "200")
	// The caller reads no further; the request must still end.
	require.Eventually(t, func() bool { return b.gateway.inFlight.Load() == 0 }, 30*time.Second, 10*time.Millisecond)
	response, text := b.send("POST", engine.PathChat, chatBody, nil)
	assert.Equal(t, 200, response.StatusCode, text)
}

// A stopping gateway rejects requests as not run.
func TestStop_RejectsNewRequests(t *testing.T) {
	b := newTestGateway(t, newEngineStandIn().Handler())
	b.gateway.stopping.Store(true)
	response, text := b.send("POST", engine.PathChat, chatBody, nil)
	assert.Equal(t, 503, response.StatusCode, text)
	assert.Equal(t, "not-run", response.Header.Get(HeaderOutcome))
	assert.Equal(t, "1", response.Header.Get("Retry-After"))
}

// When every attempt fails, retries stay within their budget.
func TestServe_LimitsRetries(t *testing.T) {
	var sent atomic.Int64
	b := newTestGateway(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sent.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	b.gateway.options.MaxAttempts = 3
	const requests = 100
	for range requests {
		b.gateway.mu.Lock()
		b.gateway.router.Finished(time.Now(), "g", 0, true)
		b.gateway.mu.Unlock()
		b.send("POST", engine.PathChat, chatBody, map[string]string{HeaderTimeout: "60"})
	}
	assert.LessOrEqual(t, sent.Load(), int64(requests+requests/10+maxRetryBudget))
}

// A stream has the role in its first event only and ends with the finish
// reason and [DONE].
func TestChat_StreamFormat(t *testing.T) {
	b := newTestGateway(t, newEngineStandIn().Handler())
	_, text := b.send("POST", engine.PathChat, `{"stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`, nil)
	events := strings.Split(strings.TrimSpace(text), "\n\n")
	require.Len(t, events, 5)
	assert.Contains(t, events[0], `"delta":{"role":"assistant","content":"`)
	assert.Contains(t, events[1], `"delta":{"content":"`)
	assert.Contains(t, events[2], `"delta":{"content":"`)
	assert.Contains(t, events[3], `"delta":{},"finish_reason":"stop"`)
	assert.Equal(t, "data: [DONE]", events[4])
}

// Guards against a stream that ends after its first event for a caller of HTTP/1.0, which has no chunks.
func TestChat_StreamOfHTTP10(t *testing.T) {
	b := newTestGateway(t, newEngineStandIn().Handler())
	_, want := b.send("POST", engine.PathChat, `{"stream":true,"messages":[]}`, nil)
	conn, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	defer conn.Close()
	body := `{"stream":true,"messages":[]}`
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", engine.PathChat, testKey, len(body), body)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.EqualValues(t, -1, response.ContentLength)
	require.Contains(t, string(text), "data: [DONE]")
	require.Equal(t, strings.Count(want, "\n\n"), strings.Count(string(text), "\n\n"))
}

// Responses without a body by method or status are passed on, and the
// connection is reused.
func TestPlain_ResponsesWithoutBody(t *testing.T) {
	b := newTestGateway(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/nothing":
			w.WriteHeader(http.StatusNoContent)
		case "/same":
			w.WriteHeader(http.StatusNotModified)
		case "/unknown":
			w.WriteHeader(520)
		case "/moved":
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(http.StatusSeeOther)
		default:
			w.Header().Set("Content-Length", "5")
			_, _ = io.WriteString(w, "hello")
		}
	}))
	client := &http.Client{Timeout: 10 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer client.CloseIdleConnections()
	for _, c := range []struct {
		method, path string
		status       int
		body         string
	}{
		{"HEAD", "/full", 200, ""},
		{"GET", "/nothing", 204, ""},
		{"GET", "/same", 304, ""},
		{"POST", "/moved", 303, ""},
		{"POST", "/unknown", 502, ""},
		{"GET", "/full", 200, "hello"},
	} {
		request, err := http.NewRequest(c.method, "http://"+b.address+"/services/s"+c.path, nil)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+testKey)
		response, err := client.Do(request)
		require.NoError(t, err, "%s %s", c.method, c.path)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err, "%s %s", c.method, c.path)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, c.status, response.StatusCode, "%s %s", c.method, c.path)
		if c.status < http.StatusInternalServerError {
			assert.Equal(t, c.body, string(text), "%s %s", c.method, c.path)
		}
	}
}
