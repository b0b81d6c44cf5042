package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/outcome"
	"banyanwalk/core/routing"
	"banyanwalk/infra/telemetry"
)

// meters count the requests of a gateway.
type meters struct {
	registry metrics.Registry
	resumed  metrics.Counter
	retried  metrics.Counter
	gone     metrics.Counter
	kinds    map[routing.Kind]*kindMeters
}

// kindMeters count the answered requests of one kind of route.
type kindMeters struct {
	whole  metrics.Counter   // whole answers
	broken metrics.Counter   // answers that broke off
	first  metrics.Histogram // until the head of an answer, in ms
	took   metrics.Histogram // until the end of an answer, in ms
}

func newMeters(r metrics.Registry) *meters {
	kinds := make(map[routing.Kind]*kindMeters)
	for _, kind := range []routing.Kind{routing.Idempotent, routing.NonIdempotent, routing.Stream} {
		kinds[kind] = &kindMeters{
			whole:  metrics.GetOrRegisterCounter("entry.answers.whole."+kind.String(), r),
			broken: metrics.GetOrRegisterCounter("entry.answers.broken."+kind.String(), r),
			first:  telemetry.NewLatency("entry.first_byte_ms."+kind.String(), r),
			took:   telemetry.NewLatency("entry.whole_answer_ms."+kind.String(), r),
		}
	}
	return &meters{
		kinds:    kinds,
		registry: r,
		resumed:  metrics.GetOrRegisterCounter("entry.streams.resumed", r),
		retried:  metrics.GetOrRegisterCounter("entry.requests.retried", r),
		gone:     metrics.GetOrRegisterCounter("entry.callers.gone", r),
	}
}

// answered counts an answer that has ended.
func (m *meters) answered(kind routing.Kind, took time.Duration, whole bool) {
	of := m.kinds[kind]
	if whole {
		of.whole.Inc(1)
	} else {
		of.broken.Inc(1)
	}
	of.took.Update(ms(took))
}

// refused counts a refusal by its result code.
func (m *meters) refused(code outcome.Code) {
	metrics.GetOrRegisterCounter("entry.refused."+code.Name(), m.registry).Inc(1)
}

func ms(d time.Duration) int64 { return d.Milliseconds() }
