// Package adminclient calls the admin HTTP API of the control hosts. If a host
// gives no final response, it sends the same request with the same request id to
// the next host; the id makes the retry idempotent.
package adminclient

import (
	"crypto/tls"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/services/control"
)

const (
	firstAttemptTimeout = 2 * time.Second // in the first round over the hosts; doubles with each round
	maxAttemptTimeout   = 8 * time.Second
	retryDelay          = 200 * time.Millisecond
	maxTimeoutDoublings = 2
	maxResponseBytes    = 64 << 20
	headerRequestID     = "Idempotency-Key"
)

// Config configures a Client.
type Config struct {
	Addrs     []string // of the admin HTTP API: host:port or URLs
	Token     string
	RequestID string        // idempotency key of the command; empty: a new random one
	TLS       *tls.Config   // nil: plain HTTP
	Timeout   time.Duration // of a call with all its retries
}

// Client makes the calls of one command, all with the same request id. It is not
// safe for concurrent use.
type Client struct {
	cfg  Config
	http *fasthttp.Client
}

// UnreachableError means that no control host gave a final response in time. The
// command may have been executed; sending it again with the same request id
// tells whether it was, and does not execute it twice.
type UnreachableError struct {
	RequestID string
	Last      error
}

// Error returns a message that contains the request id to resend with.
func (e *UnreachableError) Error() string {
	return "no control host gave an answer; resend with -request-id " + e.RequestID + ": " + e.Last.Error()
}

// Unwrap returns the error of the last attempt.
func (e *UnreachableError) Unwrap() error { return e.Last }

// New returns a client. It generates the request id if cfg has none.
func New(cfg Config) *Client {
	if cfg.RequestID == "" {
		cfg.RequestID = uuid.NewString()
	}
	return &Client{cfg: cfg, http: &fasthttp.Client{
		TLSConfig:                     cfg.TLS,
		MaxResponseBodySize:           maxResponseBytes,
		MaxIdemponentCallAttempts:     1,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
	}}
}

// Get sends a read request to the hosts in turn until one gives a final response.
func (c *Client) Get(path string, out any) error {
	return c.call(fasthttp.MethodGet, path, nil, out)
}

// Post sends a command to the hosts in turn until one gives a final response.
func (c *Client) Post(path string, body, out any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode body")
	}
	return c.call(fasthttp.MethodPost, path, encoded, out)
}

// GetFrom sends a read request to one host only, without retries.
func (c *Client) GetFrom(addr, path string, out any) error {
	return c.attemptOnce(addr, fasthttp.MethodGet, path, nil, out, time.Now().Add(min(maxAttemptTimeout, c.cfg.Timeout)))
}

// Addrs returns the addresses of the control hosts.
func (c *Client) Addrs() []string { return c.cfg.Addrs }

func (c *Client) call(method, path string, body []byte, out any) error {
	deadline := time.Now().Add(c.cfg.Timeout)
	for i := 0; ; i++ {
		timeout := min(firstAttemptTimeout<<min(i/len(c.cfg.Addrs), maxTimeoutDoublings), maxAttemptTimeout)
		err := c.attemptOnce(c.cfg.Addrs[i%len(c.cfg.Addrs)], method, path, body, out, earlier(time.Now().Add(timeout), deadline))
		if err == nil || !isTransient(err) {
			return err
		}
		if time.Now().Add(retryDelay).After(deadline) {
			return &UnreachableError{RequestID: c.cfg.RequestID, Last: err}
		}
		if (i+1)%len(c.cfg.Addrs) == 0 {
			time.Sleep(retryDelay)
		}
	}
}

// isTransient reports whether a retry of the request, on another host or later on
// the same one, may get a final response.
func isTransient(err error) bool {
	var apiErr *outcome.Error
	if !errors.As(err, &apiErr) {
		return false
	}
	switch apiErr.Code {
	case outcome.Unreachable, outcome.NotLeader, outcome.NoQuorum, outcome.Draining,
		outcome.Overloaded, outcome.DeadlineExceeded:
		return true
	default:
		return false
	}
}

func (c *Client) attemptOnce(addr, method, path string, body []byte, out any, deadline time.Time) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.baseURL(addr) + control.AdminPrefix + path)
	request.Header.SetMethod(method)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.cfg.Token)
	request.Header.Set(headerRequestID, c.cfg.RequestID)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return outcome.New(outcome.Unreachable, outcome.MayHaveRun, "%s: %v", addr, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return responseError(addr, response)
	}
	return errors.Wrapf(json.Unmarshal(response.Body(), out), "%s: decode response", addr)
}

func (c *Client) baseURL(addr string) string {
	switch {
	case strings.Contains(addr, "://"):
		return strings.TrimSuffix(addr, "/")
	case c.cfg.TLS != nil:
		return "https://" + addr
	default:
		return "http://" + addr
	}
}

// responseError converts an error response to an *outcome.Error.
func responseError(addr string, response *fasthttp.Response) error {
	var body httpapi.ErrorBody
	err := json.Unmarshal(response.Body(), &body)
	code, parseErr := strconv.ParseUint(body.Error.Code, 10, 16)
	if err != nil || parseErr != nil {
		return outcome.New(outcome.Unreachable, outcome.MayHaveRun, "%s: status %d: %s", addr,
			response.StatusCode(), strings.TrimSpace(string(response.Body())))
	}
	apiErr := outcome.New(outcome.Code(code), outcome.MayHaveRun, "%s", body.Error.Message)
	if body.Error.Outcome == outcome.NotRun.String() {
		apiErr.Outcome = outcome.NotRun
	}
	return apiErr
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
