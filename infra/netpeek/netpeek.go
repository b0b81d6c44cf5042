// Package netpeek looks at the state of a TCP connection without reading from
// it and without blocking, also while another goroutine reads.
package netpeek

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Raw returns the socket below a connection, or nil.
func Raw(conn net.Conn) syscall.RawConn {
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

// Closed reports whether the peer has closed or reset the connection and
// nothing is left to read.
func Closed(raw syscall.RawConn) bool {
	n, errno, ok := peek(raw)
	return ok && (n == 0 && errno == nil || errors.Is(errno, syscall.ECONNRESET))
}

// WatchClosed calls gone once the peer of a connection has closed it, which is
// looked at each interval. The returned function ends the watch.
func WatchClosed(conn net.Conn, interval time.Duration, gone func()) (stop func()) {
	raw := Raw(conn)
	if raw == nil {
		return func() {}
	}
	done := make(chan struct{})
	armed := make(chan struct{})
	var timer *time.Timer
	timer = time.AfterFunc(interval, func() {
		<-armed
		select {
		case <-done:
			return
		default:
		}
		if Closed(raw) {
			gone()
			return
		}
		timer.Reset(interval)
	})
	close(armed)
	return func() {
		close(done)
		timer.Stop()
	}
}

// Quiet reports whether a connection is open and has nothing to read.
func Quiet(conn net.Conn) bool {
	raw := Raw(conn)
	if raw == nil {
		return false
	}
	n, errno, ok := peek(raw)
	return ok && n < 0 && errors.Is(errno, syscall.EAGAIN)
}

func peek(raw syscall.RawConn) (n int, errno error, ok bool) { //nolint:revive // errno is a reading, not a failure of peek
	err := raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, errno = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errno, err == nil
}
