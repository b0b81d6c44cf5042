package wire

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/telemetry"
)

// stuckConn is a connection whose reads do not return after it has failed, not even when it
// is closed.
type stuckConn struct {
	net.Conn
	failed  *atomic.Bool
	release chan struct{}
}

func (c stuckConn) Write(p []byte) (int, error) {
	if c.failed.Load() {
		return 0, errors.New("the link is gone")
	}
	return c.Conn.Write(p)
}

func (c stuckConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.failed.Load() {
		<-c.release
	}
	return n, err
}

// stuckListener accepts connections as stuckConns.
type stuckListener struct {
	net.Listener
	failed  *atomic.Bool
	release chan struct{}
}

func (l stuckListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return stuckConn{conn, l.failed, l.release}, err
}

// Guards against a handler that spins in a read for as long as its session takes to end: the
// process of a control host used a whole core and stood still (evacuations-while-control-is-frozen).
func TestReadsEndWhileSessionEnds(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := stuckListener{raw, &atomic.Bool{}, make(chan struct{})}
	server := NewServer(telemetry.Discard(), nil)
	reading, ended := make(chan struct{}), make(chan struct{})
	server.Handle(1, func(_ context.Context, s *Stream) error {
		close(reading)
		defer close(ended)
		var message string
		return s.Recv(&message)
	})
	ctx, cancel := context.WithCancel(t.Context())
	var serving conc.WaitGroup
	serving.Go(func() { assert.NoError(t, server.Serve(ctx, l)) })
	defer serving.Wait()
	defer cancel()
	defer close(l.release)
	conn, err := Dial(t.Context(), raw.Addr().String(), nil)
	require.NoError(t, err)
	defer conn.Close()
	stream, err := conn.Open(t.Context(), 1)
	require.NoError(t, err)
	defer stream.Close()
	<-reading
	l.failed.Store(true) // the next keep-alive ends the session
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		assert.Fail(t, "the handler still reads")
	}
}
