package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

var caller = Caller{Remaining: 6 * time.Second, Timeout: 6 * time.Second, Objective: 300 * ms, FirstEvent: 60 * ms}

// A Retry-After must not promise capacity that is not predicted, nor exceed
// what the caller honours.
func TestReturnsRetryAfter(t *testing.T) {
	overload := Outlook{Arrivals: 200, Admissible: 100, ReturnShare: 0.15, Drain: neverDrains}
	drains := func(d time.Duration) Outlook {
		return Outlook{Arrivals: 200, Admissible: math.Inf(1), ReturnShare: 0.15, Drain: d}
	}
	mild := overload
	mild.Admissible = 150
	back := caller
	back.Returning = true
	late := caller
	late.Remaining = 900 * ms
	tests := []struct {
		name      string
		outlook   Outlook
		caller    Caller
		from, to  time.Duration
		predicted bool
	}{
		{"overload", overload, caller, 1200 * ms, 2 * time.Second, false},
		{"most are admitted", mild, caller, 80 * ms, 120 * ms, true},
		{"most are admitted, second time", mild, back, 1200 * ms, 2 * time.Second, false},
		{"no evidence", Outlook{}, caller, 1200 * ms, 2 * time.Second, false},
		{"window ends before it begins", overload, late, 300 * ms, 300 * ms, false},
		{"deadline passed", overload, Caller{Remaining: -1}, 0, 0, false},
		{"backlog within the objective", drains(200 * ms), caller, 200 * ms, 200 * ms, true},
		{"no excess", drains(0), caller, minReturn, minReturn, true},
		{"backlog beyond the objective", drains(1500 * ms), caller, 1500 * ms, 2 * time.Second, true},
		{"backlog beyond the window", drains(time.Minute), caller, 2 * time.Second, 2 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := NewReturns(rand.New(rand.NewPCG(1, 2)))
			for range 50 {
				after, predicted := r.RetryAfter(start, test.outlook, 0.5, test.caller)
				assert.GreaterOrEqual(t, after, test.from)
				assert.LessOrEqual(t, after, test.to)
				assert.Equal(t, test.predicted, predicted)
			}
		})
	}
}

// Small nodes must together promise no more than the limit, although each has
// less than one return per time slot. Only the end of the window takes more.
func TestReturnsRetryAfter_LimitsPromises(t *testing.T) {
	const nodes = 85
	o := Outlook{Arrivals: 900, Admissible: 500, ReturnShare: 0.15, Drain: neverDrains}
	slots := map[time.Duration]float64{}
	for i := range uint64(nodes) {
		r := NewReturns(rand.New(rand.NewPCG(1, i)))
		for range 20 {
			after, _ := r.RetryAfter(start, o, 1.0/nodes, caller)
			slots[after/promiseSlot]++
		}
	}
	sum := 0.0
	for slot := time.Duration(12); slot < 20; slot++ {
		sum += slots[slot]
		assert.Less(t, slots[slot], 2*7.5)
	}
	assert.InDelta(t, 7.5, sum/8, 2)
}

// Promises must expire and their time slots become free, in bounded memory.
func TestReturns_Expire(t *testing.T) {
	o := Outlook{Arrivals: 200, Admissible: 10, ReturnShare: 0.15, Drain: neverDrains}
	r := NewReturns(rand.New(rand.NewPCG(1, 2)))
	long := Caller{Remaining: time.Hour, Timeout: time.Hour}
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 50 * ms)
		r.RetryAfter(now, o, 1, caller)
		assert.LessOrEqual(t, len(r.slots), 26)
	}
	r.RetryAfter(start.Add(time.Minute), o, 1, long)
	assert.LessOrEqual(t, len(r.slots), int(promiseHorizon/promiseSlot))
}
