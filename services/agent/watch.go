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
	watchPause     = 50 * time.Millisecond // between attempts to connect
	watchDownPause = 250 * time.Millisecond
)

// watch keeps an idle connection to the target. The operating system closes
// it when the target's process ends, also when no request is in flight, so
// that a restarted target is never taken for a warm one: until its next
// announcement it gets no more than a cold target bears.
func (t *target) watch() {
	for t.life.Err() == nil {
		if t.announced().Leaving {
			t.awaitExit()
			continue
		}
		conn, err := targetconn.Dial(t.life, t.pool.Address())
		if err != nil {
			t.unreachable(err)
			pause.For(t.life, watchDownPause)
			continue
		}
		lost := make(chan struct{})
		t.setWatch(lost, conn)
		stop := context.AfterFunc(t.life, func() { conn.Close() })
		readToEnd(conn)
		stop()
		conn.Close()
		if t.life.Err() != nil {
			return
		}
		t.watchLost(lost)
		pause.For(t.life, watchPause)
	}
}

// readToEnd blocks until the peer closes the connection.
func readToEnd(conn net.Conn) {
	var buf [64]byte
	for {
		if _, err := conn.Read(buf[:]); err != nil {
			return
		}
	}
}

func (t *target) setWatch(lost chan struct{}, conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost, t.watched = lost, conn
}

// unwatch closes the watch connection. That is no sign of a crash. The caller
// holds the mutex.
func (t *target) unwatch() {
	if t.lost != nil {
		t.lost = nil
		t.watched.Close()
	}
}

// watchEnded reports whether the watched process has ended, also when watch
// has not been told yet. The caller holds the mutex; the look does not block.
func (t *target) watchEnded() bool {
	return t.lost != nil && !netpeek.Quiet(t.watched)
}

// watchLost holds the target to its cold capacity until it announces itself.
func (t *target) watchLost(lost chan struct{}) {
	t.mu.Lock()
	if t.lost != lost {
		t.mu.Unlock()
		return // unwatched
	}
	t.turn++
	t.lost = nil
	t.apply(t.gate.LimitToCold(t.agent.now()))
	t.mu.Unlock()
	close(lost)
	t.agent.cfg.Log.Debug("target_connection_lost", "target", t.id)
	t.pool.CloseIdle()
}

// awaitExit drops a leaving target once it has closed its port and answered
// what it had. It keeps no connection, which could hold up the target's own
// shutdown. A target that stays after all is watched again.
func (t *target) awaitExit() {
	for t.life.Err() == nil && t.announced().Leaving {
		if t.runningRequests() == 0 && !reachable(t.life, t.pool.Address()) {
			t.agent.dropTarget(t, "left")
			return
		}
		pause.For(t.life, watchDownPause)
	}
}

// unreachable is called when a connection to the target failed. Refused means
// that its process is gone; any other failure says nothing about that.
func (t *target) unreachable(err error) {
	if t.life.Err() != nil || !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	t.mu.Lock()
	down, leaving, incarnation := t.down, t.info.Leaving, t.info.Incarnation
	t.mu.Unlock()
	if !down && !leaving {
		t.noteCrash(incarnation, "connection refused")
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
