package upstream

import "sync"

// openCounter counts the open connections by address, including those being dialled.
type openCounter struct {
	mu        sync.Mutex
	byAddress map[string]int
}

// acquire counts one more connection to an address, unless there are already as many as the limit.
// Without a limit (0) it always succeeds.
func (o *openCounter) acquire(address string, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if limit > 0 && o.byAddress[address] >= limit {
		return false
	}
	o.byAddress[address]++
	return true
}

// release counts one connection to an address less.
func (o *openCounter) release(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byAddress[address]--; o.byAddress[address] <= 0 {
		delete(o.byAddress, address)
	}
}

// count returns the number of connections to an address.
func (o *openCounter) count(address string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byAddress[address]
}
