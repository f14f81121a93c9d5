// Package serving has the types of the active configuration, the endpoints
// that run requests, and the replica groups that model endpoints form.
//
// The types are independent of any wire format; adapters convert to them.
package serving

import (
	"slices"
	"strings"
	"time"
)

// EndpointID identifies an endpoint. It may change or stay the same at a
// restart; Endpoint.StartedAt distinguishes incarnations with the same id.
type EndpointID string

// DataCentre is the name of a data centre.
type DataCentre string

// RouteKind states how often a request of a route may run.
type RouteKind uint8

// The kinds of route.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable RouteKind = iota
	// KindOnce requests run at most once.
	KindOnce
	// KindStream requests get a stream of events; they run at most once
	// unless the route's streams are resumable.
	KindStream
)

// Split sends a share of a route's requests to a service.
type Split struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Splits has at least one entry.
	Splits []Split
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the target time to the response, or to the first event of a
	// stream; GapObjective is the target time between events.
	Objective    time.Duration
	GapObjective time.Duration
	MaxAttempts  int
	Priority     int
	// Public routes require no key.
	Public bool
	// Resumable streams may be resumed at another endpoint.
	Resumable bool
	// AllowedRegions limits the route's requests to endpoints in data centres of these regions. Nil
	// means no limit; an empty list allows no region.
	AllowedRegions []Region
}

// Repeatable reports whether a request may be sent again after it may have
// run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// Service returns the service for a hash of the request.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total <= 0 {
		return r.Splits[0].Service
	}
	at := int(hash % uint64(total))
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Model is a model that a service's endpoints can load.
type Model struct {
	Name string
	// Size is the number of endpoints in a replica group.
	Size int
	// Fraction is the model's share of the expected load.
	Fraction float64
	// TimeFactor multiplies all of the engine's times.
	TimeFactor float64
	// LoadTime is the time to load the weights from the weight store, WarmTime
	// from the host's memory.
	LoadTime time.Duration
	WarmTime time.Duration
}

// Engine is the performance model of a service's engines.
type Engine struct {
	Slots              int
	StepTime           time.Duration
	PerSequence        time.Duration
	PerThousand        time.Duration // for each thousand tokens of context
	TokensPerSec       float64       // prompt tokens read per second
	PairsTime          time.Duration // for each million pairs of tokens
	Chunk              int           // prompt tokens read in one pass
	StepsPerPass       int
	MemoryTokens       int
	CrossDomainFactor  float64 // slowdown of a group that spans domains
	LoadsPerSec        float64
	MaxConcurrentLoads int
	Models             []Model
}

// Model returns a model by name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service is a kind of endpoint.
type Service struct {
	Name           string
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// ColdStart is how long an endpoint is cold after its start, and ColdPerSec how many requests a
	// second from all nodes together it accepts meanwhile; zero means no limit.
	ColdStart  time.Duration
	ColdPerSec float64
}

// Workspace is a customer.
type Workspace struct {
	Name string
	// Priority takes precedence over the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// AllowedRegions limits the workspace's requests as Route.AllowedRegions does; both limits apply.
	AllowedRegions []Region
}

// Limits bound callers' requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	IdleTimeout time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Workspaces is keyed by API key; nil means that no key is required.
	Workspaces map[string]Workspace
	Limits     Limits

	byHost map[string][]*Route
	// urgencies has, for each service with an engine, the priorities of its requests, most urgent first.
	urgencies map[string][]urgency
}

// Index prepares the configuration for Match. It must be called once, before
// the configuration is shared.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	c.indexUrgencies()
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route with the longest matching prefix, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// MemberState is the state of an endpoint in its replica group.
type MemberState uint8

// The states of a member. Only the head can be open or closing.
const (
	MemberNone MemberState = iota
	MemberJoining
	MemberReady
	MemberOpen
	MemberClosing
	MemberBroken
)

var memberStates = [...]string{"none", "joining", "ready", "open", "closing", "broken"}

