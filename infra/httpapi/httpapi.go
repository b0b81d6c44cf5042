// Package httpapi holds what all HTTP servers of banyanwalk share: the JSON
// format of errors and graceful shutdown.
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

// ErrorBody is the JSON body of an error response, in the format that OpenAI
// clients parse.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail holds the result code and whether the request may have run.
type ErrorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"` // result code as text
	Code      string `json:"code"` // result code as number
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id,omitempty"`
}

// NewErrorBody returns the response body for e.
func NewErrorBody(e *outcome.Error, requestID string) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message:   e.Message,
		Type:      e.Code.Name(),
		Code:      strconv.Itoa(int(e.Code)),
		Outcome:   e.Outcome.String(),
		RequestID: requestID,
	}}
}

// WriteError writes the error response for err: status, body and, if err says
// when to retry, a Retry-After header.
func WriteError(c fiber.Ctx, err error, requestID string) error {
	e := outcome.From(err)
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, RetryAfterSeconds(e.RetryAfter))
	}
	return c.Status(e.Code.HTTPStatus()).JSON(NewErrorBody(e, requestID))
}

// RetryAfterSeconds formats d for the Retry-After header: whole seconds, rounded
// up, at least 1.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

// Serve runs app on l until ctx is cancelled, then shuts down gracefully: it
// waits up to drainTimeout for requests in flight. It returns an error if they
// take longer or if the listener closes before ctx is cancelled.
func Serve(ctx context.Context, app *fiber.App, l net.Listener, drainTimeout time.Duration) error {
	drained := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		err := app.ShutdownWithTimeout(drainTimeout)
		l.Close() // app does not know a listener that it does not serve yet
		drained <- err
	})
	err := app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	if stop() {
		if err == nil { // fasthttp returns nil for a closed listener
			err = net.ErrClosed
		}
		return errors.Wrap(err, "serve http")
	}
	return errors.Wrap(<-drained, "drain http")
}
