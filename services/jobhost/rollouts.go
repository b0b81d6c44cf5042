package jobhost

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
	"banyanwalk/core/rollout"
	"banyanwalk/services/targetcall"
)

// observe counts how the run ended, as evidence on a rollout. A run that the target
// refused counts for nothing, and one that this host gave up only if it was slow.
func (i *itemRun) observe(status int, err, cause error) {
	gate := i.runner.follower.Gate
	service, version := i.target.Service, i.target.Version
	var failure *targetcall.Failure
	if errors.As(err, &failure) && failure.Outcome == outcome.NotRun {
		return
	}
	latency := i.timing.Latency(time.Now())
	rejected := status >= http.StatusMultipleChoices && status < http.StatusInternalServerError
	switch {
	case err == nil || rejected && cause == nil:
		gate.Observe(service, version, i.route, rollout.Answer{Latency: latency})
	case cause == nil || errors.Is(cause, errTargetSilent):
		gate.Observe(service, version, i.route, rollout.Answer{Failed: true})
	default:
		gate.ObserveAborted(service, version, i.route, rollout.Answer{Latency: latency})
	}
}
