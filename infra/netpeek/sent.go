package netpeek

import (
	"net"

	"golang.org/x/sys/unix"
)

// Sent tells how much of what was written to a connection has reached its peer.
type Sent struct {
	Acked       uint64 // bytes that the peer's system has taken
	Outstanding bool   // bytes wait to be sent or acknowledged
}

// SentBytes returns what a TCP connection has sent. ok is false if that is unknown, as for
// a connection that is closed on this side.
func SentBytes(conn net.Conn) (sent Sent, ok bool) {
	raw := RawConn(conn)
	if raw == nil {
		return Sent{}, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return Sent{}, false
	}
	return Sent{Acked: info.Bytes_acked, Outstanding: info.Unacked > 0 || info.Notsent_bytes > 0}, true
}
