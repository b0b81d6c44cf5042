package entry

import (
	"sync"
	"time"

	"banyanwalk/core/placement"
	"banyanwalk/infra/telemetry"
)

// absurdSizeLogInterval is the time between two log lines on requests that name sizes
// which cannot be true.
const absurdSizeLogInterval = time.Minute

// absurdSizes logs requests whose size counts as nothing because it cannot be true.
type absurdSizes struct {
	mu       sync.Mutex
	loggedAt time.Time
}

// check logs a request whose size counts as nothing, once each absurdSizeLogInterval.
func (a *absurdSizes) check(log *telemetry.Log, c *call, q *placement.Query) {
	if !q.IsAbsurd() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.loggedAt.IsZero() && now.Sub(a.loggedAt) < absurdSizeLogInterval {
		return
	}
	a.loggedAt = now
	log.Warn("request_size_absurd", "request", c.id, "workspace", c.workspaceName(), "tokens", q.Tokens, "target_tokens", q.Memory)
}
