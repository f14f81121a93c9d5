// Package entry assembles an entry instance whose endpoints keep their state in the platform's
// store.
package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/xid"
	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/gossip"
	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/httpresponse"
	"github.com/ridgehinge/ridgehinge/internal/httpserver"
	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/reachability"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/internal/upstream"
	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/lease"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Adapter has the translations to and from a platform's protocol.
type Adapter struct {
	Wire  relay.Wire
	Codec directory.Codec
	// Store returns a client of the store at an address that uses the HTTP client.
	Store func(address string, client *http.Client) table.Store
	// Endpoints returns a client of endpoints that uses the HTTP client, and calls observe with
	// the advisories in their responses.
	Endpoints func(client *http.Client, observe func(advisory.Observation)) groupcontrol.Endpoints
	// ReadyPath is the path of the readiness check, called by the platform's balancer.
	ReadyPath string
	// ProbePath is a path to which an endpoint responds at once, whatever the response is.
	ProbePath string
}

const (
	// memoryLimitFraction is the fraction of the memory limit that is given to the Go runtime;
	// kernel buffers count towards the limit as well.
	memoryLimitFraction = 0.75
	cleanupInterval     = time.Second
	// responseMemoryDivisor is the part of the memory limit that responses to slow callers may take,
	// and also that of responses which are buffered before they are relayed.
	responseMemoryDivisor = 8
	// idleTimeout is how long an idle connection is kept if the server does not advertise a
	// timeout.
	idleTimeout = 4 * time.Second
	// refreshInterval is how late entries of the directory may expire.
	refreshInterval = 200 * time.Millisecond
	// incarnationSeparator separates a node's name from the id of one incarnation.
	incarnationSeparator = "/"

	maxInternalRequests = 16
	maxInternalBody     = 64 << 10
)

// Entry is a running entry instance.
type Entry struct {
	settings   *Settings
	log        logging.Logger
	clock      *clock.Clock
	metrics    *metrics.Metrics
	directory  *directory.Directory
	balancer   *relay.Balancer
	relay      *relay.Relay
	budget     *relay.Budget
	upstream   *upstream.Client
	links      *reachability.Monitor
	controller *groupcontrol.Controller
	gossip     *gossip.Gossiper
	store      table.Store
	tracker    *httpserver.Tracker
	servers    []*httpserver.Server
	peerServer *peers.Server
	// forwardClient sends requests to other nodes.
	forwardClient *peers.Client
	stopping      atomic.Bool
	// totalSuspended is the time for which the machine was suspended, at the last check.
	totalSuspended time.Duration
	// regionsChecked is the configuration whose allowed regions were checked last.
	regionsChecked *serving.Configuration
	cancel         context.CancelFunc
	// cancelControl stops the controller before the rest.
	cancelControl context.CancelFunc
	controlDone   chan struct{}
	running       sync.WaitGroup
}

