package httplimits

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// sweepInterval is the time between two looks for connections whose head does not arrive.
const sweepInterval = 500 * time.Millisecond

// conns bounds the connections of a server. Beyond the bound, the one that has been idle
// for longest is closed. It is safe for concurrent use.
type conns struct {
	most int // 0: no bound

	mu      sync.Mutex
	open    map[net.Conn]*conn
	oldest  *list.List // of idle net.Conns, the one that has been idle for longest first
	evicted func()     // is told of each connection that is closed
}

// conn is the state of one connection.
type conn struct {
	idle        *list.Element // nil: it has a request
	headArrives time.Time     // since when the head of a request arrives; zero: none does
}

func newConns(most int, evicted func()) *conns {
	return &conns{most: most, open: make(map[net.Conn]*conn), oldest: list.New(), evicted: evicted}
}

// note is called at each change of a connection.
func (c *conns) note(raw net.Conn, state fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.open[raw]
	switch state {
	case fasthttp.StateNew:
		c.open[raw] = &conn{idle: c.oldest.PushBack(raw)}
		c.evict()
	case fasthttp.StateActive:
		if known != nil {
			c.setBusy(known)
			known.headArrives = time.Now()
		}
	case fasthttp.StateIdle:
		if known != nil && known.idle == nil {
			known.idle = c.oldest.PushBack(raw)
		}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		if known != nil {
			c.setBusy(known)
			delete(c.open, raw)
		}
	}
}

// setBusy removes a connection from the idle ones. The caller holds the lock.
func (c *conns) setBusy(known *conn) {
	if known.idle != nil {
		c.oldest.Remove(known.idle)
		known.idle = nil
	}
}

// evict closes the connection that has been idle for longest while there are too many. The
// caller holds the lock.
func (c *conns) evict() {
	for c.most > 0 && len(c.open) > c.most && c.oldest.Len() > 0 {
		raw := c.oldest.Front().Value.(net.Conn) //nolint:errcheck // the list holds nothing else
		c.setBusy(c.open[raw])
		delete(c.open, raw)
		_ = raw.Close() // it is of no use any more, whatever the result
		c.evicted()
	}
}

// headArrived is called when the head of a request is complete.
func (c *conns) headArrived(raw net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.open[raw]; known != nil {
		known.headArrives = time.Time{}
	}
}

// closeSlow closes the connections whose head has been arriving for longer than allowed.
func (c *conns) closeSlow(now time.Time, allowed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for raw, known := range c.open {
		if !known.headArrives.IsZero() && now.Sub(known.headArrives) > allowed {
			known.headArrives = time.Time{}
			_ = raw.Close() // the server notices
			c.evicted()
		}
	}
}

// run closes connections with slow heads until ctx ends.
func (c *conns) run(ctx context.Context, allowed func() time.Duration) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.closeSlow(now, allowed())
		}
	}
}
