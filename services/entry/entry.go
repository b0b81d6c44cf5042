// Package entry runs the gateway of a site: it takes the requests of callers,
// finds their route and workspace, and carries each to a target and its answer
// back. Jobs are handed on to the storage hosts.
package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"banyanwalk/infra/telemetry"
	"banyanwalk/services/follow"
	"banyanwalk/services/targetcall"
)

const (
	// readTimeout bounds the time in which a caller sends one request.
	readTimeout = 15 * time.Second
	// idleTimeout exceeds what callers may expect of an idle connection.
	idleTimeout = 90 * time.Second
	// maxBodyBytes is what one request may hold at most, whatever the limits
	// in force say.
	maxBodyBytes = 16 << 20
	// headBufferBytes holds the head of one request.
	headBufferBytes = 18 << 10
	drainCheck      = 50 * time.Millisecond
	// takeFor is how long a gateway that stops still takes requests. What came
	// before can end within the grace; what comes later is refused at once.
	takeFor = 3 * time.Second
)

// NoticeTime is how long the balancer needs to notice that a gateway is not
// ready any more: two questions a second apart.
const NoticeTime = 2500 * time.Millisecond

// JobCalls recognizes and encodes the calls of jobs.
type JobCalls interface {
	// Parse returns the call that a request is on a job that exists, or false.
	Parse(ctx *fasthttp.RequestCtx) (JobCall, bool)
	// ParseSubmission returns the items of a job that is handed in. Other
	// fields of the specification come from the route.
	ParseSubmission(ctx *fasthttp.RequestCtx) (*Submission, error)
	// WriteResults answers a read.
	WriteResults(ctx *fasthttp.RequestCtx, r *Results)
}

// Config describes one gateway.
type Config struct {
	Name        string
	DataCentre  string
	Follower    *follow.Follower
	HeaderNames targetcall.HeaderNames
	Jobs        JobCalls
	Log         *telemetry.Log
	Metrics     metrics.Registry
	Grace       time.Duration // from the order to stop until the process must have ended
	// RefuseStaleAfter is how old the last confirmation of the document may be
	// before requests are refused; 0: the gateway serves on with what it has.
	RefuseStaleAfter time.Duration
	Notice           time.Duration // that the balancer needs to see that a gateway stops; 0: NoticeTime
}

// Server is one gateway.
type Server struct {
	cfg      Config
	log      *telemetry.Log
	follower *follow.Follower
	caller   *targetcall.Client
	jobs     *jobClient
	meters   *meters
	draining atomic.Bool
	closing  atomic.Bool  // takes no requests any more
	open     atomic.Int64 // requests being served
	conns    atomic.Int64 // open connections of callers
	yields   *yields
	slots    *slots
}

// New returns a gateway that is ready to serve.
func New(cfg Config) *Server {
	if cfg.Notice == 0 {
		cfg.Notice = NoticeTime
	}
	s := &Server{
		cfg:      cfg,
		log:      cfg.Log,
		follower: cfg.Follower,
		caller:   targetcall.NewClient(cfg.HeaderNames, cfg.Metrics),
		jobs:     newJobClient(cfg.Follower),
		meters:   newMeters(cfg.Metrics),
	}
	s.yields = newYields(s.jobs)
	s.slots = newSlots(cfg.Follower, s.jobs)
	return s
}

// Ready returns the reason why the gateway takes no requests, or nil.
func (s *Server) Ready() error {
	if s.draining.Load() {
		return errors.New("draining")
	}
	if s.follower.Table() == nil {
		return errors.New("no document is known yet")
	}
	if s.isStale() {
		return errors.New("the document may be out of date")
	}
	return nil
}

// isStale reports whether the document is too old to act on.
func (s *Server) isStale() bool {
	return s.cfg.RefuseStaleAfter > 0 && s.follower.StaleFor() > s.cfg.RefuseStaleAfter
}

// Serve answers callers on l until ctx ends. The gateway then reports itself
// as not ready, goes on serving until the balancer has noticed, lets running
// requests finish and ends within the grace.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "banyanwalk",
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        headBufferBytes,
		CloseOnShutdown:       true,
		Logger:                telemetry.Silent{},
		ConnState:             s.countConns,
	}
	p := pool.New().WithErrors().WithFirstError()
	ended := make(chan struct{})
	background, stop := context.WithCancel(context.Background())
	defer stop()
	p.Go(func() error {
		s.yields.run(background)
		return nil
	})
	p.Go(func() error {
		s.slots.run(background)
		return nil
	})
	p.Go(func() error {
		defer stop()
		defer close(ended)
		return errors.Wrap(server.Serve(l), "serve callers")
	})
	p.Go(func() error {
		select {
		case <-ended:
			return nil
		case <-ctx.Done():
		}
		s.drain()
		bounded, cancel := context.WithTimeout(context.Background(), drainCheck)
		defer cancel()
		_ = server.ShutdownWithContext(bounded) // what is still open has been given its time
		return nil
	})
	return p.Wait()
}

// drain waits until nothing is open, or the grace is nearly over.
func (s *Server) drain() {
	began := time.Now()
	s.draining.Store(true)
	s.log.Info("gateway_draining", "open", s.open.Load(), "connections", s.conns.Load())
	last := s.cfg.Grace * 15 / 16
	for time.Since(began) < last {
		s.closing.Store(time.Since(began) >= takeFor)
		if time.Since(began) >= s.cfg.Notice && s.open.Load() == 0 {
			break
		}
		time.Sleep(drainCheck)
	}
	s.log.Info("gateway_drained", "open", s.open.Load(), "connections", s.conns.Load(), "after_ms", time.Since(began).Milliseconds())
}

func (s *Server) countConns(_ net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateNew:
		s.conns.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.conns.Add(-1)
	case fasthttp.StateActive, fasthttp.StateIdle:
	}
}
