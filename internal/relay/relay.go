package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/continuation"
	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/forward"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/reachability"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/internal/upstream"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Options configures a Relay.
type Options struct {
	DataCentre serving.DataCentre
	// Regions has the region of each data centre. Requests that are limited to regions are not sent
	// to data centres that are missing here.
	Regions  map[serving.DataCentre]serving.Region
	Wire     Wire
	Upstream *upstream.Client
	View     func() *directory.View
	Balancer *Balancer
	Budget   *Budget
	// Overload sheds load while a pool is short; nil turns it off.
	Overload   *Overload
	Demand     *Demand
	Quarantine *quarantine.Quarantine
	// Throttle tracks the cooldowns, rate limits and draining that endpoints advertise.
	Throttle *throttle.Tracker
	// Links watches this node's links to the endpoints.
	Links *reachability.Monitor
	// Forwarding reaches the nodes that run requests while the links are lost.
	Forwarding Forwarding
	Clock      *clock.Clock
	Metrics    *metrics.Metrics
	// StallAfter is how long an endpoint may be silent on all of its requests before a
	// resumable stream is resumed elsewhere.
	StallAfter time.Duration
	// MaxRequests bounds the requests in flight.
	MaxRequests int
	// MaxBuffered bounds the bytes of responses that are buffered before they are relayed. Larger
	// ones are relayed as they arrive, and cannot be retried then, unless their status is a failure.
	MaxBuffered int64
}

// Responder writes the response to one caller.
type Responder interface {
	// Begin sends the status and header; it is called once, before the other methods.
	Begin(status int, header http.Header)
	// BeginUnmarked is called in place of Begin if the endpoint's response has neither a length nor chunks: the response
	// has none for its caller either.
	BeginUnmarked(status int, header http.Header)
	// Write sends a part of the body.
	Write(p []byte) error
	// End completes the response.
	End()
	// EndUnmarked ends a response that was begun with BeginUnmarked and of which nothing shows that it is whole.
	EndUnmarked()
	// Abort ends an incomplete response so that the caller detects that it is incomplete.
	Abort()
}

// Request is a caller's request with its complete body.
type Request struct {
	Method string
	// URI is the path with the query, as received; Path is without the query.
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Forwarded is set for a request that another node passed on.
	Forwarded *Forwarded
}

// Relay forwards callers' requests to endpoints. It is safe for concurrent use.
type Relay struct {
	options  Options
	log      logging.Logger
	inFlight atomic.Int64
	chooser  *forward.Chooser
	// buffered is how many bytes of responses are reserved for buffering.
	buffered         atomic.Int64
	closeConnections atomic.Bool
	draining         atomic.Bool
	hasRequests      atomic.Bool
	crashes          *quarantine.Detector
	streams          *continuation.Observations
	startedAt        time.Time
	// stopped is cancelled by EndRequests.
	stopped context.Context
	stop    context.CancelFunc

	mu      sync.Mutex
	classes map[classKey]*metrics.Class
}

type classKey struct{ workspace, service string }

// New returns a relay.
func New(o Options) *Relay {
	r := &Relay{
		options:   o,
		startedAt: time.Now(),
		log:       logging.For("relay"),
		chooser:   forward.NewChooser(),
		streams:   continuation.NewObservations(),
		classes:   map[classKey]*metrics.Class{},
	}
	r.stopped, r.stop = context.WithCancel(context.Background())
	r.crashes = quarantine.NewDetector(o.Quarantine, r.replaced, o.Upstream.Probe, o.Links.Confirm)
	return r
}

// InFlight returns the number of requests in flight.
func (r *Relay) InFlight() int64 { return r.inFlight.Load() }

// HasReceivedRequests reports whether any request has arrived since the start.
func (r *Relay) HasReceivedRequests() bool { return r.hasRequests.Load() }

// CloseConnections makes every response ask the caller to close its connection.
func (r *Relay) CloseConnections() { r.closeConnections.Store(true) }

// Drain makes the relay reject new requests.
func (r *Relay) Drain() { r.draining.Store(true) }

// EndRequests ends the requests in flight, each with a response that tells its caller whether it may have run. Their
// callers would learn nothing from the end of the process.
func (r *Relay) EndRequests() {
	r.Drain()
	r.stop()
}

// maxClasses bounds the number of label combinations in the metrics.
const maxClasses = 400

// class returns the metrics of a workspace and a service.
func (r *Relay) class(workspace, service string) *metrics.Class {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := classKey{workspace, service}
	c := r.classes[key]
	if c == nil && len(r.classes) >= maxClasses {
		key = classKey{"other", service}
		c = r.classes[key]
	}
	if c == nil {
		c = r.options.Metrics.Class(key.workspace, key.service)
		r.classes[key] = c
	}
	return c
}

// contextCause is why a request's context was cancelled.
type contextCause string

func (c contextCause) Error() string { return string(c) }

const (
	errDeadline contextCause = "request deadline exceeded"
	errStalled  contextCause = "endpoint stalled"
	errStopped  contextCause = "this node has stopped"
)

// withDeadline sets a request's deadline.
func withDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, at, errDeadline)
}
