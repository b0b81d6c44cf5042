package telemetry

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxLatency exceeds every request timeout; larger values are recorded as it.
	maxLatency = 10 * time.Minute
	// significantDigits is the precision of quantiles; two digits need 20 KB a
	// histogram.
	significantDigits = 2
)

// NewLatency returns the latency histogram registered under name, and registers
// it if there is none. Values are in milliseconds; the histogram covers the whole
// run of the process.
func NewLatency(name string, r metrics.Registry) metrics.Histogram {
	return r.GetOrRegister(name, func() metrics.Histogram { return newLatencyHistogram() }).(metrics.Histogram) //nolint:errcheck // a name has one type
}

// latencyHistogram implements metrics.Histogram with an HDR histogram: quantiles
// are exact to significantDigits for any number of values. It is safe for
// concurrent use.
type latencyHistogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
	sum    int64
}

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{values: hdrhistogram.New(1, maxLatency.Milliseconds(), significantDigits)}
}

// Clear removes all values.
func (l *latencyHistogram) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values.Reset()
	l.sum = 0
}

// Update adds a value, in milliseconds.
func (l *latencyHistogram) Update(ms int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bounded := min(max(0, ms), maxLatency.Milliseconds())
	if err := l.values.RecordValue(bounded); err == nil { // never fails: the value is in range
		l.sum += bounded
	}
}

// Snapshot returns a copy that later updates do not change.
func (l *latencyHistogram) Snapshot() metrics.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &latencyHistogram{values: hdrhistogram.Import(l.values.Export()), sum: l.sum}
}

// withValues returns the result of f on the values, under the lock; f must not
// retain them.
func withValues[T int64 | float64](l *latencyHistogram, f func(values *hdrhistogram.Histogram) T) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(l.values)
}

// Count returns the number of values.
func (l *latencyHistogram) Count() int64 { return withValues(l, (*hdrhistogram.Histogram).TotalCount) }

// Sum returns the sum of the values.
func (l *latencyHistogram) Sum() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}

// Max returns the largest value.
func (l *latencyHistogram) Max() int64 { return withValues(l, (*hdrhistogram.Histogram).Max) }

// Min returns the smallest value.
func (l *latencyHistogram) Min() int64 { return withValues(l, (*hdrhistogram.Histogram).Min) }

// Mean returns the mean of the values.
func (l *latencyHistogram) Mean() float64 { return withValues(l, (*hdrhistogram.Histogram).Mean) }

// StdDev returns the standard deviation of the values.
func (l *latencyHistogram) StdDev() float64 { return withValues(l, (*hdrhistogram.Histogram).StdDev) }

// Variance returns the square of the standard deviation.
func (l *latencyHistogram) Variance() float64 { return math.Pow(l.StdDev(), 2) }

// Percentile returns the quantile p, which is between 0 and 1.
func (l *latencyHistogram) Percentile(p float64) float64 {
	const percent = 100
	return float64(withValues(l, func(v *hdrhistogram.Histogram) int64 { return v.ValueAtQuantile(percent * p) }))
}

// Percentiles returns the quantile of each of ps.
func (l *latencyHistogram) Percentiles(ps []float64) []float64 {
	quantiles := make([]float64, len(ps))
	for i, p := range ps {
		quantiles[i] = l.Percentile(p)
	}
	return quantiles
}

// Sample returns an empty sample: the histogram does not keep single values.
func (l *latencyHistogram) Sample() metrics.Sample { return metrics.NilSample{} }
