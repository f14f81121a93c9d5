package relay

import "time"

const (
	// offsetWindow is the time constant with which the number of samples decays.
	offsetWindow = 20 * time.Second
	// offsetStep is the size of a step of the estimate.
	offsetStep = 20 * time.Millisecond
	// offsetPercentile is the tracked percentile, as a fraction. A mean of late first events kept
	// causing rejections after a restart of all nodes.
	offsetPercentile = 0.25
	// maxOffset bounds the estimate.
	maxOffset = time.Second
)

// offsetEstimate estimates a low percentile of the samples.
type offsetEstimate struct {
	estimate time.Duration
	weight   decayingSum
}

// record moves the estimate by a step towards a sample. Steps up and down differ in size so that
// they balance where offsetPercentile of the samples are lower.
func (o *offsetEstimate) record(sample time.Duration, now time.Time) {
	o.weight.add(1, offsetWindow, now)
	up := time.Duration(offsetPercentile * float64(offsetStep))
	switch {
	case sample > o.estimate:
		o.estimate += up
	case sample < o.estimate:
		o.estimate -= offsetStep - up
	}
	o.estimate = min(maxOffset, max(0, o.estimate))
}
