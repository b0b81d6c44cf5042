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
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/infra/targetconn"
)

const (
	// maxIdleConns bounds the idle connections to one target.
	maxIdleConns = 16
	// idleMargin is how long before the target's announced keep-alive timeout
	// an idle connection is closed, so that no request is sent on one that the
	// target is closing.
	idleMargin = 400 * time.Millisecond
	// maxStrayResponses bounds the responses to other requests that are skipped.
	maxStrayResponses = 3
	maxStrayBytes     = 256 << 10 // of the body of each of them
	// maxDrainBytes and drainTimeout bound the reading of a body that is dropped, so
	// that its connection can be used again.
	maxDrainBytes = 4 << 10
	drainTimeout  = 50 * time.Millisecond
	// maxSyncWriteBytes is the size up to which a request is written completely
	// before its response is read. Longer ones are written concurrently, since
	// a target may respond before it has read them.
	maxSyncWriteBytes = 8 << 10
	// poolIdleTimeout is how long the connection pool of a target is kept unused.
	poolIdleTimeout = 30 * time.Second
	eventStream     = "text/event-stream"
)

// Failure describes why a target gave no response that may be passed on.
type Failure struct {
	Outcome outcome.Outcome
	Status  int                  // of the response; 0: there is none
	Reason  string               // for logs
	Closed  bool                 // the target closed or reset the connection, as it does when its process ends
	Load    placement.TargetLoad // that the response named; zero: none
}

// Error returns the reason, the status and the outcome.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (status %d, %s)", f.Reason, f.Status, f.Outcome)
}

// IsBusy reports whether the target responded that it did not run the request: it
// is healthy but takes no more work.
func (f *Failure) IsBusy() bool { return f.Outcome == outcome.NotRun && f.Status != 0 }

// Response is the response of a target; its body is read with Read. The caller must
// call Close.
type Response struct {
	Status       int
	Header       http.Header
	Load         placement.TargetLoad // that the target named; zero: none
	Reused       bool                 // it came over a connection that had served earlier requests
	body         io.ReadCloser
	conn         *targetconn.Conn
	pool         *targetconn.Pool
	detach       func() bool      // stops the context from closing the connection
	reusable     bool             // the target keeps the connection open
	bodyComplete bool             // the body was read to io.EOF
	write        *concurrentWrite // nil: the request was written at once
	writer       conc.WaitGroup
}

// concurrentWrite is the write of a request while its response is read.
type concurrentWrite struct {
	done chan struct{} // closed when the write has ended
	err  error         // of the write; valid once it has ended
}

// Client sends requests to targets and pools the connections. It is safe for
// concurrent use.
type Client struct {
	headers        HeaderNames
	limits         LimitObserver
	loads          LoadObserver
	connsOpened    metrics.Counter
	strayResponses metrics.Counter
	malformedLoads metrics.Counter

	mu    sync.Mutex
	pools map[string]*targetPool // by id, process start time and address
}

// targetPool is the connection pool of one target process.
type targetPool struct {
	pool     *targetconn.Pool
	lastUsed time.Time
}

// NewClient returns a client without open connections.
func NewClient(headers HeaderNames, observer Observer, registry metrics.Registry) *Client {
	return &Client{
		headers:        headers,
		limits:         observer,
		loads:          observer,
		connsOpened:    metrics.GetOrRegisterCounter("targets.connections.opened", registry),
		strayResponses: metrics.GetOrRegisterCounter("targets.answers.stray", registry),
		malformedLoads: metrics.GetOrRegisterCounter("targets.loads.malformed", registry),
		pools:          make(map[string]*targetPool),
	}
}

