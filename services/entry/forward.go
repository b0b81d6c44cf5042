package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/netpeek"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/targetcall"
)

const (
	// goneCheck is the pause between two looks whether the caller has left.
	goneCheck = 200 * time.Millisecond
	// maxAnswerBytes bounds an answer that is passed on as a whole.
	maxAnswerBytes = 32 << 20
	// maxRefusals bounds the targets that may refuse one request.
	maxRefusals = 6
	// noTargetRetry is when a caller may come back that no target could take;
	// slots get free every 100 ms.
	noTargetRetry = 300 * time.Millisecond
	eventStream   = "text/event-stream"
)

var errCallerGone = errors.New("the caller closed its connection")

// forwarding is one request on its way through targets.
type forwarding struct {
	server  *Server
	call    *call
	request *targetcall.Request
	service string
	tried   map[string]bool
	runs    int // targets that may have run the request
	refused int // targets that did not run it
	ctx     context.Context
	cancel  context.CancelCauseFunc
	stop    func()
	target  *roster.Record // that has the request; nil: none
	sent    time.Duration  // from the start until the request went to its last target
	first   time.Duration  // from the start until the head of the answer was there
	slot    *slot          // at target; nil: none
	failed  bool           // the target broke off
	answer  *targetcall.Response
}

// forward carries a request to a target and its answer back.
func (s *Server) forward(ctx *fasthttp.RequestCtx, c *call) {
	f := &forwarding{
		server:  s,
		call:    c,
		request: s.request(ctx, c),
		tried:   make(map[string]bool),
	}
	f.service = c.route.Pick(fraction(c.id))
	bounded, free := context.WithDeadline(context.Background(), c.deadline)
	var cancel context.CancelCauseFunc
	f.ctx, cancel = context.WithCancelCause(bounded)
	f.cancel = func(cause error) { cancel(cause); free() }
	f.stop = netpeek.WatchClosed(ctx.Conn(), goneCheck, func() { f.cancel(errCallerGone) })
	if failure := f.run(ctx); failure != nil {
		f.end()
		if f.runs == 0 && f.refused == 0 {
			s.follower.Buckets.Return(c.workspaceName())
		}
		s.refuse(ctx, c, failure)
	}
}

// end lets go of everything that the request holds.
func (f *forwarding) end() {
	f.stop()
	f.leave()
	f.cancel(nil)
}

// leave ends the exchange with the target, if there is one.
func (f *forwarding) leave() {
	if f.answer != nil {
		f.answer.Close()
		f.answer = nil
	}
	if f.target != nil {
		f.server.slots.release(f.slot, f.failed)
		f.target, f.slot, f.failed = nil, nil, false
	}
}

// run finds an answer and passes it on. A stream goes on after run has
// returned; it ends the forwarding itself.
func (f *forwarding) run(ctx *fasthttp.RequestCtx) *outcome.Error {
	for {
		if failure := f.attempt(); failure != nil {
			return failure
		}
		if f.isStream() {
			f.startStream(ctx)
			return nil
		}
		body, err := io.ReadAll(io.LimitReader(f.answer, maxAnswerBytes+1))
		if err == nil && len(body) <= maxAnswerBytes {
			if f.repeats(f.answer.Status) {
				f.tried[f.target.ID] = true
				f.leave()
				continue
			}
			f.passWhole(ctx, body)
			return nil
		}
		f.note(&targetcall.Failure{Outcome: outcome.MayHaveRun, Status: f.answer.Status, Reason: "answer broke off"})
		if failure := f.mayRepeat(outcome.MayHaveRun); failure != nil {
			return failure
		}
	}
}

// isStream reports whether the answer is passed on event by event.
func (f *forwarding) isStream() bool {
	kind, _, _ := strings.Cut(f.answer.Header.Get("Content-Type"), ";")
	return strings.TrimSpace(kind) == eventStream && f.answer.Status == http.StatusOK
}

// repeats reports whether a failure of the target itself is worth another
// target.
func (f *forwarding) repeats(status int) bool {
	if status != http.StatusInternalServerError || !f.call.route.Repeatable() || f.runs >= f.call.route.MaxAttempts {
		return false
	}
	f.server.meters.retried.Inc(1)
	return true
}

// passWhole answers with a whole answer.
func (f *forwarding) passWhole(ctx *fasthttp.RequestCtx, body []byte) {
	f.writeHead(ctx)
	ctx.SetBody(body)
	f.finished(nil)
	f.end()
}

func (f *forwarding) writeHead(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(f.answer.Status)
	connection := f.answer.Header.Get("Connection")
	for name, values := range f.answer.Header {
		if targetcall.IsHopByHop(name, connection) {
			continue
		}
		for _, value := range values {
			ctx.Response.Header.Add(name, value)
		}
	}
	f.first = time.Since(f.call.started)
	f.server.meters.kinds[f.call.route.Kind].first.Update(ms(f.first))
}

