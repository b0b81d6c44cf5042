package wire

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/outcome"
)

// dialErrorTTL is how long the error of a failed dial is returned to later
// callers without a new dial, so that calls to a dead host fail at once.
const dialErrorTTL = 100 * time.Millisecond

// ErrPoolClosed is returned by calls made after Close.
var ErrPoolClosed = outcome.New(outcome.Cancelled, outcome.NotRun, "the connections of this process are closed")

// Pool is a connection pool that keeps at most one connection to each address
// and dials again after a connection has closed. Dials run in their own
// goroutines because a hung host takes seconds to fail: each caller stops waiting
// when its own context ends, and a caller with a short deadline does not abort the
// dial that other callers wait for.
type Pool struct {
	tlsConfig *tls.Config
	ctx       context.Context // cancelled by Close; aborts running dials
	cancel    context.CancelFunc
	wg        conc.WaitGroup

	mu     sync.Mutex
	closed bool
	dials  map[string]*dial
}

// dial is a connection attempt to one address and, once done, its result.
type dial struct {
	done     chan struct{} // closed when the fields below are set
	conn     *Conn
	err      error
	failedAt time.Time
}

// NewPool returns an empty pool. tlsConfig may be nil.
func NewPool(tlsConfig *tls.Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{tlsConfig: tlsConfig, ctx: ctx, cancel: cancel, dials: make(map[string]*dial)}
}

// Get returns an open connection to addr, dialling if there is none. It waits
// until ctx ends. Errors have outcome NotRun.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	if ctx.Err() != nil {
		return nil, connectError(ctx, addr)
	}
	d, err := p.currentDial(addr)
	if err != nil {
		return nil, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, connectError(ctx, addr)
	}
}

// connectError reports that ctx ended before a connection to addr was open.
func connectError(ctx context.Context, addr string) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "no connection to %s in time", addr)
	}
	return outcome.New(outcome.Cancelled, outcome.NotRun, "cancelled while connecting to %s", addr)
}

// currentDial returns the usable dial of addr and starts a new one if there is
// none.
func (p *Pool) currentDial(addr string) (*dial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	if d, ok := p.dials[addr]; ok && d.usable() {
		return d, nil
	}
	d := &dial{done: make(chan struct{})}
	p.dials[addr] = d
	p.wg.Go(func() { p.connect(addr, d) })
	return d, nil
}

// usable reports whether callers may use the result of d: it is still running, its
// connection is open, or it failed less than dialErrorTTL ago.
func (d *dial) usable() bool {
	select {
	case <-d.done:
	default:
		return true
	}
	if d.conn != nil {
		return !d.conn.Closed()
	}
	return time.Since(d.failedAt) < dialErrorTTL
}

// connect dials addr and stores the result in d.
func (p *Pool) connect(addr string, d *dial) {
	conn, err := Dial(p.ctx, addr, p.tlsConfig)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(d.done)
	if err == nil && p.closed {
		conn.Close()
		err = ErrPoolClosed
	}
	if err != nil {
		d.err, d.failedAt = outcome.From(err).WithOutcome(outcome.NotRun), time.Now()
		return
	}
	d.conn = conn
}

// Call is Get followed by Conn.Call.
func (p *Pool) Call(ctx context.Context, addr string, method Method, request, response any) error {
	conn, err := p.Get(ctx, addr)
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, request, response)
}

// Open is Get followed by Conn.Open.
func (p *Pool) Open(ctx context.Context, addr string, method Method) (*Stream, error) {
	conn, err := p.Get(ctx, addr)
	if err != nil {
		return nil, err
	}
	return conn.Open(ctx, method)
}

// Close closes all connections, aborts running dials and waits for them to
// return.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	p.closed = true
	for _, d := range p.dials {
		if d.conn != nil {
			d.conn.Close()
		}
	}
	p.mu.Unlock()
	p.wg.Wait()
}
