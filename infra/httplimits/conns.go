package httplimits

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"banyanwalk/core/eviction"
	"banyanwalk/infra/netpeek"
)

const (
	// sweepInterval is the time between two looks for connections whose head does not
	// arrive, and for readers that stand still.
	sweepInterval = 500 * time.Millisecond
	// readWindow is the time over which the rate of a reader is measured.
	readWindow = 3 * time.Second
	// spareDivisor is the part of the bound, as a divisor, by which more connections than
	// needed are closed at a time.
	spareDivisor = 40
	// reserveDivisor is the part of the bound, as a divisor, that is left to holders of few
	// requests: once no more places are free, a source or a workspace that has more than
	// 1/shareDivisor of the bound under way gets no further one.
	reserveDivisor = 16
	shareDivisor   = 2
	// pressureNumerator and pressureDenominator are the part of the bound from which
	// readers are watched.
	pressureNumerator   = 3
	pressureDenominator = 4
)

// conns bounds the connections of one or several servers. Beyond the bound, those are
// closed that have shown the least; see package eviction. It is safe for concurrent use.
type conns struct {
	most    int // 0: no bound
	evicted func()

	mu       sync.Mutex
	open     map[net.Conn]*conn
	bySource map[string]int // requests under way
	byOwner  map[string]int // the same; those whose workspace is known
}

// conn is the state of one connection. All fields but bytes are guarded by conns.mu.
type conn struct {
	phase   eviction.Phase
	since   time.Time
	bytes   atomic.Int64 // of the body so far
	source  string       // address without the port
	owner   string       // workspace of the request under way; empty: unknown
	reading readerWatch
}

// readerWatch measures how fast the peer of a connection reads.
type readerWatch struct {
	since   time.Time // start of the window; zero: nothing is outstanding
	acked   uint64    // at that time
	stalled bool
}

func newConns(most int, evicted func()) *conns {
	return &conns{most: most, open: make(map[net.Conn]*conn), bySource: make(map[string]int), byOwner: make(map[string]int), evicted: evicted}
}

// note is called at each change of a connection.
func (c *conns) note(raw net.Conn, state fasthttp.ConnState) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.open[raw]
	switch state {
	case fasthttp.StateNew:
		opened := &conn{since: now, source: sourceOf(raw)}
		c.open[raw] = opened
		if c.isShort() && c.holdsMuch(c.bySource[opened.source]) {
			c.close(raw)
			return
		}
		c.evict(now)
	case fasthttp.StateActive:
		c.enter(known, eviction.Head, now)
	case fasthttp.StateIdle:
		c.enter(known, eviction.Idle, now)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		c.forget(raw)
	}
}

// enter begins a phase of a connection, which may be nil if it was closed. The caller holds
// the lock.
func (c *conns) enter(known *conn, phase eviction.Phase, now time.Time) {
	if known == nil || known.phase == phase {
		return
	}
	switch before := known.underway(); {
	case before && phase != eviction.Body && phase != eviction.Handled:
		c.release(known)
	case !before && phase == eviction.Handled:
		c.bySource[known.source]++
	}
	known.phase, known.since, known.reading = phase, now, readerWatch{}
	known.bytes.Store(0)
}

// underway reports whether the connection has a request whose head is complete.
func (c *conn) underway() bool { return c.phase == eviction.Body || c.phase == eviction.Handled }

// release stops counting the request of a connection. The caller holds the lock.
func (c *conns) release(known *conn) {
	decrement(c.bySource, known.source)
	if known.owner != "" {
		decrement(c.byOwner, known.owner)
		known.owner = ""
	}
}

func decrement(counts map[string]int, key string) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// isShort reports whether only the places are left that are reserved for holders of few
// requests. The caller holds the lock.
func (c *conns) isShort() bool {
	return c.most > 0 && len(c.open) > c.most-max(1, c.most/reserveDivisor)
}

// holdsMuch reports whether so many requests under way are too many for one holder while
// places are short.
func (c *conns) holdsMuch(requests int) bool { return requests > c.most/shareDivisor }

