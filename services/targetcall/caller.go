package targetcall

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/outcome"
	"banyanwalk/core/roster"
	"banyanwalk/infra/targetconn"
)

const (
	// maxIdleConns bounds the idle connections to one target.
	maxIdleConns = 16
	// idleMargin is how long before the target's announced keep-alive timeout
	// an idle connection is closed, so that no request meets a closing one.
	idleMargin = 400 * time.Millisecond
	// maxStrayResponses bounds the responses to other requests that are skipped.
	maxStrayResponses = 3
	// maxSyncWriteBytes is the size up to which a request is written completely
	// before its response is read. Longer ones are written concurrently, since
	// a target may respond before it has read them.
	maxSyncWriteBytes = 8 << 10
	// poolIdleTimeout is how long the connection pool of a target is kept unused.
	poolIdleTimeout = 30 * time.Second
)

// Failure describes why a target gave no response that may be passed on.
type Failure struct {
	Outcome outcome.Outcome
	Status  int    // of the response; 0: there is none
	Reason  string // for logs
}

// Error returns the reason, the status and the outcome.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (status %d, %s)", f.Reason, f.Status, f.Outcome)
}

// IsBusy reports whether the target responded that it did not run the request: it
// is healthy but takes no more work.
func (f *Failure) IsBusy() bool { return f.Outcome == outcome.NotRun && f.Status != 0 }

// Answer is the response of a target; its body is read with Read. The caller must
// call Close.
type Answer struct {
	Status       int
	Header       http.Header
	Reused       bool // it came over a connection that had served earlier requests
	body         io.ReadCloser
	conn         *targetconn.Conn
	pool         *targetconn.Pool
	detach       func() bool // stops the context from closing the connection
	reusable     bool        // the target keeps the connection open
	bodyComplete bool        // the body was read to io.EOF
	writeResult  chan error  // result of a concurrent write; nil: the request was written at once
	writer       conc.WaitGroup
}

// Caller sends requests to targets and pools the connections. It is safe for
// concurrent use.
type Caller struct {
	dialect        Dialect
	connsOpened    metrics.Counter
	strayResponses metrics.Counter

	mu    sync.Mutex
	pools map[string]*targetPool // by id, process start time and address
}

// targetPool is the connection pool of one target process.
type targetPool struct {
	pool     *targetconn.Pool
	lastUsed time.Time
}

// NewCaller returns a caller without open connections.
func NewCaller(dialect Dialect, registry metrics.Registry) *Caller {
	return &Caller{
		dialect:        dialect,
		connsOpened:    metrics.GetOrRegisterCounter("targets.connections.opened", registry),
		strayResponses: metrics.GetOrRegisterCounter("targets.answers.stray", registry),
		pools:          make(map[string]*targetPool),
	}
}

// pool returns the connection pool of one target process.
func (c *Caller) pool(r *roster.Record) *targetconn.Pool {
	key := r.ID + "/" + strconv.FormatInt(r.Born, 10) + "/" + r.Addr
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.pools[key]
	if entry == nil {
		entry = &targetPool{pool: targetconn.NewPool(r.Addr, maxIdleConns)}
		c.pools[key] = entry
		c.evictIdlePools(now)
	}
	entry.lastUsed = now
	return entry.pool
}

// evictIdlePools closes and drops unused pools. The caller holds c.mu.
func (c *Caller) evictIdlePools(now time.Time) {
	for key, entry := range c.pools {
		if !entry.lastUsed.IsZero() && now.Sub(entry.lastUsed) > poolIdleTimeout {
			entry.pool.CloseIdle()
			delete(c.pools, key)
		}
	}
}

