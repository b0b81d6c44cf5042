package gateway

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/fleet"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
)

// Defaults of Config.
const (
	DefaultDrainDelay   = 1 * time.Second
	DefaultDrainTimeout = 60 * time.Second
)

const (
	defaultRequestTimeout = 60 * time.Second
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxAttempts    = 3
	defaultRetryRatio     = 0.1
	readTimeout           = 5 * time.Minute // for one request including its body
	idleTimeout           = 2 * time.Minute // between two requests on a connection
	maxUploadBytes        = 1 << 30         // largest body on any route, including file uploads
	maxResponseBytes      = 64 << 20
	maxDiscardBytes       = 64 << 20        // of a refused request's body, read so that the caller receives the response
	discardTimeout        = 1 * time.Second // for reading a refused request's body
	maxSlotWait           = 6 * time.Second // longest wait for a free slot on a target
	overloadSlotWait      = 2 * time.Second // replaces maxSlotWait under sustained overload
	overloadAfter         = 8 * time.Second // a queue that has been non-empty for longer is overloaded
	maxSuspectsWaiting    = 16              // per target, from this gateway
	slotQueueLimit        = 2048            // waiting requests in one slot queue
	housekeepingInterval  = 10 * time.Millisecond
	retryAfterBusy        = 1 * time.Second
	retryAfterStale       = 1 * time.Second
)

// State is this process's replica of the fleet state.
type State interface {
	// View returns the latest view, which is immutable.
	View() *fleet.View
	// Fresh reports whether the view may still admit requests.
	Fresh(now time.Time) bool
}

// Control makes unary calls to the control service.
type Control interface {
	Call(ctx context.Context, method wire.Method, request, response any) error
	// CallIdempotent is Call for idempotent requests: it also retries when the outcome
	// is unknown.
	CallIdempotent(ctx context.Context, method wire.Method, request, response any) error
}

// Limiter enforces the rate and burst of each workspace.
type Limiter interface {
	// Admit takes one token of the workspace, and waits briefly for the owner of
	// the token buckets if there is none. It fails with an *outcome.Error of
	// outcome NotRun.
	Admit(ctx context.Context, workspace string) error
}

// Config configures a gateway. Zero durations mean the defaults.
type Config struct {
	Name         string // process name, unique in the fleet
	DataCentre   string
	State        State
	Control      Control
	Limiter      Limiter // nil: no limit; Serve also runs a *RateLimiter
	Pool         *wire.Pool
	Log          *telemetry.Log
	Metrics      metrics.Registry // nil: a private one
	Mounts       []Mount
	MemoryBytes  int64         // of the process, by which it bounds what requests hold; 0: unknown
	DrainDelay   time.Duration // between readyz failing and the listener closing
	DrainTimeout time.Duration // for in-flight requests, after the delay
}

func (c Config) withDefaults() Config {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.DrainDelay == 0 {
		c.DrainDelay = DefaultDrainDelay
	}
	if c.DrainTimeout == 0 {
		c.DrainTimeout = DefaultDrainTimeout
	}
	return c
}
