package serving

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an order of requests that are all equally urgent, and against a workspace's own
// priority being ignored.
func TestUrgencies(t *testing.T) {
	route := func(service string, priority int) Route {
		return Route{Host: "h", Prefix: "/", Splits: []Split{{service, 1}}, Priority: priority}
	}
	public := func(r Route) Route { r.Public = true; return r }
	plainWorkspace, own := Workspace{Name: "a"}, Workspace{Name: "b", Priority: 2, HasPriority: true}
	both := map[string]Workspace{"a": plainWorkspace, "b": own}
	for name, test := range map[string]struct {
		routes     []Route
		workspaces map[string]Workspace
		want       bool
	}{
		"one route":                           {[]Route{route("llm", 1)}, nil, false},
		"equal routes":                        {[]Route{route("llm", 1), route("llm", 1)}, nil, false},
		"different routes":                    {[]Route{route("llm", 1), route("llm", 2)}, nil, true},
		"different again after equal ones":    {[]Route{route("llm", 1), route("llm", 2), route("llm", 2)}, nil, true},
		"different routes of a plain service": {[]Route{route("shop", 1), route("shop", 2), route("llm", 1)}, nil, false},
		"different services":                  {[]Route{route("llm", 1), route("other", 2)}, nil, false},
		"workspace with its own priority":     {[]Route{route("llm", 1)}, both, true},
		"workspace with the route's priority": {[]Route{route("llm", 2)}, both, false},
		"same workspace, different routes":    {[]Route{route("llm", 1), route("llm", 0)}, map[string]Workspace{"b": own}, true},
		"same workspace, equal routes":        {[]Route{route("llm", 1), route("llm", 1)}, map[string]Workspace{"b": own}, false},
		"public route beside a workspace":     {[]Route{public(route("llm", 1))}, map[string]Workspace{"b": own}, true},
		"workspaces without one":              {[]Route{route("llm", 1)}, map[string]Workspace{"a": plainWorkspace}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Configuration{
				Routes:     test.routes,
				Services:   map[string]Service{"llm": {Engine: &Engine{}}, "other": {Engine: &Engine{}}, "shop": {}},
				Workspaces: test.workspaces,
			}
			c.Index()
			require.Equal(t, test.want, c.Urgencies("llm") > 1)
			require.Zero(t, c.Urgencies("shop"))
			require.Zero(t, c.Urgencies("unknown"))
		})
	}
}

// Guards against plans by callers where the configuration does not rank the requests of a service.
func TestRanksRoutes(t *testing.T) {
	route := func(service string, kind RouteKind, priority int) Route {
		return Route{Kind: kind, Splits: []Split{{"other", 1}, {service, 1}}, Priority: priority}
	}
	for name, test := range map[string]struct {
		routes []Route
		want   bool
	}{
		"none":                 {nil, false},
		"equal":                {[]Route{route("llm", KindStream, 1), route("llm", KindStream, 1)}, false},
		"different":            {[]Route{route("llm", KindStream, 1), route("llm", KindStream, 1), route("llm", KindStream, 0)}, true},
		"of different kinds":   {[]Route{route("llm", KindStream, 1), route("llm", KindRepeatable, 0)}, false},
		"of different service": {[]Route{route("llm", KindStream, 1), route("llm2", KindStream, 0)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Configuration{Routes: test.routes}
			require.Equal(t, test.want, c.RanksRoutes("llm"))
		})
	}
}

// Guards against a route's priority going before a workspace's, and against routes that count as
// equally urgent because all workspaces have the same priority.
func TestUrgency(t *testing.T) {
	first, second, same := Workspace{HasPriority: true}, Workspace{Priority: 5, HasPriority: true}, Workspace{Priority: 5, HasPriority: true}
	c := &Configuration{
		Routes:     []Route{{Host: "h", Prefix: "/a/", Splits: []Split{{"llm", 1}}, Priority: 1}, {Host: "h", Prefix: "/b/", Splits: []Split{{"llm", 1}}, Priority: -300}},
		Services:   map[string]Service{"llm": {Engine: &Engine{}}},
		Workspaces: map[string]Workspace{"a": first, "b": second, "c": same},
	}
	c.Index()
	for want, request := range []struct {
		route     *Route
		workspace Workspace
	}{{&c.Routes[1], first}, {&c.Routes[0], first}, {&c.Routes[1], second}, {&c.Routes[0], same}} {
		require.Equal(t, want, c.Urgency("llm", request.route, request.workspace))
	}
	require.Zero(t, c.Urgency("shop", &c.Routes[0], first))
}
