package entry

import (
	"sync/atomic"
	"time"

	"banyanwalk/core/placement"
	"banyanwalk/infra/telemetry"
)

// absurdSizeLogInterval is the time between two log lines on requests that name sizes
// which cannot be true.
const absurdSizeLogInterval = time.Minute

// absurdSizes logs requests whose size counts as nothing because it cannot be true.
type absurdSizes struct {
	loggedAt atomic.Int64 // Unix nanoseconds
}

// check logs a request whose size counts as nothing, once each absurdSizeLogInterval.
func (a *absurdSizes) check(log *telemetry.Log, c *call, q *placement.Query) {
	if !q.IsAbsurd() {
		return
	}
	now, last := time.Now().UnixNano(), a.loggedAt.Load()
	if now-last >= int64(absurdSizeLogInterval) && a.loggedAt.CompareAndSwap(last, now) {
		log.Warn("request_size_absurd", "request", c.id, "workspace", c.workspaceName(), "tokens", q.Tokens, "target_tokens", q.Memory)
	}
}
