package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/explain"
)

// A request that was passed on must show to whom, and since when the node's links are lost.
func TestCause_PassedOnWithoutLinks(t *testing.T) {
	const log = `time=2026-01-01T00:00:01.000Z level=WARN msg="reachability: links to all endpoints are lost" endpoints=57
time=2026-01-01T00:00:03.000Z level=INFO msg="relay: a neighbour did not run a request to its end" request=r1 neighbour=10.0.0.2:7 local=true what=declined error="the other entry instance declined: stopping"
time=2026-01-01T00:00:03.010Z level=INFO msg="relay: a request was not served" request=r1 outcome=refused cause="the links to all endpoints are lost, and no other node runs the request"
time=2026-01-01T00:00:09.000Z level=INFO msg="reachability: endpoints are reachable again" after=8s
`
	lines, err := explain.Read("edge-1", strings.NewReader(log))
	require.NoError(t, err)
	selected := explain.Select(lines, "r1")
	require.Len(t, selected, 3)
	require.Equal(t, "links to all endpoints are lost", selected[0].Text)
	cause := explain.Cause(selected, "r1")
	require.Contains(t, cause, "refused: the links to all endpoints are lost")
	require.Contains(t, cause, "declined at neighbour 10.0.0.2:7")
}
