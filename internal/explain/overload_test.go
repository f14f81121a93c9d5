package explain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// poolChange returns a line about a pool, at a number of seconds after noon.
func poolChange(second int, short bool, service, model string) string {
	return fmt.Sprintf(`time=2026-12-03T12:00:%02d.000Z level=INFO msg="relay: overload of a pool changed" service=%s model=%s short=%t arrivals=180.5 admissible=101 starts=100 slots=128 running=40 unread=7000 read_rate=10000 slack=200ms evidence_age=50ms`+"\n",
		second, service, model, short)
}

// rejection is the line about a request that was rejected at 30 s after noon.
const rejection = `time=2026-12-03T12:00:30.000Z level=INFO msg="relay: a request was not served" request=r1 route=chat service=llm model=notes workspace=bakery outcome=refused cause="the pool has more demand than it can serve" level=2 returning=true retry_after=1.4s sends=0` + "\n"

// Guards against explanations of a rejection that lack the state of the pool, or take that of another
// pool, of another node, or of a time at which the pool was not short.
func TestCause_OverloadStatesPool(t *testing.T) {
	const level = "refused: the pool has more demand than it can serve; level 2, returning; "
	const unknown = level + "no line of this node states since when the pool is short"
	const state = ", then arrivals=180.5 admissible=101 slots=128 running=40 unread=7000"
	for _, test := range []struct {
		name  string
		log   string
		other string
		want  string
		lines int
	}{
		{"change long before", poolChange(2, true, "llm", "notes") + rejection, "", level + "pool llm/notes short since 2026-12-03T12:00:02Z (28s before)" + state, 2},
		{"newest change counts", poolChange(2, true, "llm", "notes") + poolChange(9, false, "llm", "notes") + poolChange(28, true, "llm", "notes") + rejection, "",
			level + "pool llm/notes short since 2026-12-03T12:00:28Z (2s before)" + state, 2},
		{"logged after the rejection", poolChange(29, false, "llm", "notes") + rejection + poolChange(31, true, "llm", "notes"), "",
			level + "pool llm/notes short since 2026-12-03T12:00:31Z (logged 1s after)" + state, 2},
		{"short again much later", poolChange(29, false, "llm", "notes") + rejection + poolChange(40, true, "llm", "notes"), "", unknown, 1},
		{"other model, other service", poolChange(20, true, "llm", "drafts") + poolChange(21, true, "llm2", "notes") + rejection, "", unknown, 1},
		{"other node", rejection, poolChange(20, true, "llm", "notes"), unknown, 1},
		{"log without services", poolChange(2, true, "llm", "notes") + strings.ReplaceAll(rejection, "service=llm ", ""), "",
			level + "pool llm/notes short since 2026-12-03T12:00:02Z (28s before)" + state, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			lines, err := Read("n1", strings.NewReader(test.log))
			require.NoError(t, err)
			others, err := Read("n2", strings.NewReader(test.other))
			require.NoError(t, err)
			lines = append(others, lines...)
			selected := Select(lines, "r1")
			require.Len(t, selected, test.lines)
			require.Equal(t, test.want, Cause(selected, "r1"))
		})
	}
}

// Guards against losing the level of a request to that of its log line, which has the same key.
func TestRead_KeepsLevelsOfLineAndRequest(t *testing.T) {
	lines, err := Read("n1", strings.NewReader(rejection))
	require.NoError(t, err)
	require.Len(t, lines, 1)
	require.Equal(t, "INFO", lines[0].Level)
	require.Equal(t, "2", lines[0].Get("level"))
}
