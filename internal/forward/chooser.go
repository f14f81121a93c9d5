package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Neighbour is an entry instance that runs requests of others.
type Neighbour struct {
	Address string
	// Local is set for a node of the same data centre.
	Local bool
	// Preferred neighbours are chosen before others.
	Preferred bool
	// Weight is the neighbour's part of the requests relative to others.
	Weight float64
}

// avoidDuration is how long a neighbour that was unreachable or declined a request is avoided.
const avoidDuration = time.Second

// busyAvoidDuration is how long a neighbour that was busy is avoided.
const busyAvoidDuration = 100 * time.Millisecond

// Chooser picks neighbours so that none gets more than its part. It is safe for concurrent use.
type Chooser struct {
	mu sync.Mutex
	// inFlight has the number of requests of this node that each neighbour runs.
	inFlight map[string]int
	avoided  map[string]time.Time
}

// NewChooser returns a Chooser.
func NewChooser() *Chooser {
	return &Chooser{inFlight: map[string]int{}, avoided: map[string]time.Time{}}
}

// Choose picks one of the candidates that is neither tried nor avoided, a preferred one if there is any: the less
// busy of two random ones, since the nodes that lost their links together would otherwise choose the same.
func (c *Chooser) Choose(candidates []Neighbour, tried []string, now time.Time) (Neighbour, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.avoided, func(_ string, until time.Time) bool { return now.After(until) })
	var preferred, others []Neighbour
	for _, n := range candidates {
		_, avoided := c.avoided[n.Address]
		switch {
		case avoided || slices.Contains(tried, n.Address):
		case n.Preferred:
			preferred = append(preferred, n)
		default:
			others = append(others, n)
		}
	}
	if len(preferred) > 0 {
		return c.lessBusy(preferred), true
	}
	if len(others) > 0 {
		return c.lessBusy(others), true
	}
	return Neighbour{}, false
}

// lessBusy returns the less busy of two random neighbours for its weight; the caller holds the lock.
func (c *Chooser) lessBusy(from []Neighbour) Neighbour {
	a, b := drawByWeight(from), drawByWeight(from)
	if float64(c.inFlight[b.Address])*a.weight() < float64(c.inFlight[a.Address])*b.weight() {
		return b
	}
	return a
}

// weight returns the weight of a neighbour, 1 if it is not known.
func (n Neighbour) weight() float64 {
	if n.Weight <= 0 {
		return 1
	}
	return n.Weight
}

// drawByWeight returns a random neighbour.
func drawByWeight(from []Neighbour) Neighbour {
	total := 0.0
	for _, n := range from {
		total += n.weight()
	}
	drawn := rand.Float64() * total
	for _, n := range from {
		if drawn -= n.weight(); drawn < 0 {
			return n
		}
	}
	return from[len(from)-1]
}

// Begin counts a request that a neighbour runs until done is called.
func (c *Chooser) Begin(address string) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[address]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.inFlight[address]--; c.inFlight[address] == 0 {
			delete(c.inFlight, address)
		}
	}
}

// Avoid keeps requests from a neighbour for a while.
func (c *Chooser) Avoid(address string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[address] = now.Add(avoidDuration)
}

// AvoidDeclining keeps requests from a neighbour that declined one.
func (c *Chooser) AvoidDeclining(address string, declined *DeclinedError, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[address] = now.Add(avoidDuration)
	if declined.Reason == ReasonBusy {
		c.avoided[address] = now.Add(busyAvoidDuration)
	}
}
