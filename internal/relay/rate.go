package relay

import (
	"math"
	"time"
)

// decayingSum is a sum whose parts decay exponentially with their age.
type decayingSum struct {
	value     float64
	updatedAt time.Time
}

// add adds an amount as of now.
func (s *decayingSum) add(amount float64, constant time.Duration, now time.Time) {
	s.value = s.at(constant, now) + amount
	if now.After(s.updatedAt) {
		s.updatedAt = now
	}
}

// at returns the sum as of now.
func (s *decayingSum) at(constant time.Duration, now time.Time) float64 {
	since := now.Sub(s.updatedAt)
	if s.value == 0 || since <= 0 {
		return s.value
	}
	return s.value * math.Exp(-since.Seconds()/constant.Seconds())
}
