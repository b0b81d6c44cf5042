package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Raw is a stub target that answers each request with given bytes and closes the connection.
type Raw struct {
	Addr     string
	respond  func(r *http.Request) string
	listener net.Listener
	serving  conc.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// NewRaw starts a target whose responses respond returns, which may be called concurrently.
// Close stops it.
func NewRaw(respond func(r *http.Request) string) (*Raw, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for raw target")
	}
	t := &Raw{Addr: l.Addr().String(), respond: respond, listener: l}
	t.serving.Go(t.accept)
	return t, nil
}

// Close stops the target and closes its connections.
func (t *Raw) Close() {
	_ = t.listener.Close()
	t.mu.Lock()
	for _, conn := range t.conns {
		_ = conn.Close()
	}
	t.mu.Unlock()
	t.serving.Wait()
}

func (t *Raw) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns = append(t.conns, conn)
		t.mu.Unlock()
		t.serving.Go(func() { t.serve(conn) })
	}
}

func (t *Raw) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil { // unread bytes would reset the connection
		return
	}
	_, _ = io.WriteString(conn, t.respond(request)) // fails if the caller has closed the connection
}
