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
	// maxIdle bounds the idle connections to one target.
	maxIdle = 16
	// idleMargin is how much sooner than the target a connection is given up.
	idleMargin = 400 * time.Millisecond
	// strayAnswers bounds the answers to other requests that are skipped.
	strayAnswers = 3
	// wholeWrite is the size up to which a request is written before its answer
	// is read; a target may answer longer ones before it has read them.
	wholeWrite = 8 << 10
	// forgetAfter is how long the pool of a target is kept without use.
	forgetAfter = 30 * time.Second
)

// Failure tells why a target gave no answer that may be passed on.
type Failure struct {
	Outcome outcome.Outcome
	Status  int    // of the answer, 0: none
	Reason  string // for logs
}

// Error returns the reason with what is known of the execution.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (status %d, %s)", f.Reason, f.Status, f.Outcome)
}

// IsBusy reports whether the target answered that it has no place: it is sound.
func (f *Failure) IsBusy() bool { return f.Outcome == outcome.NotRun && f.Status != 0 }

// Answer is the answer of a target, whose body is still to be read. Close must
// be called.
type Answer struct {
	Status  int
	Header  http.Header
	Reused  bool // it came over a connection that had carried requests before
	body    io.ReadCloser
	conn    *targetconn.Conn
	pool    *targetconn.Pool
	release func() bool // detaches the connection from the context
	keep    bool        // the connection may carry another request
	whole   bool        // the body was read to its regular end
	written chan error  // of a long request that is still being written; nil: none
	writing conc.WaitGroup
}

// Caller keeps connections to targets. It is safe for concurrent use.
type Caller struct {
	dialect Dialect
	opened  metrics.Counter
	strays  metrics.Counter

	mu    sync.Mutex
	pools map[string]*targetPool // by id and birth
}

type targetPool struct {
	pool *targetconn.Pool
	used time.Time
}

// NewCaller returns a caller without connections.
func NewCaller(dialect Dialect, registry metrics.Registry) *Caller {
	return &Caller{
		dialect: dialect,
		opened:  metrics.GetOrRegisterCounter("targets.connections.opened", registry),
		strays:  metrics.GetOrRegisterCounter("targets.answers.stray", registry),
		pools:   make(map[string]*targetPool),
	}
}

// pool returns the connections to one process of a target.
func (c *Caller) pool(r *roster.Record) *targetconn.Pool {
	key := r.ID + "/" + strconv.FormatInt(r.Born, 10) + "/" + r.Addr
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.pools[key]
	if known == nil {
		known = &targetPool{pool: targetconn.NewPool(r.Addr, maxIdle)}
		c.pools[key] = known
		c.forget(now)
	}
	known.used = now
	return known.pool
}

// forget drops pools that are not used any more. The caller holds the lock.
func (c *Caller) forget(now time.Time) {
	for key, known := range c.pools {
		if !known.used.IsZero() && now.Sub(known.used) > forgetAfter {
			known.pool.CloseIdle()
			delete(c.pools, key)
		}
	}
}

// Do sends a request and returns the answer once its head is there. The
// connection is closed when ctx ends. Errors are *Failure.
func (c *Caller) Do(ctx context.Context, target *roster.Record, r *Request) (*Answer, error) {
	pool := c.pool(target)
	conn, err := pool.Get(ctx)
	if err != nil {
		return nil, &Failure{Outcome: outcome.NotRun, Reason: "connect: " + err.Error()}
	}
	if !conn.Reused {
		c.opened.Inc(1)
	}
	a := &Answer{conn: conn, pool: pool, Reused: conn.Reused}
	a.release = context.AfterFunc(ctx, func() { conn.Close() })
	if ctx.Err() != nil {
		a.Close()
		return nil, &Failure{Outcome: outcome.NotRun, Reason: "ended before it was sent"}
	}
	if err := c.exchange(a, r, r.encode(&c.dialect, time.Now(), target.ID)); err != nil {
		a.Close()
		return nil, err
	}
	if err := c.refusal(a); err != nil {
		a.drain()
		a.Close()
		return nil, err
	}
	return a, nil
}

// exchange writes the request and reads the head of its answer.
func (c *Caller) exchange(a *Answer, r *Request, encoded []byte) error {
	if len(encoded) <= wholeWrite {
		if _, err := a.conn.Write(encoded); err != nil {
			return broken("write", err)
		}
	} else {
		a.written = make(chan error, 1)
		a.writing.Go(func() {
			_, err := a.conn.Write(encoded)
			a.written <- err
		})
	}
	for range strayAnswers + 1 {
		response, err := readFinal(a.conn, r.Method) //nolint:bodyclose // the body lives in the answer; Close ends its connection
		if err != nil {
			return broken("read", err)
		}
		a.Status, a.Header, a.body = response.StatusCode, response.Header, response.Body
		a.keep = !response.Close
		echoed := response.Header.Get(c.dialect.RequestID)
		if echoed == r.ID || echoed == "" && response.StatusCode >= http.StatusMultipleChoices {
			return nil
		}
		c.strays.Inc(1)
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return &Failure{Outcome: outcome.MayHaveRun, Reason: "answer to another request"}
		}
	}
	return &Failure{Outcome: outcome.MayHaveRun, Reason: "answers to other requests"}
}

func broken(what string, err error) *Failure {
	reason := what + ": " + err.Error()
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		reason = what + ": timeout"
	}
	return &Failure{Outcome: outcome.MayHaveRun, Reason: reason}
}

// readFinal reads the head of an answer and skips interim ones.
func readFinal(conn *targetconn.Conn, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(conn.Reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// refusal returns the failure of an answer that says that the request did not
// run, or that no target has signed.
func (c *Caller) refusal(a *Answer) error {
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return &Failure{Outcome: outcome.NotRun, Status: a.Status, Reason: "another target has the address"}
	case a.Header.Get(c.dialect.NotRun) != "":
		return &Failure{Outcome: outcome.NotRun, Status: a.Status, Reason: "refused by the target"}
	case a.Status < http.StatusMultipleChoices && a.Header.Get(c.dialect.Signature) == "":
		return &Failure{Outcome: outcome.MayHaveRun, Status: a.Status, Reason: "answer without signature"}
	}
	return nil
}

// Read reads the body. io.EOF means that it is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// drain reads what is left of a short body, so that its connection is kept.
func (a *Answer) drain() {
	_, _ = io.CopyN(io.Discard, a, maxDrainBytes) // the connection is kept only when the end was seen
}

const maxDrainBytes = 4 << 10

// Close ends the exchange. The connection is kept if the answer was read to
// its end.
func (a *Answer) Close() {
	detached := a.release()
	if !detached || !a.whole || !a.keep || !a.requestWritten() || a.conn.Reader.Buffered() > 0 {
		a.conn.Close()
		a.writing.Wait()
		return
	}
	a.pool.PutFor(a.conn, idleTime(a.Header))
}

// requestWritten reports whether the whole request has gone out.
func (a *Answer) requestWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// idleTime returns how long the target keeps an idle connection, less a
// margin, or 0 when it does not say.
func idleTime(h http.Header) time.Duration {
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
