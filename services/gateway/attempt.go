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

const eventStream = "text/event-stream"

// attempt is one try of a request on one target. It hands on only events that
// belong to it, in order and without gaps.
type attempt struct {
	id      rpc.AttemptID
	lease   *lease
	stream  *wire.Stream
	cancel  context.CancelFunc
	expires time.Time // deadline of the caller
	next    uint64    // sequence number expected
	last    rpc.EventKind
}

// open sends a request to the agent of the lease's target.
func (s *Server) open(ctx context.Context, r *call, l *lease, number int, suspect bool, body []byte) (*attempt, error) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	a := &attempt{
		id: rpc.AttemptID{
			RequestID:        r.id,
			Attempt:          number,
			Target:           l.target.ID,
			AgentIncarnation: l.target.AgentIncarnation,
		},
		lease:   l,
		cancel:  cancel,
		expires: r.deadline,
	}
	stream, err := s.cfg.Pool.Open(ctx, l.target.AgentAddr, rpc.MethodExecute)
	if err != nil {
		failure := outcome.From(err).WithOutcome(outcome.NotRun)
		a.end(failure)
		return nil, failure
	}
	a.stream = stream
	open := &rpc.ExecuteOpen{
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
	if err := stream.Send(open); err != nil {
		failure := a.lost(ctx, err)
		a.end(failure)
		return nil, failure
	}
	return a, nil
}

// end releases everything; a nil failure means success.
func (a *attempt) end(failure *outcome.Error) {
	if a.stream != nil {
		a.stream.Close()
	}
	a.cancel()
	a.lease.release(failure)
}

// recv returns the next event of this attempt. After EventEnd nothing follows.
func (a *attempt) recv(ctx context.Context) (*rpc.ExecuteEvent, *outcome.Error) {
	for {
		event := &rpc.ExecuteEvent{}
		if err := a.stream.Recv(event); err != nil {
			return nil, a.lost(ctx, err)
		}
		if event.ID != a.id {
			return nil, a.broken("an answer to another attempt")
		}
		if event.Seq < a.next {
			continue // a duplicate
		}
		if event.Seq > a.next {
			return nil, a.broken("a gap in the answer")
		}
		if !follows(a.last, event.Kind) {
			return nil, a.broken("the parts of the answer are out of order")
		}
		a.next++
		a.last = event.Kind
		if event.Kind == rpc.EventSent {
			continue
		}
		return event, nil
	}
}

// follows reports whether an event of kind next may come after last.
func follows(last, next rpc.EventKind) bool {
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

func (a *attempt) broken(message string) *outcome.Error {
	return outcome.New(outcome.BadTargetAnswer, outcome.MayHaveRun, "%s", message)
}

// lost turns the end of the stream into a failure. Only the agent's own word
// makes it NotRun, and only before any part of the answer.
func (a *attempt) lost(ctx context.Context, err error) *outcome.Error {
	var refused *outcome.Error
	if errors.As(err, &refused) {
		if a.last >= rpc.EventHead && refused.Outcome == outcome.NotRun {
			return refused.WithOutcome(outcome.MayHaveRun)
		}
		return refused
	}
	if ctx.Err() != nil || !time.Now().Before(a.expires) {
		return ended(ctx, outcome.MayHaveRun)
	}
	if errors.Is(err, io.EOF) {
		return a.broken("the answer ended without its end marker")
	}
	if a.last >= rpc.EventHead {
		return outcome.New(outcome.StreamBroken, outcome.MayHaveRun, "the connection to the agent broke within the answer")
	}
	return outcome.New(outcome.Unreachable, outcome.MayHaveRun, "the connection to the agent broke")
}

// collect reads the rest of an answer after its head.
func (a *attempt) collect(ctx context.Context) ([]byte, *outcome.Error) {
	var body []byte
	for {
		event, failure := a.recv(ctx)
		if failure != nil {
			return nil, failure
		}
		if event.Kind == rpc.EventEnd {
			return body, nil
		}
		if len(body)+len(event.Data) > maxAnswerBytes {
			return nil, outcome.New(outcome.BadTargetAnswer, outcome.Ran, "the answer exceeds %d bytes", maxAnswerBytes)
		}
		body = append(body, event.Data...)
	}
}

// streams reports whether the head announces server-sent events.
func streams(head *rpc.ExecuteEvent) bool {
	for _, h := range head.Headers {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(strings.ToLower(h.Value), eventStream)
		}
	}
	return false
}
