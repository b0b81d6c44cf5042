package entry

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"banyanwalk/core/outcome"
	"banyanwalk/services/targetcall"
)

// eventStreamReader is the body of a streamed response as the HTTP server reads
// it: one whole event per Read if it fits the buffer. The events are read from the target
// as they come, also while the caller does not read. When the target breaks the
// connection, a resumable stream continues at another target after its last
// event. Any other stream ends with an error, which closes the caller's
// connection before the end of the response.
type eventStreamReader struct {
	f       *forwarding
	events  *targetcall.EventReader
	lastID  int64 // ID of the last event read
	queue   *eventQueue
	reading conc.WaitGroup // reads from the target
	unread  []byte         // rest of an event that did not fit the caller's buffer
}

// startStream hands the response to the HTTP server, which finishes the forwarding
// through Close.
func (f *forwarding) startStream(ctx *fasthttp.RequestCtx) {
	f.server.openRequests.Add(1)
	f.writeHeader(ctx)
	r := &eventStreamReader{f: f, events: targetcall.NewEventReader(f.response), lastID: f.request.LastEventID}
	caller := ctx.Conn()
	r.queue = f.server.ahead.newQueue(func() {
		f.cancel(errCallerSlow)
		_ = caller.Close() // a write to the caller may be blocked
	})
	r.reading.Go(r.readTarget)
	ctx.Response.SetBodyStream(r, -1)
}

// readTarget reads the whole response, and releases the target.
func (r *eventStreamReader) readTarget() {
	for {
		event, err := r.next()
		if err != nil {
			r.f.endTrial()
			r.f.releaseTarget()
			r.queue.end(err)
			return
		}
		r.queue.put(event.Raw)
	}
}

// Read returns the next part of the response.
func (r *eventStreamReader) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		event, err := r.queue.next()
		if err != nil {
			return 0, err
		}
		r.unread = event
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// next returns the next event, resuming at another target if needed.
func (r *eventStreamReader) next() (*targetcall.Event, error) {
	for {
		waitedSince := time.Now()
		event, err := r.events.Next()
		if err == nil {
			r.f.timing.Event(waitedSince, time.Now())
		}
		switch {
		case err == nil && event.ID > 0 && event.ID <= r.lastID:
			continue // a resuming target may repeat events already sent
		case err == nil && r.lastID > 0 && r.f.call.route.Resumable && !event.GoesOn(r.lastID):
			err = targetcall.ErrEventGap
		case err == nil:
			if event.ID > 0 {
				r.lastID = event.ID
				r.f.bindVersion()
			}
			return event, nil
		case errors.Is(err, io.EOF):
			r.f.noteEnd(nil)
			r.f.noteStatus(false)
			r.f.logFinished(nil)
			return nil, io.EOF
		}
		if failure := r.callerFailure(); failure != nil {
			r.f.noteEnd(errCallerGone)
			r.f.logFinished(failure)
			return nil, failure
		}
		if failure := r.resume(err); failure != nil {
			r.f.logFinished(failure)
			return nil, failure
		}
	}
}

// callerFailure returns the failure if the response was ended on the caller's account.
func (r *eventStreamReader) callerFailure() error {
	switch cause := context.Cause(r.f.ctx); {
	case errors.Is(cause, errCallerGone):
		r.f.server.metrics.callersGone.Inc(1)
		return errCallerGone
	case errors.Is(cause, errCallerSlow):
		return outcome.New(outcome.CallerSlow, outcome.MayHaveRun, "the caller reads too slowly, and too much is held for it")
	default:
		return nil
	}
}

// bindVersion makes the stream stay with the version of the target that has brought an
// event.
func (f *forwarding) bindVersion() {
	if f.version == nil {
		f.version = &f.target.Version
	}
}

// resume continues the stream at another target, or returns the failure that ends
// it.
func (r *eventStreamReader) resume(cause error) error {
	f := r.f
	f.recordFailure(&targetcall.Failure{Outcome: outcome.MayHaveRun, Status: f.response.Status, Reason: "stream: " + cause.Error(), Closed: targetcall.IsClosed(cause)})
	if !f.call.route.Resumable {
		return cause
	}
	if failure := f.checkRetry(outcome.MayHaveRun); failure != nil {
		return failure
	}
	f.request.LastEventID = r.lastID
	if failure := f.attempt(); failure != nil {
		return failure
	}
	if !f.isStream() {
		return errors.Newf("resumed stream was answered with status %d", f.response.Status)
	}
	f.server.metrics.resumed.Inc(1)
	f.server.log.Info("stream_resumed", "request", f.call.id, "target", f.target.ID, "version", f.target.Version, "after_event", r.lastID,
		"after_ms", ms(time.Since(f.call.started)))
	r.events = targetcall.NewEventReader(f.response)
	return nil
}

// Close is called by the HTTP server when the response has ended or the caller
// has disconnected.
func (r *eventStreamReader) Close() error {
	r.f.cancel(errCallerGone) // ends readTarget, if it still reads
	r.reading.Wait()
	r.queue.close()
	r.f.finish()
	r.f.server.openRequests.Add(-1)
	return nil
}
