package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/quarantine"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
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
	trial   *rpc.TrialRequest // that the run was; nil: none
	at      time.Time
}

// crashDetector tells the crash of a target from the loss of one connection. A
// target has crashed if it refuses connections, or if another incarnation reports
// in its place, and it had not announced its shutdown. A target that does not
// respond at all may be frozen or cut off, which proves nothing.
type crashDetector struct {
	follower  *follow.Follower
	onCrashed func(b *brokenRun, evidence string)

	count  atomic.Int64 // of broken
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
	d.count.Store(int64(len(d.broken)))
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// empty reports whether no run is undecided.
func (d *crashDetector) empty() bool { return d.count.Load() == 0 }

// undecided returns the number of targets that broke off a run of a subject and may
// still turn out to have crashed.
func (d *crashDetector) undecided(ref quarantine.Ref) int {
	if d.empty() {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	targets := make(map[quarantine.Crash]bool)
	for _, b := range d.broken {
		if slices.Contains(b.run.Subjects(), ref) {
			targets[quarantine.Crash{Target: b.target.ID, Incarnation: uint64(b.target.Incarnation)}] = true
		}
	}
	return len(targets)
}

// targetLives drops the broken runs of a target that has answered a request that it got
// after them, and returns the trials among them.
func (d *crashDetector) targetLives(target *roster.Record, sentAt time.Time) (trials []*rpc.TrialRequest) {
	if d.empty() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = slices.DeleteFunc(d.broken, func(b *brokenRun) bool {
		lives := b.target.ID == target.ID && b.target.Incarnation == target.Incarnation && b.at.Before(sentAt)
		if lives && b.trial != nil {
			trials = append(trials, b.trial)
		}
		return lives
	})
	d.count.Store(int64(len(d.broken)))
	return trials
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
	d.count.Store(int64(len(left)))
	d.mu.Unlock()
	for _, b := range crashed {
		d.onCrashed(b, "new_incarnation")
	}
	return len(left) > 0
}
