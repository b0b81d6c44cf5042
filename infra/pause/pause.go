// Package pause provides the one sleep that a context can end.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, and reports whether ctx still holds. It
// does not wait when d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
