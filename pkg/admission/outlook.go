package admission

import (
	"math"
	"time"
)

// Outlook holds the numbers of a plan from which return times are computed. The
// zero value means that there is no evidence.
type Outlook struct {
	// Arrivals is the demand in requests per second, new and returning.
	Arrivals float64
	// Admissible is the admissible rate in requests per second. It is infinite
	// if nothing limits it.
	Admissible float64
	// ReturnShare is Policy.ReturnShare.
	ReturnShare float64
	// Drain is the time after which the excess has drained. It is negative if
	// the excess does not shrink.
	Drain time.Duration
}

const (
	// neverDrains marks an excess that does not shrink.
	neverDrains time.Duration = -1
	// maxDrain bounds the drain time. No caller waits longer.
	maxDrain = time.Hour
)

// Outlook returns the numbers for Returns.
func (p *Plan) Outlook() Outlook {
	return p.outlook
}

func newOutlook(s *PoolState, policy Policy, arrivals Rates, fraction float64) Outlook {
	o := Outlook{
		Arrivals:    arrivals.requests(),
		Admissible:  math.Inf(1),
		ReturnShare: policy.ReturnShare,
	}
	if !math.IsInf(fraction, 1) {
		o.Admissible = fraction * o.Arrivals
	}
	slots := drainTime(excessRunning(s, policy), s.Starts-o.Arrivals)
	prompts := drainTime(excessUnread(s, policy), s.TokensRead-arrivals.Tokens)
	o.Drain = max(slots, prompts)
	if slots < 0 || prompts < 0 {
		o.Drain = neverDrains
	}
	return o
}

// drainTime returns the time after which an excess has drained at a rate.
func drainTime(excess, rate float64) time.Duration {
	if excess <= 0 {
		return 0
	}
	if rate <= 0 {
		return neverDrains
	}
	seconds := min(excess/rate, maxDrain.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
