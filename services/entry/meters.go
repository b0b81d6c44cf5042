package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/outcome"
)

const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// meters count the requests of a gateway.
type meters struct {
	registry metrics.Registry
	finished metrics.Counter
	resumed  metrics.Counter
	retried  metrics.Counter
	gone     metrics.Counter
	first    metrics.Histogram // until the first byte of an answer, in ms
	whole    metrics.Histogram // until the whole answer, in ms
}

func newMeters(r metrics.Registry) *meters {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return &meters{
		registry: r,
		finished: metrics.GetOrRegisterCounter("entry.requests.finished", r),
		resumed:  metrics.GetOrRegisterCounter("entry.streams.resumed", r),
		retried:  metrics.GetOrRegisterCounter("entry.requests.retried", r),
		gone:     metrics.GetOrRegisterCounter("entry.callers.gone", r),
		first:    histogram("entry.first_byte_ms"),
		whole:    histogram("entry.whole_answer_ms"),
	}
}

// refused counts a refusal by its result code.
func (m *meters) refused(code outcome.Code) {
	metrics.GetOrRegisterCounter("entry.refused."+code.Name(), m.registry).Inc(1)
}

func ms(d time.Duration) int64 { return d.Milliseconds() }