// Start starts an entry instance.
func Start(s *Settings, a Adapter) (*Entry, error) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	links := link.Bounds{Source: s.source(), DialTimeout: link.DefaultDialTimeout, SilenceTimeout: s.Silence}
	endpointLinks := links
	if s.DialEndpoints != nil {
		endpointLinks.Dial = s.DialEndpoints(links)
	}
	incarnation := s.Node + incarnationSeparator + xid.New().String()
	e := &Entry{
		settings:    s,
		log:         logging.For("entry").With("node", s.Node),
		clock:       s.newClock(),
		metrics:     metrics.New(s.Node, string(s.DataCentre)),
		directory:   directory.New(a.Codec),
		balancer:    relay.NewBalancer(s.DataCentre, rand.NewPCG(rand.Uint64(), rand.Uint64()), s.Policy.Relay),
		tracker:     httpserver.NewTracker(),
		controlDone: make(chan struct{}),
	}
	e.upstream = upstream.New(upstream.Options{Link: endpointLinks, IdleTimeout: idleTimeout, OnDial: e.recordDial, OnResponse: e.recordResponse})
	e.forwardClient = peers.NewClient([]byte(s.PeerKey), links)
	e.links = reachability.New(reachability.Options{
		Addresses: e.endpointAddresses,
		Probe:     func(ctx context.Context, address string) error { return e.upstream.Exchange(ctx, address, a.ProbePath) },
		LastEvent: e.balancer.LastEventOfAny,
		OnChange:  e.setLinksLost,
	})
	e.directory.SetReturnGrace(s.Policy.ReturnGrace)
	store := &meteredStore{Store: a.Store(s.Store, HTTPClient(links)), metrics: e.metrics}
	e.store = store
	demand := relay.NewDemand()
	e.budget = relay.NewBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow, s.Nodes)
	overload, rates := e.newOverload()
	e.gossip = gossip.New(s.gossipConfig(incarnation), gossip.Parts{
		Directory: e.directory,
		Balancer:  e.balancer,
		Demand:    demand,
		Rates:     rates,
		Budget:    e.budget,
		Store:     e.store,
		// The relay is created after the gossiper.
		RunsForwarded: func() bool { return e.relay.RunsForwarded() },
		Links:         links,
		Metrics:       e.metrics,
	})
	e.balancer.SetNodes(s.Nodes)
	e.balancer.SetAffinitySources(relay.AffinitySources{Node: s.Node, Demand: demand.Requests, HasIdle: e.upstream.HasIdle})
	e.relay = relay.New(relay.Options{
		DataCentre:  s.DataCentre,
		Regions:     s.Regions,
		Wire:        a.Wire,
		Upstream:    e.upstream,
		View:        e.directory.View,
		Balancer:    e.balancer,
		Demand:      demand,
		Budget:      e.budget,
		Overload:    overload,
		Quarantine:  e.gossip.Quarantine(),
		Throttle:    e.gossip.Throttle(),
		Links:       e.links,
		Forwarding:  relay.Forwarding{Search: e.gossip.SearchNeighbours, Neighbours: e.gossip.Neighbours, Send: e.sendForwarded},
		Clock:       e.clock,
		Metrics:     e.metrics,
		StallAfter:  s.StallAfter,
		MaxRequests: s.MaxRequests,
		MaxBuffered: s.MemoryBytes / responseMemoryDivisor,
	})
	store.onResponse = e.gossip.StoreResponded
	e.controller = groupcontrol.New(groupcontrol.Options{
		Node:           incarnation,
		Address:        s.Peers,
		DataCentre:     s.DataCentre,
		DataCentres:    s.DataCentres,
		Unpaced:        func() bool { return s.FirstStart && !e.relay.HasReceivedRequests() && !e.gossip.PeersHaveRequests() },
		HolderAlive:    e.gossip.ControllerAlive,
		OnHolderRead:   func(row lease.Row) { e.gossip.ObserveHolder(row, s.DataCentre) },
		Rank:           e.gossip.Rank,
		FirstReadDelay: s.firstReadDelay(),
		IsEarlierIncarnation: func(holder string) bool {
			return holder != incarnation && strings.HasPrefix(holder, s.Node+incarnationSeparator)
		},
		Now:                  e.clock.Now,
		Demand:               e.gossip.ControlDemand,
		LastEvent:            e.lastEvent(),
		Limit:                func(ep *serving.Endpoint) float64 { return e.gossip.Throttle().EffectiveLimit(ep, time.Now()) },
		Links:                e.controllerLinks(),
		SilenceTolerance:     s.SilenceTolerance,
		Weights:              s.Policy.Groups,
		LeaseTTL:             s.LeaseTTL,
		LeaseOutageExtension: s.Policy.LeaseOutageExtension,
		RecheckDead:          s.Policy.RecheckDead,
		CallTimeout:          250 * time.Millisecond,
		Tick:                 100 * time.Millisecond,
		DrainWait:            2500 * time.Millisecond,
	}, e.store, meteredEndpoints{a.Endpoints(HTTPClient(endpointLinks), e.observe), e.metrics}, e.directory, e.gossip.Suspects)
	e.gossip.SetController(e.controller)
	e.directory.SetLogsEachChange(e.gossip.LogsEachChange)
	if err := e.listen(a, links); err != nil {
		return nil, err
	}
	e.run()
	e.log.Info("started", "life", incarnation, "first_start", s.FirstStart, "callers", s.Callers, "ready", s.Ready, "peers", s.Peers, "metrics", s.Metrics, "store", s.Store)
	return e, nil
}

// newOverload returns the overload control and its exchange with the peers, nothing if it is turned
// off.
func (e *Entry) newOverload() (*relay.Overload, gossip.RateExchange) {
	if !e.settings.Policy.OverloadControl {
		return nil, gossip.RateExchange{}
	}
	source := rand.NewPCG(rand.Uint64(), rand.Uint64())
	overload := relay.NewOverload(e.settings.Policy.Overload, relay.NewArrivals(), e.balancer, source)
	return overload, gossip.RateExchange{
		Own:         overload.OwnRates,
		OnPeerRates: overload.SetPeerRates,
		NearlyShort: overload.NearlyShort,
	}
}

// observe applies the advisories in the response to a control call. Responses without an
// incarnation are attributed to the listed one.
func (e *Entry) observe(o advisory.Observation) {
	if o.Endpoint.StartedAt == 0 {
		if listed := e.directory.Endpoint(o.Endpoint.ID); listed != nil {
			o.Endpoint = listed.Incarnation()
		}
	}
	e.gossip.Throttle().Observe(o, time.Now())
}

