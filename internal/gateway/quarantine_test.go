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

// poisonMark is in the body of a request that ends each endpoint that runs it.
const poisonMark = "poison"

// mortal is an endpoint whose process ends when it runs a poison request, or when it is told
// to: its connections break and nothing listens any more.
type mortal struct {
	server *httptest.Server
	// ran counts the poison requests that it began to run; dying has it end under any.
	ran   atomic.Int64
	dying atomic.Bool
}

func newMortal(t *testing.T) *mortal {
	t.Helper()
	m := &mortal{}
	engine := standIn().Handler()
	m.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // A request that is cut short is none.
		poison := strings.Contains(string(body), poisonMark)
		if poison {
			m.ran.Add(1)
		}
		if poison || m.dying.Load() {
			_ = m.server.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		engine.ServeHTTP(w, r)
	}))
	t.Cleanup(m.server.Close)
	return m
}

// serveBy has the gateway know just some endpoints, as groups of one life each.
func (b *bench) serveBy(endpoints ...*mortal) {
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

// brief keeps a caller from waiting for another group.
var brief = map[string]string{HeaderTimeout: "300"}

func chatOf(text string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, text)
}

// Callers of the product's own interface that sent one request again and again ended one
// endpoint after the other, as on the users' platform: each try was a new request to the
// gateway, with all its attempts.
func TestARequestThatEndedThreeEndpointsIsNotSentOn(t *testing.T) {
	b := newBench(t, standIn().Handler())
	endpoints := make([]*mortal, 2*quarantine.MaxCrashes)
	for i := range endpoints {
		endpoints[i] = newMortal(t)
	}
	ended := func() int {
		n := 0
		for _, e := range endpoints {
			n += int(e.ran.Load())
		}
		return n
	}
	var last *http.Response
	b.serveBy(endpoints...)
	for range endpoints {
		last, _ = b.send("POST", "/v1/chat/completions", chatOf(poisonMark), brief)
		// An end is found by a dial, which takes a moment.
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%d of %d endpoints ended", ended(), len(endpoints))
	require.Equal(t, quarantine.MaxCrashes, ended())
	require.Equal(t, http.StatusServiceUnavailable, last.StatusCode)
	require.Equal(t, string(OutcomeNotRun), last.Header.Get(HeaderOutcome))
	require.NotEmpty(t, last.Header.Get("Retry-After"))
	b.serveBy(slices.DeleteFunc(endpoints, func(e *mortal) bool { return e.ran.Load() > 0 })...)
	innocent, _ := b.send("POST", "/v1/chat/completions", chatOf("hello"), nil)
	require.Equal(t, http.StatusOK, innocent.StatusCode)
}

// A popular request runs at each endpoint that ends of another cause. It is answered in
// between, and sent on.
func TestAPopularRequestIsSentOn(t *testing.T) {
	b := newBench(t, standIn().Handler())
	sound := newMortal(t)
	for range 2 * quarantine.MaxCrashes {
		ending := newMortal(t)
		ending.dying.Store(true)
		b.serveBy(ending)
		broken, _ := b.send("POST", "/v1/chat/completions", chatOf("popular"), brief)
		require.NotEqual(t, http.StatusOK, broken.StatusCode)
		time.Sleep(50 * time.Millisecond)
		b.serveBy(sound)
		served, _ := b.send("POST", "/v1/chat/completions", chatOf("popular"), nil)
		require.Equal(t, http.StatusOK, served.StatusCode)
	}
}
