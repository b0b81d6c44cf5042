package agent

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/netpeek"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/targetconn"
)

const (
	watchRedialDelay       = 50 * time.Millisecond // after the watch connection broke
	targetDownPollInterval = 250 * time.Millisecond
)

// watch keeps an idle connection to the target. The operating system closes it
// when the target's process exits, even if no request is in flight, so a restart
// is always detected: until its next announcement the target is limited to its
// cold capacity.
func (t *target) watch() {
	for t.ctx.Err() == nil {
		if t.announcement().Leaving {
			t.awaitExit()
			continue
		}
		conn, err := targetconn.Dial(t.ctx, t.pool.Address())
		if err != nil {
			t.handleDialFailure(err)
			pause.For(t.ctx, targetDownPollInterval)
			continue
		}
		broken := make(chan struct{})
		t.setWatch(broken, conn)
		stop := context.AfterFunc(t.ctx, func() { conn.Close() })
		waitForClose(conn)
		stop()
		conn.Close()
		if t.ctx.Err() != nil {
			return
		}
		t.handleWatchBroken(broken)
		pause.For(t.ctx, watchRedialDelay)
	}
}

// waitForClose blocks until the connection is closed.
func waitForClose(conn net.Conn) {
	var buf [64]byte
	for {
		if _, err := conn.Read(buf[:]); err != nil {
			return
		}
	}
}

func (t *target) setWatch(broken chan struct{}, conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchBroken, t.watchConn = broken, conn
}

// closeWatch closes the watch connection on purpose, so that its end is not taken
// for an exit of the process. The caller holds the mutex.
func (t *target) closeWatch() {
	if t.watchBroken != nil {
		t.watchBroken = nil
		t.watchConn.Close()
	}
}

// watchedProcessEnded reports whether the peer has closed the watch connection,
// even if watch has not noticed yet. It does not block. The caller holds the
// mutex.
func (t *target) watchedProcessEnded() bool {
	return t.watchBroken != nil && !netpeek.Idle(t.watchConn)
}

// handleWatchBroken limits the target to its cold capacity until it announces
// itself again.
func (t *target) handleWatchBroken(broken chan struct{}) {
	t.mu.Lock()
	if t.watchBroken != broken {
		t.mu.Unlock()
		return // closed by closeWatch
	}
	t.epoch++
	t.watchBroken = nil
	t.apply(t.gate.LimitToCold(t.agent.now()))
	t.mu.Unlock()
	close(broken)
	t.agent.cfg.Log.Debug("target_connection_lost", "target", t.id)
	t.pool.CloseIdle()
}

// awaitExit drops a leaving target once it has closed its port and has no
// in-flight requests. It keeps no connection open, since that could delay the
// target's shutdown. It returns if the target announces that it is not leaving
// any more, so that the target is watched again.
func (t *target) awaitExit() {
	for t.ctx.Err() == nil && t.announcement().Leaving {
		if t.runningRequests() == 0 && !reachable(t.ctx, t.pool.Address()) {
			t.agent.dropTarget(t, "left")
			return
		}
		pause.For(t.ctx, targetDownPollInterval)
	}
}

// handleDialFailure is called when a connection to the target could not be opened.
// A refused connection means that the process has exited; any other error does
// not show whether it has.
func (t *target) handleDialFailure(err error) {
	if t.ctx.Err() != nil || !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	t.mu.Lock()
	down, leaving, incarnation := t.down, t.info.Leaving, t.info.Incarnation
	t.mu.Unlock()
	if !down && !leaving {
		t.recordCrash(incarnation, "connection refused")
	}
}

func reachable(ctx context.Context, address string) bool {
	conn, err := targetconn.Dial(ctx, address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
