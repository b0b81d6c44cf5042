// Package httplimits bounds what the callers of an HTTP server can make its process hold:
// heads, bodies and connections. A request that does not fit is refused, and its
// connection closed.
package httplimits

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/bytebudget"
)

const (
	// budgetDivisor is the part of a process's memory, as a divisor, that the bodies of all
	// requests may take together.
	budgetDivisor = 6
	// connDivisor is the part of a process's memory, as a divisor, that connections may
	// take, and connBytes what one takes: its buffers, its goroutine and the server's state.
	connDivisor = 4
	connBytes   = 48 << 10
	// descriptorDivisor is the part of a process's descriptors, as a divisor, that callers'
	// connections may take. The others are for targets, files and other processes.
	descriptorDivisor = 2
	// operatorConns is how many of the connections are kept for operators and the provider,
	// and operatorDivisor the part of all connections that they take at most.
	operatorConns   = 64
	operatorDivisor = 8
	// defaultBudget applies if the memory of the process is unknown.
	defaultBudget = 64 << 20
	// roomTimeout is how long a request waits for room.
	roomTimeout = 1 * time.Second
	// roomRetryAfter is the Retry-After of a request for which there was no room.
	roomRetryAfter = 500 * time.Millisecond
	// HeadBufferBytes bounds the head of one request regardless of the configuration.
	HeadBufferBytes       = 18 << 10
	defaultRequestTimeout = 15 * time.Second
	// defaultHeadTimeout and DefaultBodyBytes apply while no configuration is known, or one
	// that sets no limit.
	defaultHeadTimeout = 15 * time.Second
	// DefaultBodyBytes bounds one body then. It is the size of the largest frame between
	// processes.
	DefaultBodyBytes = 16 << 20
)

// Bounds are the limits of a configuration on one request; 0: not set.
type Bounds struct {
	HeadBytes int
	BodyBytes int64
	// HeadTimeout is how long a head may take to arrive, and how long a body may stand still.
	HeadTimeout time.Duration
}

// Config describes the process of a server.
type Config struct {
	Name           string // prefix of the metrics
	MemoryBytes    int64  // of the process; 0: unknown
	MaxDescriptors int    // of the process; 0: unknown
	// RequestTimeout is how long one request may take to arrive; 0: 15 s.
	RequestTimeout time.Duration
	Metrics        metrics.Registry
}

// Limits are the limits of one process, for one or several servers.
type Limits struct {
	requestTimeout time.Duration // for one request to arrive

	budget    *bytebudget.Budget
	conns     *conns
	operators *conns
	bounds    *atomic.Pointer[func() Bounds] // to nil: none are set
}

// New returns the limits of a process.
func New(cfg Config) *Limits {
	budget := int64(defaultBudget)
	if cfg.MemoryBytes > 0 {
		budget = cfg.MemoryBytes / budgetDivisor
	}
	if cfg.RequestTimeout <= 0 {
		cfg.RequestTimeout = defaultRequestTimeout
	}
	closed := metrics.GetOrRegisterCounter(cfg.Name+".connections.closed", cfg.Metrics)
	evicted := func() { closed.Inc(1) }
	most := cfg.maxConns()
	reserved := min(operatorConns, most/operatorDivisor)
	return &Limits{
		requestTimeout: cfg.RequestTimeout,
		budget:         bytebudget.New(budget, cfg.Name+".bodies", cfg.Metrics),
		conns:          newConns(most-reserved, evicted),
		operators:      newConns(reserved, evicted),
		bounds:         &atomic.Pointer[func() Bounds]{},
	}
}

// ForOperators returns the limits for the servers that operators and the provider's probes
// use: with the same budget, and places of their own, which callers cannot take.
func (l *Limits) ForOperators() *Limits {
	reserved := *l
	reserved.conns = l.operators
	return &reserved
}

// maxConns returns how many connections a process bears, or 0 for any number.
func (c *Config) maxConns() int {
	most := 0
	if c.MemoryBytes > 0 {
		most = int(c.MemoryBytes / connDivisor / connBytes)
	}
	if byDescriptors := c.MaxDescriptors / descriptorDivisor; byDescriptors > 0 && (most == 0 || byDescriptors < most) {
		most = byDescriptors
	}
	return most
}

// SetBounds sets where the bounds in force are looked up, before the first request.
func (l *Limits) SetBounds(bounds func() Bounds) { l.bounds.Store(&bounds) }

// Apply sets the limits of a server that is not running yet. Its handler must call
// HeadArrived first and reads bodies with ReadBody.
func (l *Limits) Apply(server *fasthttp.Server) {
	server.StreamRequestBody = true
	server.DisablePreParseMultipartForm = true // else fasthttp reads the form, and encodes it anew
	if server.ReadBufferSize == 0 {
		server.ReadBufferSize = HeadBufferBytes
	}
	if server.ReadTimeout == 0 {
		server.ReadTimeout = l.requestTimeout
	}
	if server.MaxRequestBodySize == 0 {
		server.MaxRequestBodySize = DefaultBodyBytes
	}
	former := server.ConnState
	server.ConnState = func(raw net.Conn, state fasthttp.ConnState) {
		l.conns.note(raw, state)
		if former != nil {
			former(raw, state)
		}
	}
}

