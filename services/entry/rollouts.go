package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
	"banyanwalk/core/rollout"
	"banyanwalk/infra/pause"
	"banyanwalk/services/targetcall"
)

const (
	// resumeGrantWait is how long a stream that goes on at a new version waits for a
	// grant. No pause may exceed 250 ms.
	resumeGrantWait  = 200 * time.Millisecond
	resumeGrantRetry = 40 * time.Millisecond
)

// awaitGrant pauses a stream that goes on at a version whose requests need grants, and
// reports whether to try again.
func (f *forwarding) awaitGrant(deadline time.Time) bool {
	if f.version == nil || time.Now().Add(resumeGrantRetry).After(deadline) {
		return false
	}
	gate := f.server.follower.Gate
	if gate.Bars(f.service, *f.version, true) || gate.Serves(f.service, *f.version) {
		return false
	}
	return pause.For(f.ctx, resumeGrantRetry)
}

// exchange is what is measured of the request at its present target.
type exchange struct {
	startedAt time.Time
	firstAt   time.Time // of a stream's first event
	lastAt    time.Time // and of its last one so far
	events    int
	observed  bool // it has been counted
}

// eventArrived measures an event of a stream.
func (e *exchange) eventArrived(now time.Time) {
	if e.events == 0 {
		e.firstAt = now
	}
	e.lastAt = now
	e.events++
}

// answer returns the evidence of a response that has ended.
func (e *exchange) answer(now time.Time, status int) rollout.Answer {
	a := rollout.Answer{Failed: status >= http.StatusInternalServerError, Latency: now.Sub(e.startedAt)}
	if e.events > 0 {
		a.Latency = e.firstAt.Sub(e.startedAt)
	}
	if e.events > 1 {
		a.Gap = e.lastAt.Sub(e.firstAt) / time.Duration(e.events-1)
	}
	return a
}

// noteAnswered counts the end of a response, as evidence on a rollout.
func (f *forwarding) noteAnswered() {
	if f.exchange.observed || f.target == nil || f.response == nil {
		return
	}
	f.exchange.observed = true
	f.server.follower.Gate.Observe(f.service, f.target.Version, f.call.route.Name, f.exchange.answer(time.Now(), f.response.Status))
}

// noteFailed counts a failed request, as evidence on a rollout. A request that did not
// run counts for nothing, and one whose caller has left counts only if it was slow.
func (f *forwarding) noteFailed(failure *targetcall.Failure) {
	if failure.Outcome == outcome.NotRun || f.exchange.observed {
		return
	}
	if f.ctx.Err() != nil {
		f.noteAborted()
		return
	}
	f.exchange.observed = true
	f.server.follower.Gate.Observe(f.service, f.target.Version, f.call.route.Name, rollout.Answer{Failed: true})
}

// noteAborted counts a request that was given up, as evidence on a rollout.
func (f *forwarding) noteAborted() {
	if f.exchange.observed || f.target == nil {
		return
	}
	f.exchange.observed = true
	now := time.Now()
	soFar := f.exchange.answer(now, 0)
	if f.exchange.events > 0 && !errors.Is(context.Cause(f.ctx), errCallerGone) {
		soFar.Gap = max(soFar.Gap, now.Sub(f.exchange.lastAt)) // the stream stood still until the deadline
	}
	f.server.follower.Gate.ObserveAborted(f.service, f.target.Version, f.call.route.Name, soFar)
}

// noteEnd counts the end of a stream, as evidence on a rollout.
func (f *forwarding) noteEnd(failure error) {
	switch {
	case failure == nil:
		f.noteAnswered()
	case errors.Is(failure, errCallerGone):
		f.noteAborted()
	}
}