// lastEvent returns a function that reports the time of an endpoint's last event, or nil if shared
// events are disabled.
func (e *Entry) lastEvent() func(serving.EndpointID) time.Time {
	if !e.settings.Policy.Relay.SharedEvents {
		return nil
	}
	return e.balancer.LastEvent
}

// HTTPClient returns a client for control calls and store calls.
func HTTPClient(links link.Bounds) *http.Client {
	transport := link.Transport(links.DialFunc())
	transport.MaxIdleConnsPerHost = 8
	transport.IdleConnTimeout = idleTimeout
	return &http.Client{Transport: link.ResetOnError(httpresponse.NewTransport(transport))}
}

func (e *Entry) listen(a Adapter, links link.Bounds) error {
	s := e.settings
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+a.ReadyPath, e.readyz)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", e.metrics.Handler())
	for _, o := range []httpserver.Options{
		{Address: s.Ready, MaxBody: maxInternalBody, MaxRequests: maxInternalRequests, Handler: ready},
		{Address: s.Metrics, MaxBody: maxInternalBody, MaxRequests: maxInternalRequests, Handler: metricsMux},
		{
			Address:     s.Callers,
			MaxBody:     s.MaxBody,
			MaxRequests: 2 * s.MaxRequests,
			MaxPending:  int(s.MemoryBytes / responseMemoryDivisor),
			Handler:     http.HandlerFunc(e.serve),
		},
	} {
		o.Link = links
		server, err := httpserver.Serve(o)
		if err != nil {
			return oops.In("entry").Wrapf(err, "listen on %s", o.Address)
		}
		e.servers = append(e.servers, server)
	}
	var err error
	e.peerServer, err = peers.ListenShare(s.Peers, []byte(s.PeerKey), links, shareHandler{e.gossip, e.relay})
	return err
}

func (e *Entry) run() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	control, cancelControl := context.WithCancel(ctx)
	e.cancelControl = cancelControl
	watcher := &directory.Watcher{Store: e.store, Directory: e.directory, Options: e.settings.Policy.watchOptions(), Role: e.gossip.WatchRole}
	e.running.Go(func() { watcher.Run(ctx) })
	e.running.Go(func() { e.gossip.Run(ctx) })
	e.running.Go(func() { e.links.Run(ctx) })
	e.running.Go(func() {
		defer close(e.controlDone)
		e.controller.Run(control)
	})
	e.running.Go(func() { clock.Every(ctx, cleanupInterval, e.cleanUp) })
	e.running.Go(func() { clock.Every(ctx, refreshInterval, e.refresh) })
}

// cleanUp drops expired state and updates the metrics.
func (e *Entry) cleanUp(now time.Time) {
	listed := e.directory.View().Endpoints
	e.balancer.Forget(listed)
	e.gossip.Throttle().Forget(listed, now)
	e.upstream.Prune(now)
	e.checkRegions()
	e.reportState()
}

// refresh updates state that depends on time alone.
func (e *Entry) refresh(now time.Time) {
	e.handleSuspension()
	e.directory.Refresh(now)
}

// reportState updates the gauges of this node's state.
func (e *Entry) reportState() {
	view := e.directory.View()
	heads, incomplete := 0, 0
	for _, pool := range view.Heads {
		for _, h := range pool {
			heads++
			if h.Incomplete {
				incomplete++
			}
		}
	}
	controls := 0.0
	if e.controller.HoldsLease() {
		controls = 1
	}
	e.metrics.Set("groups_open", float64(heads))
	e.metrics.Set("groups_incomplete", float64(incomplete))
	e.metrics.Set("endpoints_cold", float64(countCold(view)))
	e.metrics.Set("data_centres_evacuated", float64(len(view.Evacuated)))
	e.metrics.Set("endpoints_listed", float64(len(view.Endpoints)))
	e.metrics.Set("endpoints_suspected", float64(len(e.gossip.Suspects())))
	e.metrics.Set("configuration_version", float64(e.ConfigurationVersion()))
	e.metrics.Set("configuration_answer_age_seconds", time.Since(e.directory.LastConfigurationResponse()).Seconds())
	e.metrics.Set("notices_age_seconds", time.Since(e.directory.NoticesKnownAt()).Seconds())
	e.metrics.Set("notice_streams", float64(e.gossip.NoticesLive()))
	budget := e.budget.Tightest(time.Now())
	e.metrics.Set("retry_budget_repeats", float64(budget.Retries))
	e.metrics.Set("retry_budget_allowed", budget.Allowed())
	known, blocked := e.gossip.Quarantine().Counts()
	e.metrics.Set("contents_that_ended_endpoints", float64(known))
	e.metrics.Set("contents_in_quarantine", float64(blocked))
	e.metrics.Set("endpoints_limited", float64(e.gossip.Throttle().RateLimited()))
	e.metrics.Set("endpoints_cooling_down", float64(e.gossip.Throttle().CoolingDown()))
	e.metrics.Set("requests_in_progress", float64(e.relay.InFlight()))
	e.metrics.Set("connections_opened", float64(e.upstream.Opened()))
	e.metrics.Set("connections_reused", float64(e.upstream.Reused()))
	e.metrics.Set("log_lines_dropped", float64(logging.Dropped()))
	e.metrics.Set("controls", controls)
	for pool, offset := range e.balancer.FirstOffsets(time.Now()) {
		e.metrics.SetTagged("first_offset_seconds", map[string]string{"service": pool.Service, "model": pool.Model}, offset.Seconds())
	}
}

