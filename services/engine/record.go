package engine

import (
	"sync"
	"time"
)

// Stats holds the request counters of an engine over all its incarnations.
type Stats struct {
	Incarnation uint64         `json:"incarnation"`
	Received    map[string]int `json:"received"`  // requests received, by X-Request-Id
	Completed   map[string]int `json:"completed"` // requests answered completely
	Cancelled   map[string]int `json:"cancelled"` // requests that ended without a complete response
	Running     int            `json:"running"`   // requests in flight
	MaxRunning  int            `json:"max_running"`
	Overloads   int            `json:"overloads"` // arrivals above capacity while cold
	Crashes     int            `json:"crashes"`
	Tokens      uint64         `json:"tokens"` // tokens generated
	Orders      []OrderRecord  `json:"orders"`
}

// OrderRecord is an order that the engine accepted.
type OrderRecord struct {
	Kind  string `json:"kind"`
	Value string `json:"value"`
	Fence uint64 `json:"fence"`
}

// recorder tracks an engine's load, its warm-up and its counters. Its methods
// are safe for concurrent use.
type recorder struct {
	cfg Config

	mu                 sync.Mutex
	stats              Stats
	completedSinceCold int // completed requests since the engine last became cold
	failUntil          time.Time
	maxFence           uint64
	sampledRunning     int // requests in flight at the last load sample
}

func newRecorder(cfg Config) *recorder {
	return &recorder{cfg: cfg, stats: Stats{
		Received:  make(map[string]int),
		Completed: make(map[string]int),
		Cancelled: make(map[string]int),
	}}
}

// startIncarnation resets the load, the warm-up and the fencing number for a
// new incarnation, which starts cold.
func (r *recorder) startIncarnation(incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Incarnation = incarnation
	r.stats.Running = 0
	r.completedSinceCold = 0
	r.maxFence = 0
	r.failUntil = time.Time{}
}

// beginRequest counts a request and reports whether it overloads the engine and
// whether the engine fails it. A request to an incarnation that has ended since
// counts as received but not as load on the current incarnation.
func (r *recorder) beginRequest(id string, incarnation uint64, now time.Time) (overloaded, failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Received[id]++
	if incarnation != r.stats.Incarnation {
		return false, false
	}
	r.stats.Running++
	r.stats.MaxRunning = max(r.stats.MaxRunning, r.stats.Running)
	if now.Before(r.failUntil) {
		return false, true
	}
	if r.isWarm() || r.stats.Running <= r.currentCapacity() {
		return false, false
	}
	r.stats.Overloads++
	if r.cfg.Overload == OverloadFail {
		r.failUntil = now.Add(r.cfg.FailDuration)
		r.completedSinceCold = 0
	}
	return true, r.cfg.Overload == OverloadFail
}

// endRequest counts the end of a request. Only a request of the current
// incarnation changes its load and its warm-up.
func (r *recorder) endRequest(id string, incarnation uint64, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if completed {
		r.stats.Completed[id]++
	} else {
		r.stats.Cancelled[id]++
	}
	if incarnation != r.stats.Incarnation {
		return
	}
	r.stats.Running--
	if completed {
		r.completedSinceCold++
	}
}

func (r *recorder) isWarm() bool { return r.completedSinceCold >= r.cfg.WarmupRequests }

// currentCapacity returns the number of concurrent requests that the engine
// handles at full speed now. It grows linearly from ColdCapacity to
// WarmCapacity over WarmupRequests completed requests.
func (r *recorder) currentCapacity() int {
	if r.isWarm() {
		return r.cfg.WarmCapacity
	}
	return r.cfg.ColdCapacity + (r.cfg.WarmCapacity-r.cfg.ColdCapacity)*r.completedSinceCold/r.cfg.WarmupRequests
}

// countToken counts one generated token and returns its slowdown: the load
// divided by the current capacity, but at least 1.
func (r *recorder) countToken() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Tokens++
	return max(1, float64(r.stats.Running)/float64(r.currentCapacity()))
}

// failing reports whether requests fail because of an earlier overload.
func (r *recorder) failing(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.failUntil)
}

func (r *recorder) resetToCold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completedSinceCold = 0
}

func (r *recorder) countCrash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Crashes++
}

// sampleLoad stores the number of running requests for reportedLoad.
func (r *recorder) sampleLoad() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sampledRunning = r.stats.Running
}

// reportedLoad returns the last load sample or, without a
// LoadSampleInterval, the current load.
func (r *recorder) reportedLoad() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.LoadSampleInterval == 0 {
		return r.stats.Running
	}
	return r.sampledRunning
}

// recordOrder stores an order. With CheckFencing it returns false, and stores
// nothing, for a fencing number below the highest one seen.
func (r *recorder) recordOrder(o OrderRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.CheckFencing && o.Fence < r.maxFence {
		return false
	}
	r.maxFence = max(r.maxFence, o.Fence)
	r.stats.Orders = append(r.stats.Orders, o)
	return true
}

// snapshot returns a deep copy of the counters.
func (r *recorder) snapshot() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Received = cloneCounts(r.stats.Received)
	s.Completed = cloneCounts(r.stats.Completed)
	s.Cancelled = cloneCounts(r.stats.Cancelled)
	s.Orders = append([]OrderRecord(nil), r.stats.Orders...)
	return s
}

func cloneCounts(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

func (r *recorder) receivedCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats.Received[id]
}
