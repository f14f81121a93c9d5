package clock

import (
	"math"
	"time"
)

// AgeMillis returns the age of a time in milliseconds. Machines exchange ages because their clocks
// differ.
func AgeMillis(at, now time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint32))
}

// FromAgeMillis is the inverse of AgeMillis.
func FromAgeMillis(ms uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
