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

// streamRelay relays a stream of server-sent events to the caller and resumes a
// generation on another target when its attempt fails.
type streamRelay struct {
	dispatch *dispatch
	attempt  *attempt
	parser   eventParser
	claim    *claim // nil without an Idempotency-Key
	head     *rpc.ExecuteEvent
	recorded []byte // what was sent to the caller, stored for resends
}

// run relays the complete stream, or ends it with an error event. It returns the
// failure that ended it, or nil.
func (r *streamRelay) run(ctx context.Context, w *bufio.Writer) *outcome.Error {
	for {
		failure := r.forward(ctx, w)
		if failure == nil {
			r.attempt.finish(nil)
			r.claim.store(r.head.Status, r.head.Headers, r.recorded)
			return nil
		}
		r.attempt.finish(failure)
		if failure.Code == outcome.CallerGone {
			r.claim.fail(failure)
			return failure
		}
		failure = r.dispatch.recordFailure(r.attempt.lease, failure)
		if failure = r.resume(ctx, failure); failure != nil {
			r.claim.fail(failure)
			r.writeError(w, failure)
			return failure
		}
	}
}

// forward sends complete events to the caller until EventEnd.
func (r *streamRelay) forward(ctx context.Context, w *bufio.Writer) *outcome.Error {
	for {
		event, failure := r.attempt.recv(ctx)
		if failure != nil {
			return failure
		}
		if event.Kind == rpc.EventEnd {
			return r.finish(w)
		}
		if len(event.Data)+len(r.parser.partial) > maxResponseBytes {
			return outcome.New(outcome.BadTargetResponse, outcome.MayHaveRun, "an event exceeds %d bytes", maxResponseBytes)
		}
		complete := r.parser.feed(event.Data)
		if len(complete) == 0 {
			continue
		}
		if r.claim != nil && len(r.recorded) <= maxStoredResponse {
			r.recorded = append(r.recorded, complete...)
		}
		if err := writeAndFlush(w, complete); err != nil {
			return outcome.New(outcome.CallerGone, outcome.MayHaveRun, "the caller closed its connection")
		}
	}
}

// finish checks at EventEnd that the stream is complete: it must not end within an
// event, and a generation must have had its [DONE] event.
func (r *streamRelay) finish(w *bufio.Writer) *outcome.Error {
	if len(r.parser.partial) > 0 {
		return outcome.New(outcome.BadTargetResponse, outcome.MayHaveRun, "the stream ended within an event")
	}
	if r.dispatch.request.resumable && !r.parser.done {
		return outcome.New(outcome.StreamBroken, outcome.MayHaveRun, "the generation ended without its last event")
	}
	if err := w.Flush(); err != nil {
		return outcome.New(outcome.CallerGone, outcome.MayHaveRun, "the caller closed its connection")
	}
	return nil
}

// resume starts another attempt that continues after the tokens already sent. It
// returns the failure to report when the stream cannot be resumed.
func (r *streamRelay) resume(ctx context.Context, failure *outcome.Error) *outcome.Error {
	d := r.dispatch
	if !d.request.resumable || r.parser.done {
		return failure
	}
	if final := d.decideRetry(failure); final != nil {
		return final
	}
	d.resumeFromTokens = r.parser.tokens
	resumed, failure := d.run(ctx)
	if failure != nil {
		return failure
	}
	if resumed.stream == nil {
		return outcome.New(outcome.StreamBroken, outcome.MayHaveRun, "the generation could not be continued")
	}
	r.parser.partial = nil
	r.attempt = resumed.stream
	d.server.metrics.resumes.Inc(1)
	d.server.cfg.Log.Info("stream_resumed", "request", d.request.id, "attempt", d.attempts, "tokens", d.resumeFromTokens)
	return nil
}

// writeError sends the failure to the caller as the stream's last event.
func (r *streamRelay) writeError(w *bufio.Writer, failure *outcome.Error) {
	body, err := json.Marshal(httpapi.NewErrorBody(failure, r.dispatch.request.id))
	if err != nil {
		return
	}
	event := append([]byte("event: error\ndata: "), body...)
	_ = writeAndFlush(w, append(event, "\n\n"...))
}

func writeAndFlush(w *bufio.Writer, data []byte) error {
	if _, err := w.Write(data); err != nil {
		return err
	}
	return w.Flush()
}

// resumeBody returns the body of a generation request, which is a JSON object,
// with a field that makes the target continue after the given number of tokens.
func resumeBody(body []byte, tokens int) []byte {
	brace := 0
	for body[brace] != '{' {
		brace++
	}
	field := `{"` + resumeField + `":` + strconv.Itoa(tokens) + `,`
	resumed := make([]byte, 0, len(body)+len(field))
	resumed = append(resumed, field...)
	return append(resumed, body[brace+1:]...)
}
