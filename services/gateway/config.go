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
	readTimeout           = 5 * time.Minute // for one request with its body
	idleTimeout           = 2 * time.Minute // between two requests of a connection
	maxUploadBytes        = 1 << 30         // largest body of any route, files included
	maxAnswerBytes        = 64 << 20
	maxDiscardBytes       = 64 << 20        // read of a refused body, so that its caller gets the answer
	discardTimeout        = 1 * time.Second // the same
	maxSlotWait           = 6 * time.Second // for a free slot on a target
	overloadSlotWait      = 2 * time.Second // the same under lasting overload
	overloadAfter         = 8 * time.Second // a queue that has not been empty for so long is overloaded
	maxSuspectsWaiting    = 16              // on one target, of this gateway
	slotQueueLimit        = 2048            // requests waiting for one model
	housekeepingInterval  = 10 * time.Millisecond
	retryAfterBusy        = 1 * time.Second
	retryAfterStale       = 1 * time.Second
)

// State is the shared state of the fleet as this process sees it.
type State interface {
	// View returns the newest immutable view.
	View() *fleet.View
	// Fresh reports whether the view may still admit requests.
	Fresh(now time.Time) bool
}

// Control carries unary calls to control.
type Control interface {
	Call(ctx context.Context, method wire.Method, request, response any) error
	// CallAgain is Call for requests that may be repeated: it also tries again
	// when the outcome is unknown.
	CallAgain(ctx context.Context, method wire.Method, request, response any) error
}

// Limiter admits requests within the rate and burst of their workspace.
type Limiter interface {
	// Admit takes one token of the workspace, waiting briefly for the owner's
	// word. It fails with an *outcome.Error of outcome NotRun.
	Admit(ctx context.Context, workspace string) error
}

// Config describes one gateway. Zero durations mean the defaults.
type Config struct {
	Name         string // process name, unique in the fleet
	DataCentre   string
	State        State
	Control      Control
	Limiter      Limiter // nil: nothing is limited; Serve runs a *Limits
	Pool         *wire.Pool
	Log          *telemetry.Log
	Metrics      metrics.Registry // nil: a private one
	Mounts       []Mount
	DrainDelay   time.Duration // between readyz failing and the listener closing
	DrainTimeout time.Duration // for running requests, after the delay
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
