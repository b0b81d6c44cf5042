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
	// grant. No gap between two events may exceed 250 ms.
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

// answer returns the evidence of a response with the given status that ends now.
func (f *forwarding) answer(now time.Time, status int) rollout.Answer {
	return rollout.Answer{Failed: status >= http.StatusInternalServerError, Latency: f.timing.Latency(now), Gap: f.timing.MeanGap()}
}

// noteAnswered counts the end of a response, as evidence on a rollout.
func (f *forwarding) noteAnswered() {
	if f.observed || f.target == nil || f.response == nil {
		return
	}
	f.observed = true
	f.server.follower.Gate.Observe(f.service, f.target.Version, f.call.route.Name, f.answer(time.Now(), f.response.Status))
}

// noteFailed counts a failed request, as evidence on a rollout. A request that did not
// run counts for nothing, and one whose caller has left counts only if it was slow.
func (f *forwarding) noteFailed(failure *targetcall.Failure) {
	if failure.Outcome == outcome.NotRun || f.observed {
		return
	}
	if f.ctx.Err() != nil {
		f.noteAborted()
		return
	}
	f.observed = true
	f.server.follower.Gate.Observe(f.service, f.target.Version, f.call.route.Name, rollout.Answer{Failed: true})
}

// noteAborted counts a request that was given up, as evidence on a rollout.
func (f *forwarding) noteAborted() {
	if f.observed || f.target == nil {
		return
	}
	f.observed = true
	now := time.Now()
	soFar := f.answer(now, 0)
	if !errors.Is(context.Cause(f.ctx), errCallerGone) {
		soFar.Gap = max(soFar.Gap, f.timing.SilentFor(now)) // the stream stood still until the deadline
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
