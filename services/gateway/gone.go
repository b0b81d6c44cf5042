package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/netpeek"
)

const goneCheckInterval = 500 * time.Millisecond

// errCallerGone is the cause of a request's context that ended because its
// caller closed the connection.
var errCallerGone = errors.New("the caller closed its connection")

// watchCaller ends the request when its caller closes the connection, so that
// an engine doesn't work for nobody. Calls that may not be repeated and those
// whose answer is kept for resends run on. The returned function ends the
// watch.
func (r *call) watchCaller(conn net.Conn, cancel context.CancelCauseFunc) (stop func()) {
	if !r.idempotent || r.idempotencyKey != "" {
		return func() {}
	}
	return netpeek.WatchClosed(conn, goneCheckInterval, func() { cancel(errCallerGone) })
}

// ended returns why a request's context is over.
func ended(ctx context.Context, o outcome.Outcome) *outcome.Error {
	if errors.Is(context.Cause(ctx), errCallerGone) {
		return outcome.New(outcome.CallerGone, o, "the caller closed its connection")
	}
	return outcome.New(outcome.DeadlineExceeded, o, "no whole answer before the deadline")
}
