package clock

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// machine has the two clocks of a machine that may be suspended.
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

// A controller is suspended for five seconds. The clock that its lease ran by would stand
// still, so it would take the lease for valid while another node has it.
func TestSuspendedTimeCounts(t *testing.T) {
	m := &machine{}
	c := m.clock()
	before := c.Now()
	m.running += time.Second
	require.Zero(t, c.Refresh())
	m.suspended += 5 * time.Second
	require.Zero(t, c.Suspended(), "nobody has looked")
	require.InDelta(t, 5*time.Second, c.Now().Sub(before), float64(time.Second))
	require.Equal(t, 5*time.Second, c.Suspended())
	m.suspended += 3 * time.Second
	m.running += time.Minute
	require.Equal(t, 8*time.Second, c.Refresh())
}

func TestHoldUpsOfTheProcessAreNoSuspensions(t *testing.T) {
	m := &machine{}
	c := m.clock()
	m.suspended += leastSuspension / 2
	require.Zero(t, c.Refresh())
	m.suspended -= time.Second
	require.Zero(t, c.Refresh(), "the clock never goes back")
}

func TestAKernelThatDoesNotTellLeavesTheMonotonicClock(t *testing.T) {
	m := &machine{err: errors.New("no such clock")}
	c := m.clock()
	m.suspended += time.Hour
	require.Zero(t, c.Refresh())
	require.WithinDuration(t, time.Now(), c.Now(), time.Minute)
}

func TestAnEmulatedMachineIsSuspendedByAFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "suspended")
	c := Emulated(file)
	require.Zero(t, c.Refresh())
	require.NoError(t, os.WriteFile(file, []byte("3000\n"), 0o600))
	require.InDelta(t, 3*time.Second, c.Refresh(), float64(time.Second))
	require.NoError(t, os.WriteFile(file, []byte("soon"), 0o600))
	require.InDelta(t, 3*time.Second, c.Refresh(), float64(time.Second))
}

func TestTheKernelTellsTheTimeSinceItsStart(t *testing.T) {
	c := New()
	before := c.Now()
	time.Sleep(time.Millisecond)
	require.Positive(t, c.Now().Sub(before))
	require.False(t, c.failed.Load())
}

// BenchmarkNow: 303 ns with the suspended time and 59 ns for time.Now, beside a busy machine.
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
