package logging

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	text    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestBounded_BlockedWriterDropsLines(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBounded(out)
	const lines = 3 * queueCapacity
	for i := range lines {
		// Each call would hang if a write could block.
		n, err := fmt.Fprintf(b, "line %d\n", i)
		require.NoError(t, err)
		require.Positive(t, n)
	}
	dropped := b.Dropped()
	require.Positive(t, dropped)
	close(out.release)
	b.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.text.String()
	require.Contains(t, text, fmt.Sprintf("lines were dropped\" lines=%d", dropped))
	require.Equal(t, lines, strings.Count(text, "line ")+int(dropped))
}

func TestLogger_ErrorsHaveNoStack(t *testing.T) {
	var out bytes.Buffer
	before := slog.Default()
	defer slog.SetDefault(before)
	Setup(&out, slog.LevelInfo)
	For("part").Info("something failed", "error", fmt.Errorf("outer: %w", errors.New("inner")))
	require.Contains(t, out.String(), `msg="part: something failed" error="outer: inner"`)
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
}
