package rollout

import (
	"slices"
	"time"
)

const (
	// slowFactor is how many times the old version's median a slow response takes. Bad
	// versions are several times slower; a target on a busy machine is up to 2.5 times.
	slowFactor = 2.5
	// slowMargin is added, so that the scheduling of this process does not make a
	// response of few milliseconds slow.
	slowMargin = 5 * time.Millisecond
	// referenceSamples is how many of the newest responses the median is taken of, and
	// minReferenceSamples how many it needs.
	referenceSamples    = 32
	minReferenceSamples = 8
)

// reference is how fast the old versions have answered on one route lately.
type reference struct {
	latencies window
	gaps      window
}

func (r *reference) add(a Answer) {
	r.latencies.add(a.Latency)
	if a.Gap > 0 {
		r.gaps.add(a.Gap)
	}
}

// isSlow reports whether a response is slow by its latency or by the gaps of its events.
func (r *reference) isSlow(a Answer) bool {
	return r.latencies.isSlow(a.Latency) || a.Gap > 0 && r.gaps.isSlow(a.Gap)
}

// window holds the newest durations, at most referenceSamples, and their median.
type window struct {
	samples []time.Duration
	next    int
	median  time.Duration
}

func (w *window) add(d time.Duration) {
	if len(w.samples) < referenceSamples {
		w.samples = append(w.samples, d)
	} else {
		w.samples[w.next] = d
	}
	w.next = (w.next + 1) % referenceSamples
	sorted := slices.Sorted(slices.Values(w.samples))
	w.median = sorted[len(sorted)/2]
}

// isSlow reports whether a duration is clearly longer than the median.
func (w *window) isSlow(d time.Duration) bool {
	return len(w.samples) >= minReferenceSamples && d > time.Duration(slowFactor*float64(w.median))+slowMargin
}
