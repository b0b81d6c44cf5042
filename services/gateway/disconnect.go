package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/netpeek"
)

const disconnectCheckInterval = 500 * time.Millisecond

// errCallerGone is the cancellation cause of a request's context when the caller
// has closed the connection.
var errCallerGone = errors.New("the caller closed its connection")

// watchDisconnect cancels the request when its caller closes the connection, so
// that no engine generates a response that nobody reads. Requests that are not
// idempotent and those whose response is stored for resends keep running. The
// returned function stops the watch.
func (r *inboundRequest) watchDisconnect(conn net.Conn, cancel context.CancelCauseFunc) (stop func()) {
	if !r.idempotent || r.idempotencyKey != "" {
		return func() {}
	}
	return netpeek.WatchClosed(conn, disconnectCheckInterval, func() { cancel(errCallerGone) })
}

// contextFailure returns the failure for a request's context that has ended: the
// caller disconnected or the deadline passed.
func contextFailure(ctx context.Context, o outcome.Outcome) *outcome.Error {
	if errors.Is(context.Cause(ctx), errCallerGone) {
		return outcome.New(outcome.CallerGone, o, "the caller closed its connection")
	}
	return outcome.New(outcome.DeadlineExceeded, o, "no whole answer before the deadline")
}
