// Package entry implements the gateway of a site. It receives callers' requests,
// resolves their route and workspace, forwards each to a target and returns the
// response. Jobs are passed on to the storage hosts.
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

	"banyanwalk/infra/httplimits"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/crashreport"
	"banyanwalk/services/follow"
	"banyanwalk/services/replicated"
	"banyanwalk/services/targetcall"
)

const (
	// idleTimeout exceeds how long callers may expect an idle connection to stay
	// open.
	idleTimeout = 90 * time.Second
)

// JobCodec parses and encodes the calls of the job API.
type JobCodec interface {
	// Parse returns the call on an existing job that a request makes, or false.
	Parse(ctx *fasthttp.RequestCtx) (JobCall, bool)
	// ParseSubmission returns the items of a submitted job. The other fields of
	// its specification come from the route.
	ParseSubmission(ctx *fasthttp.RequestCtx) (*Submission, error)
	// WriteResults encodes the response to ReadResults.
	WriteResults(ctx *fasthttp.RequestCtx, r *Results)
}

// Config describes one gateway.
type Config struct {
	Name        string
	DataCentre  string
	Follower    *follow.Follower
	HeaderNames targetcall.HeaderNames
	Jobs        JobCodec
	// PromptParts returns the ids of the parts of a request's prompt that other
	// requests may share, in order; nil: requests name no parts.
	PromptParts func(*fasthttp.RequestHeader) []string
	// RequestTokens returns the tokens that a target may hold for a request, 0 if it
	// names none; nil: requests name none.
	RequestTokens func(*fasthttp.RequestHeader) int64
	Log           *telemetry.Log
	Metrics       metrics.Registry
	Grace         time.Duration // from the shutdown signal until the process must have exited
	// RefuseStaleAfter is the age of the last confirmation of the document beyond
	// which requests are refused. If 0, the gateway keeps serving with the
	// document it has.
	RefuseStaleAfter time.Duration
	MemoryBytes      int64 // the process is killed when it uses more; 0: unknown
	// Limits are those of the process, which its other servers share; nil: the gateway has
	// limits of its own, by MemoryBytes.
	Limits         *httplimits.Limits
	ReadinessDelay time.Duration // time the load balancer needs to see that a gateway is draining; 0: DefaultReadinessDelay
}

// Server is one gateway.
type Server struct {
	cfg          Config
	log          *telemetry.Log
	follower     *follow.Follower
	targetClient *targetcall.Client
	jobs         *jobClient
	metrics      *requestMetrics
	draining     atomic.Bool
	rejecting    atomic.Bool     // new requests are refused
	openRequests atomic.Int64    // requests from their handler's start to its end, streams to the end of their bodies
	lifetime     context.Context // of all requests
	endLifetime  context.CancelCauseFunc
	openConns    atomic.Int64 // callers' open connections
	preemptions  *preemptions
	slots        *slots
	tokens       *tokens
	suspects     *suspects
	origins      *streamOrigins
	crashes      *crashDetector
	reporter     *crashreport.Reporter
	bodies       bodyBudget
	absurdSizes  absurdSizes
	ahead        *readAhead
	limits       *httplimits.Limits
}

// New returns a gateway that is ready to serve.
func New(cfg Config) *Server {
	if cfg.ReadinessDelay == 0 {
		cfg.ReadinessDelay = DefaultReadinessDelay
	}
	s := &Server{
		cfg:          cfg,
		log:          cfg.Log,
		follower:     cfg.Follower,
		targetClient: targetcall.NewClient(cfg.HeaderNames, cfg.Follower, cfg.Metrics),
		jobs:         newJobClient(cfg.Follower),
		metrics:      newRequestMetrics(cfg.Metrics),
	}
	s.lifetime, s.endLifetime = context.WithCancelCause(context.Background())
	s.ahead = newReadAhead(cfg.MemoryBytes, cfg.Metrics)
	if s.limits = cfg.Limits; s.limits == nil {
		s.limits = httplimits.New(httplimits.Config{Name: "entry", MemoryBytes: cfg.MemoryBytes, Metrics: cfg.Metrics})
	}
	s.limits.SetBounds(s.bounds)
	cfg.Follower.Targets.ShareLimits(cfg.Name)
	s.preemptions = newPreemptions(s.jobs)
	s.slots = newSlots(cfg.Follower, s.jobs)
	s.slots.unanswered = s.noteUnanswered
	s.tokens = newTokens(cfg.Follower, s.jobs, s.metrics)
	s.origins = newStreamOrigins(cfg.Follower, s.jobs, metrics.GetOrRegisterCounter("entry.stream_reports.dropped", cfg.Metrics))
	s.reporter = crashreport.New(cfg.Follower, cfg.Log, metrics.GetOrRegisterCounter("entry.crash_reports.dropped", cfg.Metrics))
	s.suspects = newSuspects(cfg.Follower, s.reporter, cfg.Log, cfg.Metrics)
	s.crashes = newCrashDetector(cfg.Follower, s.suspects.crashed)
	return s
}

// noteUnanswered counts and logs that the broker did not answer a request for a slot. It
// is not asked for a while then, which bounds the lines.
func (s *Server) noteUnanswered(host uint64, err error) {
	s.metrics.slotsUnanswered.Inc(1)
	addr, _ := replicated.Addr(host)
	s.log.Info("broker_unanswered", "broker", addr, "not_asked_ms", ms(brokerRetryInterval), "error", err)
}

// bounds returns the limits of the document in force on one request.
func (s *Server) bounds() httplimits.Bounds {
	table := s.follower.Table()
	if table == nil {
		return httplimits.Bounds{}
	}
	limits := table.Limits()
	return httplimits.Bounds{HeadBytes: limits.MaxHeaderBytes, BodyBytes: int64(limits.MaxBodyBytes), HeadTimeout: limits.HeaderTimeout}
}

// Ready returns the reason why the gateway is not ready for requests, or nil.
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

// isStale reports whether the document is too old to serve requests.
func (s *Server) isStale() bool {
	return s.cfg.RefuseStaleAfter > 0 && s.follower.StaleFor() > s.cfg.RefuseStaleAfter
}

// Serve serves callers on l until ctx ends. The gateway then reports itself as
// not ready, keeps serving until the load balancer has noticed, lets in-flight
// requests finish and returns within the grace period.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "banyanwalk",
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		Logger:                telemetry.DiscardHTTPLogger{},
		ConnState:             s.countConns,
	}
	s.limits.Apply(server)
	p := pool.New().WithErrors().WithFirstError()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	for _, task := range []func(context.Context){s.preemptions.run, s.slots.sendReleases, s.crashes.run, s.reporter.Run, s.origins.run, s.limits.Run} {
		p.Go(func() error {
			task(background)
			return nil
		})
	}
	p.Go(func() error {
		defer stop() // not before the last request has ended
		return s.serveCallers(ctx, server, l)
	})
	return p.Wait()
}

func (s *Server) countConns(_ net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateNew:
		s.openConns.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.openConns.Add(-1)
	case fasthttp.StateActive, fasthttp.StateIdle:
	}
}
