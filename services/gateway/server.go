package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/outcome"
	"banyanwalk/core/retry"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/httplimits"
)

// Server is the HTTP server of one gateway.
type Server struct {
	cfg         Config
	app         *fiber.App
	targets     *targetTable
	retryBudget *retry.Budget
	metrics     *serverMetrics
	draining    atomic.Bool
	limits      *httplimits.Limits
}

// New returns a gateway that is ready to serve.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:         cfg,
		targets:     newTargetTable(cfg.DataCentre, cfg.State),
		retryBudget: retry.NewBudget(),
		metrics:     newServerMetrics(cfg.Metrics),
	}
	s.app = fiber.New(fiber.Config{
		AppName:           "banyanwalk",
		BodyLimit:         maxUploadBytes,
		StreamRequestBody: true,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		ErrorHandler:      s.handleError,
	})
	s.limits = httplimits.New(httplimits.Config{Name: "gateway.requests", MemoryBytes: cfg.MemoryBytes, RequestTimeout: readTimeout, Metrics: cfg.Metrics})
	s.limits.Apply(s.app.Server())
	s.registerRoutes()
	return s
}

func (s *Server) registerRoutes() {
	s.app.Use(s.judgeHead)
	s.app.Use(s.closeWhenDraining)
	s.app.Use(discardBody)
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.serveReady)
	s.app.Get("/v1/models", s.serveModels)
	for _, mount := range s.cfg.Mounts {
		mount.Register(s.app, s)
	}
	s.app.Post("/v1/chat/completions", s.serveRequest)
	s.app.Post("/v1/completions", s.serveRequest)
	s.app.All("/v1/services/*", s.serveRequest)
}

// App returns the HTTP application, for tests and for processes that run several
// programs.
func (s *Server) App() *fiber.App { return s.app }

// Ready returns the reason why the gateway is not ready, or nil.
func (s *Server) Ready() error {
	if s.draining.Load() {
		return errors.New("draining")
	}
	if !s.cfg.State.Fresh(time.Now()) {
		return errors.New("no confirmed state within the staleness bound")
	}
	return nil
}

// Serve accepts requests on l until ctx ends, then drains: /readyz fails at once,
// new requests are still accepted for the drain delay, so that the load balancer
// can take the gateway out of rotation, and in-flight requests finish within the
// drain timeout.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stopBackground()
	wg.Go(func() { s.housekeep(background) })
	wg.Go(func() { s.limits.Run(background) })
	if limiter, ok := s.cfg.Limiter.(*RateLimiter); ok {
		wg.Go(func() { _ = limiter.Run(background) })
	}
	serveCtx, stopServing := context.WithCancel(background)
	defer stopServing()
	cancelDrain := context.AfterFunc(ctx, func() {
		s.draining.Store(true)
		s.cfg.Log.Info("gateway_draining")
		time.AfterFunc(s.cfg.DrainDelay, stopServing)
	})
	defer cancelDrain()
	return httpapi.Serve(serveCtx, s.app, l, s.cfg.DrainTimeout)
}

// housekeep periodically assigns free slots to waiting requests and drops the load
// records of targets that have left the fleet.
func (s *Server) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.targets.maintain()
		}
	}
}

// judgeHead refuses a request by what its head says of its size.
func (s *Server) judgeHead(c fiber.Ctx) error {
	if failure := s.limits.HeadArrived(c.RequestCtx()); failure != nil {
		c.Response().Header.SetConnectionClose()
		return httpapi.WriteError(c, failure, "")
	}
	return c.Next()
}

func (s *Server) closeWhenDraining(c fiber.Ctx) error {
	err := c.Next()
	if s.draining.Load() {
		c.Response().Header.SetConnectionClose()
	}
	return err
}

// discardBody reads the rest of a refused request's body. Otherwise the connection
// of a caller that is still sending would be reset before it reads the response.
func discardBody(c fiber.Ctx) error {
	err := c.Next()
	stream := c.Request().BodyStream()
	if stream == nil || (err == nil && c.Response().StatusCode() < http.StatusBadRequest) {
		return err
	}
	conn := c.RequestCtx().Conn()
	_ = conn.SetReadDeadline(time.Now().Add(discardTimeout))
	_, readErr := io.CopyN(io.Discard, stream, maxDiscardBytes)
	_ = conn.SetReadDeadline(time.Time{})
	if !errors.Is(readErr, io.EOF) {
		c.Response().Header.SetConnectionClose()
	}
	return err
}

func (s *Server) serveReady(c fiber.Ctx) error {
	if err := s.Ready(); err != nil {
		return c.Status(http.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

// handleError responds to requests that the router itself rejects.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	var e *fiber.Error
	if errors.As(err, &e) {
		err = routerError(e)
	}
	return httpapi.WriteError(c, err, "")
}

func routerError(e *fiber.Error) error {
	switch e.Code {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return outcome.New(outcome.UnknownRoute, outcome.NotRun, "no such route")
	case http.StatusRequestEntityTooLarge:
		return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "the body is too large")
	default:
		return outcome.New(outcome.BadRequest, outcome.NotRun, "%s", e.Message)
	}
}
