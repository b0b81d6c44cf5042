// Package httpapi holds what every HTTP listener of banyanwalk shares: the
// error shape and a server loop that drains on shutdown.
package httpapi

import (
	"context"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"banyanwalk/core/outcome"
)

// ErrorBody is the JSON answer to a failed call, in the shape that OpenAI
// clients parse.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail carries the numbered code and the outcome.
type ErrorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"` // name of the result code
	Code      string `json:"code"` // number of the result code
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id,omitempty"`
}

// Body returns the JSON shape of e.
func Body(e *outcome.Error, requestID string) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message:   e.Message,
		Type:      e.Code.Name(),
		Code:      strconv.Itoa(int(e.Code)),
		Outcome:   e.Outcome.String(),
		RequestID: requestID,
	}}
}

// WriteError answers with err's status, body and, where waiting helps,
// Retry-After in whole seconds, rounded up.
func WriteError(c fiber.Ctx, err error, requestID string) error {
	e := outcome.From(err)
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, RetryAfterSeconds(e.RetryAfter))
	}
	return c.Status(e.Code.HTTPStatus()).JSON(Body(e, requestID))
}

// RetryAfterSeconds formats d for the Retry-After header, at least 1.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

// Serve runs app on l until ctx ends, then waits up to drainTimeout for
// running requests. A listener that ends by itself is an error.
func Serve(ctx context.Context, app *fiber.App, l net.Listener, drainTimeout time.Duration) error {
	drained := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		err := app.ShutdownWithTimeout(drainTimeout)
		l.Close() // the shutdown misses a listener that is not served yet
		drained <- err
	})
	err := app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	if stop() {
		if err == nil { // fasthttp takes a closed listener for a regular end
			err = net.ErrClosed
		}
		return errors.Wrap(err, "serve http")
	}
	return errors.Wrap(<-drained, "drain http")
}
