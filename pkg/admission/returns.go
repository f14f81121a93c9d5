package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// promiseSlot is the width of the time slots in which promises are counted.
	promiseSlot = 100 * time.Millisecond
	// promiseExpiry is how long a promise is kept after its time.
	promiseExpiry = 500 * time.Millisecond
	// promiseHorizon bounds the memory of a schedule. Later return times are
	// not counted.
	promiseHorizon = time.Minute
	// maxPromiseStep bounds the time that one promise takes up.
	maxPromiseStep = time.Hour
	// honouredPart is the divisor of the remaining time up to which callers
	// honour a Retry-After.
	honouredPart = 3
	// minTimeoutPart is the divisor of the route's timeout before which no caller
	// returns under overload. A caller that returns later is recognized as
	// returning by its remaining time.
	minTimeoutPart = 5
	// minReturn is the least return time. Plans are updated at this interval, so
	// a caller that returns sooner meets the same decision.
	minReturn = 100 * time.Millisecond
	// minAdmittedFraction of the callers must be admitted for a return within the objective. Below
	// it, many callers would be rejected twice, and few return a second time.
	minAdmittedFraction = 0.6
	// minObjectiveSlack is the least time that the objective must leave for a second attempt.
	minObjectiveSlack = 60 * time.Millisecond
	// goldenRatio is the fractional part of the golden ratio. Its multiples
	// modulo 1 cover an interval evenly at any count.
	goldenRatio = 0.6180339887498949
)

// reservation is the time up to which capacity has been promised.
type reservation struct {
	next time.Time
}

// reserve promises the first time that is free, not before earliest. The promise
// takes up the capacity of step.
func (r *reservation) reserve(earliest time.Time, step time.Duration) time.Time {
	at := earliest
	if r.next.After(at) {
		at = r.next
	}
	r.next = at.Add(step)
	return at
}

// Caller is a caller whose request is rejected.
type Caller struct {
	Remaining  time.Duration // until its deadline
	Timeout    time.Duration // of the route, 0 for none
	Objective  time.Duration // of the route for the first event, 0 for none
	FirstEvent time.Duration // predicted time to first event
	Returning  bool          // it has been rejected before
}

// drains reports whether there is a backlog only.
func (o Outlook) drains() bool {
	return o.Admissible > 0 && o.Admissible >= o.Arrivals && o.Drain >= 0
}

// window returns the interval of return times under overload.
func (c Caller) window() (begin, end time.Duration) {
	end = max(c.Remaining, 0) / honouredPart
	begin = max(end/2, c.Timeout/minTimeoutPart)
	return min(begin, end), end
}

// Returns is the schedule of return times of one pool at one node. It is not
// safe for concurrent use.
type Returns struct {
	random   *rand.Rand
	position float64       // in the low-discrepancy sequence, 0 to 1
	origin   time.Time     // start of the first time slot
	slots    []reservation // a zero reservation has not been used
}

// NewReturns returns a schedule without promises.
func NewReturns(random *rand.Rand) *Returns {
	return &Returns{random: random, position: random.Float64()}
}

// RetryAfter returns the time after which a rejected caller is to return, and
// whether capacity is predicted at that time. part is the node's part of the
// demand for the pool, 0 to 1.
func (r *Returns) RetryAfter(now time.Time, o Outlook, part float64, c Caller) (after time.Duration, predicted bool) {
	r.expire(now)
	step := promiseStep(o.Admissible * o.ReturnShare * part)
	begin, end := c.window()
	if o.drains() {
		drained := max(o.Drain, minReturn)
		if drained+c.FirstEvent <= c.Objective && drained <= end {
			r.book(now.Add(drained), step)
			return drained, true
		}
		begin = min(max(begin, drained), end)
	} else if after, ok := r.withinObjective(o, c); ok {
		r.book(now.Add(after), step)
		return after, true
	}
	after = r.spread(now, begin, end, step)
	return after, o.drains() && o.Drain <= after
}

// withinObjective returns a time that leaves a second attempt enough time to meet the objective, if
// most callers are admitted: nearly all of them are served in time then.
func (r *Returns) withinObjective(o Outlook, c Caller) (time.Duration, bool) {
	slack := c.Objective - c.FirstEvent
	if c.Returning || slack < minObjectiveSlack || o.Arrivals <= 0 || o.Admissible < minAdmittedFraction*o.Arrivals {
		return 0, false
	}
	r.position = fractional(r.position + goldenRatio)
	begin := slack / 3
	return begin + scaled(slack/2-begin, r.position), true
}

// promiseStep returns the time that one promise takes up at a rate of returns
// per second.
func promiseStep(rate float64) time.Duration {
	if rate <= 0 || math.IsNaN(rate) {
		return maxPromiseStep
	}
	seconds := min(1/rate, maxPromiseStep.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// spread returns the next time of the sequence within the window, or a later one
// if its time slot has no room, or the end.
func (r *Returns) spread(now time.Time, begin, end, step time.Duration) time.Duration {
	r.position = fractional(r.position + goldenRatio)
	at := now.Add(begin + scaled(end-begin, r.position))
	last := now.Add(end)
	for !r.hasRoom(at, step) {
		at = r.nextSlot(at).Add(scaled(promiseSlot, r.position))
		if at.After(last) {
			at = last
			break
		}
	}
	r.book(at, step)
	return at.Sub(now)
}

func fractional(x float64) float64 {
	return x - math.Floor(x)
}

func scaled(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// expire removes the time slots whose promises have expired.
func (r *Returns) expire(now time.Time) {
	expired := int(now.Add(-promiseExpiry).Sub(r.origin) / promiseSlot)
	if len(r.slots) == 0 || expired >= len(r.slots) {
		r.slots = r.slots[:0]
		r.origin = now
		return
	}
	if expired <= 0 {
		return
	}
	n := copy(r.slots, r.slots[expired:])
	r.slots = r.slots[:n]
	r.origin = r.origin.Add(time.Duration(expired) * promiseSlot)
}

// index returns the time slot of a time.
func (r *Returns) index(at time.Time) int {
	return max(int(at.Sub(r.origin)/promiseSlot), 0)
}

func (r *Returns) nextSlot(at time.Time) time.Time {
	return r.slotStart(r.index(at) + 1)
}

func (r *Returns) slotStart(index int) time.Time {
	return r.origin.Add(time.Duration(index) * promiseSlot)
}

// slot returns the time slot of a time, or nil beyond the horizon.
func (r *Returns) slot(at time.Time, step time.Duration) *reservation {
	index := r.index(at)
	if index >= int(promiseHorizon/promiseSlot) {
		return nil
	}
	for len(r.slots) <= index {
		r.slots = append(r.slots, reservation{})
	}
	slot := &r.slots[index]
	if slot.next.IsZero() {
		// The random offset makes the number of promises that fit right in the
		// mean, also where a node's limit is below one per time slot.
		slot.next = r.slotStart(index).Add(scaled(step, r.random.Float64()))
	}
	return slot
}

// hasRoom reports whether fewer returns than the limit are promised for the time
// slot of a time.
func (r *Returns) hasRoom(at time.Time, step time.Duration) bool {
	slot := r.slot(at, step)
	return slot == nil || slot.next.Before(r.nextSlot(at))
}

// book counts a promise.
func (r *Returns) book(at time.Time, step time.Duration) {
	if slot := r.slot(at, step); slot != nil {
		slot.reserve(slot.next, step)
	}
}
