package control

import (
	"context"
	"sync"
	"time"

	"banyanwalk/core/outcome"
)

const (
	drainTimeout       = 2 * time.Second       // limit for calls in flight to end at shutdown
	responseFlushDelay = 50 * time.Millisecond // for the last responses and messages to be sent before shutdown
)

// callTracker counts the calls in flight. Once drain has been called it admits
// no new ones.
type callTracker struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	idle     chan struct{} // closed when draining and no call is in flight
}

func newCallTracker() *callTracker { return &callTracker{idle: make(chan struct{})} }

// begin admits a call. Unless it returns an error, end must be called after the
// call.
func (t *callTracker) begin() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return outcome.New(outcome.Draining, outcome.NotRun, "this control host shuts down")
	}
	t.inFlight++
	return nil
}

func (t *callTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if t.draining && t.inFlight == 0 {
		close(t.idle)
	}
}

// drain rejects new calls and waits until those in flight have ended, but at
// most for drainTimeout or until ctx ends.
func (t *callTracker) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	t.mu.Lock()
	if !t.draining {
		t.draining = true
		if t.inFlight == 0 {
			close(t.idle)
		}
	}
	t.mu.Unlock()
	select {
	case <-t.idle:
	case <-ctx.Done():
	}
}
