package entry

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/quarantine"
	"banyanwalk/core/roster"
	"banyanwalk/services/follow"
)

const (
	// endedDialTimeout bounds the check whether a target still accepts connections.
	// A request waits for it before it is sent again.
	endedDialTimeout = 60 * time.Millisecond
	// replacedWait is how long after a broken connection the report of a new
	// incarnation shows that the former one crashed.
	replacedWait = 10 * time.Second
	// maxBroken bounds the runs whose target may still turn out to have crashed.
	maxBroken = 1024
)

// brokenRun is a run whose connection the target closed before the end of the
// response.
type brokenRun struct {
	request string   // id
	parts   []string // ids of the parts of the prompt that other requests may share
	run     quarantine.Run
	target  *roster.Record
	at      time.Time
}

// crashDetector tells the crash of a target from the loss of one connection. A
// target has crashed if it refuses connections, or if another incarnation reports
// in its place, and it had not announced its shutdown. A target that does not
// respond at all may be frozen or cut off, which proves nothing.
type crashDetector struct {
	follower  *follow.Follower
	onCrashed func(b *brokenRun, evidence string)

	mu     sync.Mutex
	broken []*brokenRun // oldest first
	wake   chan struct{}
}

func newCrashDetector(f *follow.Follower, onCrashed func(b *brokenRun, evidence string)) *crashDetector {
	return &crashDetector{follower: f, onCrashed: onCrashed, wake: make(chan struct{}, 1)}
}

// connectionClosed handles a run whose connection the target closed. It takes
// endedDialTimeout at most.
func (d *crashDetector) connectionClosed(ctx context.Context, b *brokenRun) {
	if !d.follower.Targets.Usable(b.target.ID, b.target.Incarnation) && !d.follower.TargetReplaced(b.target.ID, b.target.Incarnation, b.target.Addr) {
		return // it had announced its shutdown, or is out of service
	}
	if refusesConnections(ctx, b.target.Addr) {
		d.onCrashed(b, "connection_refused")
		return
	}
	d.mu.Lock()
	d.broken = append(d.broken, b)
	d.broken = d.broken[max(0, len(d.broken)-maxBroken):]
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// refusesConnections reports whether no process listens at an address.
func refusesConnections(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: endedDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		conn.Close()
		return false
	}
	return errors.IsAny(err, syscall.ECONNREFUSED, syscall.ECONNRESET)
}

// run watches the targets of broken runs until ctx ends.
func (d *crashDetector) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		for d.check(time.Now()) {
			select {
			case <-ctx.Done():
				return
			case <-d.follower.Changed():
			case <-time.After(replacedWait):
			}
		}
	}
}

// check reports the runs whose target has been replaced, drops the old ones and
// reports whether any are left.
func (d *crashDetector) check(now time.Time) bool {
	d.mu.Lock()
	var left, crashed []*brokenRun
	for _, b := range d.broken {
		switch {
		case d.follower.TargetReplaced(b.target.ID, b.target.Incarnation, b.target.Addr):
			crashed = append(crashed, b)
		case now.Sub(b.at) < replacedWait:
			left = append(left, b)
		}
	}
	d.broken = left
	d.mu.Unlock()
	for _, b := range crashed {
		d.onCrashed(b, "new_incarnation")
	}
	return len(left) > 0
}
