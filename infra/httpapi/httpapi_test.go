package httpapi

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
)

const testTimeout = 30 * time.Second // bounds only how long a failing test waits

// serve runs app on a local port. stop starts the graceful shutdown; ended
// receives the result of Serve.
func serve(t *testing.T, app *fiber.App, drainTimeout time.Duration) (url string, stop context.CancelFunc, ended <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { done <- Serve(ctx, app, l, drainTimeout) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return "http://" + l.Addr().String(), cancel, done
}

func TestWriteError(t *testing.T) {
	app := fiber.New()
	app.Get("/full", func(c fiber.Ctx) error {
		return WriteError(c, outcome.New(outcome.RateLimited, outcome.NotRun, "slow down").WithRetryAfter(1200*time.Millisecond), "r1")
	})
	app.Get("/other", func(c fiber.Ctx) error { return WriteError(c, errors.New("broken"), "") })
	url, _, _ := serve(t, app, time.Second)

	response, err := http.Get(url + "/full")
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	assert.Equal(t, "2", response.Header.Get("Retry-After"))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.JSONEq(t, `{"error":{"message":"slow down","type":"rate_limited","code":"203","outcome":"not_run","request_id":"r1"}}`, string(body))

	response, err = http.Get(url + "/other")
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Empty(t, response.Header.Get("Retry-After"))
	var other ErrorBody
	require.NoError(t, json.NewDecoder(response.Body).Decode(&other))
	assert.Equal(t, "may_have_run", other.Error.Outcome, "an unknown error must not claim that the request did not run")
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	cases := map[time.Duration]string{
		1:                       "1",
		time.Second:             "1",
		time.Second + 1:         "2",
		1500 * time.Millisecond: "2",
		time.Minute:             "60",
	}
	for d, want := range cases {
		assert.Equal(t, want, RetryAfterSeconds(d), d)
	}
}

// blockedRequest is a server with one request in flight, whose handler blocks
// until release is closed.
type blockedRequest struct {
	url     string
	release chan struct{}
	stop    context.CancelFunc
	ended   <-chan error
	status  chan int
}

func startBlockedRequest(t *testing.T, drainTimeout time.Duration) *blockedRequest {
	t.Helper()
	h := &blockedRequest{release: make(chan struct{}), status: make(chan int, 1)}
	entered := make(chan struct{})
	app := fiber.New()
	app.Get("/held", func(c fiber.Ctx) error {
		close(entered)
		<-h.release
		return c.SendString("done")
	})
	h.url, h.stop, h.ended = serve(t, app, drainTimeout)
	var wg conc.WaitGroup
	wg.Go(func() {
		response, err := http.Get(h.url + "/held")
		if err != nil {
			h.status <- 0
			return
		}
		response.Body.Close()
		h.status <- response.StatusCode
	})
	t.Cleanup(wg.Wait)
	<-entered
	return h
}

func TestServeWaitsForRequestsInFlight(t *testing.T) {
	h := startBlockedRequest(t, testTimeout)
	h.stop()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		if err == nil {
			conn.Close()
		}
		return err != nil
	}, testTimeout, time.Millisecond, "new connections are refused")
	select {
	case err := <-h.ended:
		t.Fatalf("Serve returned with a request in flight: %v", err)
	default:
	}
	close(h.release)
	assert.Equal(t, http.StatusOK, <-h.status)
	assert.NoError(t, <-h.ended)
}

func TestServeFailsAfterDrainTimeout(t *testing.T) {
	h := startBlockedRequest(t, time.Millisecond)
	h.stop()
	assert.ErrorIs(t, <-h.ended, context.DeadlineExceeded)
	close(h.release)
	<-h.status
}

func TestServeReportsClosedListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	assert.ErrorContains(t, Serve(t.Context(), fiber.New(), l, time.Second), "serve http")
}

// Guards against a hang when the context is cancelled while the server starts:
// the shutdown then ran before the app knew its listener.
func TestServeReturnsWhenCancelledBeforeStart(t *testing.T) {
	for range 200 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.NoError(t, Serve(ctx, fiber.New(), l, time.Second))
	}
}
