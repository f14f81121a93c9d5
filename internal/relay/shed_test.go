package relay

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

var fixturePool = directory.Pool{Service: "llm", Model: "m"}

// enableOverload turns overload control on.
func (fx *fixture) enableOverload() {
	fx.relay.options.Overload = NewOverload(overloadPolicy, NewArrivals(), fx.relay.options.Balancer, rand.NewPCG(1, 2))
}

// setDemand reports a pool with 7 of 8 slots in use and the given demand, of which 2 requests per
// second are admissible.
func (fx *fixture) setDemand(levels ...admission.LevelDemand) {
	fx.relay.options.Balancer.SetPeerLoads(map[serving.EndpointID]PeerLoad{"h0": {Running: 7}})
	rates := PoolRates{Starts: 2.4, Levels: levels}
	fx.relay.options.Overload.SetPeerRates(map[directory.Pool]PoolRates{fixturePool: rates}, time.Now())
}

// requestLeft returns a request with part of the route's timeout left.
func requestLeft(host string, part float64) *Request {
	in := request(host)
	in.Header.Set("Left", strconv.Itoa(int(part*float64(testTimeout.Milliseconds()))))
	return in
}

// captureLog returns the buffer that log lines go to.
func captureLog(t *testing.T) *logBuffer {
	before := slog.Default()
	t.Cleanup(func() { slog.SetDefault(before) })
	out := &logBuffer{}
	logging.Setup(out, slog.LevelInfo)
	return out
}

// Guards against requests that a short pool can't serve being held or sent, against a rejection
// without its cause or return time, and against decisions that change without overload control.
func TestServe_ShedsBeyondCapacity(t *testing.T) {
	for name, test := range map[string]struct {
		enabled bool
		part    float64
		status  int
		log     string
	}{
		"new":       {true, 0.9, 503, "level=0 returning=false"},
		"returning": {true, 0.6, 503, "level=0 returning=true"},
		"off":       {false, 0.9, 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			out := captureLog(t)
			e := newEndpoint(t, events(1, 2, endStream))
			fx := newFixture(t, nil, []*endpoint{e})
			fx.enableOverload()
			fx.setDemand(demandAt(0, 5000, 5000))
			if !test.enabled {
				fx.relay.options.Overload = nil
			}
			response := fx.serve(requestLeft(hostStream, test.part))
			require.Equal(t, test.status, response.status)
			if !test.enabled {
				return
			}
			require.Empty(t, e.requests())
			require.Contains(t, response.body.String(), causeOverload)
			after, err := time.ParseDuration(response.header.Get("After"))
			require.NoError(t, err)
			require.InDelta(t, 0.75*testTimeout.Seconds()/3*test.part, after.Seconds(), 0.25*testTimeout.Seconds()/3*test.part+0.1, "half to all of the time that the caller waits")
			require.Contains(t, out.text.String(), test.log)
			require.Contains(t, out.text.String(), "retry_after="+after.String())
		})
	}
}

// Guards against new requests going before streams that endpoints have already worked on.
func TestServe_NeverShedsResumedStreams(t *testing.T) {
	fx := newFixture(t, nil, []*endpoint{newEndpoint(t, events(8, 9, endStream))})
	fx.enableOverload()
	fx.setDemand(demandAt(0, 5000, 5000))
	in := requestLeft(hostStream, 0.9)
	in.Header.Set("Last", "7")
	require.Equal(t, 200, fx.serve(in).status)
}

// Guards against plain services being shed or counted.
func TestServe_NeverShedsPlainServices(t *testing.T) {
	fx := newFixture(t, []*endpoint{newEndpoint(t, respondWith(200, "good"))}, nil)
	fx.enableOverload()
	rates := PoolRates{Starts: 0.1, Levels: []admission.LevelDemand{demandAt(0, 1000, 0)}}
	fx.relay.options.Overload.SetPeerRates(map[directory.Pool]PoolRates{{Service: "shop", Model: "m"}: rates}, time.Now())
	for range 5 {
		require.Equal(t, 200, fx.serve(request(hostPlain)).status)
	}
	require.Empty(t, fx.relay.options.Overload.OwnRates(time.Now()))
}

// Guards against a workspace's own priority being overridden by the route's: urgent requests are
// admitted and the others shed.
func TestServe_ShedsByWorkspacePriority(t *testing.T) {
	for name, test := range map[string]struct {
		workspace serving.Workspace
		status    int
	}{
		"route":     {serving.Workspace{Name: "bakery"}, 503},
		"workspace": {serving.Workspace{Name: "bakery", HasPriority: true}, 200},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, nil, []*endpoint{newEndpoint(t, events(1, 2, endStream))})
			for i := range fx.view.Configuration.Routes {
				fx.view.Configuration.Routes[i].Priority = 5
			}
			fx.view.Configuration.Workspaces["secret"] = test.workspace
			fx.view.Configuration.Workspaces["other"] = serving.Workspace{Name: "florist", HasPriority: true}
			fx.view.Configuration.Index()
			fx.enableOverload()
			fx.setDemand(demandAt(1, 1000, 0))
			require.Equal(t, test.status, fx.serve(requestLeft(hostStream, 0.9)).status)
		})
	}
}

