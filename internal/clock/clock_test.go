package clock

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// machine emulates the two clocks of a machine that can be suspended.
type machine struct {
	running   time.Duration
	suspended time.Duration
	err       error
}

func (m *machine) clock() *Clock {
	return NewFromSources(
		func() (time.Duration, error) { return time.Hour + m.running + m.suspended, m.err },
		func() time.Duration { return m.running },
	)
}

// Guards against a lease that stays valid while its holder's machine is suspended.
func TestClock_CountsSuspensions(t *testing.T) {
	m := &machine{}
	c := m.clock()
	before := c.Now()
	m.running += time.Second
	require.Zero(t, c.Refresh())
	m.suspended += 5 * time.Second
	require.Zero(t, c.Suspended(), "not refreshed yet")
	require.InDelta(t, 5*time.Second, c.Now().Sub(before), float64(time.Second))
	require.Equal(t, 5*time.Second, c.Suspended())
	m.suspended += 3 * time.Second
	m.running += time.Minute
	require.Equal(t, 8*time.Second, c.Refresh())
}

func TestClock_IgnoresPreemption(t *testing.T) {
	m := &machine{}
	c := m.clock()
	m.suspended += minSuspension / 2
	require.Zero(t, c.Refresh())
	m.suspended -= time.Second
	require.Zero(t, c.Refresh(), "the clock is monotonic")
}

func TestClock_WithoutBootTimeIsMonotonic(t *testing.T) {
	m := &machine{err: errors.New("no such clock")}
	c := m.clock()
	m.suspended += time.Hour
	require.Zero(t, c.Refresh())
	require.WithinDuration(t, time.Now(), c.Now(), time.Minute)
}

func TestEmulated_ReadsSuspensionFromFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "suspended")
	c := Emulated(file)
	require.Zero(t, c.Refresh())
	require.NoError(t, os.WriteFile(file, []byte("3000\n"), 0o600))
	require.InDelta(t, 3*time.Second, c.Refresh(), float64(time.Second))
	require.NoError(t, os.WriteFile(file, []byte("soon"), 0o600))
	require.InDelta(t, 3*time.Second, c.Refresh(), float64(time.Second))
}

func TestNew_ReadsBootTime(t *testing.T) {
	c := New()
	before := c.Now()
	time.Sleep(time.Millisecond)
	require.Positive(t, c.Now().Sub(before))
	require.False(t, c.failed.Load())
}

func BenchmarkNow(b *testing.B) {
	c := New()
	b.Run("suspensions counted", func(b *testing.B) {
		for range b.N {
			c.Now()
		}
	})
	b.Run("time.Now", func(b *testing.B) {
		for range b.N {
			_ = time.Now()
		}
	})
}
