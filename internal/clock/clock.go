// Package clock provides a clock that also advances while the machine is suspended.
//
// Go's monotonic clock does not advance during a suspension: a lease that expired meanwhile looks
// valid to its holder, and old messages look recent. The kernel's CLOCK_BOOTTIME counts the time,
// and unlike the time of day it never jumps.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ridgehinge/ridgehinge/internal/logging"
)

// minSuspension is the shortest suspension that is detected. The two clocks are read one after the
// other, and the process may be preempted in between.
const minSuspension = 50 * time.Millisecond

// Clock measures the time for which the machine was suspended since the clock was created. It is
// safe for concurrent use.
type Clock struct {
	// boot returns the time since the machine booted, and running the time since this clock was
	// created without suspensions.
	boot        func() (time.Duration, error)
	running     func() time.Duration
	startOffset time.Duration
	suspended   atomic.Int64
	failed      atomic.Bool
}

// New returns a clock of this machine.
func New() *Clock {
	start := time.Now()
	return NewFromSources(bootTime, func() time.Duration { return time.Since(start) })
}

// NewFromSources returns a clock that reads the time since boot, and the time since the clock was
// created without suspensions, from the given functions.
func NewFromSources(boot func() (time.Duration, error), running func() time.Duration) *Clock {
	c := &Clock{boot: boot, running: running}
	startOffset, err := boot()
	if err != nil {
		c.fail(err)
	}
	c.startOffset = startOffset - running()
	return c
}

func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the current time including suspensions. Compare it only with times of the same
// clock: after a suspension it differs from the time of day.
func (c *Clock) Now() time.Time {
	return time.Now().Add(c.Refresh())
}

// Refresh reads the kernel's clocks and returns for how long the machine was suspended since the
// clock was created. It costs one system call.
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
	// Read after the boot clock, so that a preemption in between does not count as a suspension.
	suspended := boot - c.startOffset - c.running()
	if suspended < known+minSuspension {
		return known
	}
	if c.suspended.CompareAndSwap(int64(known), int64(suspended)) {
		logging.For("clock").Warn("this machine was suspended", "for", suspended-known, "in_all", suspended)
	}
	return c.Suspended()
}

// Suspended returns the result of the last Refresh without a system call.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

func (c *Clock) fail(err error) {
	if !c.failed.Swap(true) {
		logging.For("clock").Error("cannot read CLOCK_BOOTTIME; machine suspensions are not detected", "error", err)
	}
}

// Backdate moves a time back unless it is zero. It corrects times read from a clock that does not
// count suspensions.
func Backdate(at *time.Time, by time.Duration) {
	if !at.IsZero() {
		*at = at.Add(-by)
	}
}