// Guards against first attempts that count as returning, and the reverse.
func TestIsReturning(t *testing.T) {
	for name, test := range map[string]struct {
		timeout   time.Duration
		remaining time.Duration
		has, want bool
	}{
		"first attempt":      {time.Second, 850 * time.Millisecond, true, false},
		"at the limit":       {time.Second, 800 * time.Millisecond, true, false},
		"below the limit":    {time.Second, 799 * time.Millisecond, true, true},
		"without a deadline": {time.Second, 0, false, false},
		"without a timeout":  {0, 100 * time.Millisecond, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &call{route: &serving.Route{Timeout: test.timeout}, attrs: Attributes{Remaining: test.remaining, HasDeadline: test.has}}
			require.Equal(t, test.want, c.isReturning())
		})
	}
}

// Guards against returns that are counted under a wrong outcome, and against counting requests that
// do not return or are for plain services.
func TestServe_CountsReturns(t *testing.T) {
	fx := newFixture(t, nil, []*endpoint{newEndpoint(t, events(1, 2, endStream))})
	fx.enableOverload()
	route := fx.view.Configuration.Match(hostStream, "/")
	serve := func(host string, part float64, times int, status int) {
		for range times {
			require.Equal(t, status, fx.serve(requestLeft(host, part)).status)
		}
	}
	route.Objective = testTimeout
	serve(hostStream, 0.6, 1, 200)
	serve(hostStream, 0.9, 2, 200)
	route.Objective = 0 // any first event is late
	serve(hostStream, 0.6, 2, 200)
	serve(hostPlain, 0.6, 1, 503)
	fx.view.Heads[fixturePool] = nil
	serve(hostStream, 0.6, 3, 503)
	serve(hostStream, 0.9, 1, 503)

	require.Equal(t, map[string]string{"in_time": "1", "late": "2", "rejected": "3"}, fx.counted(`ridgehinge_returns\{.*outcome="(\w+)".*\} (\d+)`))
}

// counted returns the values on the metrics page by label. The pattern matches both.
func (fx *fixture) counted(pattern string) map[string]string {
	fx.relay.options.Metrics.Close() // reports the last values
	page := httptest.NewRecorder()
	fx.relay.options.Metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/", nil))
	out := map[string]string{}
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(page.Body.String(), -1) {
		out[match[1]] = match[2]
	}
	return out
}

// Guards against callers that make this node and its peers keep rates for models that don't exist.
func TestServe_CountsNoUnknownModels(t *testing.T) {
	fx := newFixture(t, nil, []*endpoint{newEndpoint(t, events(1, 2, endStream))})
	fx.enableOverload()
	in := request(hostStream)
	in.Header.Set("Model", "forged")
	require.Equal(t, 503, fx.serve(in).status)
	require.Empty(t, fx.relay.options.Overload.OwnRates(time.Now()))
	require.Equal(t, 200, fx.serve(request(hostStream)).status)
	require.Contains(t, fx.relay.options.Overload.OwnRates(time.Now()), fixturePool)
}

// Guards against return times that count on a group which can't serve.
func TestEarliestFirst(t *testing.T) {
	s := newOverloadSim(3)
	s.balancer.begin(s.heads[0].Endpoint, RequestSize{Prompt: 50_000}, s.now)
	s.heads[1].Incomplete = true
	s.balancer.Suspect("h2", s.now)
	busy, found := s.balancer.earliestFirst(s.heads, RequestSize{}, s.now)
	require.True(t, found)
	require.Greater(t, busy, time.Second, "the only usable group reads a long prompt")
	s.heads[1].Incomplete = false
	idle, _ := s.balancer.earliestFirst(s.heads, RequestSize{}, s.now)
	require.Less(t, idle, 100*time.Millisecond)
	s.balancer.Suspect("h0", s.now)
	s.balancer.Suspect("h1", s.now)
	_, found = s.balancer.earliestFirst(s.heads, RequestSize{}, s.now)
	require.False(t, found)
}

// Guards against return times that change without overload control or for plain services.
func TestOverloadRetryAfter_Off(t *testing.T) {
	fx := newFixture(t, nil, nil)
	c := &call{Relay: fx.relay, view: fx.view, route: fx.view.Configuration.Match(hostStream, "/"), service: "llm", attrs: Attributes{Model: "m"}}
	require.Equal(t, DefaultWeights.OverloadRetryAfter, c.overloadRetryAfter(time.Now()))
	fx.enableOverload()
	c.service = "shop"
	require.Equal(t, DefaultWeights.OverloadRetryAfter, c.overloadRetryAfter(time.Now()))
}

// Guards against a stream that waits for another group although all have rejected it.
func TestServe_RejectsShedStreamAtOnce(t *testing.T) {
	fx := newFixture(t, nil, []*endpoint{newEndpoint(t, rejectNotRun), newEndpoint(t, rejectNotRun)})
	began := time.Now()
	out := fx.serve(request(hostStream))
	require.Equal(t, http.StatusServiceUnavailable, out.status)
	require.NotEmpty(t, out.header.Get("After"))
	require.Less(t, time.Since(began), resumeWait/2)
}