// Run closes connections whose heads arrive too slowly until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	l.conns.run(ctx, func() time.Duration { return l.boundsInForce().HeadTimeout })
}

// boundsInForce returns the bounds with defaults.
func (l *Limits) boundsInForce() Bounds {
	b := Bounds{}
	if bounds := l.bounds.Load(); bounds != nil {
		b = (*bounds)()
	}
	if b.HeadBytes <= 0 {
		b.HeadBytes = HeadBufferBytes
	}
	if b.BodyBytes <= 0 {
		b.BodyBytes = DefaultBodyBytes
	}
	if b.HeadTimeout <= 0 {
		b.HeadTimeout = defaultHeadTimeout
	}
	return b
}

// HeadArrived notes that the head of a request is complete, and judges its size.
func (l *Limits) HeadArrived(ctx *fasthttp.RequestCtx) *outcome.Error {
	l.conns.requestArrived(ctx.Conn())
	bounds := l.boundsInForce()
	if size := len(ctx.Request.Header.RawHeaders()); size > bounds.HeadBytes {
		return outcome.New(outcome.HeadTooLarge, outcome.NotRun, "the head has %d bytes, %d are allowed", size, bounds.HeadBytes)
	}
	return nil
}

// Admit counts a request, whose head has arrived, for its workspace. It refuses the request
// if the workspace has too many under way while connections are short.
func (l *Limits) Admit(ctx *fasthttp.RequestCtx, workspace string) *outcome.Error {
	if l.conns.admit(ctx.Conn(), workspace) {
		return nil
	}
	ctx.SetConnectionClose()
	return outcome.New(outcome.Overloaded, outcome.NotRun, "workspace %q has most of the connections of this process", workspace).WithRetryAfter(roomRetryAfter)
}

// ReadBody reads the body of a request, which ctx then returns as its body. copies is how
// many copies of it, this one included, the handling of the request holds. The
// reservation is to be released when it has ended; it is nil after a failure.
func (l *Limits) ReadBody(ctx *fasthttp.RequestCtx, copies int64) (*bytebudget.Reservation, *outcome.Error) {
	return l.ReadBodyUpTo(ctx, l.boundsInForce().BodyBytes, copies)
}

// ReadBodyUpTo is ReadBody with a limit of the request's own.
func (l *Limits) ReadBodyUpTo(ctx *fasthttp.RequestCtx, limit, copies int64) (*bytebudget.Reservation, *outcome.Error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	arrived := l.conns.bodyBegins(ctx.Conn())
	defer l.conns.requestArrived(ctx.Conn())
	bounds := l.boundsInForce()
	waiting, cancel := context.WithTimeout(context.Background(), roomTimeout)
	defer cancel()
	r := l.budget.Reserve()
	from := &stallReader{conn: ctx.Conn(), from: stream, arrived: arrived, allowed: bounds.HeadTimeout, until: ctx.ConnTime().Add(l.requestTimeout)}
	if ctx.ConnRequestNum() > 1 || time.Until(from.until) < 0 {
		from.until = time.Now().Add(l.requestTimeout)
	}
	body, err := r.ReadAll(waiting, from, int64(ctx.Request.Header.ContentLength()), limit)
	if err == nil {
		err = r.Grow(waiting, copies*int64(len(body)))
	}
	if err != nil {
		r.Release()
		ctx.SetConnectionClose()
		return nil, bodyFailure(err, limit)
	}
	_ = from.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	ctx.Request.SetBodyRaw(body)
	return r, nil
}

// bodyFailure returns the refusal of a request whose body could not be read.
func bodyFailure(err error, limit int64) *outcome.Error {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, bytebudget.ErrTooLarge):
		return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "the body exceeds %d bytes", limit)
	case errors.Is(err, bytebudget.ErrNoRoom):
		return outcome.New(outcome.Overloaded, outcome.NotRun, "this process holds too many bytes of requests").WithRetryAfter(roomRetryAfter)
	case errors.As(err, &timeout) && timeout.Timeout():
		return outcome.New(outcome.BodyStalled, outcome.NotRun, "the body stopped arriving")
	default:
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the body cannot be read: %v", err)
	}
}

// stallReader bounds each read of a body, and all of them together.
type stallReader struct {
	conn    net.Conn
	from    io.Reader
	arrived *atomic.Int64 // counts the bytes
	allowed time.Duration // for one read
	until   time.Time     // for all
}

// Read reads from the body.
func (s *stallReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(s.allowed)
	if deadline.After(s.until) {
		deadline = s.until
	}
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return 0, errors.Wrap(err, "bound a read")
	}
	n, err := s.from.Read(p)
	s.arrived.Add(int64(n))
	return n, err
}

// Handler wraps the handler of a server: it judges the head, reads the body, and refuses
// with a plain text that names the reason.
func (l *Limits) Handler(copies int64, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if failure := l.HeadArrived(ctx); failure != nil {
			refuse(ctx, failure)
			return
		}
		held, failure := l.ReadBody(ctx, copies)
		if failure != nil {
			refuse(ctx, failure)
			return
		}
		defer held.Release()
		next(ctx)
	}
}

func refuse(ctx *fasthttp.RequestCtx, failure *outcome.Error) {
	ctx.SetConnectionClose()
	ctx.Error(failure.Error()+"\n", failure.Code.HTTPStatus())
	if failure.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 2, 64))
	}
}
