// Package clock tells how much time has passed, also while the machine was suspended.
//
// Go's monotonic clock stands still then: a lease that ran out meanwhile looks valid to its
// holder, and what was heard before looks as if it had just come. The kernel's CLOCK_BOOTTIME
// counts that time, and unlike the time of day it never jumps.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ridgehinge/ridgehinge/internal/logging"
)

// leastSuspension is the shortest that counts: the two clocks are read one after the other,
// and the process may be held up between.
const leastSuspension = 50 * time.Millisecond

// Clock counts from when it was made. It is safe for concurrent use.
type Clock struct {
	// boot is the time since the machine started, and running the part of the time since
	// this clock was made in which it was not suspended.
	boot      func() (time.Duration, error)
	running   func() time.Duration
	began     time.Duration
	suspended atomic.Int64
	failed    atomic.Bool
}

// New returns a clock of this machine.
func New() *Clock {
	start := time.Now()
	return NewFromSources(bootTime, func() time.Duration { return time.Since(start) })
}

// NewFromSources returns a clock that reads the time since the machine started, and the time
// since the clock was made during which the machine ran, from the given sources.
func NewFromSources(boot func() (time.Duration, error), running func() time.Duration) *Clock {
	c := &Clock{boot: boot, running: running}
	began, err := boot()
	if err != nil {
		c.fail(err)
	}
	c.began = began - running()
	return c
}

// bootTime reads CLOCK_BOOTTIME.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the present time. Times of one clock may be compared with each other, and
// with no others once the machine was suspended: its seconds of the day are then off.
func (c *Clock) Now() time.Time {
	return time.Now().Add(c.Refresh())
}

// Refresh looks at the kernel's clocks and returns for how long the machine was suspended
// since the clock was made. It costs one system call.
func (c *Clock) Refresh() time.Duration {
	known := c.Suspended()
	if c.failed.Load() {
		return known
	}
	boot, err := c.boot()
	if err != nil {
		c.fail(err)
		return known
	}
	// Read after the other clock, so that a hold-up between is not taken for one.
	suspended := boot - c.began - c.running()
	if suspended < known+leastSuspension {
		return known
	}
	if c.suspended.CompareAndSwap(int64(known), int64(suspended)) {
		logging.For("clock").Warn("this machine was suspended", "for", suspended-known, "in_all", suspended)
	}
	return c.Suspended()
}

// Suspended returns what the last Refresh found, without a system call.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

func (c *Clock) fail(err error) {
	if !c.failed.Swap(true) {
		logging.For("clock").Error("the kernel does not tell the time since its start; suspensions are not noticed", "error", err)
	}
}

// Backdate moves a time back unless it is zero. It corrects times taken by a clock that does
// not count suspensions.
func Backdate(at *time.Time, by time.Duration) {
	if !at.IsZero() {
		*at = at.Add(-by)
	}
}
