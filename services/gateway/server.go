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
)

// Server is one gateway.
type Server struct {
	cfg      Config
	app      *fiber.App
	targets  *targetTable
	budget   *retry.Budget
	metrics  *meters
	draining atomic.Bool
}

// New returns a gateway that is ready to serve.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:     cfg,
		targets: newTargetTable(cfg.DataCentre, cfg.State),
		budget:  retry.NewBudget(),
		metrics: newMeters(cfg.Metrics),
	}
	s.app = fiber.New(fiber.Config{
		AppName:           "banyanwalk",
		BodyLimit:         maxUploadBytes,
		StreamRequestBody: true,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		ErrorHandler:      s.handleError,
	})
	s.routes()
	return s
}

func (s *Server) routes() {
	s.app.Use(s.closeWhenDraining)
	s.app.Use(discardBody)
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.serveReady)
	s.app.Get("/v1/models", s.serveModels)
	for _, mount := range s.cfg.Mounts {
		mount.Register(s.app, s)
	}
	s.app.Post("/v1/chat/completions", s.serve)
	s.app.Post("/v1/completions", s.serve)
	s.app.All("/v1/services/*", s.serve)
}

// App returns the HTTP application, for tests and for processes that carry
// several programs.
func (s *Server) App() *fiber.App { return s.app }

// Ready returns the reason why the gateway takes no requests, or nil.
func (s *Server) Ready() error {
	if s.draining.Load() {
		return errors.New("draining")
	}
	if !s.cfg.State.Fresh(time.Now()) {
		return errors.New("no confirmed state within the staleness bound")
	}
	return nil
}

// Serve answers on l until ctx ends. Then readyz fails at once, requests are
// still taken for the drain delay, so that the balancer can notice, and the
// running ones finish within the drain timeout.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	background, end := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	defer wg.Wait()
	defer end()
	wg.Go(func() { s.housekeep(background) })
	if limits, ok := s.cfg.Limiter.(*Limits); ok {
		wg.Go(func() { _ = limits.Run(background) })
	}
	serving, stop := context.WithCancel(background)
	defer stop()
	drain := context.AfterFunc(ctx, func() {
		s.draining.Store(true)
		s.cfg.Log.Info("gateway_draining")
		time.AfterFunc(s.cfg.DrainDelay, stop)
	})
	defer drain()
	return httpapi.Serve(serving, s.app, l, s.cfg.DrainTimeout)
}

// housekeep hands free slots to waiting requests and drops what the fleet no
// longer has.
func (s *Server) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.targets.serveAll()
		}
	}
}

func (s *Server) closeWhenDraining(c fiber.Ctx) error {
	err := c.Next()
	if s.draining.Load() {
		c.Response().Header.SetConnectionClose()
	}
	return err
}

// discardBody reads what is left of the body of a refused request. A caller
// that is still sending would otherwise find its connection reset before it
// reads the answer.
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

// handleError answers what the router itself refuses.
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
