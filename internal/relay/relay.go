package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/internal/upstream"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Options of a Relay.
type Options struct {
	DataCentre serving.DataCentre
	Wire       Wire
	Upstream   *upstream.Client
	View       func() *directory.View
	Balancer   *Balancer
	Budget     *Budget
	Demand     *Demand
	Quarantine *quarantine.Quarantine
	// Throttle is what endpoints asked for in their answers.
	Throttle *throttle.Tracker
	Clock    *clock.Clock
	Metrics  *metrics.Metrics
	// StallAfter is how long an endpoint may be silent on all of its
	// requests before a resumable stream goes on elsewhere.
	StallAfter time.Duration
	// MaxRequests bounds the requests in progress.
	MaxRequests int
}

// Responder answers one caller.
type Responder interface {
	// Begin sends the status and header; it is called once, and first.
	Begin(status int, header http.Header)
	// Write sends a part of the body.
	Write(p []byte) error
	// End says that the answer is whole.
	End()
	// Abort ends an incomplete response so that the caller can tell that it is incomplete.
	Abort()
}

// Request is a caller's request, read whole.
type Request struct {
	Method string
	// URI is the path with the query, as it came; Path is without the query.
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
}

// Relay has endpoints run callers' requests. It is safe for concurrent use.
type Relay struct {
	options          Options
	log              logging.Logger
	inFlight         atomic.Int64
	closeConnections atomic.Bool
	draining         atomic.Bool
	hasRequests      atomic.Bool
	crashes          *quarantine.Detector
	// began is when this node started.
	startedAt time.Time

	mu      sync.Mutex
	classes map[classKey]*metrics.Class
}

type classKey struct{ workspace, route string }

// New returns a relay.
func New(o Options) *Relay {
	r := &Relay{
		options:   o,
		startedAt: time.Now(),
		log:       logging.For("relay"),
		classes:   map[classKey]*metrics.Class{},
	}
	r.crashes = quarantine.NewDetector(o.Quarantine, r.replaced, o.Upstream.Reach)
	return r
}

// InFlight returns the number of requests in progress.
func (r *Relay) InFlight() int64 { return r.inFlight.Load() }

// HasReceivedRequests reports whether any request has arrived since the start.
func (r *Relay) HasReceivedRequests() bool { return r.hasRequests.Load() }

// CloseConnections makes every response ask the caller to close its connection.
func (r *Relay) CloseConnections() { r.closeConnections.Store(true) }

// Drain has new requests refused: there is not enough time left for them.
func (r *Relay) Drain() { r.draining.Store(true) }

// maxClasses bounds the metrics' labels.
const maxClasses = 400

// class returns the metrics of a workspace and a kind of request.
func (r *Relay) class(workspace, kind string) *metrics.Class {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := classKey{workspace, kind}
	c := r.classes[key]
	if c == nil && len(r.classes) >= maxClasses {
		key = classKey{"other", kind}
		c = r.classes[key]
	}
	if c == nil {
		c = r.options.Metrics.Class(key.workspace, key.route)
		r.classes[key] = c
	}
	return c
}

// cause of a request's context to end.
type contextCause string

func (c contextCause) Error() string { return string(c) }

const (
	errDeadline contextCause = "the time for the answer is over"
	errStalled  contextCause = "the endpoint has fallen silent"
)

// withDeadline bounds a request's context.
func withDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, at, errDeadline)
}
