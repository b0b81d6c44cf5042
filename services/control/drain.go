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
func (c *callTracker) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return outcome.New(outcome.Draining, outcome.NotRun, "this control host shuts down")
	}
	c.inFlight++
	return nil
}

func (c *callTracker) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.draining && c.inFlight == 0 {
		close(c.idle)
	}
}

// drain rejects new calls and waits until those in flight have ended, but at
// most for drainTimeout or until ctx ends.
func (c *callTracker) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	c.mu.Lock()
	if !c.draining {
		c.draining = true
		if c.inFlight == 0 {
			close(c.idle)
		}
	}
	c.mu.Unlock()
	select {
	case <-c.idle:
	case <-ctx.Done():
	}
}