// admit counts the request of a connection for its workspace. It returns false if the
// workspace has too many under way while places are short.
func (c *conns) admit(raw net.Conn, owner string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.open[raw]
	if known == nil || !known.underway() || known.owner != "" || owner == "" {
		return true
	}
	if c.isShort() && c.holdsMuch(c.byOwner[owner]) {
		return false
	}
	known.owner = owner
	c.byOwner[owner]++
	return true
}

// forget drops a connection. The caller holds the lock.
func (c *conns) forget(raw net.Conn) {
	known := c.open[raw]
	if known == nil {
		return
	}
	if known.underway() {
		c.release(known)
	}
	delete(c.open, raw)
}

// sourceOf returns the address of the peer without its port.
func sourceOf(raw net.Conn) string {
	if tcp, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
		return string(tcp.IP)
	}
	return raw.RemoteAddr().String()
}

// evict closes connections while there are too many. The caller holds the lock.
func (c *conns) evict(now time.Time) {
	excess := len(c.open) - c.most
	if c.most == 0 || excess <= 0 {
		return
	}
	raws := make([]net.Conn, 0, len(c.open))
	states := make([]eviction.Connection, 0, len(c.open))
	for raw, known := range c.open {
		raws, states = append(raws, raw), append(states, known.state())
	}
	for _, i := range eviction.Choose(states, excess, c.most/spareDivisor, now) {
		c.close(raws[i])
	}
}

// state returns what the decision needs. The caller holds the lock.
func (c *conn) state() eviction.Connection {
	holder := c.owner
	if holder == "" {
		holder = c.source
	}
	return eviction.Connection{Phase: c.phase, Since: c.since, Bytes: c.bytes.Load(), Stalled: c.reading.stalled, Holder: holder}
}

// close closes a connection. The caller holds the lock.
func (c *conns) close(raw net.Conn) {
	c.forget(raw)
	if secured, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = secured.NetConn() // TLS would write to the peer first, and may block
	}
	_ = raw.Close() // it is of no use any more, whatever the result
	c.evicted()
}

// requestArrived is called when the head of a request is complete, and again once its body
// is.
func (c *conns) requestArrived(raw net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(c.open[raw], eviction.Handled, time.Now())
}

// bodyBegins is called when the body of a request is to be read. It returns the counter of
// its bytes.
func (c *conns) bodyBegins(raw net.Conn) *atomic.Int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.open[raw]
	if known == nil {
		return &atomic.Int64{} // it was closed
	}
	c.enter(known, eviction.Body, time.Now())
	return &known.bytes
}

// sweep closes the connections whose head has been arriving for longer than allowed.
// While many are open it looks which readers stand still, and while places are short it
// closes these.
func (c *conns) sweep(now time.Time, allowed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	watched := c.most > 0 && len(c.open)*pressureDenominator >= c.most*pressureNumerator
	for raw, known := range c.open {
		switch {
		case known.phase == eviction.Head && now.Sub(known.since) > allowed:
			c.close(raw)
		case known.phase == eviction.Handled && watched:
			known.reading.observe(raw, now)
			if known.reading.stalled && c.isShort() {
				c.close(raw)
			}
		}
	}
}

// observe measures the reader of a connection.
func (w *readerWatch) observe(raw net.Conn, now time.Time) {
	sent, ok := netpeek.SentBytes(raw)
	if !ok || !sent.Outstanding {
		*w = readerWatch{}
		return
	}
	if w.since.IsZero() {
		w.since, w.acked = now, sent.Acked
		return
	}
	if elapsed := now.Sub(w.since); elapsed >= readWindow {
		w.stalled = float64(sent.Acked-w.acked) < eviction.MinRate*elapsed.Seconds()
		w.since, w.acked = now, sent.Acked
	}
}

// run sweeps until ctx ends.
func (c *conns) run(ctx context.Context, allowed func() time.Duration) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.sweep(now, allowed())
		}
	}
}
