package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const histogramSize = 1028 // samples
const histogramAlpha = 0.015

// serverMetrics holds the metrics of one gateway.
type serverMetrics struct {
	requests  metrics.Counter
	refusals  metrics.Counter
	failures  metrics.Counter
	retries   metrics.Counter
	resumes   metrics.Counter
	slotWaits metrics.Counter
	inFlight  metrics.Counter
	durations metrics.Histogram // microseconds
}

func newServerMetrics(r metrics.Registry) *serverMetrics {
	sample := metrics.NewExpDecaySample(histogramSize, histogramAlpha)
	return &serverMetrics{
		requests:  metrics.NewRegisteredCounter("gateway.requests", r),
		refusals:  metrics.NewRegisteredCounter("gateway.refusals_not_run", r),
		failures:  metrics.NewRegisteredCounter("gateway.failures", r),
		retries:   metrics.NewRegisteredCounter("gateway.retries", r),
		resumes:   metrics.NewRegisteredCounter("gateway.resumed_streams", r),
		slotWaits: metrics.NewRegisteredCounter("gateway.slot_waits", r),
		inFlight:  metrics.NewRegisteredCounter("gateway.running", r),
		durations: metrics.NewRegisteredHistogram("gateway.request_us", r, sample),
	}
}

// requestFinished records the end and the duration of a request.
func (m *serverMetrics) requestFinished(start time.Time) {
	m.inFlight.Dec(1)
	m.durations.Update(time.Since(start).Microseconds())
}
