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
func (d *callTracker) begin() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return outcome.New(outcome.Draining, outcome.NotRun, "this control host shuts down")
	}
	d.inFlight++
	return nil
}

func (d *callTracker) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.draining && d.inFlight == 0 {
		close(d.idle)
	}
}

// drain rejects new calls and waits until those in flight have ended, but at
// most for drainTimeout or until ctx ends.
func (d *callTracker) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	d.mu.Lock()
	if !d.draining {
		d.draining = true
		if d.inFlight == 0 {
			close(d.idle)
		}
	}
	d.mu.Unlock()
	select {
	case <-d.idle:
	case <-ctx.Done():
	}
}
