package admission

import (
	"math"
	"time"
)

const (
	// holdingWindow is the time constant of the mean holding time. A step of the demand, in which starts and
	// running requests differ for a second, hardly moves the mean.
	holdingWindow = 2 * time.Second
	// minObserved is the time after which the mean is used. After a start of a node its rates and the
	// loads rise at different speeds.
	minObserved = time.Second
	// maxHoldingSample bounds a sample by the mean. While groups stall, starts decay and running requests
	// stay, so samples grow without bound, and the pool would be short long after the stall.
	maxHoldingSample = 1.25
	// fillHorizon is the age of the evidence (0.3 to 0.4 s) plus the time constant of its rates in
	// seconds. What a plan changes is seen in the evidence after this time.
	fillHorizon = 0.9
	// drainingPart is the part of the present starts that workspaces within their share get whatever
	// the backlog is. The backlog drains at the rest.
	drainingPart = 0.8
)

// sustainableRate estimates what a pool can start for as long as a demand lasts. Unlike
// the limits of a plan it does not depend on the deviation from the targets.
type sustainableRate struct {
	holding  float64       // mean seconds for which a request holds a slot
	observed time.Duration // the time that the mean is based on, up to minObserved
}

// observe adds a state to the mean holding time, by Little's law. Requests beyond
// the slots wait for one and do not count.
func (c *sustainableRate) observe(s *PoolState) {
	if s.Starts <= 0 || s.Running <= 0 || s.Slots <= 0 {
		return
	}
	sample := float64(min(s.Running, s.Slots)) / s.Starts
	if c.known() {
		sample = min(sample, maxHoldingSample*c.holding)
	}
	c.observed = min(c.observed+s.Elapsed, minObserved)
	weight := smoothing(s.Elapsed, holdingWindow)
	if !c.known() {
		weight = max(weight, ratio(s.Elapsed.Seconds(), c.observed.Seconds()))
	}
	c.holding += weight * (sample - c.holding)
}

// smoothing returns the weight of a new value in a mean with a time constant.
func smoothing(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
}

func (c *sustainableRate) known() bool {
	return c.observed >= minObserved
}

// fraction returns the fraction of the arrivals that the pool can start in the
// long run. It is infinite if that is unknown, also while no group is usable or
// starts requests.
func (c *sustainableRate) fraction(s *PoolState, policy Policy, arrivals Rates) float64 {
	if !c.known() || arrivals.requests() <= 0 || s.Slots <= 0 || s.Starts <= 0 {
		return math.Inf(1)
	}
	fraction := policy.Occupancy * float64(s.Slots) / c.holding / arrivals.requests()
	if s.ReadRate > 0 && arrivals.Tokens > 0 {
		fraction = min(fraction, s.ReadRate/arrivals.Tokens)
	}
	return fraction
}

// fillsSoon reports whether the utilization exceeds its target before a change of
// the plan can be seen in the evidence, if everything is admitted.
func (c *sustainableRate) fillsSoon(s *PoolState, policy Policy, arrivals Rates) bool {
	if !c.known() {
		return false
	}
	growth := arrivals.requests() - float64(min(s.Running, s.Slots))/c.holding
	return excessRunning(s, policy)+growth*fillHorizon > 0
}

// drainingFraction returns the fraction of the arrivals that may be admitted of
// workspaces within their share while a backlog drains.
func (c *sustainableRate) drainingFraction(s *PoolState, arrivals Rates, byTokens bool) float64 {
	if !c.known() {
		return 0
	}
	if byTokens {
		return drainingPart * ratio(s.TokensRead, arrivals.Tokens)
	}
	return drainingPart * ratio(s.Starts, arrivals.requests())
}
