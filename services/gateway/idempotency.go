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
	idempotencyHeader      = "Idempotency-Key"
	maxIdempotencyKeyBytes = 255
	claimLease             = 10 * time.Second
	claimRenewInterval     = 3 * time.Second
	claimEndTimeout        = 5 * time.Second
	minClaimPollDelay      = 100 * time.Millisecond
	maxClaimPollDelay      = 1 * time.Second
	maxStoredResponse      = 8 << 20 // bytes
)

// claim is this gateway's claim on the record of an Idempotency-Key. Its lease is
// renewed until store or fail ends the claim. A nil claim does nothing.
type claim struct {
	server  *Server
	request *inboundRequest
	cancel  context.CancelFunc
	wg      conc.WaitGroup
	once    sync.Once
}

// readIdempotencyKey reads and checks the Idempotency-Key. It is ignored for GET
// and HEAD and on requests without a workspace.
func (r *inboundRequest) readIdempotencyKey(c fiber.Ctx, key string) error {
	name := strings.Clone(c.Get(idempotencyHeader))
	if name == "" || r.workspace == "" || r.method == fiber.MethodGet || r.method == fiber.MethodHead {
		return nil
	}
	if len(name) > maxIdempotencyKeyBytes || auth.ContainsKey(name, key) {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the Idempotency-Key is too long or carries the key")
	}
	r.idempotencyKey = name
	return nil
}

// claim claims the record of the request's Idempotency-Key. If another request
// holds the claim, it polls until that one has ended and returns its stored
// response. Both results are nil for a request without an Idempotency-Key.
func (s *Server) claim(ctx context.Context, r *inboundRequest) (*claim, *rpc.StoredResponse, error) {
	if r.idempotencyKey == "" {
		return nil, nil, nil
	}
	delay := minClaimPollDelay
	for {
		result := &rpc.IdempotentBeginResponse{}
		if err := s.cfg.Control.CallIdempotent(ctx, rpc.MethodIdempotentBegin, s.newClaimRequest(r), result); err != nil {
			return nil, nil, outcome.From(err).WithOutcome(outcome.MayHaveRun)
		}
		switch result.State {
		case rpc.IdempotentClaimed:
			return s.startRenewal(r), nil, nil
		case rpc.IdempotentDone:
			return nil, &result.Response, nil
		case rpc.IdempotentMismatch:
			return nil, nil, outcome.New(outcome.IdempotencyMismatch, outcome.NotRun, "the Idempotency-Key was used with another request")
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			e := outcome.New(outcome.IdempotencyPending, outcome.MayHaveRun, "the first request with this key still runs")
			return nil, nil, e.WithRetryAfter(retryAfterBusy)
		}
		delay = min(2*delay, maxClaimPollDelay)
	}
}

func (s *Server) newClaimRequest(r *inboundRequest) *rpc.IdempotentBegin {
	return &rpc.IdempotentBegin{
		Workspace:     r.workspace,
		Key:           r.idempotencyKey,
		RequestDigest: auth.RequestDigest(r.workspace, r.method+" "+r.path, r.body),
		Gateway:       s.cfg.Name,
		ClaimID:       r.id,
		LeaseMS:       claimLease.Milliseconds(),
		Idempotent:    r.idempotent,
	}
}

// startRenewal returns the claim of a request and renews its lease in the
// background until the claim ends.
func (s *Server) startRenewal(r *inboundRequest) *claim {
	ctx, cancel := context.WithCancel(context.Background())
	c := &claim{server: s, request: r, cancel: cancel}
	c.wg.Go(func() {
		ticker := time.NewTicker(claimRenewInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				_ = s.cfg.Control.Call(ctx, rpc.MethodIdempotentBegin, s.newClaimRequest(r), &rpc.IdempotentBeginResponse{})
			}
		}
	})
	return c
}

// store ends the claim and stores the response for resends. It is called before
// the response is completed to the caller, so that a resend gets any response
// that a caller has received.
func (c *claim) store(status int, headers []rpc.Header, body []byte) {
	if c == nil {
		return
	}
	if len(body) > maxStoredResponse {
		c.fail(outcome.New(outcome.AlreadyAttempted, outcome.Ran, "the request ran; its answer was too large to keep"))
		return
	}
	c.end(&rpc.IdempotentEnd{Response: rpc.StoredResponse{Status: status, Headers: headers, Body: body}})
}

// fail ends the claim after a failure. A request that did not run, or is
// idempotent and not known to have run, is abandoned, so that a resend runs it;
// otherwise the failure is stored as the response to resends.
func (c *claim) fail(failure *outcome.Error) {
	if c == nil {
		return
	}
	if failure.Outcome == outcome.NotRun || (c.request.idempotent && failure.Outcome != outcome.Ran) {
		c.end(&rpc.IdempotentEnd{Abandon: true})
		return
	}
	body, err := json.Marshal(httpapi.NewErrorBody(failure, c.request.id))
	if err != nil {
		return
	}
	headers := []rpc.Header{{Name: fiber.HeaderContentType, Value: fiber.MIMEApplicationJSON}}
	c.end(&rpc.IdempotentEnd{Response: rpc.StoredResponse{Status: failure.Code.HTTPStatus(), Headers: headers, Body: body}})
}

func (c *claim) end(msg *rpc.IdempotentEnd) {
	c.once.Do(func() {
		c.cancel()
		c.wg.Wait()
		msg.Workspace, msg.Key, msg.ClaimID = c.request.workspace, c.request.idempotencyKey, c.request.id
		ctx, cancel := context.WithTimeout(context.Background(), claimEndTimeout)
		defer cancel()
		if err := c.server.cfg.Control.CallIdempotent(ctx, rpc.MethodIdempotentEnd, msg, &rpc.Ack{}); err != nil {
			c.server.cfg.Log.Warn("idempotent_answer_not_stored", "request", c.request.id, "error", err)
		}
	})
}

// writeStoredResponse writes the stored response to a resend.
func writeStoredResponse(c fiber.Ctx, response *rpc.StoredResponse) error {
	writeHead(c, response.Status, response.Headers)
	return c.Send(response.Body)
}
