package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An evacuation that began long before explains why a request was rejected.
func TestSelect_IncludesEvacuations(t *testing.T) {
	log := `time=2026-12-03T12:00:00.000Z level=INFO msg="directory: data centre evacuated; its endpoints get no new requests" evacuated=wien-a version=7 age=0s source=store
time=2026-12-03T12:00:01.000Z level=INFO msg="directory: data centre evacuated; its endpoints get no new requests" evacuated=linz-c version=9 age=0s source=store
time=2026-12-03T12:00:02.000Z level=INFO msg="directory: data centre evacuated; its endpoints get no new requests" evacuated=wien-b version=11 age=0s source=store
time=2026-12-03T12:05:00.000Z level=INFO msg="relay: a request was not served" request=r1 outcome=refused cause="the data centres that could serve it are evacuated" evacuated=linz-c,wien-a
`
	lines, err := Read("n1", strings.NewReader(log))
	require.NoError(t, err)
	selected := Select(lines, "r1")
	require.Len(t, selected, 3)
	require.Equal(t, "wien-a", selected[0].Get(evacuatedKey))
	require.Equal(t, "linz-c", selected[1].Get(evacuatedKey))
	require.Contains(t, Cause(selected, "r1"), "evacuated")
}
