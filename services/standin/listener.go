package standin

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// connListener serves each connection of a loopback listener by a function of its own, below
// the level of an HTTP server.
type connListener struct {
	listener net.Listener
	serving  conc.WaitGroup
	open     atomic.Int64 // connections that are being served

	mu    sync.Mutex
	conns []net.Conn
}

// listenLoopback opens a listener on a loopback address. Connections wait until start.
func listenLoopback() (*connListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for stub target")
	}
	return &connListener{listener: l}, nil
}

func (c *connListener) addr() string { return c.listener.Addr().String() }

// start serves each connection with serve, and closes it afterwards, until Close.
func (c *connListener) start(serve func(net.Conn)) {
	c.serving.Go(func() {
		for {
			conn, err := c.listener.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			c.open.Add(1)
			c.serving.Go(func() {
				defer c.open.Add(-1)
				defer conn.Close()
				serve(conn)
			})
		}
	})
}

// OpenConns returns the number of connections that are not closed yet.
func (c *connListener) OpenConns() int64 { return c.open.Load() }

// Close closes the listener and all connections, and waits until they are served.
func (c *connListener) Close() {
	_ = c.listener.Close()
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.serving.Wait()
}
