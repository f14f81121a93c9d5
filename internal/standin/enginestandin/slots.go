package enginestandin

import "sync"

// slots is a counting semaphore that serves waiters by priority, then first come, first served.
// Priority 0 is the highest.
type slots struct {
	mu    sync.Mutex
	free  int
	queue [3][]chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n} }

// acquire waits for a slot; it returns false if done or cancelled is closed first.
func (s *slots) acquire(done <-chan struct{}, cancelled <-chan struct{}, priority int) bool {
	priority = min(max(priority, 0), len(s.queue)-1)
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return true
	}
	granted := make(chan struct{})
	s.queue[priority] = append(s.queue[priority], granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-done:
	case <-cancelled:
	}
	if !s.withdraw(priority, granted) {
		// The slot was granted concurrently with the cancellation.
		s.release()
	}
	return false
}

func (s *slots) withdraw(priority int, granted chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue[priority]
	for i, other := range q {
		if other == granted {
			s.queue[priority] = append(q[:i:i], q[i+1:]...)
			return true
		}
	}
	return false
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, q := range s.queue {
		if len(q) > 0 {
			close(q[0])
			s.queue[i] = q[1:]
			return
		}
	}
	s.free++
}
