// Package targetconn pools HTTP/1.1 connections to targets. Callers write
// requests and read responses on the connections themselves: they must know when
// the first byte of a request is sent, and a request must never be retried
// implicitly, as HTTP client libraries do.
package targetconn

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"banyanwalk/infra/netpeek"
)

const (
	readBufferBytes = 16 << 10
	dialTimeout     = 400 * time.Millisecond
	// maxFailures is after how many failed requests a connection is closed, which bounds the
	// ids that it holds.
	maxFailures = 64
)

// keepAlive detects dead connections within three seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Conn is one connection to a target.
type Conn struct {
	net.Conn
	Reader       *bufio.Reader
	limit        *readLimit
	grown        bool      // see growReader
	Reused       bool      // it has carried an earlier request
	failed       []string  // ids of the requests that the target refused or failed on it
	idleDeadline time.Time // the target may close it after this time; zero: unknown
}

// Pool holds the idle connections to one target.
type Pool struct {
	mu   sync.Mutex
	addr string
	max  int
	idle []*Conn
}

// NewPool returns a pool of at most size idle connections to addr.
func NewPool(addr string, size int) *Pool { return &Pool{addr: addr, max: size} }

// Address returns the address of the target.
func (p *Pool) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// NoteFailed records that the target refused or failed a request on this connection.
func (c *Conn) NoteFailed(id string) { c.failed = append(c.failed, id) }

// HasFailed reports whether the target refused or failed a request with this id on this
// connection.
func (c *Conn) HasFailed(id string) bool { return slices.Contains(c.failed, id) }

// GetFor is Get for a request with an id. It passes over connections on which a request with
// that id failed: if the target repeated that response, it would look like one to this
// request.
func (p *Pool) GetFor(ctx context.Context, id string) (*Conn, error) {
	for {
		conn, err := p.Get(ctx)
		if err != nil || !conn.HasFailed(id) {
			return conn, err
		}
		conn.Close()
	}
}

// Get returns an idle connection that the target has not closed, or dials a new
// one. If it fails, nothing was sent to the target.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		conn := p.pop()
		if conn == nil {
			break
		}
		if conn.usable(time.Now()) {
			conn.Reused = true
			return conn, nil
		}
		conn.Close()
	}
	raw, err := Dial(ctx, p.Address())
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func newConn(raw net.Conn) *Conn {
	limit := &readLimit{source: raw, left: unlimited}
	return &Conn{Conn: raw, Reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit}
}

func (p *Pool) pop() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	conn := p.idle[last]
	p.idle = p.idle[:last]
	return conn
}

// Put returns a connection to the pool. Its last response must have been read to
// the end.
func (p *Pool) Put(conn *Conn) { p.PutWithIdleTimeout(conn, 0) }

// PutWithIdleTimeout returns a connection to the pool like Put. idle is the
// target's keep-alive timeout, after which it closes the connection; 0: unknown.
func (p *Pool) PutWithIdleTimeout(conn *Conn, idle time.Duration) {
	conn.idleDeadline = time.Time{}
	if idle > 0 {
		conn.idleDeadline = time.Now().Add(idle)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= p.max || conn.grown || len(conn.failed) >= maxFailures || conn.RemoteAddr().String() != p.addr {
		conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// Reset closes all idle connections and sets a new address and size. An empty
// address keeps the current one.
func (p *Pool) Reset(addr string, size int) {
	p.CloseIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != "" {
		p.addr = addr
	}
	p.max = size
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}

// usable reports whether an idle connection is open, within its idle deadline
// and has no unread data, which would belong to an earlier request.
func (c *Conn) usable(now time.Time) bool {
	if !c.idleDeadline.IsZero() && now.After(c.idleDeadline) {
		return false
	}
	return c.Reader.Buffered() == 0 && netpeek.Idle(c.Conn)
}

// Dial connects to a target.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}