// finished logs the end of an answered request.
func (f *forwarding) finished(failure error) {
	s := f.server
	took := time.Since(f.call.started)
	s.meters.answered(f.call.route.Kind, took, failure == nil)
	target, status, fill := "", 0, 0
	if f.target != nil {
		target, fill = f.target.ID, f.slot.total
	}
	if f.answer != nil {
		status = f.answer.Status
	}
	if failure == nil {
		s.follower.Targets.Succeeded(target)
	}
	s.log.Info("request_finished", "request", f.call.id, "route", f.call.route.Name, "workspace", f.call.workspaceName(),
		"document", f.call.table.Version(), "target", target, "status", status, "runs", f.runs, "refused", f.refused,
		"fill", fill, "sent_ms", ms(f.sent), "first_ms", ms(f.first), "after_ms", ms(took), "error", failure)
}

// attempt sends the request to one target after another until one answers.
func (f *forwarding) attempt() *outcome.Error {
	for {
		if failure := f.choose(); failure != nil {
			return failure
		}
		answer, err := f.server.caller.Do(f.ctx, f.target, f.request)
		if err == nil {
			f.runs++
			f.answer = answer
			return nil
		}
		var failure *targetcall.Failure
		if !errors.As(err, &failure) {
			failure = &targetcall.Failure{Outcome: outcome.MayHaveRun, Reason: err.Error()}
		}
		if failure.Outcome == outcome.NotRun {
			f.refused++
		} else {
			f.runs++
		}
		f.note(failure)
		if final := f.mayRepeat(failure.Outcome); final != nil {
			return final
		}
	}
}

// choose gets a place at a target that can take the request.
func (f *forwarding) choose() *outcome.Error {
	s := f.server
	service := f.call.table.Service(f.service)
	query := placement.Query{Service: f.service, Exclude: f.tried}
	if service != nil {
		query.WarmupPerSecond = service.WarmupPerSecond
	}
	got, failure := s.place(f.ctx, f.call, service, query)
	f.sent = time.Since(f.call.started)
	if failure != nil {
		return failure.WithOutcome(f.outcomeSoFar())
	}
	if got.full {
		s.yields.ask(got.target.ID)
	}
	f.slot, f.target = got, got.target
	return nil
}

// place returns a place for a request. Only model engines are shared with
// batch items, so that the others need no broker.
func (s *Server) place(ctx context.Context, c *call, service *routing.Service, q placement.Query) (*slot, *outcome.Error) {
	if service == nil || service.Slots == 0 {
		target, _ := s.follower.Targets.Acquire(time.Now(), q)
		if target == nil {
			return nil, outcome.New(outcome.NoTarget, outcome.NotRun, "no target of the service takes requests").WithRetryAfter(noTargetRetry)
		}
		return &slot{target: target, total: s.follower.Targets.Total(target.ID)}, nil
	}
	request := &rpc.SlotRequest{
		DataCentre: s.cfg.DataCentre,
		LeftMS:     time.Until(c.deadline).Milliseconds(),
		Returning:  c.returning,
	}
	return s.slots.acquire(ctx, request, q)
}

// outcomeSoFar is what is known of the request after the targets tried.
func (f *forwarding) outcomeSoFar() outcome.Outcome {
	if f.runs > 0 {
		return outcome.MayHaveRun
	}
	return outcome.NotRun
}

// note logs a failed attempt, avoids its target for a while and leaves it.
func (f *forwarding) note(failure *targetcall.Failure) {
	s := f.server
	f.tried[f.target.ID] = true
	if !failure.IsBusy() && f.ctx.Err() == nil {
		f.failed = true
		s.follower.Targets.Failed(time.Now(), f.target.ID)
	}
	s.log.Info("attempt_failed", "request", f.call.id, "target", f.target.ID, "addr", f.target.Addr, "outcome", failure.Outcome.String(),
		"status", failure.Status, "runs", f.runs, "refused", f.refused, "after_ms", ms(time.Since(f.call.started)), "reason", failure.Reason)
	f.leave()
}

// mayRepeat returns nil when the request may go to another target, or the
// failure to answer with.
func (f *forwarding) mayRepeat(last outcome.Outcome) *outcome.Error {
	switch {
	case errors.Is(context.Cause(f.ctx), errCallerGone):
		f.server.meters.gone.Inc(1)
		return outcome.New(outcome.CallerGone, f.outcomeSoFar(), "the caller closed its connection")
	case f.ctx.Err() != nil:
		return outcome.New(outcome.DeadlineExceeded, f.outcomeSoFar(), "no answer in time")
	case last == outcome.NotRun && f.refused < maxRefusals:
		return nil
	case last == outcome.NotRun:
		return outcome.New(outcome.TargetBusy, f.outcomeSoFar(), "%d targets refused", f.refused).WithRetryAfter(noTargetRetry)
	case f.call.route.Repeatable() && f.runs < f.call.route.MaxAttempts:
		f.server.meters.retried.Inc(1)
		return nil
	default:
		return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "the target broke off")
	}
}
