package entry

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"banyanwalk/core/outcome"
	"banyanwalk/services/targetcall"
)

// eventStreamReader is the body of a streamed answer as the HTTP server reads
// it: whole events, one Read each. When the target breaks off, a stream that
// may be resumed goes on at another one after its last event; any other ends
// with an error, which closes the caller's connection without an end mark.
type eventStreamReader struct {
	f      *forwarding
	events *targetcall.EventReader
	last   int64  // id of the event that was read last
	rest   []byte // of an event that did not fit the reader's buffer
	ended  bool
}

// startStream hands the answer to the HTTP server, which ends the forwarding.
func (f *forwarding) startStream(ctx *fasthttp.RequestCtx) {
	f.server.open.Add(1)
	f.writeHead(ctx)
	ctx.Response.SetBodyStream(&eventStreamReader{
		f:      f,
		events: targetcall.NewEventReader(f.answer),
		last:   f.request.LastEventID,
	}, -1)
}

// Read returns the next part of the answer.
func (r *eventStreamReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		event, err := r.next()
		if err != nil {
			return 0, err
		}
		r.rest = event.Raw
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// next returns the next event, from another target if need be.
func (r *eventStreamReader) next() (*targetcall.Event, error) {
	for {
		event, err := r.events.Next()
		switch {
		case err == nil && event.ID > 0 && event.ID <= r.last:
			continue // a target that resumes may repeat what is there
		case err == nil && event.ID > 0 && r.last > 0 && event.ID != r.last+1 && r.f.call.route.Resumable:
			err = targetcall.ErrEventGap
		case err == nil:
			if event.ID > 0 {
				r.last = event.ID
			}
			return event, nil
		case errors.Is(err, io.EOF):
			r.ended = true
			r.f.finished(nil)
			return nil, io.EOF
		}
		if failure := r.resume(err); failure != nil {
			r.ended = true
			r.f.finished(failure)
			return nil, failure
		}
	}
}

// resume goes on at another target. It returns the failure that ends the
// stream.
func (r *eventStreamReader) resume(cause error) error {
	f := r.f
	f.note(&targetcall.Failure{Outcome: outcome.MayHaveRun, Status: f.answer.Status, Reason: "stream: " + cause.Error()})
	if !f.call.route.Resumable {
		return cause
	}
	if failure := f.mayRepeat(outcome.MayHaveRun); failure != nil {
		return failure
	}
	f.request.LastEventID = r.last
	if failure := f.attempt(); failure != nil {
		return failure
	}
	if !f.isStream() {
		return errors.Newf("resumed stream was answered with status %d", f.answer.Status)
	}
	f.server.meters.resumed.Inc(1)
	f.server.log.Info("stream_resumed", "request", f.call.id, "target", f.target.ID, "after_event", r.last,
		"after_ms", ms(time.Since(f.call.started)))
	r.events = targetcall.NewEventReader(f.answer)
	return nil
}

// Close is called by the HTTP server when the answer is over, or its caller
// has gone.
func (r *eventStreamReader) Close() error {
	if !r.ended {
		r.f.server.meters.gone.Inc(1)
		r.f.finished(errCallerGone)
	}
	r.f.end()
	r.f.server.open.Add(-1)
	return nil
}
