package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Early is a response that a target sends before it has read the body of the request.
type Early struct {
	Sent      string
	Reset     time.Duration // after which the connection is reset; 0: the body is read to its end
	HalfClose bool          // the target closes its direction before it reads the body
}

// NewEarly starts a target whose early responses respond returns, which may be called
// concurrently. Close stops it.
func NewEarly(respond func(r *http.Request) Early) (*Raw, error) {
	return newRaw(func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		early := respond(request)
		_, _ = io.WriteString(conn, early.Sent) // fails if the caller has closed the connection
		tcp := conn.(*net.TCPConn)
		if early.HalfClose {
			_ = tcp.CloseWrite()
		}
		if early.Reset > 0 {
			time.Sleep(early.Reset)
			_ = tcp.SetLinger(0) // closing resets the connection
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	})
}
