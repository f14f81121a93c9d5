package serving

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an order of requests that are all equally urgent, and against a workspace's own
// priority being ignored.
func TestHasLevels(t *testing.T) {
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
		"all workspaces have the same one":    {[]Route{route("llm", 1), route("llm", 0)}, map[string]Workspace{"b": own}, false},
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
			require.Equal(t, test.want, c.HasLevels("llm"))
			require.False(t, c.HasLevels("shop"))
			require.False(t, c.HasLevels("unknown"))
		})
	}
}
