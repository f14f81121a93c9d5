package entry

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Guards against pairs that are dropped or misread: limited requests would be rejected, or reach a
// data centre that is not allowed.
func TestParse_Regions(t *testing.T) {
	with := func(value string) []byte {
		return []byte(strings.Replace(minimal, "[listen]", "regions = "+value+"\n[listen]", 1))
	}
	s, err := Parse("entry.ini", with("north:coast, south:eu:1"))
	require.NoError(t, err)
	require.Equal(t, map[serving.DataCentre]serving.Region{"north": "coast", "south": "eu:1"}, s.Regions)
	for _, wrong := range []string{"north", "north:", ":coast", "no rth:coast", "north:coast,north:hills"} {
		_, err := Parse("entry.ini", with(wrong))
		require.ErrorContains(t, err, "entry.ini: [node] regions", wrong)
		require.ErrorContains(t, err, "DATA-CENTRE:REGION")
	}
}

// Guards against misspelt regions in the configuration that no log line names.
func TestUnknownRegions(t *testing.T) {
	c := &serving.Configuration{
		Routes:     []serving.Route{{AllowedRegions: []serving.Region{"coast", "cost"}}, {}},
		Workspaces: map[string]serving.Workspace{"a": {AllowedRegions: []serving.Region{"hils"}}, "b": {AllowedRegions: []serving.Region{"hils"}}},
	}
	require.Equal(t, []serving.Region{"cost", "hils"}, unknownRegions(c, map[serving.DataCentre]serving.Region{"north": "coast"}))
}