// pool returns the connection pool of one target process.
func (c *Client) pool(r *roster.Record) *targetconn.Pool {
	key := r.ID + "/" + strconv.FormatInt(r.Incarnation, 10) + "/" + r.Addr
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
func (c *Client) evictIdlePools(now time.Time) {
	for key, entry := range c.pools {
		if !entry.lastUsed.IsZero() && now.Sub(entry.lastUsed) > poolIdleTimeout {
			entry.pool.CloseIdle()
			delete(c.pools, key)
		}
	}
}

// Do sends a request and returns the response once its header has arrived. The
// connection is closed when ctx ends. Errors are of type *Failure.
func (c *Client) Do(ctx context.Context, target *roster.Record, r *Request) (*Response, error) {
	encoded, err := r.encode(&c.headers, time.Now(), target.ID)
	if err != nil {
		// The status keeps the target from being avoided for it.
		return nil, &Failure{Outcome: outcome.NotRun, Status: http.StatusBadRequest, Reason: "cannot be encoded: " + err.Error()}
	}
	pool := c.pool(target)
	conn, err := pool.GetFor(ctx, r.ID)
	if err != nil {
		return nil, &Failure{Outcome: outcome.NotRun, Reason: "connect: " + err.Error()}
	}
	if !conn.Reused {
		c.connsOpened.Inc(1)
	}
	resp := &Response{conn: conn, pool: pool, Reused: conn.Reused}
	resp.detach = context.AfterFunc(ctx, func() { conn.Close() })
	if ctx.Err() != nil {
		resp.Close()
		return nil, &Failure{Outcome: outcome.NotRun, Reason: "cancelled before it was sent"}
	}
	if err := c.roundTrip(resp, r, encoded); err != nil {
		resp.Close()
		return nil, err
	}
	c.observeLeaving(target, resp)
	c.observeLimit(target, resp)
	c.observeLoad(target, resp)
	if resp.Status >= http.StatusMultipleChoices {
		resp.conn.NoteFailed(r.ID)
	}
	if err := c.checkResponse(r, resp); err != nil {
		err.Load = resp.Load
		resp.drain()
		resp.Close()
		return nil, err
	}
	return resp, nil
}

// roundTrip writes the request and reads the header of its response, skipping
// responses to other requests.
func (c *Client) roundTrip(resp *Response, r *Request, encoded []byte) error {
	if len(encoded) <= maxSyncWriteBytes {
		if _, err := resp.conn.Write(encoded); err != nil {
			return transportFailure("write", err)
		}
	} else {
		resp.write = &concurrentWrite{done: make(chan struct{})}
		resp.writer.Go(func() {
			defer close(resp.write.done)
			_, resp.write.err = resp.conn.Write(encoded)
		})
	}
	for range maxStrayResponses + 1 {
		httpResponse, err := resp.conn.ReadResponse(&http.Request{Method: r.Method}) //nolint:bodyclose // the body lives in the answer; Close ends its connection
		if err != nil {
			return transportFailure("read", err)
		}
		targetconn.RequireWritten(httpResponse, resp.waitWritten)
		resp.Status, resp.Header, resp.body = httpResponse.StatusCode, httpResponse.Header, httpResponse.Body
		resp.reusable = !httpResponse.Close
		echoed := httpResponse.Header.Get(c.headers.RequestID)
		if echoed == r.ID || echoed == "" && httpResponse.StatusCode >= http.StatusMultipleChoices && !resp.Reused {
			return nil
		}
		c.strayResponses.Inc(1)
		if echoed == "" { // it may be this request's, but also a repetition of an earlier one's
			return &Failure{Outcome: outcome.MayHaveRun, Reason: "response without id on a used connection"}
		}
		if httpResponse.Close {
			return &Failure{Outcome: outcome.MayHaveRun, Reason: "response to another request"}
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(httpResponse.Body, maxStrayBytes)); err != nil || n == maxStrayBytes {
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
	return &Failure{Outcome: outcome.MayHaveRun, Reason: reason, Closed: IsClosed(err)}
}

// IsClosed reports whether an I/O error means that the target closed or reset the
// connection.
func IsClosed(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, ErrTruncatedEvent, syscall.ECONNRESET, syscall.EPIPE)
}

// checkResponse returns the failure for a response that says that the request did
// not run, lacks a target's signature, or is encoded though the caller did not ask
// for it.
func (c *Client) checkResponse(r *Request, resp *Response) *Failure {
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		return &Failure{Outcome: outcome.NotRun, Status: resp.Status, Reason: "another target serves this address"}
	case resp.Header.Get(c.headers.NotRun) != "":
		return &Failure{Outcome: outcome.NotRun, Status: resp.Status, Reason: "refused by the target"}
	case resp.Status < http.StatusMultipleChoices && resp.Header.Get(c.headers.Signature) == "":
		return &Failure{Outcome: outcome.MayHaveRun, Status: resp.Status, Reason: "response without signature"}
	case isEncoded(resp.Header) && r.Header.Get("Accept-Encoding") == "":
		return &Failure{Outcome: outcome.MayHaveRun, Status: resp.Status, Reason: "encoded response"}
	}
	return nil
}

func isEncoded(header http.Header) bool {
	encoding := header.Get("Content-Encoding")
	return encoding != "" && !strings.EqualFold(encoding, "identity")
}

// IsEventStream reports whether the body consists of events.
func (resp *Response) IsEventStream() bool {
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.TrimSpace(mediaType) == eventStream
}

// Read reads the body. io.EOF means that it is complete.
func (resp *Response) Read(p []byte) (int, error) {
	n, err := resp.body.Read(p)
	if errors.Is(err, io.EOF) {
		resp.bodyComplete = true
	}
	return n, err
}

// drain reads the rest of a short body, so that the connection can be reused.
func (resp *Response) drain() {
	if !resp.reusable || resp.conn.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, resp, maxDrainBytes) // without io.EOF, Close closes the connection
	_ = resp.conn.SetReadDeadline(time.Time{})       // fails only on a closed connection
}

// Close releases the connection. It returns to the pool if request and response
// are complete, and is closed otherwise.
func (resp *Response) Close() {
	detached := resp.detach()
	if !detached || !resp.bodyComplete || !resp.reusable || !resp.requestWritten() || resp.conn.Reader.Buffered() > 0 {
		resp.conn.Close()
		resp.writer.Wait()
		return
	}
	resp.pool.PutWithIdleTimeout(resp.conn, idleTimeout(resp.Header))
}

// requestWritten reports whether the request was written completely.
func (resp *Response) requestWritten() bool {
	if resp.write == nil {
		return true
	}
	select {
	case <-resp.write.done:
		return resp.write.err == nil
	default:
		return false
	}
}

// waitWritten waits until the write of the request has ended and returns its error.
func (resp *Response) waitWritten() error {
	if resp.write == nil {
		return nil
	}
	<-resp.write.done
	return resp.write.err
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
