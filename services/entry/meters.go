package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/outcome"
	"banyanwalk/core/quota"
	"banyanwalk/core/routing"
	"banyanwalk/infra/telemetry"
)

// requestMetrics counts the requests of a gateway.
type requestMetrics struct {
	registry         metrics.Registry
	resumed          metrics.Counter
	retried          metrics.Counter
	callersGone      metrics.Counter
	earlyReports     metrics.Counter // of what was spent, near the bound of a workspace
	tokensAsked      metrics.Counter // of the broker
	tokensUnanswered metrics.Counter
	slotsUnanswered  metrics.Counter // requests that the broker did not answer in time
	kinds            map[routing.Kind]*kindMetrics
}

// kindMetrics counts the answered requests of one kind of route.
type kindMetrics struct {
	complete  metrics.Counter   // complete responses
	truncated metrics.Counter   // responses cut off before their end
	firstByte metrics.Histogram // time to the response header, in ms
	duration  metrics.Histogram // time to the end of the response, in ms
}

func newRequestMetrics(r metrics.Registry) *requestMetrics {
	kinds := make(map[routing.Kind]*kindMetrics)
	for _, kind := range []routing.Kind{routing.Idempotent, routing.NonIdempotent, routing.Stream} {
		kinds[kind] = &kindMetrics{
			complete:  metrics.GetOrRegisterCounter("entry.answers.whole."+kind.String(), r),
			truncated: metrics.GetOrRegisterCounter("entry.answers.broken."+kind.String(), r),
			firstByte: telemetry.NewLatency("entry.first_byte_ms."+kind.String(), r),
			duration:  telemetry.NewLatency("entry.whole_answer_ms."+kind.String(), r),
		}
	}
	return &requestMetrics{
		kinds:            kinds,
		registry:         r,
		resumed:          metrics.GetOrRegisterCounter("entry.streams.resumed", r),
		retried:          metrics.GetOrRegisterCounter("entry.requests.retried", r),
		earlyReports:     metrics.GetOrRegisterCounter("entry.quota.early_reports", r),
		tokensAsked:      metrics.GetOrRegisterCounter("entry.quota.asked", r),
		tokensUnanswered: metrics.GetOrRegisterCounter("entry.quota.unanswered", r),
		slotsUnanswered:  metrics.GetOrRegisterCounter("entry.slots.unanswered", r),
		callersGone:      metrics.GetOrRegisterCounter("entry.callers.gone", r),
	}
}

// answered counts a response that has ended.
func (m *requestMetrics) answered(kind routing.Kind, duration time.Duration, complete bool) {
	counters := m.kinds[kind]
	if complete {
		counters.complete.Inc(1)
	} else {
		counters.truncated.Inc(1)
	}
	counters.duration.Update(ms(duration))
}

// refused counts a refusal by its result code.
func (m *requestMetrics) refused(code outcome.Code) {
	metrics.GetOrRegisterCounter("entry.refused."+code.Name(), m.registry).Inc(1)
}

// rateLimited counts a refusal for lack of a token by its cause.
func (m *requestMetrics) rateLimited(cause quota.Cause) {
	metrics.GetOrRegisterCounter("entry.quota.refused."+cause.String(), m.registry).Inc(1)
}

func ms(d time.Duration) int64 { return d.Milliseconds() }