// Do sends a request and returns the response once its header has arrived. The
// connection is closed when ctx ends. Errors are of type *Failure.
func (c *Caller) Do(ctx context.Context, target *roster.Record, r *Request) (*Answer, error) {
	pool := c.pool(target)
	conn, err := pool.Get(ctx)
	if err != nil {
		return nil, &Failure{Outcome: outcome.NotRun, Reason: "connect: " + err.Error()}
	}
	if !conn.Reused {
		c.connsOpened.Inc(1)
	}
	a := &Answer{conn: conn, pool: pool, Reused: conn.Reused}
	a.detach = context.AfterFunc(ctx, func() { conn.Close() })
	if ctx.Err() != nil {
		a.Close()
		return nil, &Failure{Outcome: outcome.NotRun, Reason: "cancelled before it was sent"}
	}
	if err := c.roundTrip(a, r, r.encode(&c.dialect, time.Now(), target.ID)); err != nil {
		a.Close()
		return nil, err
	}
	if err := c.checkResponse(a); err != nil {
		a.drain()
		a.Close()
		return nil, err
	}
	return a, nil
}

// roundTrip writes the request and reads the header of its response, skipping
// responses to other requests.
func (c *Caller) roundTrip(a *Answer, r *Request, encoded []byte) error {
	if len(encoded) <= maxSyncWriteBytes {
		if _, err := a.conn.Write(encoded); err != nil {
			return transportFailure("write", err)
		}
	} else {
		a.writeResult = make(chan error, 1)
		a.writer.Go(func() {
			_, err := a.conn.Write(encoded)
			a.writeResult <- err
		})
	}
	for range maxStrayResponses + 1 {
		response, err := readFinalResponse(a.conn, r.Method) //nolint:bodyclose // the Answer holds the body; Close closes its connection
		if err != nil {
			return transportFailure("read", err)
		}
		a.Status, a.Header, a.body = response.StatusCode, response.Header, response.Body
		a.reusable = !response.Close
		echoed := response.Header.Get(c.dialect.RequestID)
		if echoed == r.ID || echoed == "" && response.StatusCode >= http.StatusMultipleChoices {
			return nil
		}
		c.strayResponses.Inc(1)
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return &Failure{Outcome: outcome.MayHaveRun, Reason: "response to another request"}
		}
	}
	return &Failure{Outcome: outcome.MayHaveRun, Reason: "too many responses to other requests"}
}

// transportFailure returns the failure for an I/O error, after which the request
// may have run.
func transportFailure(what string, err error) *Failure {
	reason := what + ": " + err.Error()
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		reason = what + ": timeout"
	}
	return &Failure{Outcome: outcome.MayHaveRun, Reason: reason}
}

// readFinalResponse reads the header of a response and skips interim (1xx) ones.
func readFinalResponse(conn *targetconn.Conn, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(conn.Reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// checkResponse returns the failure for a response that says that the request did
// not run, or that lacks a target's signature.
func (c *Caller) checkResponse(a *Answer) error {
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return &Failure{Outcome: outcome.NotRun, Status: a.Status, Reason: "another target serves this address"}
	case a.Header.Get(c.dialect.NotRun) != "":
		return &Failure{Outcome: outcome.NotRun, Status: a.Status, Reason: "refused by the target"}
	case a.Status < http.StatusMultipleChoices && a.Header.Get(c.dialect.Signature) == "":
		return &Failure{Outcome: outcome.MayHaveRun, Status: a.Status, Reason: "response without signature"}
	}
	return nil
}

// Read reads the body. io.EOF means that it is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.bodyComplete = true
	}
	return n, err
}

// drain reads the rest of a short body, so that the connection can be reused.
func (a *Answer) drain() {
	_, _ = io.CopyN(io.Discard, a, maxDrainBytes) // without io.EOF, Close closes the connection
}

const maxDrainBytes = 4 << 10

// Close releases the connection. It returns to the pool if request and response
// are complete, and is closed otherwise.
func (a *Answer) Close() {
	detached := a.detach()
	if !detached || !a.bodyComplete || !a.reusable || !a.requestWritten() || a.conn.Reader.Buffered() > 0 {
		a.conn.Close()
		a.writer.Wait()
		return
	}
	a.pool.PutFor(a.conn, idleTimeout(a.Header))
}

// requestWritten reports whether the request was written completely.
func (a *Answer) requestWritten() bool {
	if a.writeResult == nil {
		return true
	}
	select {
	case err := <-a.writeResult:
		return err == nil
	default:
		return false
	}
}

// idleTimeout returns the keep-alive timeout that the target announces, less
// idleMargin, or 0 if there is none.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return max(time.Millisecond, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return 0
}
