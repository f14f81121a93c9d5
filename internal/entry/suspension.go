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

// noteSuspension has what was dated by the monotonic clock count as older by the time for
// which the machine was suspended since the last look. The lease asks its clock itself.
func (e *Entry) noteSuspension() {
	suspended := e.clock.Refresh()
	since := suspended - e.suspended
	if since <= 0 {
		return
	}
	e.suspended = suspended
	e.directory.HandleSuspension(since)
	e.gossip.HandleSuspension(since)
	e.metrics.Set("suspended_seconds", suspended.Seconds())
}
