// Package targetconn keeps HTTP/1.1 connections to targets. Callers write and
// read on them by themselves, since they must know when the first byte of a
// request goes out and must never repeat a request on their own, as HTTP
// client libraries do.
package targetconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"banyanwalk/infra/netpeek"
)

const (
	readBufferBytes = 16 << 10
	dialTimeout     = 400 * time.Millisecond
)

// keepAlive finds connections that have gone silent within three seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Conn is one connection to a target.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	Reused bool      // it has carried a request before
	until  time.Time // the target may close it from then on; zero: unknown
}

// Pool keeps idle connections to one target.
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

// Get returns an idle connection that the target has not closed, or a new
// one. An error means that nothing was sent.
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
	return &Conn{Conn: raw, Reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
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

// Put keeps a connection whose last answer was read to its end.
func (p *Pool) Put(conn *Conn) { p.PutFor(conn, 0) }

// PutFor keeps a connection that the target closes once it was idle for so
// long. Zero means that this is not known.
func (p *Pool) PutFor(conn *Conn, idle time.Duration) {
	conn.until = time.Time{}
	if idle > 0 {
		conn.until = time.Now().Add(idle)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= p.max || conn.RemoteAddr().String() != p.addr {
		conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// Reset closes all idle connections and takes a new address and size over. An
// empty address keeps the old one.
func (p *Pool) Reset(addr string, size int) {
	p.CloseIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != "" {
		p.addr = addr
	}
	p.max = size
}

// CloseIdle closes the connections that are not in use.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}

// usable reports whether an idle connection is open and has nothing to read.
// Anything to read would belong to an earlier request.
func (c *Conn) usable(now time.Time) bool {
	if !c.until.IsZero() && now.After(c.until) {
		return false
	}
	return c.Reader.Buffered() == 0 && netpeek.Quiet(c.Conn)
}

// Dial connects to a target.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}
