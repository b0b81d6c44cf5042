package telemetry

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxLatency exceeds every timeout of a request; what is longer counts as it.
	maxLatency = 10 * time.Minute
	// latencyDigits is the precision of a quantile: two digits, 20 KB a histogram.
	latencyDigits = 2
)

// NewLatency returns the histogram of latencies under a name, in milliseconds,
// with all values since the start of the process.
func NewLatency(name string, r metrics.Registry) metrics.Histogram {
	return r.GetOrRegister(name, func() metrics.Histogram { return newLatency() }).(metrics.Histogram) //nolint:errcheck // a name has one type
}

// latency is a metrics.Histogram that is an HDR histogram: quantiles are exact to
// its digits, however many values there are. It is safe for concurrent use.
type latency struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
	sum    int64
}

func newLatency() *latency {
	return &latency{values: hdrhistogram.New(1, maxLatency.Milliseconds(), latencyDigits)}
}

// Clear drops all values.
func (l *latency) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values.Reset()
	l.sum = 0
}

// Update adds a value, in milliseconds.
func (l *latency) Update(ms int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bounded := min(max(0, ms), maxLatency.Milliseconds())
	if err := l.values.RecordValue(bounded); err == nil { // it is within the bounds
		l.sum += bounded
	}
}

// Snapshot returns a copy.
func (l *latency) Snapshot() metrics.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &latency{values: hdrhistogram.Import(l.values.Export()), sum: l.sum}
}

// read returns what f finds in the values, which it must not keep.
func read[T int64 | float64](l *latency, f func(values *hdrhistogram.Histogram) T) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(l.values)
}

// Count returns how many values there are.
func (l *latency) Count() int64 { return read(l, (*hdrhistogram.Histogram).TotalCount) }

// Sum returns the sum of the values.
func (l *latency) Sum() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}

// Max returns the largest value.
func (l *latency) Max() int64 { return read(l, (*hdrhistogram.Histogram).Max) }

// Min returns the smallest value.
func (l *latency) Min() int64 { return read(l, (*hdrhistogram.Histogram).Min) }

// Mean returns the mean of the values.
func (l *latency) Mean() float64 { return read(l, (*hdrhistogram.Histogram).Mean) }

// StdDev returns the standard deviation of the values.
func (l *latency) StdDev() float64 { return read(l, (*hdrhistogram.Histogram).StdDev) }

// Variance returns the square of the standard deviation.
func (l *latency) Variance() float64 { return math.Pow(l.StdDev(), 2) }

// Percentile returns a quantile; p is between 0 and 1.
func (l *latency) Percentile(p float64) float64 {
	const percent = 100
	return float64(read(l, func(v *hdrhistogram.Histogram) int64 { return v.ValueAtQuantile(percent * p) }))
}

// Percentiles returns several quantiles.
func (l *latency) Percentiles(ps []float64) []float64 {
	found := make([]float64, len(ps))
	for i, p := range ps {
		found[i] = l.Percentile(p)
	}
	return found
}

// Sample returns no values: single ones are not kept.
func (l *latency) Sample() metrics.Sample { return metrics.NilSample{} }
