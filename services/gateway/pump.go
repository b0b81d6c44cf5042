package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/rpc"
)

// pump carries a stream of server-sent events to its caller and continues it
// on another target when its engine dies.
type pump struct {
	dispatch *dispatch
	live     *attempt
	parser   eventParser
	claim    *claim // nil without an Idempotency-Key
	head     *rpc.ExecuteEvent
	kept     []byte // what the caller got, for resends
}

// run delivers the stream whole, or ends it with an explicit error event. It
// returns the failure that ended it.
func (p *pump) run(ctx context.Context, w *bufio.Writer) *outcome.Error {
	for {
		failure := p.deliver(ctx, w)
		if failure == nil {
			p.live.end(nil)
			p.claim.store(p.head.Status, p.head.Headers, p.kept)
			return nil
		}
		p.live.end(failure)
		if failure.Code == outcome.CallerGone {
			p.claim.fail(failure)
			return failure
		}
		failure = p.dispatch.failed(p.live.lease, failure)
		if failure = p.resume(ctx, failure); failure != nil {
			p.claim.fail(failure)
			p.writeError(w, failure)
			return failure
		}
	}
}

// deliver hands on whole events until the end marker.
func (p *pump) deliver(ctx context.Context, w *bufio.Writer) *outcome.Error {
	for {
		event, failure := p.live.recv(ctx)
		if failure != nil {
			return failure
		}
		if event.Kind == rpc.EventEnd {
			return p.complete(w)
		}
		if len(event.Data)+len(p.parser.rest) > maxAnswerBytes {
			return outcome.New(outcome.BadTargetAnswer, outcome.MayHaveRun, "an event exceeds %d bytes", maxAnswerBytes)
		}
		whole := p.parser.add(event.Data)
		if len(whole) == 0 {
			continue
		}
		if p.claim != nil && len(p.kept) <= maxStoredAnswer {
			p.kept = append(p.kept, whole...)
		}
		if err := send(w, whole); err != nil {
			return outcome.New(outcome.CallerGone, outcome.MayHaveRun, "the caller closed its connection")
		}
	}
}

// complete checks that the stream did not end within an event.
func (p *pump) complete(w *bufio.Writer) *outcome.Error {
	if len(p.parser.rest) > 0 {
		return outcome.New(outcome.BadTargetAnswer, outcome.MayHaveRun, "the stream ended within an event")
	}
	if p.dispatch.call.resumable && !p.parser.done {
		return outcome.New(outcome.StreamBroken, outcome.MayHaveRun, "the generation ended without its last event")
	}
	if err := w.Flush(); err != nil {
		return outcome.New(outcome.CallerGone, outcome.MayHaveRun, "the caller closed its connection")
	}
	return nil
}

// resume opens another attempt from the tokens already sent. It returns the
// failure to report when that may not be done.
func (p *pump) resume(ctx context.Context, failure *outcome.Error) *outcome.Error {
	d := p.dispatch
	if !d.call.resumable || p.parser.done {
		return failure
	}
	if final := d.after(failure); final != nil {
		return final
	}
	d.resumeFrom = p.parser.tokens
	found, failure := d.run(ctx)
	if failure != nil {
		return failure
	}
	if found.live == nil {
		return outcome.New(outcome.StreamBroken, outcome.MayHaveRun, "the generation could not be continued")
	}
	p.parser.rest = nil
	p.live = found.live
	d.server.metrics.resumes.Inc(1)
	d.server.cfg.Log.Info("stream_resumed", "request", d.call.id, "attempt", d.attempts, "tokens", d.resumeFrom)
	return nil
}

// writeError ends the stream with an error event.
func (p *pump) writeError(w *bufio.Writer, failure *outcome.Error) {
	body, err := json.Marshal(httpapi.NewErrorBody(failure, p.dispatch.call.id))
	if err != nil {
		return
	}
	event := append([]byte("event: error\ndata: "), body...)
	_ = send(w, append(event, "\n\n"...))
}

func send(w *bufio.Writer, data []byte) error {
	if _, err := w.Write(data); err != nil {
		return err
	}
	return w.Flush()
}

// resumeBody returns the body of a generation request that continues after
// tokens tokens.
func resumeBody(body []byte, tokens int) []byte {
	open := 0
	for body[open] != '{' {
		open++
	}
	field := `{"` + resumeField + `":` + strconv.Itoa(tokens) + `,`
	resumed := make([]byte, 0, len(body)+len(field))
	resumed = append(resumed, field...)
	return append(resumed, body[open+1:]...)
}
