package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/auth"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/rpc"
)

const (
	idempotencyHeader = "Idempotency-Key"
	maxIdempotencyKey = 255 // bytes
	claimLease        = 10 * time.Second
	claimRenewal      = 3 * time.Second
	claimCallTimeout  = 5 * time.Second
	minJoinPause      = 100 * time.Millisecond
	maxJoinPause      = 1 * time.Second
	maxStoredAnswer   = 8 << 20 // bytes
)

// claim is a won record of an Idempotency-Key. While it is held its lease is
// renewed; store or abandon ends it.
type claim struct {
	server *Server
	call   *call
	cancel context.CancelFunc
	wg     conc.WaitGroup
	once   sync.Once
}

// readIdempotencyKey checks the header of a keyed request. Reads need none.
func (r *call) readIdempotencyKey(c fiber.Ctx, key string) error {
	name := strings.Clone(c.Get(idempotencyHeader))
	if name == "" || r.workspace == "" || r.method == fiber.MethodGet || r.method == fiber.MethodHead {
		return nil
	}
	if len(name) > maxIdempotencyKey || auth.ContainsKey(name, key) {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the Idempotency-Key is too long or carries the key")
	}
	r.idempotencyKey = name
	return nil
}

// claim wins the record of the request's Idempotency-Key, or joins the request
// that has it and returns the stored answer. Both are nil without a key.
func (s *Server) claim(ctx context.Context, r *call) (*claim, *rpc.IdempotentAnswer, error) {
	if r.idempotencyKey == "" {
		return nil, nil, nil
	}
	pause := minJoinPause
	for {
		result := &rpc.IdempotentBeginResult{}
		if err := s.cfg.Control.CallAgain(ctx, rpc.MethodIdempotentBegin, s.beginOf(r), result); err != nil {
			return nil, nil, outcome.From(err).WithOutcome(outcome.MayHaveRun)
		}
		switch result.State {
		case rpc.IdempotentWon:
			return s.hold(r), nil, nil
		case rpc.IdempotentDone:
			return nil, &result.Answer, nil
		case rpc.IdempotentMismatch:
			return nil, nil, outcome.New(outcome.IdempotencyMismatch, outcome.NotRun, "the Idempotency-Key was used with another request")
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			e := outcome.New(outcome.IdempotencyPending, outcome.MayHaveRun, "the first request with this key still runs")
			return nil, nil, e.WithRetryAfter(retryAfterBusy)
		}
		pause = min(2*pause, maxJoinPause)
	}
}

func (s *Server) beginOf(r *call) *rpc.IdempotentBegin {
	return &rpc.IdempotentBegin{
		Workspace:     r.workspace,
		Key:           r.idempotencyKey,
		RequestDigest: auth.RequestDigest(r.workspace, r.method+" "+r.path, r.body),
		Gateway:       s.cfg.Name,
		ClaimID:       r.id,
		LeaseMS:       claimLease.Milliseconds(),
		Repeatable:    r.idempotent,
	}
}

// hold renews the lease of a won record until it is ended.
func (s *Server) hold(r *call) *claim {
	ctx, cancel := context.WithCancel(context.Background())
	c := &claim{server: s, call: r, cancel: cancel}
	c.wg.Go(func() {
		ticker := time.NewTicker(claimRenewal)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				_ = s.cfg.Control.Call(ctx, rpc.MethodIdempotentBegin, s.beginOf(r), &rpc.IdempotentBeginResult{})
			}
		}
	})
	return c
}

// store keeps the answer for resends. It comes before the caller's answer, so
// that what was acknowledged can be read again.
func (c *claim) store(status int, headers []rpc.Header, body []byte) {
	if c == nil {
		return
	}
	if len(body) > maxStoredAnswer {
		c.fail(outcome.New(outcome.AlreadyAttempted, outcome.Ran, "the request ran; its answer was too large to keep"))
		return
	}
	c.end(&rpc.IdempotentEnd{Answer: rpc.IdempotentAnswer{Status: status, Headers: headers, Body: body}})
}

// fail ends the claim after a failure: what certainly did not run, or may run
// again, can be tried again; else the failure is the answer to resends.
func (c *claim) fail(failure *outcome.Error) {
	if c == nil {
		return
	}
	if failure.Outcome == outcome.NotRun || (c.call.idempotent && failure.Outcome != outcome.Ran) {
		c.end(&rpc.IdempotentEnd{Abandon: true})
		return
	}
	body, err := json.Marshal(httpapi.NewErrorBody(failure, c.call.id))
	if err != nil {
		return
	}
	headers := []rpc.Header{{Name: fiber.HeaderContentType, Value: fiber.MIMEApplicationJSON}}
	c.end(&rpc.IdempotentEnd{Answer: rpc.IdempotentAnswer{Status: failure.Code.HTTPStatus(), Headers: headers, Body: body}})
}

func (c *claim) end(end *rpc.IdempotentEnd) {
	c.once.Do(func() {
		c.cancel()
		c.wg.Wait()
		end.Workspace, end.Key, end.ClaimID = c.call.workspace, c.call.idempotencyKey, c.call.id
		ctx, cancel := context.WithTimeout(context.Background(), claimCallTimeout)
		defer cancel()
		if err := c.server.cfg.Control.CallAgain(ctx, rpc.MethodIdempotentEnd, end, &rpc.Ack{}); err != nil {
			c.server.cfg.Log.Warn("idempotent_answer_not_stored", "request", c.call.id, "error", err)
		}
	})
}

// writeStored answers a resend.
func writeStored(c fiber.Ctx, answer *rpc.IdempotentAnswer) error {
	writeHead(c, answer.Status, answer.Headers)
	return c.Send(answer.Body)
}
