// Package adminclient calls the operators' HTTP of any of several control
// hosts. After a lost answer it sends the same request, under the same request
// id, to the next host.
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
	attemptTimeout  = 2 * time.Second // of the first round over the hosts; doubles with each
	maxAttempt      = 8 * time.Second
	retryPause      = 200 * time.Millisecond
	maxDoublings    = 2
	maxAnswerBytes  = 64 << 20
	headerRequestID = "Idempotency-Key"
)

// Config describes the control hosts and the operator.
type Config struct {
	Addrs     []string // of the operators' HTTP: host:port or URLs
	Token     string
	RequestID string      // of the command; empty: a new one
	TLS       *tls.Config // nil: in the clear
	Timeout   time.Duration
}

// Client makes calls for one command. It is not safe for concurrent use.
type Client struct {
	cfg  Config
	http *fasthttp.Client
}

// UnreachableError means that no control host gave a final answer in time. The
// command may have been carried out; a resend with the same request id tells.
type UnreachableError struct {
	RequestID string
	Last      error
}

// Error names the request id to resend with.
func (e *UnreachableError) Error() string {
	return "no control host gave an answer; resend with -request-id " + e.RequestID + ": " + e.Last.Error()
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error { return e.Last }

// New returns a client. The request id is drawn here, once.
func New(cfg Config) *Client {
	if cfg.RequestID == "" {
		cfg.RequestID = uuid.NewString()
	}
	return &Client{cfg: cfg, http: &fasthttp.Client{
		TLSConfig:                     cfg.TLS,
		MaxResponseBodySize:           maxAnswerBytes,
		MaxIdemponentCallAttempts:     1,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
	}}
}

// Get reads from the first host that answers.
func (c *Client) Get(path string, out any) error {
	return c.call(fasthttp.MethodGet, path, nil, out)
}

// Post sends a command until a host gives a final answer.
func (c *Client) Post(path string, body, out any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode body")
	}
	return c.call(fasthttp.MethodPost, path, encoded, out)
}

// GetFrom reads from one host only.
func (c *Client) GetFrom(addr, path string, out any) error {
	return c.attempt(addr, fasthttp.MethodGet, path, nil, out, time.Now().Add(min(maxAttempt, c.cfg.Timeout)))
}

// Addrs returns the addresses of the control hosts.
func (c *Client) Addrs() []string { return c.cfg.Addrs }

func (c *Client) call(method, path string, body []byte, out any) error {
	deadline := time.Now().Add(c.cfg.Timeout)
	for i := 0; ; i++ {
		timeout := min(attemptTimeout<<min(i/len(c.cfg.Addrs), maxDoublings), maxAttempt)
		err := c.attempt(c.cfg.Addrs[i%len(c.cfg.Addrs)], method, path, body, out, earlier(time.Now().Add(timeout), deadline))
		if err == nil || !isTransient(err) {
			return err
		}
		if time.Now().Add(retryPause).After(deadline) {
			return &UnreachableError{RequestID: c.cfg.RequestID, Last: err}
		}
		if (i+1)%len(c.cfg.Addrs) == 0 {
			time.Sleep(retryPause)
		}
	}
}

// isTransient reports whether another host, or the same one later, may give a
// final answer to the same request.
func isTransient(err error) bool {
	var refused *outcome.Error
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Code {
	case outcome.Unreachable, outcome.NotLeader, outcome.NoQuorum, outcome.Draining,
		outcome.Overloaded, outcome.DeadlineExceeded:
		return true
	default:
		return false
	}
}

func (c *Client) attempt(addr, method, path string, body []byte, out any, deadline time.Time) error {
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
		return refusal(addr, response)
	}
	return errors.Wrapf(json.Unmarshal(response.Body(), out), "%s: answer", addr)
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

// refusal turns an error answer into an *outcome.Error.
func refusal(addr string, response *fasthttp.Response) error {
	var body httpapi.ErrorBody
	err := json.Unmarshal(response.Body(), &body)
	code, numberErr := strconv.ParseUint(body.Error.Code, 10, 16)
	if err != nil || numberErr != nil {
		return outcome.New(outcome.Unreachable, outcome.MayHaveRun, "%s: status %d: %s", addr,
			response.StatusCode(), strings.TrimSpace(string(response.Body())))
	}
	refused := outcome.New(outcome.Code(code), outcome.MayHaveRun, "%s", body.Error.Message)
	if body.Error.Outcome == outcome.NotRun.String() {
		refused.Outcome = outcome.NotRun
	}
	return refused
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
