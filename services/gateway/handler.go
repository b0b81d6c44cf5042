package gateway

import (
	"bufio"
	"context"
	"time"

	"github.com/gofiber/fiber/v3"

	"banyanwalk/core/auth"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/rpc"
)

// serveRequest handles a request to a model, named in the body, or to a service,
// named by the route.
func (s *Server) serveRequest(c fiber.Ctx) error {
	r, err := s.parseRequest(c)
	if err != nil {
		s.metrics.refusals.Inc(1)
		return httpapi.WriteError(c, err, "")
	}
	c.Set(requestIDHeader, r.id)
	s.metrics.requests.Inc(1)
	s.metrics.inFlight.Inc(1)
	s.retryBudget.AddRequest(r.retryRatio())
	reqCtx, cancelCause := context.WithCancelCause(context.Background())
	stopWatch := r.watchDisconnect(c.RequestCtx().Conn(), cancelCause)
	ctx, cancelDeadline := context.WithDeadline(reqCtx, r.deadline)
	cancel := func() {
		stopWatch()
		cancelDeadline()
		cancelCause(nil)
		r.held.Release()
	}
	if err := s.admit(ctx, r); err != nil {
		cancel()
		return s.writeFailure(c, r, outcome.From(err))
	}
	idemClaim, stored, err := s.claim(ctx, r)
	if err != nil {
		cancel()
		return s.writeFailure(c, r, outcome.From(err))
	}
	if stored != nil {
		cancel()
		s.metrics.requestFinished(r.start)
		return writeStoredResponse(c, stored)
	}
	return s.respond(ctx, cancel, c, r, idemClaim)
}

// respond runs the request and writes the response, complete or as a stream.
func (s *Server) respond(ctx context.Context, cancel func(), c fiber.Ctx, r *inboundRequest, idemClaim *claim) error {
	d := s.newDispatch(r)
	resp, failure := d.run(ctx)
	if failure != nil {
		cancel()
		idemClaim.fail(failure)
		return s.writeFailure(c, r, failure)
	}
	writeHead(c, resp.head.Status, resp.head.Headers)
	if resp.stream == nil {
		cancel()
		idemClaim.store(resp.head.Status, resp.head.Headers, resp.body)
		s.recordFinished(r, d, nil)
		return c.Send(resp.body)
	}
	relay := &streamRelay{dispatch: d, attempt: resp.stream, claim: idemClaim, head: resp.head}
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		s.recordFinished(r, d, relay.run(ctx, w))
	})
}

// admit takes a rate limit token of the workspace. Requests on open routes share
// the limit of the empty workspace name, if there is one.
func (s *Server) admit(ctx context.Context, r *inboundRequest) error {
	unlimited := r.workspace == "" && r.limits.OpenRate <= 0
	if s.cfg.Limiter == nil || unlimited {
		return nil
	}
	return s.cfg.Limiter.Admit(ctx, r.workspace)
}

// writeFailure records a failed request and writes its error response.
func (s *Server) writeFailure(c fiber.Ctx, r *inboundRequest, failure *outcome.Error) error {
	s.metrics.requestFinished(r.start)
	if failure.Outcome == outcome.NotRun {
		s.metrics.refusals.Inc(1)
	} else {
		s.metrics.failures.Inc(1)
	}
	s.cfg.Log.Info("request_failed", "request", r.id, "workspace", r.workspace, "model", r.model,
		"code", failure.Code.Name(), "outcome", failure.Outcome.String(), "duration", time.Since(r.start))
	return httpapi.WriteError(c, failure, r.id)
}

// recordFinished records the end of a request whose response head was written; a
// failure then ended its stream.
func (s *Server) recordFinished(r *inboundRequest, d *dispatch, failure *outcome.Error) {
	s.metrics.requestFinished(r.start)
	if failure != nil {
		s.metrics.failures.Inc(1)
		s.cfg.Log.Info("request_failed", "request", r.id, "workspace", r.workspace, "model", r.model, "attempts", d.attempts,
			"code", failure.Code.Name(), "outcome", failure.Outcome.String(), "duration", time.Since(r.start))
		return
	}
	s.cfg.Log.Info("request_finished", "request", r.id, "workspace", r.workspace, "model", r.model,
		"attempts", d.attempts, "duration", time.Since(r.start))
}

func writeHead(c fiber.Ctx, status int, headers []rpc.Header) {
	c.Status(status)
	for _, h := range headers {
		if auth.MayReturnHeader(h.Name) {
			c.Set(h.Name, h.Value)
		}
	}
}