// countCold returns the number of endpoints whose requests are limited because they are cold.
func countCold(view *directory.View) int {
	n := 0
	now := time.Now()
	for _, ep := range view.Endpoints {
		if ep.ColdLimit(now) > 0 {
			n++
		}
	}
	return n
}

// ready reports whether this node has a configuration and endpoints, and is not stopping.
func (e *Entry) ready() bool {
	view := e.directory.View()
	return view.Configuration != nil && len(view.Endpoints) > 0 && !e.stopping.Load()
}

func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve passes a caller's request to the relay.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(r)
	if err != nil {
		http.Error(w, "the body cannot be read", http.StatusBadRequest)
		return
	}
	ctx, out, done := e.tracker.Begin(w)
	defer done()
	e.relay.Serve(ctx, &relay.Request{
		Method: r.Method,
		URI:    r.RequestURI,
		Path:   r.URL.EscapedPath(),
		Host:   r.Host,
		Header: r.Header,
		Body:   body,
	}, out)
}

// readBody reads a request's body, which nbhttp has already received completely.
func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil || r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return nil, nil
	}
	return io.ReadAll(r.Body)
}

// ConfigurationVersion returns the version in force here, or zero.
func (e *Entry) ConfigurationVersion() uint64 {
	version, _ := e.directory.Configuration()
	return version
}

// Reload reads the settings again and applies the log level and the seeds. Invalid settings change
// nothing.
func (e *Entry) Reload(path string) {
	s, err := Load(path)
	if err != nil {
		e.log.Error("failed to reload the settings; keeping the current ones", "file", path, "error", err)
		return
	}
	logging.SetLevel(s.LogLevel)
	e.gossip.AddSeeds(s.Seeds)
	e.log.Info("reloaded the settings", "file", path, "seeds", s.Seeds, "level", s.LogLevel.String())
}

// Stop shuts down gracefully: it fails the readiness check, keeps accepting requests for
// StopNotice, then closes idle connections and finishes requests in flight, or ends them with a response. The process can
// end within StopBound.
func (e *Entry) Stop() {
	e.log.Info("stopping", "in_progress", e.relay.InFlight())
	start := time.Now()
	e.stopping.Store(true)
	e.relay.CloseConnections()
	e.cancelControl()
	<-e.controlDone
	release, cancel := context.WithTimeout(context.Background(), time.Second)
	e.controller.Release(release)
	e.gossip.AnnounceStop(release)
	cancel()
	time.Sleep(time.Until(start.Add(e.settings.StopNotice)))
	// The balancer may still route callers here while few other nodes are ready. From now on
	// their requests could be interrupted by the end of the process.
	e.relay.Drain()
	callers := e.servers[len(e.servers)-1]
	closeAt := start.Add(e.settings.StopBound - closeTime)
	if !callers.AwaitIdle(closeAt.Add(-httpserver.AnswerTime), e.relay.InFlight) {
		e.log.Warn("ending the requests in flight", "in_progress", e.relay.InFlight())
		e.relay.EndRequests()
		callers.AwaitIdle(closeAt, e.relay.InFlight)
	}
	e.log.Info("stopped", "in_progress", e.relay.InFlight(), "took", time.Since(start))
	e.close()
}

// closeTime is reserved within StopBound for closing connections and ending goroutines: the platform
// kills a process that exists longer.
const closeTime = 500 * time.Millisecond

func (e *Entry) close() {
	e.cancel()
	e.tracker.Close()
	for _, server := range e.servers {
		server.Stop()
	}
	e.peerServer.Close()
	e.running.Wait()
	e.upstream.Close()
	e.metrics.Close()
}
