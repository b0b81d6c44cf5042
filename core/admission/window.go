package admission

// minGrowthSuccesses is the least number of successes that add one slot to the
// window of a target that announces no Warmup.
const minGrowthSuccesses = 8

// window is the concurrency limit of a target. It starts at the cold capacity
// and grows additively with successes.
type window struct {
	capacity             Capacity
	size                 int
	served               int    // successes since the last reset to cold
	successesSinceGrowth int    // successes since the last slot was added
	epoch                uint64 // number of resets to cold
	unconfirmed          bool   // the target may have restarted: limited to the cold capacity
}

func newWindow(c Capacity) window {
	c.Warm = max(1, c.Warm)
	c.Cold = min(max(1, c.Cold), c.Warm)
	return window{capacity: c, size: c.Cold}
}

// limit returns how many requests may run at the target.
func (w *window) limit() int {
	if w.unconfirmed {
		return min(w.size, w.capacity.Cold)
	}
	return w.size
}

// warm reports whether the target has warmed up. A target whose cold and warm
// capacities are equal still counts as cold until Warmup successes.
func (w *window) warm() bool {
	return !w.unconfirmed && w.size == w.capacity.Warm && w.served >= w.capacity.Warmup
}

// reset returns the window to the cold capacity.
func (w *window) reset() {
	w.size = w.capacity.Cold
	w.served = 0
	w.successesSinceGrowth = 0
	w.epoch++
	w.unconfirmed = false
}

// success counts a complete response to a request that started in epoch. Those
// from before the last reset are ignored.
func (w *window) success(epoch uint64) {
	if epoch != w.epoch || w.warm() {
		return
	}
	w.served++
	if w.capacity.Warmup > 0 {
		w.size = w.announcedSize()
		return
	}
	w.successesSinceGrowth++
	if w.successesSinceGrowth >= max(w.size, minGrowthSuccesses) {
		w.successesSinceGrowth = 0
		w.size++
	}
}

// announcedSize interpolates the size from the announced Warmup. It rounds down,
// and success counts only complete responses, so it never exceeds the limit
// that the target itself applies.
func (w *window) announcedSize() int {
	if w.served >= w.capacity.Warmup {
		return w.capacity.Warm
	}
	return w.capacity.Cold + (w.capacity.Warm-w.capacity.Cold)*w.served/w.capacity.Warmup
}

// resize applies a changed capacity and keeps the growth so far.
func (w *window) resize(c Capacity) {
	next := newWindow(c)
	if next.capacity == w.capacity {
		return
	}
	w.capacity = next.capacity
	w.size = min(max(w.size, next.capacity.Cold), next.capacity.Warm)
}
