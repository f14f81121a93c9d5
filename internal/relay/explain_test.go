package relay

import (
	"bytes"
	"log/slog"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/explain"
	"github.com/ridgehinge/ridgehinge/internal/logging"
)

// logBuffer collects log lines from many goroutines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// The kinds of failed requests that the operators' manual covers.
func TestExplain_NamesCauseOfFailure(t *testing.T) {
	before := slog.Default()
	t.Cleanup(func() { slog.SetDefault(before) })
	for _, test := range []struct {
		name  string
		host  string
		plain []*endpoint
		heads []*endpoint
		want  []string
	}{
		{"interrupted stream", hostStream, nil, []*endpoint{newEndpoint(t, events(1, 2, breakStream), events(3, 3, breakStream)), newEndpoint(t, events(3, 3, breakStream))},
			[]string{"broken: attempts used up", "a broken stream at h"}},
		{"rejection", hostStream, nil, nil, []string{"refused: no group is open"}},
		{"non-repeatable request gets 502", hostOnce, []*endpoint{newEndpoint(t, closeConn)}, nil,
			[]string{"failed: it may not run twice", "no answer at p0"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			out := &logBuffer{}
			logging.Setup(out, slog.LevelInfo)
			newFixture(t, test.plain, test.heads).serve(request(test.host))
			lines, err := explain.Read("node", &out.text)
			require.NoError(t, err)
			selected := explain.Select(lines, "r1")
			cause := explain.Cause(selected, "r1")
			for _, want := range test.want {
				require.Contains(t, cause, want)
			}
			var printed bytes.Buffer
			explain.Print(&printed, selected, "r1")
			require.Contains(t, printed.String(), "cause: "+cause)
		})
	}
}

func TestExplain_ShowsEndpointEvents(t *testing.T) {
	text := `time=2026-01-01T00:00:01.000Z level=WARN msg="groups: marked endpoint as dead" endpoint=i-1 why="no response to probes"
  2.5 edge-1 time=2026-01-01T00:00:02.000Z level=INFO msg="relay: an attempt failed" request=r1 endpoint=i-1 group=g1 what="no answer" error="the request may have run"
time=2026-01-01T00:00:01.500Z level=INFO msg="groups: started dissolving a group" group=g1 epoch=3
time=2026-01-01T00:00:01.600Z level=INFO msg="groups: started dissolving a group" group=g2 epoch=3
not a line of a log
time=2026-01-01T00:00:02.100Z level=INFO msg="relay: a request was not served" request=r1 outcome=failed cause="retry budget used up"
time=2026-01-01T00:00:02.100Z level=INFO msg="relay: a request was not served" request=r2 outcome=failed cause=deadline
`
	lines, err := explain.Read("file", bytes.NewBufferString(text))
	require.NoError(t, err)
	require.Len(t, lines, 6)
	selected := explain.Select(lines, "r1")
	var texts []string
	for _, l := range selected {
		texts = append(texts, l.Source+" "+l.Text)
	}
	require.Equal(t, []string{
		"file marked endpoint as dead",
		"file started dissolving a group",
		"2.5 edge-1 an attempt failed",
		"file a request was not served",
	}, texts)
	require.Equal(t, "failed: retry budget used up; no answer at i-1 (the request may have run)", explain.Cause(selected, "r1"))
	require.Nil(t, explain.Select(lines, "r3"))
}
