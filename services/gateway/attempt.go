package gateway

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const eventStreamType = "text/event-stream"

// attempt is one attempt to run a request on one target. It accepts only events
// that carry its own id, in order and without gaps.
type attempt struct {
	id       rpc.AttemptID
	lease    *lease
	stream   *wire.Stream
	cancel   context.CancelFunc
	deadline time.Time // the caller's
	nextSeq  uint64    // expected sequence number
	lastKind rpc.EventKind
}

// startAttempt sends a request to the agent of the lease's target. On failure it
// releases the lease.
func (s *Server) startAttempt(ctx context.Context, r *inboundRequest, l *lease, number int, suspect bool, body []byte) (*attempt, error) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	a := &attempt{
		id: rpc.AttemptID{
			RequestID:        r.id,
			Attempt:          number,
			Target:           l.target.ID,
			AgentIncarnation: l.target.AgentIncarnation,
		},
		lease:    l,
		cancel:   cancel,
		deadline: r.deadline,
	}
	stream, err := s.cfg.Pool.Open(ctx, l.target.AgentAddr, rpc.MethodExecute)
	if err != nil {
		failure := outcome.From(err).WithOutcome(outcome.NotRun)
		a.finish(failure)
		return nil, failure
	}
	a.stream = stream
	openMsg := &rpc.ExecuteOpen{
		ID:         a.id,
		Workspace:  r.workspace,
		Model:      r.model,
		Class:      rpc.ClassOnline,
		Idempotent: r.idempotent,
		Suspect:    suspect,
		Digest:     r.digest,
		HTTPMethod: r.method,
		Path:       r.path,
		Headers:    r.headers,
		Body:       body,
		TimeoutMS:  max(1, time.Until(r.deadline).Milliseconds()),
		Revision:   s.cfg.State.View().Revision,
	}
	if err := stream.Send(openMsg); err != nil {
		failure := a.streamFailure(ctx, err)
		a.finish(failure)
		return nil, failure
	}
	return a, nil
}

// finish closes the stream and releases the slot; a nil failure means success.
func (a *attempt) finish(failure *outcome.Error) {
	if a.stream != nil {
		a.stream.Close()
	}
	a.cancel()
	a.lease.release(failure)
}

// recv returns the next event of this attempt, without duplicates and EventSent.
// It must not be called again after EventEnd.
func (a *attempt) recv(ctx context.Context) (*rpc.ExecuteEvent, *outcome.Error) {
	for {
		event := &rpc.ExecuteEvent{}
		if err := a.stream.Recv(event); err != nil {
			return nil, a.streamFailure(ctx, err)
		}
		if event.ID != a.id {
			return nil, a.invalidResponse("an answer to another attempt")
		}
		if event.Seq < a.nextSeq {
			continue // duplicate
		}
		if event.Seq > a.nextSeq {
			return nil, a.invalidResponse("a gap in the answer")
		}
		if !validSuccessor(a.lastKind, event.Kind) {
			return nil, a.invalidResponse("the parts of the answer are out of order")
		}
		a.nextSeq++
		a.lastKind = event.Kind
		if event.Kind == rpc.EventSent {
			continue
		}
		return event, nil
	}
}

// validSuccessor reports whether an event of kind next may come after last, which
// is zero before the first event.
func validSuccessor(last, next rpc.EventKind) bool {
	switch next {
	case rpc.EventSent:
		return last == 0
	case rpc.EventHead:
		return last == rpc.EventSent
	case rpc.EventData, rpc.EventEnd:
		return last == rpc.EventHead || last == rpc.EventData
	default:
		return false
	}
}

func (a *attempt) invalidResponse(message string) *outcome.Error {
	return outcome.New(outcome.BadTargetResponse, outcome.MayHaveRun, "%s", message)
}

// streamFailure converts an error of the agent stream into a failure. It is NotRun
// only if the agent said so before it sent the response head: after a broken
// connection the request may have run.
func (a *attempt) streamFailure(ctx context.Context, err error) *outcome.Error {
	var refused *outcome.Error
	if errors.As(err, &refused) {
		if a.lastKind >= rpc.EventHead && refused.Outcome == outcome.NotRun {
			return refused.WithOutcome(outcome.MayHaveRun)
		}
		return refused
	}
	if ctx.Err() != nil || !time.Now().Before(a.deadline) {
		return contextFailure(ctx, outcome.MayHaveRun)
	}
	if errors.Is(err, io.EOF) {
		return a.invalidResponse("the answer ended without its end marker")
	}
	if a.lastKind >= rpc.EventHead {
		return outcome.New(outcome.StreamBroken, outcome.MayHaveRun, "the connection to the agent broke within the answer")
	}
	return outcome.New(outcome.Unreachable, outcome.MayHaveRun, "the connection to the agent broke")
}

// readBody reads the response body, after the head, until EventEnd.
func (a *attempt) readBody(ctx context.Context) ([]byte, *outcome.Error) {
	var body []byte
	for {
		event, failure := a.recv(ctx)
		if failure != nil {
			return nil, failure
		}
		if event.Kind == rpc.EventEnd {
			return body, nil
		}
		if len(body)+len(event.Data) > maxResponseBytes {
			return nil, outcome.New(outcome.BadTargetResponse, outcome.Ran, "the answer exceeds %d bytes", maxResponseBytes)
		}
		body = append(body, event.Data...)
	}
}

// isEventStream reports whether the response head announces server-sent events.
func isEventStream(head *rpc.ExecuteEvent) bool {
	for _, h := range head.Headers {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(strings.ToLower(h.Value), eventStreamType)
		}
	}
	return false
}
