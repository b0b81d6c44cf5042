// Package netpeek inspects the state of a TCP connection without consuming data
// and without blocking, even while another goroutine reads from it.
package netpeek

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// RawConn returns the socket of a connection, unwrapping TLS, or nil if there is
// none.
func RawConn(conn net.Conn) syscall.RawConn {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// PeerClosed reports whether the peer has closed or reset the connection and no
// received data is left to read.
func PeerClosed(raw syscall.RawConn) bool {
	n, errno, ok := peek(raw)
	return ok && (n == 0 && errno == nil || errors.Is(errno, syscall.ECONNRESET))
}

// WatchClosed polls conn at the interval and calls onClosed once the peer has
// closed it. stop ends the polling. A connection without a socket is not polled.
func WatchClosed(conn net.Conn, interval time.Duration, onClosed func()) (stop func()) {
	raw := RawConn(conn)
	if raw == nil {
		return func() {}
	}
	done := make(chan struct{})
	timerSet := make(chan struct{})
	var timer *time.Timer
	timer = time.AfterFunc(interval, func() {
		<-timerSet
		select {
		case <-done:
			return
		default:
		}
		if PeerClosed(raw) {
			onClosed()
			return
		}
		timer.Reset(interval)
	})
	close(timerSet)
	return func() {
		close(done)
		timer.Stop()
	}
}

// Idle reports whether a connection is open and has no received data to read.
func Idle(conn net.Conn) bool {
	raw := RawConn(conn)
	if raw == nil {
		return false
	}
	n, errno, ok := peek(raw)
	return ok && n < 0 && errors.Is(errno, syscall.EAGAIN)
}

// peek reads one byte of the socket with MSG_PEEK. n is 0 after the peer closed the
// connection and -1 with errno EAGAIN if there is no data. ok is false if the
// socket is already closed on this side.
func peek(raw syscall.RawConn) (n int, errno error, ok bool) { //nolint:revive // errno is a reading, not a failure of peek
	err := raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, errno = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errno, err == nil
}
