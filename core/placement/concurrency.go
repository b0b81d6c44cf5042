package placement

const (
	// initialLimitShare is the part of its slots that a new target is given.
	initialLimitShare = 0.5
	// onTimeRatio is the ratio of a run's duration to the expected one up to which the
	// limit may rise, and slowRatio the one above which it falls.
	onTimeRatio, slowRatio = 1.15, 1.4
	// slowDecrease is the factor by which a slow run lowers a limit, and failureDecrease
	// the one for a run that failed.
	slowDecrease, failureDecrease = 0.9, 0.5
)

// concurrencyLimit is how many requests a target runs without slowing down, as far as
// its runs have shown. It is at least one and at most the slots.
type concurrencyLimit struct {
	value float64
}

func newConcurrencyLimit(slots int) concurrencyLimit {
	return concurrencyLimit{value: max(1, float64(slots)*initialLimitShare)}
}

// observe adapts the limit after a run with fill requests at the target. ratio is the
// run's duration divided by the expected one.
func (l *concurrencyLimit) observe(fill, slots int, ratio float64) {
	switch {
	case ratio > slowRatio && float64(fill) >= l.value/2 && fill > 1:
		l.value = max(1, min(l.value, float64(fill))*slowDecrease)
	case ratio < onTimeRatio && float64(fill) >= l.value-1:
		l.value = min(float64(slots), l.value+1/l.value)
	}
}

// lower sets the limit to the number of requests that the target runs at once while
// others wait there.
func (l *concurrencyLimit) lower(running int) {
	l.value = max(1, min(l.value, float64(running)))
}

// failed lowers the limit after a run that the target failed.
func (l *concurrencyLimit) failed() { l.value = max(1, l.value*failureDecrease) }
