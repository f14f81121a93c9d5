// Package directory holds a node's knowledge of the configuration and the endpoints, read from the
// store or received from peers, and publishes it as immutable views.
package directory

import (
	"slices"
	"strings"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// View is an immutable snapshot for the relay and the controller.
type View struct {
	// Configuration is nil until one is known.
	Configuration *serving.Configuration
	Endpoints     map[serving.EndpointID]*serving.Endpoint
	// Lapsed has endpoints whose rows were removed while they were not draining: they have
	// crashed, or are only partitioned from the store. They get no new requests, and their groups
	// keep serving until the endpoints are known to be down.
	Lapsed map[serving.EndpointID]*serving.Endpoint
	// Plain has the endpoints of services without an engine that accept new requests.
	Plain map[string][]*serving.Endpoint
	// Heads has the heads of open groups by service and model.
	Heads map[Pool][]*Head
	// Evacuated has the data centres whose endpoints get no new requests; Plain and Heads are
	// without them. Withheld has how many endpoints that is, by service and model; the model is
	// empty for plain services.
	Evacuated map[serving.DataCentre]bool
	Withheld  map[Pool]int
}

// Pool identifies the groups of one model of one service.
type Pool struct{ Service, Model string }

// Head is the endpoint that receives a group's requests.
type Head struct {
	*serving.Endpoint
	Model serving.Model
	// Engine has the timings of one group at TimeFactor 1.
	Engine  *serving.Engine
	Members []serving.EndpointID
	// Incomplete is set when a member is missing, Degraded when one is draining: requests in
	// flight continue, and new ones prefer other groups.
	Incomplete bool
	Degraded   bool
	// TimeFactor multiplies the engine's timings: the model's factor, higher if the group spans
	// domains.
	TimeFactor float64
}

// viewInput is what a view is built from.
type viewInput struct {
	configuration *serving.Configuration
	endpoints     map[serving.EndpointID]*serving.Endpoint
	lapsed        map[serving.EndpointID]*serving.Endpoint
	evacuated     map[serving.DataCentre]bool
}

// buildView indexes the endpoints for routing.
func buildView(in viewInput) *View {
	c := in.configuration
	v := &View{
		Configuration: c,
		Endpoints:     in.endpoints,
		Lapsed:        in.lapsed,
		Plain:         map[string][]*serving.Endpoint{},
		Heads:         map[Pool][]*Head{},
		Evacuated:     in.evacuated,
		Withheld:      map[Pool]int{},
	}
	if c == nil {
		return v
	}
	groups := map[serving.Membership][]*serving.Endpoint{}
	for _, set := range []map[serving.EndpointID]*serving.Endpoint{in.endpoints, in.lapsed} {
		for _, e := range set {
			if e.Membership.Group != "" {
				key := groupKey(e.Membership)
				groups[key] = append(groups[key], e)
			}
		}
	}
	for _, e := range in.endpoints {
		if service, ok := c.Services[e.Service]; ok {
			v.addEndpoint(e, service.Engine, groups[groupKey(e.Membership)])
		}
	}
	for _, heads := range v.Heads {
		slices.SortFunc(heads, func(a, b *Head) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	for _, plain := range v.Plain {
		slices.SortFunc(plain, func(a, b *serving.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return v
}

// addEndpoint adds an endpoint of a known service to those that may get requests. members are
// those of its group.
func (v *View) addEndpoint(e *serving.Endpoint, engine *serving.Engine, members []*serving.Endpoint) {
	if engine == nil {
		switch {
		case e.Draining:
		case v.Evacuated[e.DataCentre]:
			v.Withheld[Pool{Service: e.Service}]++
		default:
			v.Plain[e.Service] = append(v.Plain[e.Service], e)
		}
		return
	}
	head := newHead(e, engine, members)
	if head == nil {
		return
	}
	pool := Pool{e.Service, head.Model.Name}
	if v.Evacuated[e.DataCentre] {
		v.Withheld[pool]++
		return
	}
	v.Heads[pool] = append(v.Heads[pool], head)
}

// groupKey identifies one formation of a group.
func groupKey(m serving.Membership) serving.Membership {
	return serving.Membership{Group: m.Group, Epoch: m.Epoch}
}

// newHead returns nil for an endpoint that accepts no new requests of a model.
func newHead(e *serving.Endpoint, engine *serving.Engine, members []*serving.Endpoint) *Head {
	if e.Draining || e.Membership.Rank != 0 || e.Membership.State != serving.MemberOpen {
		return nil
	}
	model, ok := engine.Model(e.Model)
	if !ok {
		return nil
	}
	head := &Head{Endpoint: e, Model: model, Engine: engine, TimeFactor: model.TimeFactor}
	for _, m := range members {
		head.Members = append(head.Members, m.ID)
		head.Degraded = head.Degraded || m.Draining
		if m.Domain != e.Domain {
			head.TimeFactor = model.TimeFactor * engine.CrossDomainFactor
		}
	}
	head.Incomplete = len(members) < model.Size
	return head
}
