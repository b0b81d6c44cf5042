package admission

import (
	"math/bits"
	"time"
)

const (
	baselineWeight     = 8                    // a new sample moves the baseline by 1/8 of the difference
	minBaselineSamples = 16                   // samples before a baseline is used
	slowdownFactor     = 3                    // a sample this many times the baseline counts as slow
	slowdownSamples    = 3                    // consecutive slow samples that make a slowdown
	loadLevels         = 18                   // concurrency ranges, each double the previous
	minSlowdown        = 2 * time.Millisecond // a slow sample is also at least this much above the baseline
)

// slowdownDetector detects sudden increases of a target's time per unit of work,
// which show that the target turned cold without announcing it. Engines slow
// down as their batch grows, so each concurrency range has its own baseline.
type slowdownDetector struct {
	baselines        [loadLevels]baseline
	consecutiveAbove int
}

type baseline struct {
	mean    time.Duration
	samples int
}

// add records a sample taken with the given number of running requests, and
// reports whether the target has slowed down.
func (d *slowdownDetector) add(sample time.Duration, running int) bool {
	if sample <= 0 {
		return false
	}
	b := &d.baselines[min(bits.Len(uint(running)), loadLevels-1)]
	if b.samples < minBaselineSamples {
		b.samples++
		b.mean += (sample - b.mean) / time.Duration(b.samples)
		return false
	}
	if sample > slowdownFactor*b.mean && sample > b.mean+minSlowdown {
		d.consecutiveAbove++
		return d.consecutiveAbove >= slowdownSamples
	}
	d.consecutiveAbove = 0
	b.mean += (sample - b.mean) / baselineWeight
	return false
}

// reset discards the baselines.
func (d *slowdownDetector) reset() { *d = slowdownDetector{} }
