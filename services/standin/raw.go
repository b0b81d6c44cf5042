package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Raw is a stub target that answers each request with given bytes and closes the connection.
type Raw struct {
	*connListener
	Addr string
}

// NewRaw starts a target whose responses respond returns, which may be called concurrently.
// Close stops it.
func NewRaw(respond func(r *http.Request) string) (*Raw, error) {
	return NewCut(func(r *http.Request) Cut { return Cut{Sent: respond(r)} })
}

// NewCut is NewRaw for responses after which the connection may also be reset.
func NewCut(respond func(r *http.Request) Cut) (*Raw, error) {
	return newRaw(func(conn net.Conn) { serveCut(conn, respond) })
}

func newRaw(serve func(net.Conn)) (*Raw, error) {
	l, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	l.start(serve)
	return &Raw{connListener: l, Addr: l.addr()}, nil
}

func serveCut(conn net.Conn, respond func(r *http.Request) Cut) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil { // unread bytes would reset the connection
		return
	}
	response := respond(request)
	_, _ = io.WriteString(conn, response.Sent) // fails if the caller has closed the connection
	if tcp, ok := conn.(*net.TCPConn); ok && response.Reset {
		_ = tcp.SetLinger(0) // closing resets the connection
	}
}
