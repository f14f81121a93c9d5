package relay

import (
	"bytes"
	"log/slog"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/explain"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

var testRegions = map[serving.DataCentre]serving.Region{"north": "coast", "south": "hills"}

// Guards against ignoring one of two limits, and against treating an unknown region or an empty list
// as no limit.
func TestRegionLimit_Allows(t *testing.T) {
	coast, hills, none := []serving.Region{"coast"}, []serving.Region{"hills"}, []serving.Region{}
	for _, test := range []struct {
		route, workspace []serving.Region
		// allowed has the answers for north, south and a data centre whose region is not known.
		allowed [3]bool
		text    string
	}{
		{nil, nil, [3]bool{true, true, true}, ""},
		{coast, nil, [3]bool{true, false, false}, "route: coast"},
		{append(hills, "coast"), hills, [3]bool{false, true, false}, "route: hills,coast; workspace: hills"},
		{coast, hills, [3]bool{}, "route: coast; workspace: hills"},
		{nil, none, [3]bool{}, "workspace: none"},
		{[]serving.Region{""}, nil, [3]bool{}, "route: "},
	} {
		limit := regionLimit{testRegions, test.route, test.workspace}
		require.Equal(t, test.allowed, [3]bool{limit.allows("north"), limit.allows("south"), limit.allows("unknown")}, test.text)
		require.Equal(t, test.text, limit.String())
	}
}

// limitedFixture has endpoints in the south, and a second view whose newer configuration limits all
// routes to the coast.
func limitedFixture(t *testing.T, e *endpoint) (fx *fixture, limited *directory.View) {
	t.Helper()
	fx = newFixture(t, []*endpoint{e}, []*endpoint{e})
	for _, listed := range fx.view.Endpoints {
		listed.DataCentre = "south"
	}
	fx.relay.options.Regions = testRegions
	configuration := *fx.view.Configuration
	configuration.Routes = append([]serving.Route(nil), configuration.Routes...)
	for i := range configuration.Routes {
		configuration.Routes[i].AllowedRegions = []serving.Region{"coast"}
	}
	configuration.Index()
	view := *fx.view
	view.Configuration = &configuration
	return fx, &view
}

// Guards against sending a request by limits that changed while it waited for an endpoint (after one
// call of View) or for a connection (after two), and against log lines that do not tell the limit.
func TestServe_ChecksRegionsBeforeSending(t *testing.T) {
	before := slog.Default()
	t.Cleanup(func() { slog.SetDefault(before) })
	for _, calls := range []int64{0, 1, 2} {
		for _, host := range []string{hostPlain, hostOnce, hostStream} {
			log := &logBuffer{}
			logging.Setup(log, slog.LevelInfo)
			e := newEndpoint(t, respondWith(200, "good"))
			fx, limited := limitedFixture(t, e)
			count := atomic.Int64{}
			fx.relay.options.View = func() *directory.View {
				if count.Add(1) > calls {
					return limited
				}
				return fx.view
			}
			out := fx.serve(request(host))
			require.Equal(t, 503, out.status, "%s after %d views", host, calls)
			require.NotEmpty(t, out.header.Get("After"))
			require.Empty(t, e.requests())
			lines, err := explain.Read("node", &log.text)
			require.NoError(t, err)
			var printed bytes.Buffer
			explain.Print(&printed, explain.Select(lines, "r1"), "r1")
			require.Contains(t, printed.String(), "regions=route: coast")
			require.Contains(t, printed.String(), "cause: refused: "+causeRegion)
		}
	}
}

// Guards against a limit that ends when the workspace's key leaves the configuration, against ignoring
// that of a workspace without a name, and against a cost for requests without a limit.
func TestRegionLimit_OfWorkspace(t *testing.T) {
	fx, _ := limitedFixture(t, newEndpoint(t, respondWith(200, "good")))
	before := fx.view.Configuration
	c := &call{Relay: fx.relay, view: fx.view, in: request(hostPlain), route: &before.Routes[0], attrs: Attributes{Key: "secret"}}
	heads := fx.view.Heads[directory.Pool{Service: "llm", Model: "m"}]
	require.Zero(t, testing.AllocsPerRun(100, func() { heads = c.regionLimit(before).heads(heads) }))
	require.Len(t, heads, 1)
	before.Workspaces["secret"] = serving.Workspace{AllowedRegions: []serving.Region{"coast"}}
	require.False(t, c.regionLimit(before).allows("south"))
	after := *before
	after.Workspaces = map[string]serving.Workspace{}
	require.False(t, c.regionLimit(&after).allows("south"))
}
