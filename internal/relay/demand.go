package relay

import (
	"math"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// demandWindow is the time constant of the average: long enough for dozens of requests of each
// model at a small node, short enough to follow a surge within seconds.
const demandWindow = 4 * time.Second

// Demand measures the work that callers request of each model, including rejected requests, as the
// number of groups that it would keep busy with full batches. It is safe for concurrent use.
type Demand struct {
	mu    sync.Mutex
	pools map[directory.Pool]*demandRate
}

// ModelDemand is the demand for one model, and how much of it is served in time.
type ModelDemand struct {
	// Groups is the number of groups that the work would keep busy.
	Groups float64
	// Requests is the number of requests per second.
	Requests float64
	// InTime and Late are decayed counts of requests by whether their first event came in time;
	// those rejected for lack of capacity are late. Retried requests are not counted, since
	// failures don't indicate a lack of capacity.
	InTime float64
	Late   float64
}

// Add returns the sum of the demand of two nodes.
func (a ModelDemand) Add(other ModelDemand) ModelDemand {
	return ModelDemand{a.Groups + other.Groups, a.Requests + other.Requests, a.InTime + other.InTime, a.Late + other.Late}
}

// demandRate is an exponentially decaying rate.
type demandRate struct {
	groups    float64
	requests  float64
	inTime    float64
	late      float64
	updatedAt time.Time
	// firstAt is when the first request was counted.
	firstAt time.Time
}

// NewDemand returns a Demand without any requests.
func NewDemand() *Demand { return &Demand{pools: map[directory.Pool]*demandRate{}} }

// RecordRequest counts one request and its estimated work.
func (d *Demand) RecordRequest(pool directory.Pool, work time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rate := d.rate(pool, now)
	rate.groups += work.Seconds() / demandWindow.Seconds()
	rate.requests += 1 / demandWindow.Seconds()
}

// RecordOutcome records whether the first event of a request came in time.
func (d *Demand) RecordOutcome(pool directory.Pool, inTime bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rate := d.rate(pool, now)
	if inTime {
		rate.inTime++
		return
	}
	rate.late++
}

// rate returns the rate of a pool as of now; the caller must hold the lock.
func (d *Demand) rate(pool directory.Pool, now time.Time) *demandRate {
	rate := d.pools[pool]
	if rate == nil {
		rate = &demandRate{updatedAt: now, firstAt: now}
		d.pools[pool] = rate
	}
	rate.decay(now)
	return rate
}

// decay applies the decay since the last update.
func (r *demandRate) decay(now time.Time) {
	if since := now.Sub(r.updatedAt); since > 0 {
		factor := math.Exp(-since.Seconds() / demandWindow.Seconds())
		r.groups *= factor
		r.requests *= factor
		r.inTime *= factor
		r.late *= factor
		r.updatedAt = now
	}
}

// Rates returns the demand for each model.
func (d *Demand) Rates(now time.Time) map[directory.Pool]ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[directory.Pool]ModelDemand, len(d.pools))
	for pool, rate := range d.pools {
		rate.decay(now)
		observedFraction := rate.observedFraction(now)
		out[pool] = ModelDemand{rate.groups / observedFraction, rate.requests / observedFraction, rate.inTime, rate.late}
	}
	return out
}

// Requests returns the requests per second for one pool.
func (d *Demand) Requests(pool directory.Pool, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	rate := d.pools[pool]
	if rate == nil {
		return 0
	}
	rate.decay(now)
	return rate.requests / rate.observedFraction(now)
}

// minObservedFraction bounds the correction of a rate that has just started.
const minObservedFraction = 0.2

// observedFraction is the part of the averaging window that has passed since the first request.
func (r *demandRate) observedFraction(now time.Time) float64 {
	return max(minObservedFraction, 1-math.Exp(-now.Sub(r.firstAt).Seconds()/demandWindow.Seconds()))
}

// estimateWork returns how long a request would keep a group with a full batch busy. A prompt is
// processed alone. Each pass then runs its steps for all sequences and processes at most one chunk
// of prompt tokens, so a request takes up the passes of its prompt or those of its output,
// whichever are more: groups with long prompts and short outputs are full before their slots are.
func estimateWork(engine *serving.Engine, model serving.Model, s RequestSize) time.Duration {
	slots := float64(max(1, engine.Slots))
	context := float64(s.Prompt+s.Output/2) / 1000
	token := engine.StepTime.Seconds()/slots + engine.PerSequence.Seconds() + context*engine.PerThousand.Seconds()
	reading := float64(s.Prompt) / max(1, engine.TokensPerSec)
	writing := float64(s.Output) * token
	if engine.Chunk > 0 {
		passes := float64(s.Prompt) / float64(engine.Chunk)
		writing = max(writing, passes*float64(engine.StepsPerPass)*slots*token)
	}
	return time.Duration(model.TimeFactor * (reading + writing) * float64(time.Second))
}
