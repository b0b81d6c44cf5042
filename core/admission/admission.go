// Package admission decides which requests may run at one target at a time.
// It owns the target's concurrency limit on behalf of all gateways. The limit
// starts at the cold capacity and grows with successes. Online requests take
// precedence over batch items, which only use spare slots and are preempted
// when an online request needs one. Requests suspected of crashing targets run
// in isolation. The package reads no clock and does no I/O: callers pass the
// time in and carry out the returned actions.
package admission

import (
	"time"

	"banyanwalk/core/outcome"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

// Class is the service class of a request.
type Class uint8

// The service classes. Online always takes precedence over batch.
const (
	Online Class = iota
	Batch
)

// Request asks for a slot at the target.
type Request struct {
	ID             uint64 // unique among the requests of the gate
	Workspace      string
	Class          Class
	Isolated       bool // suspected of crashing targets: must run with no other request at the target
	NonPreemptible bool // batch item that must not be preempted because it is not idempotent
	StartBy        Time // an online request that has not started by then is refused; batch items never wait
}

// ActionKind is the step that the caller must carry out.
type ActionKind uint8

// The actions.
const (
	Start   ActionKind = iota + 1 // send the request to the target, then call Done
	Refuse                        // answer with Code; the request never ran and the gate no longer tracks it
	Preempt                       // cancel the running batch item, then call Done
)

// Action tells the caller what to do with one request.
type Action struct {
	Kind       ActionKind
	ID         uint64
	Code       outcome.Code  // of Refuse
	RetryAfter time.Duration // of Refuse; zero if retrying later does not help
}

// Ending is how a started request ended.
type Ending uint8

// The endings.
const (
	Succeeded Ending = iota + 1 // the complete response arrived
	Failed                      // the target failed the request
	Cancelled                   // the caller disconnected or the item was preempted; the target may still be running it
	NotSent                     // the target never received the request
)

// Result describes the end of a started request.
type Result struct {
	Ending      Ending
	TimePerUnit time.Duration // time per streamed token, or of the whole call if it does not stream; 0: unknown
}

// Config holds the limits of a gate. Zero fields take defaults.
type Config struct {
	QueueFactor     int           // bound on waiting online requests, per slot of warm capacity
	MaxWait         time.Duration // longest queueing time of an online request
	IsolatedMaxWait time.Duration // longest time that a suspect waits for an idle target
	BatchHoldoff    time.Duration // how long no batch item starts after an online request had to wait or to preempt one
	CancelGrace     time.Duration // how long a cancelled or failed request is assumed to occupy a cold target
	FailThreshold   int           // consecutive failures after which the target is treated as cold and probed with one request at a time
}

// Defaults of Config.
const (
	defaultQueueFactor     = 2
	defaultMaxWait         = 500 * time.Millisecond
	defaultIsolatedMaxWait = 10 * time.Second
	defaultBatchHoldoff    = 5 * time.Millisecond
	defaultCancelGrace     = 250 * time.Millisecond
	defaultFailThreshold   = 3
)

func (c Config) withDefaults() Config {
	setDefault(&c.QueueFactor, defaultQueueFactor)
	setDefault(&c.MaxWait, defaultMaxWait)
	setDefault(&c.IsolatedMaxWait, defaultIsolatedMaxWait)
	setDefault(&c.BatchHoldoff, defaultBatchHoldoff)
	setDefault(&c.CancelGrace, defaultCancelGrace)
	setDefault(&c.FailThreshold, defaultFailThreshold)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// nonPreemptibleDivisor limits non-preemptible batch items to 1/4 of the slots,
// but at least one, so that the other slots can be freed for online requests.
const nonPreemptibleDivisor = 4

// Capacity is the concurrency that a target announces.
type Capacity struct {
	Warm   int // concurrent requests
	Cold   int // concurrent requests right after the process started
	Warmup int // successful requests between the cold and the warm capacity; 0: unknown
}
