package telemetry

import (
	"bytes"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

func TestLatencyHistogram(t *testing.T) {
	registry := metrics.NewRegistry()
	h := NewLatency("a.latency_ms", registry)
	assert.Same(t, h, NewLatency("a.latency_ms", registry))
	for ms := range int64(1000) {
		h.Update(ms)
	}
	h.Update(-5)
	h.Update(time.Hour.Milliseconds())
	assert.Equal(t, int64(1002), h.Count())
	assert.InEpsilon(t, 500, h.Percentile(0.5), 0.02)
	assert.InEpsilon(t, 990, h.Percentile(0.99), 0.02)
	assert.InEpsilon(t, maxLatency.Milliseconds(), h.Max(), 0.02)
	assert.Equal(t, int64(0), h.Min())
	assert.Equal(t, int64(999*1000/2)+maxLatency.Milliseconds(), h.Sum())
	before := h.Snapshot()
	h.Clear()
	assert.Equal(t, int64(0), h.Count())
	assert.Equal(t, int64(1002), before.Count(), "Clear does not change an earlier snapshot")
	var text bytes.Buffer
	metrics.WriteOnce(registry, &text)
	assert.Contains(t, text.String(), "a.latency_ms")
	assert.Empty(t, before.Sample().Values())
}
