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

// serve answers a request for a model, which its body names, or for a plain
// service, which its route names.
func (s *Server) serve(c fiber.Ctx) error {
	r, err := s.readCall(c)
	if err != nil {
		s.metrics.refusals.Inc(1)
		return httpapi.WriteError(c, err, "")
	}
	c.Set(requestHeader, r.id)
	s.metrics.requests.Inc(1)
	s.metrics.running.Inc(1)
	s.budget.AddRequest(r.retryRatio())
	base, end := context.WithCancelCause(context.Background())
	stop := r.watchCaller(c.RequestCtx().Conn(), end)
	ctx, free := context.WithDeadline(base, r.deadline)
	cancel := func() {
		stop()
		free()
		end(nil)
	}
	if err := s.admit(ctx, r); err != nil {
		cancel()
		return s.fail(c, r, outcome.From(err))
	}
	held, stored, err := s.claim(ctx, r)
	if err != nil {
		cancel()
		return s.fail(c, r, outcome.From(err))
	}
	if stored != nil {
		cancel()
		s.metrics.finished(r.start)
		return writeStored(c, stored)
	}
	return s.answer(ctx, cancel, c, r, held)
}

// answer runs the request and answers whole or by a stream.
func (s *Server) answer(ctx context.Context, cancel func(), c fiber.Ctx, r *call, held *claim) error {
	d := s.newDispatch(r)
	found, failure := d.run(ctx)
	if failure != nil {
		cancel()
		held.fail(failure)
		return s.fail(c, r, failure)
	}
	writeHead(c, found.head.Status, found.head.Headers)
	if found.live == nil {
		cancel()
		held.store(found.head.Status, found.head.Headers, found.body)
		s.finish(r, d, nil)
		return c.Send(found.body)
	}
	p := &pump{dispatch: d, live: found.live, claim: held, head: found.head}
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		s.finish(r, d, p.run(ctx, w))
	})
}

// admit takes a token of the workspace.
func (s *Server) admit(ctx context.Context, r *call) error {
	unlimited := r.workspace == "" && r.limits.OpenRate <= 0
	if s.cfg.Limiter == nil || unlimited {
		return nil
	}
	return s.cfg.Limiter.Admit(ctx, r.workspace)
}

// fail answers with a failure.
func (s *Server) fail(c fiber.Ctx, r *call, failure *outcome.Error) error {
	s.metrics.finished(r.start)
	if failure.Outcome == outcome.NotRun {
		s.metrics.refusals.Inc(1)
	} else {
		s.metrics.failures.Inc(1)
	}
	s.cfg.Log.Info("request_failed", "request", r.id, "workspace", r.workspace, "model", r.model,
		"code", failure.Code.Name(), "outcome", failure.Outcome.String(), "duration", time.Since(r.start))
	return httpapi.WriteError(c, failure, r.id)
}

// finish records the end of an answered request.
func (s *Server) finish(r *call, d *dispatch, failure *outcome.Error) {
	s.metrics.finished(r.start)
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
