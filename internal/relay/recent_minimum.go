package relay

import "time"

// minimumWindow is how long a value counts at least.
const minimumWindow = 5 * time.Second

// recentMinimum is the smallest positive value of the current and the previous window.
type recentMinimum struct {
	current, previous time.Duration
	startedAt         time.Time
}

// record adds a value; zero and less are ignored.
func (m *recentMinimum) record(value time.Duration, now time.Time) {
	m.advance(now)
	if value > 0 && (m.current == 0 || value < m.current) {
		m.current = value
	}
}

// value returns the minimum, or zero if no value was recorded recently.
func (m *recentMinimum) value(now time.Time) time.Duration {
	m.advance(now)
	switch {
	case m.current == 0:
		return m.previous
	case m.previous == 0:
		return m.current
	}
	return min(m.current, m.previous)
}

// advance starts a new window if the current one has ended.
func (m *recentMinimum) advance(now time.Time) {
	age := now.Sub(m.startedAt)
	if age < minimumWindow {
		return
	}
	m.previous = 0
	if age < 2*minimumWindow {
		m.previous = m.current
	}
	m.current, m.startedAt = 0, now
}
