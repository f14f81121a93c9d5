package entry

import (
	"github.com/ridgehinge/ridgehinge/internal/clock"
)

// newClock returns the machine's clock, or in tests an emulated one.
func (s *Settings) newClock() *clock.Clock {
	if s.SuspensionFile != "" {
		return clock.Emulated(s.SuspensionFile)
	}
	return clock.New()
}

// handleSuspension backdates times of the monotonic clock by the time for which the machine was
// suspended since the last check. The lease uses its clock directly.
func (e *Entry) handleSuspension() {
	totalSuspended := e.clock.Refresh()
	since := totalSuspended - e.totalSuspended
	if since <= 0 {
		return
	}
	e.totalSuspended = totalSuspended
	e.directory.HandleSuspension(since)
	e.gossip.HandleSuspension(since)
	e.metrics.Set("suspended_seconds", totalSuspended.Seconds())
}
