package forward

import (
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
}

// MaxNeighbours bounds the neighbours that a request is passed to in a row.
const MaxNeighbours = 3

// avoidDuration is how long a neighbour that was unreachable or declined a request is avoided.
const avoidDuration = time.Second

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

// Choose picks one of the candidates that is neither tried nor avoided, one of the same data centre if
// there is any: the less busy of two random ones, since the nodes that lost their links together would
// otherwise choose the same.
func (c *Chooser) Choose(candidates []Neighbour, tried []string, now time.Time) (Neighbour, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, until := range c.avoided {
		if now.After(until) {
			delete(c.avoided, address)
		}
	}
	var local, remote []Neighbour
	for _, n := range candidates {
		_, avoided := c.avoided[n.Address]
		switch {
		case avoided || slices.Contains(tried, n.Address):
		case n.Local:
			local = append(local, n)
		default:
			remote = append(remote, n)
		}
	}
	if len(local) > 0 {
		return c.lessBusy(local), true
	}
	if len(remote) > 0 {
		return c.lessBusy(remote), true
	}
	return Neighbour{}, false
}

// lessBusy returns the less busy of two random neighbours; the caller holds the lock.
func (c *Chooser) lessBusy(from []Neighbour) Neighbour {
	a, b := from[rand.IntN(len(from))], from[rand.IntN(len(from))]
	if c.inFlight[b.Address] < c.inFlight[a.Address] {
		return b
	}
	return a
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
