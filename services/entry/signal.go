package entry

import "sync"

// signal wakes all that wait for the next event.
type signal struct {
	mu   sync.Mutex
	next chan struct{}
}

func newSignal() *signal { return &signal{next: make(chan struct{})} }

// wait returns a channel that is closed at the next event.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

func (s *signal) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.next)
	s.next = make(chan struct{})
}
