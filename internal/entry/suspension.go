package entry

import (
	"time"

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
	e.directory.Suspended(since)
	e.share.suspended(since)
	e.share.throttle.Suspended(since)
	e.metrics.Set("suspended_seconds", suspended.Seconds())
}

// suspended makes what peers told older: loads, who controls and relays, and who is there.
func (s *sharing) suspended(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		for _, at := range []*time.Time{&p.heard, &p.called, &p.failed, &p.toldRelay, &p.storeSeen, &p.behindSince} {
			clock.Age(at, duration)
		}
	}
	for _, at := range []*time.Time{&s.heardController, &s.storeSeen, &s.rowsHeard} {
		clock.Age(at, duration)
	}
	s.news = true
}