// String returns the state in lower case, for logs.
func (s MemberState) String() string { return memberStates[s] }

// Membership is an endpoint's membership in a replica group.
type Membership struct {
	Group string
	Epoch uint64
	Rank  int
	State MemberState
}

// Endpoint is the record of one incarnation of an endpoint.
type Endpoint struct {
	ID EndpointID
	// StartedAt is when this incarnation started, in Unix milliseconds by the endpoint's clock;
	// zero if unknown.
	StartedAt  int64
	Service    string
	Address    string
	DataCentre DataCentre
	// Domain is the fabric domain; groups that span domains are slower.
	Domain   string
	Slots    int
	Draining bool
	// Writes counts the writes of the endpoint's row in this incarnation. Of two rows of the same
	// incarnation, the one with the smaller count is older.
	Writes uint64
	// Model is the model of its last group in this incarnation, which it can start without loading;
	// the weights of Staged models are in the host's memory.
	Model      string
	Staged     []string
	Membership Membership
	// ColdFor is how much longer the endpoint was cold when its row was written.
	ColdFor time.Duration
	// ColdUntil and ColdPerSec are set in views: until then the endpoint accepts only so many
	// requests a second from all nodes together. A zero ColdPerSec means no limit.
	ColdUntil  time.Time
	ColdPerSec float64
}

// ColdLimit returns the limit of a cold endpoint in requests a second, or zero if it has none.
func (e *Endpoint) ColdLimit(now time.Time) float64 {
	if now.Before(e.ColdUntil) {
		return e.ColdPerSec
	}
	return 0
}

// Incarnation identifies one incarnation of an endpoint. A restart loses all state, so reports
// of an earlier incarnation are invalid.
type Incarnation struct {
	ID EndpointID
	// StartedAt is as in Endpoint.
	StartedAt int64
}

// Incarnation returns the incarnation of a record.
func (e *Endpoint) Incarnation() Incarnation { return Incarnation{e.ID, e.StartedAt} }

// Equal reports whether two records describe the same state of an endpoint. Writes and the fields
// on coldness are ignored.
func (e *Endpoint) Equal(other *Endpoint) bool {
	return e.ID == other.ID && e.StartedAt == other.StartedAt && e.Service == other.Service && e.Address == other.Address &&
		e.DataCentre == other.DataCentre && e.Domain == other.Domain && e.Slots == other.Slots &&
		e.Draining == other.Draining && e.Model == other.Model && e.Membership == other.Membership &&
		slices.Equal(e.Staged, other.Staged)
}

// Report is an endpoint's response to a status request.
type Report struct {
	// StartedAt is as in Endpoint.
	StartedAt  int64
	Membership Membership
	Model      string
	Staged     []string
	Domain     string
	// Orders counts the orders that this incarnation has accepted.
	Orders  uint64
	Queued  int
	Running int
}

// OrderKind is the kind of an order.
type OrderKind uint8

// The kinds of order.
const (
	// OrderJoin makes the endpoint a member of a group.
	OrderJoin OrderKind = iota
	// OrderOpen makes a ready head accept requests.
	OrderOpen
	// OrderClose makes a head finish its requests and reject new ones.
	OrderClose
	// OrderLeave ends the membership immediately.
	OrderLeave
	// OrderStage loads a model's weights into the host's memory.
	OrderStage
)

var orderKinds = [...]string{"join", "open", "close", "leave", "stage"}

// String returns the kind in lower case, for logs.
func (k OrderKind) String() string { return orderKinds[k] }

// Order is a fenced command to one endpoint.
type Order struct {
	Kind  OrderKind
	Group string
	Epoch uint64
	Model string
	// Members has the head first.
	Members []EndpointID
	// Fence is the lease epoch of the controller.
	Fence uint64
	// Expected is the number of orders that the endpoint must have accepted;
	// otherwise it rejects the order.
	Expected uint64
}
