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

// redialPause is how long a failed dial answers for later ones, so that a dead
// host costs its callers nothing.
const redialPause = 100 * time.Millisecond

// ErrPoolClosed answers calls after the pool has been closed.
var ErrPoolClosed = outcome.New(outcome.Cancelled, outcome.NotRun, "the connections of this process are closed")

// Pool keeps at most one connection to each address and dials again after a
// connection ended. A dial runs apart from the callers that wait for it, since
// a hung host takes seconds to fail: each caller stops waiting when its own
// context ends, and one with little time does not take the result from the
// others.
type Pool struct {
	tlsConfig *tls.Config
	ctx       context.Context // ends the dials
	cancel    context.CancelFunc
	wg        conc.WaitGroup

	mu     sync.Mutex
	closed bool
	dials  map[string]*dial
}

// dial is a connection to one address that is wanted, open or failed.
type dial struct {
	done   chan struct{} // closed when the fields below are set
	conn   *Conn
	err    error
	failed time.Time
}

// NewPool returns an empty pool. tlsConfig may be nil.
func NewPool(tlsConfig *tls.Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{tlsConfig: tlsConfig, ctx: ctx, cancel: cancel, dials: make(map[string]*dial)}
}

// Get returns a live connection to addr, or waits for one until ctx ends.
// Errors have outcome NotRun.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	if ctx.Err() != nil {
		return nil, notConnected(ctx, addr)
	}
	d, err := p.dial(addr)
	if err != nil {
		return nil, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, notConnected(ctx, addr)
	}
}

func notConnected(ctx context.Context, addr string) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "no connection to %s in time", addr)
	}
	return outcome.New(outcome.Cancelled, outcome.NotRun, "cancelled while connecting to %s", addr)
}

// dial returns the usable dial of addr, a new one if need be.
func (p *Pool) dial(addr string) (*dial, error) {
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

// usable reports whether waiting for d makes sense.
func (d *dial) usable() bool {
	select {
	case <-d.done:
	default:
		return true
	}
	if d.conn != nil {
		return !d.conn.Closed()
	}
	return time.Since(d.failed) < redialPause
}

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
		d.err, d.failed = outcome.From(err).WithOutcome(outcome.NotRun), time.Now()
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

// Close ends all connections and waits for running dials.
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
