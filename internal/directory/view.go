// Package directory is what a node knows of the configuration and the
// endpoints: read from the store, learnt from peers, and published to traffic
// as immutable views.
package directory

import (
	"slices"
	"strings"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// View is what traffic and control read. It is immutable.
type View struct {
	// Configuration is nil until one is known.
	Configuration *serving.Configuration
	Endpoints     map[serving.EndpointID]*serving.Endpoint
	// Lapsed endpoints are not listed any more and gave no notice: dead, or cut
	// off from the store alone. They take no new requests, and their groups
	// serve on until it shows that they are dead.
	Lapsed map[serving.EndpointID]*serving.Endpoint
	// Plain has the endpoints of plain services that take new requests.
	Plain map[string][]*serving.Endpoint
	// Heads has the heads of open groups, by service and model.
	Heads map[Pool][]*Head
}

// Pool names the groups of one model of one service.
type Pool struct{ Service, Model string }

// Head is the endpoint that takes a group's requests.
type Head struct {
	*serving.Endpoint
	Model serving.Model
	// Engine is the speed of one group at the model's pace.
	Engine  *serving.Engine
	Members []serving.EndpointID
	// Incomplete is set when a member is missing, Degraded when one is leaving:
	// what runs goes on, and new requests go elsewhere if they can.
	Incomplete bool
	Degraded   bool
	// Pace multiplies the engine's times: that of the model, slower across
	// domains.
	Pace float64
}

// buildView sorts the endpoints for traffic.
func buildView(c *serving.Configuration, endpoints, lapsed map[serving.EndpointID]*serving.Endpoint) *View {
	v := &View{
		Configuration: c,
		Endpoints:     endpoints,
		Lapsed:        lapsed,
		Plain:         map[string][]*serving.Endpoint{},
		Heads:         map[Pool][]*Head{},
	}
	if c == nil {
		return v
	}
	groups := map[serving.Membership][]*serving.Endpoint{}
	for _, some := range []map[serving.EndpointID]*serving.Endpoint{endpoints, lapsed} {
		for _, e := range some {
			if e.Membership.Group != "" {
				key := groupKey(e.Membership)
				groups[key] = append(groups[key], e)
			}
		}
	}
	for _, e := range endpoints {
		service, ok := c.Services[e.Service]
		if !ok {
			continue
		}
		if service.Engine == nil {
			if !e.Draining {
				v.Plain[e.Service] = append(v.Plain[e.Service], e)
			}
			continue
		}
		if head := newHead(e, service.Engine, groups[groupKey(e.Membership)]); head != nil {
			pool := Pool{e.Service, head.Model.Name}
			v.Heads[pool] = append(v.Heads[pool], head)
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

// groupKey is what the members of one formation of a group share.
func groupKey(m serving.Membership) serving.Membership {
	return serving.Membership{Group: m.Group, Epoch: m.Epoch}
}

// newHead returns nil for an endpoint that takes no new requests of a model.
func newHead(e *serving.Endpoint, engine *serving.Engine, members []*serving.Endpoint) *Head {
	if e.Draining || e.Membership.Rank != 0 || e.Membership.State != serving.MemberOpen {
		return nil
	}
	model, ok := engine.Model(e.Model)
	if !ok {
		return nil
	}
	head := &Head{Endpoint: e, Model: model, Engine: engine, Pace: model.Pace}
	for _, m := range members {
		head.Members = append(head.Members, m.ID)
		head.Degraded = head.Degraded || m.Draining
		if m.Domain != e.Domain {
			head.Pace = model.Pace * engine.FarFactor
		}
	}
	head.Incomplete = len(members) < model.Size
	return head
}
