// Package metrics collects a node's metrics with tally and serves them to
// Prometheus.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/ridgehinge/ridgehinge/internal/bytecount"
	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/internal/logging"
)

var log = logging.For("metrics")

const reportInterval = time.Second

// latencyBuckets cover durations from a millisecond to a minute.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 24)

// Metrics is the root of a node's metrics.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	mu    sync.Mutex
	links map[string]*bytecount.Counter
}

// New returns metrics with their own registry, so that several nodes can run in
// one process.
func New(node, dataCentre string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(err error) { log.Warn("a metric was not registered", "error", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "ridgehinge",
		Tags:           map[string]string{"node": node, "data_centre": dataCentre},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
		// The names of tally's cardinality metrics are not valid in Prometheus.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler(), links: map[string]*bytecount.Counter{}}
}

// Close flushes the metrics and stops reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Handler returns the metrics page.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.reportInvariants()
		m.reportBytes()
		m.handler.ServeHTTP(w, r)
	})
}

func (m *Metrics) reportInvariants() {
	for _, name := range invariant.Names() {
		checked, violated := invariant.Count(name)
		scope := m.scope.Tagged(map[string]string{"invariant": name.String()})
		scope.Gauge("invariant_checks").Update(float64(checked))
		scope.Gauge("invariant_violations").Update(float64(violated))
	}
}

// Inc increments a counter. The tags must have few distinct values.
func (m *Metrics) Inc(name string, tags map[string]string) {
	m.scope.Tagged(tags).Counter(name).Inc(1)
}

// Set sets a gauge.
func (m *Metrics) Set(name string, value float64) {
	m.scope.Gauge(name).Update(value)
}

// SetTagged sets a gauge with tags. The tags must have few distinct values.
func (m *Metrics) SetTagged(name string, tags map[string]string, value float64) {
	m.scope.Tagged(tags).Gauge(name).Update(value)
}

// AddByteCounter adds a byte counter of one kind of control connection to the metrics.
func (m *Metrics) AddByteCounter(link string, counter *bytecount.Counter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[link] = counter
}

func (m *Metrics) reportBytes() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for link, counter := range m.links {
		for direction, n := range map[string]int64{"read": counter.Read.Load(), "written": counter.Written.Load()} {
			scope := m.scope.Tagged(map[string]string{"link": link, "direction": direction})
			scope.Gauge("control_bytes").Update(float64(n))
		}
	}
}

// Class has the metrics of one workspace and priority class.
type Class struct {
	scope tally.Scope
	// Wait is the time in the admission queue, FirstToken and Total are the times
	// since the request's arrival, BetweenTokens is the time between two events.
	Wait          tally.Histogram
	FirstToken    tally.Histogram
	BetweenTokens tally.Histogram
	Total         tally.Histogram
}

// Class returns the metrics of one workspace and class.
func (m *Metrics) Class(workspace, class string) *Class {
	scope := m.scope.Tagged(map[string]string{"workspace": workspace, "class": class})
	return &Class{
		scope:         scope,
		Wait:          scope.Histogram("request_wait_seconds", latencyBuckets),
		FirstToken:    scope.Histogram("request_first_token_seconds", latencyBuckets),
		BetweenTokens: scope.Histogram("request_between_tokens_seconds", latencyBuckets),
		Total:         scope.Histogram("request_total_seconds", latencyBuckets),
	}
}

// Outcome counts one finished request by its outcome.
func (c *Class) Outcome(outcome string) {
	c.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
}
