package relay

import (
	"math"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
)

const (
	// offsetQuantile is the tracked quantile of the samples. It is low because after a restart of all
	// nodes a mean of late first events kept causing rejections at nearly idle pools.
	offsetQuantile = 0.25
	// offsetStep is the sum of a step up and a step down, of which the quantile determines the
	// parts.
	offsetStep = 20 * time.Millisecond
	maxOffset  = time.Second
	// offsetWindow is the time constant with which the weight of samples decays.
	offsetWindow = 20 * time.Second
	// minOffsetWeight is the total weight, in samples, below which no offset is applied.
	minOffsetWeight = 5.0
	// minOwnOffsetWeight is the weight below which the node's estimate is too old or too new to
	// continue from; it continues from that of its peers instead.
	minOwnOffsetWeight = 1.0
)

const (
	offsetStepUp   = time.Duration(offsetQuantile * float64(offsetStep))
	offsetStepDown = offsetStep - offsetStepUp
)

// WeightedOffset is an estimate of the time by which first events exceed their prediction.
type WeightedOffset struct {
	Value time.Duration
	// Weight is the decayed number of samples.
	Weight float64
}

// Add returns the mean of two estimates by weight.
func (w WeightedOffset) Add(other WeightedOffset) WeightedOffset {
	total := w.Weight + other.Weight
	if total <= 0 {
		return WeightedOffset{}
	}
	value := (float64(w.Value)*w.Weight + float64(other.Value)*other.Weight) / total
	return WeightedOffset{time.Duration(value), total}
}

// isValid reports whether an estimate received from a peer is within its range.
func (w WeightedOffset) isValid() bool {
	return w.Value >= 0 && w.Value <= maxOffset && w.Weight >= 0 && !math.IsInf(w.Weight, 1)
}

// decayed returns the estimate with its weight after some time.
func (w WeightedOffset) decayed(age time.Duration) WeightedOffset {
	if age > 0 {
		w.Weight *= math.Exp(-age.Seconds() / offsetWindow.Seconds())
	}
	return w
}

// offset is the estimate for one pool, of this node and of its peers.
type offset struct {
	own     WeightedOffset
	ownAt   time.Time
	peers   WeightedOffset
	peersAt time.Time
}

// record adjusts the node's estimate by one sample.
func (o *offset) record(sample time.Duration, now time.Time) {
	o.own = o.ownValue(now)
	o.ownAt = now
	if peers := o.peerValue(now); o.own.Weight < minOwnOffsetWeight && peers.Weight >= minOffsetWeight {
		o.own.Value = peers.Value
	}
	switch {
	case sample > o.own.Value:
		o.own.Value += offsetStepUp
	case sample < o.own.Value:
		o.own.Value -= offsetStepDown
	}
	o.own.Value = min(max(o.own.Value, 0), maxOffset)
	o.own.Weight++
}

func (o *offset) ownValue(now time.Time) WeightedOffset {
	return o.own.decayed(now.Sub(o.ownAt))
}

func (o *offset) peerValue(now time.Time) WeightedOffset {
	return o.peers.decayed(now.Sub(o.peersAt))
}

// inUse returns the offset to apply.
func (o *offset) inUse(now time.Time) time.Duration {
	all := o.ownValue(now).Add(o.peerValue(now))
	if all.Weight < minOffsetWeight {
		return 0
	}
	return all.Value
}

// Offsets estimates, by pool, the constant time of an engine that its description does not state. It
// is safe for concurrent use.
type Offsets struct {
	mu    sync.Mutex
	pools map[directory.Pool]*offset
}

// NewOffsets returns Offsets without any samples.
func NewOffsets() *Offsets { return &Offsets{pools: map[directory.Pool]*offset{}} }

// Record adds a sample: the time by which a first event exceeded its prediction without the offset.
func (o *Offsets) Record(pool directory.Pool, sample time.Duration, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool(pool).record(sample, now)
}

// InUse returns the offset to add to predictions for a pool. It is zero while there are too few
// samples.
func (o *Offsets) InUse(pool directory.Pool, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.pools[pool]; p != nil {
		return p.inUse(now)
	}
	return 0
}

// AllInUse returns the offset in use for each pool.
func (o *Offsets) AllInUse(now time.Time) map[directory.Pool]time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[directory.Pool]time.Duration, len(o.pools))
	for pool, p := range o.pools {
		out[pool] = p.inUse(now)
	}
	return out
}

// Own returns this node's estimate for a pool, for its peers.
func (o *Offsets) Own(pool directory.Pool, now time.Time) WeightedOffset {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.pools[pool]; p != nil {
		return p.ownValue(now)
	}
	return WeightedOffset{}
}

// SetPeers sets the mean of the peers' estimates by pool, as of the given time. Pools that are not
// included have none. An invalid estimate leaves the previous one in force.
func (o *Offsets) SetPeers(peers map[directory.Pool]WeightedOffset, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for pool, p := range o.pools {
		if _, included := peers[pool]; !included {
			p.peers = WeightedOffset{}
		}
	}
	for pool, w := range peers {
		if w.isValid() {
			p := o.pool(pool)
			p.peers, p.peersAt = w, at
		}
	}
}

// pool returns the estimate for a pool; the caller must hold the lock.
func (o *Offsets) pool(pool directory.Pool) *offset {
	p := o.pools[pool]
	if p == nil {
		p = &offset{}
		o.pools[pool] = p
	}
	return p
}
