package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/quarantine"
	"github.com/ridgehinge/ridgehinge/pkg/routing"
)

// poisonText in a request's body crashes the endpoint that runs it.
const poisonText = "poison"

// crashingEndpoint simulates a crash when it runs a poison request, or any request if
// crashOnAny is set: it closes its listener and the request's connection.
type crashingEndpoint struct {
	server *httptest.Server
	// ran counts the poison requests that started.
	ran        atomic.Int64
	crashOnAny atomic.Bool
}

func newCrashingEndpoint(t *testing.T) *crashingEndpoint {
	t.Helper()
	m := &crashingEndpoint{}
	engine := newEngineStandIn().Handler()
	m.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // A truncated body is not poison.
		poison := strings.Contains(string(body), poisonText)
		if poison {
			m.ran.Add(1)
		}
		if poison || m.crashOnAny.Load() {
			_ = m.server.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		engine.ServeHTTP(w, r)
	}))
	t.Cleanup(m.server.Close)
	return m
}

// setEndpoints publishes a snapshot with the given endpoints as groups of one member.
func (b *testGateway) setEndpoints(endpoints ...*crashingEndpoint) {
	s := *b.gateway.snapshot.Load()
	s.Targets, s.Complete = nil, map[fleet.GroupID]control.CompleteGroup{}
	until := time.Now().Add(time.Hour)
	for _, e := range endpoints {
		address := e.server.Listener.Addr().String()
		id := fleet.GroupID(address)
		s.Targets = append(s.Targets, routing.Target{Group: id, Generation: 1, Address: address, Pool: control.ModelPool("t"), Slots: 8, Until: until})
		s.Complete[id] = control.CompleteGroup{Generation: 1, Until: until}
	}
	b.gateway.Publish(&s)
}

// shortTimeout keeps a request from waiting for another group.
var shortTimeout = map[string]string{HeaderTimeout: "300"}

func chatWithText(text string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, text)
}

// A caller that retries a crashing request must not crash one endpoint after the other: each
// retry is a new request to the gateway.
func TestQuarantine_BlocksCrashingRequests(t *testing.T) {
	b := newTestGateway(t, newEngineStandIn().Handler())
	endpoints := make([]*crashingEndpoint, 2*quarantine.MaxCrashes)
	for i := range endpoints {
		endpoints[i] = newCrashingEndpoint(t)
	}
	crashes := func() int {
		n := 0
		for _, e := range endpoints {
			n += int(e.ran.Load())
		}
		return n
	}
	var last *http.Response
	b.setEndpoints(endpoints...)
	for range endpoints {
		last, _ = b.send("POST", "/v1/chat/completions", chatWithText(poisonText), shortTimeout)
		// A crash is detected by dialling the endpoint in the background.
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%d of %d endpoints crashed", crashes(), len(endpoints))
	require.Equal(t, quarantine.MaxCrashes, crashes())
	require.Equal(t, http.StatusServiceUnavailable, last.StatusCode)
	require.Equal(t, string(OutcomeNotRun), last.Header.Get(HeaderOutcome))
	require.NotEmpty(t, last.Header.Get("Retry-After"))
	b.setEndpoints(slices.DeleteFunc(endpoints, func(e *crashingEndpoint) bool { return e.ran.Load() > 0 })...)
	other, _ := b.send("POST", "/v1/chat/completions", chatWithText("hello"), nil)
	require.Equal(t, http.StatusOK, other.StatusCode)
}

// Guards against conversations that share one message, which crashes each endpoint, and differ in
// the last one. Others with the same first message must be served on.
func TestQuarantine_BlocksCrashingMessage(t *testing.T) {
	b := newTestGateway(t, newEngineStandIn().Handler())
	endpoints := make([]*crashingEndpoint, 2*quarantine.MaxCrashes)
	for i := range endpoints {
		endpoints[i] = newCrashingEndpoint(t)
	}
	b.setEndpoints(endpoints...)
	chat := func(texts ...string) int {
		var messages []string
		for _, text := range texts {
			messages = append(messages, fmt.Sprintf(`{"role":"user","content":%q}`, text))
		}
		response, _ := b.send("POST", "/v1/chat/completions", `{"model":"m","messages":[`+strings.Join(messages, ",")+`]}`, shortTimeout)
		return response.StatusCode
	}
	crashes := 0
	for n := range 2 * len(endpoints) {
		chat("rules", "hello", fmt.Sprint("sound ", n))
		chat("rules", poisonText, fmt.Sprint("question ", n))
		time.Sleep(50 * time.Millisecond)
		crashes = 0
		for _, e := range endpoints {
			crashes += int(min(1, e.ran.Load()))
		}
	}
	require.Equal(t, quarantine.MaxCrashes, crashes)
	b.setEndpoints(slices.DeleteFunc(endpoints, func(e *crashingEndpoint) bool { return e.ran.Load() > 0 })...)
	require.Equal(t, http.StatusServiceUnavailable, chat("rules", poisonText, "once more"))
	require.Equal(t, http.StatusOK, chat("rules", "hello", "last"))
	require.Equal(t, http.StatusOK, chat("rules", "a question that nobody has asked before"))
}

// A popular request is in flight at each endpoint that crashes for another reason. It is
// not quarantined, because other endpoints serve it in between.
func TestQuarantine_AllowsPopularRequests(t *testing.T) {
	b := newTestGateway(t, newEngineStandIn().Handler())
	healthy := newCrashingEndpoint(t)
	for range 2 * quarantine.MaxCrashes {
		crashing := newCrashingEndpoint(t)
		crashing.crashOnAny.Store(true)
		b.setEndpoints(crashing)
		broken, _ := b.send("POST", "/v1/chat/completions", chatWithText("popular"), shortTimeout)
		require.NotEqual(t, http.StatusOK, broken.StatusCode)
		time.Sleep(50 * time.Millisecond)
		b.setEndpoints(healthy)
		served, _ := b.send("POST", "/v1/chat/completions", chatWithText("popular"), nil)
		require.Equal(t, http.StatusOK, served.StatusCode)
	}
}
