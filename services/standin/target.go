// Package standin provides stub targets for tests. A stub answers, refuses or
// breaks off requests as configured, and records what it ran.
package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/roster"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/targetcall"
)

// Behaviour configures how a stub target handles a request.
type Behaviour struct {
	Refuse        bool // respond 503 with the header that the request did not run
	Status        int  // of the response; 0: 200
	Events        int  // number of events to stream; 0: a plain response
	BreakAfter    int  // close the connection after this many events; 0: never
	TruncateEvent bool // with BreakAfter: close it in the middle of the next event
	HangAfter     int  // stall after this many events until the caller disconnects; 0: never
	Unframed      bool // send neither a length nor chunks: the end of the connection ends the response
	Reset         bool // with Unframed: reset the connection at the end instead of closing it
	// ContentEncoding is a header that the response body does not live up to.
	ContentEncoding string
	Leaving         string        // what the target says in its responses about leaving; empty: nothing
	RateLimit       string        // requests per second that the target names in its responses; empty: none
	Load            string        // what the target says of its load; empty: nothing
	NoSignature     bool          // omit the signature header
	Pause           time.Duration // between two events, before a plain response, and before a crash
	StrayResponse   bool          // send a response to another request first
	Crash           bool          // end the target as soon as it runs the request
	Mark            string        // follows the data of each event
	Delay           time.Duration // before a response, or before the first event of a stream
	CrashInAnswer   bool          // end the target once the response has begun, within its first event or its body
}

// Run records one request that a stub target started to run.
type Run struct {
	ID           string // of the request
	Target       string
	StartedAt    time.Time
	Workspace    string
	LastEventID  int64 // event id to resume after; 0: from the start
	Host         string
	URI          string
	Header       http.Header
	Body         string
	CallerClosed bool // the caller disconnected before the end of the stream
}

// Target is a stub target. It is safe for concurrent use.
type Target struct {
	ID      string
	Addr    string
	headers targetcall.HeaderNames
	server  *http.Server
	serving conc.WaitGroup
	crashed chan struct{} // closed when a request has ended the target

	mu        sync.Mutex
	health    string // header that names the target in responses about its health; empty: none
	behaviour func(id string) Behaviour
	version   string
	faults    []Fault
	runs      []*Run
}

// HealthPath is the path at which a stub target answers about its health.
const HealthPath = "/healthz"

// HeaderNames returns generic header names, for tests that do not depend on those
// of a platform.
func HeaderNames() targetcall.HeaderNames {
	return targetcall.HeaderNames{
		RequestID: "X-Id", Deadline: "X-Deadline", Expect: "X-Expect", Workspace: "X-Workspace", LastEventID: "Last-Event-Id", Resumes: "X-Resumes",
		NotRun: "X-Not-Run", Signature: "X-Signature", RateLimit: "X-Rate-Limit", Leaving: "X-Leaving", Load: "X-Load", Key: "X-Key",
	}
}

// Report returns the report of a target that is ready.
func (t *Target) Report(service, dataCentre string, slots int) rpc.TargetReport {
	return rpc.TargetReport{Report: roster.Report{
		ID: t.ID, Incarnation: 1, Sequence: 1, Service: service, Addr: t.Addr, DataCentre: dataCentre, Version: t.softwareVersion(), Slots: slots, State: roster.Ready,
	}}
}

// NewTarget starts a stub target on a loopback address. Close stops it.
func NewTarget(id string, headers targetcall.HeaderNames, behaviour Behaviour) (*Target, error) {
	return NewTargetAt(id, "127.0.0.1:0", headers, behaviour)
}

// NewTargetAt starts a stub target on the given address. Close stops it.
func NewTargetAt(id, addr string, headers targetcall.HeaderNames, behaviour Behaviour) (*Target, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for stub target")
	}
	t := &Target{ID: id, Addr: l.Addr().String(), headers: headers, crashed: make(chan struct{})}
	t.SetBehaviour(func(string) Behaviour { return behaviour })
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	t.serving.Go(func() { _ = t.server.Serve(l) }) // Serve always returns an error after Close
	return t, nil
}

// Close stops the target and closes all its connections.
func (t *Target) Close() {
	_ = t.server.Close() // the listener and all connections are closed even on an error
	t.serving.Wait()
}

// Crashed returns a channel that is closed when a request has ended the target.
func (t *Target) Crashed() <-chan struct{} { return t.crashed }

// SetBehaviour replaces the behaviour, which is chosen by request id.
func (t *Target) SetBehaviour(behaviour func(id string) Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = behaviour
}

// NameInHealth makes responses about the target's health name it in a header.
func (t *Target) NameInHealth(header string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.health = header
}

// serveHealth answers a question about the target's health, which is no run.
func (t *Target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	header := t.health
	t.mu.Unlock()
	if header != "" {
		w.Header().Set(header, t.ID)
	}
	w.WriteHeader(http.StatusOK)
}

// Runs returns the requests that the target has started to run.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make([]Run, 0, len(t.runs))
	for _, r := range t.runs {
		runs = append(runs, *r)
	}
	return runs
}

// ServeHTTP handles one request as configured.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == HealthPath {
		t.serveHealth(w)
		return
	}
	id := r.Header.Get(t.headers.RequestID)
	w.Header().Set(t.headers.RequestID, id)
	t.mu.Lock()
	behaviour := t.behaviour(id)
	t.mu.Unlock()
	if behaviour.Leaving != "" {
		w.Header().Set(t.headers.Leaving, behaviour.Leaving)
	}
	if behaviour.RateLimit != "" {
		w.Header().Set(t.headers.RateLimit, behaviour.RateLimit)
	}
	if behaviour.Load != "" {
		w.Header().Set(t.headers.Load, behaviour.Load)
	}
	if expected := r.Header.Get(t.headers.Expect); expected != "" && expected != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if behaviour.Refuse {
		w.Header().Set(t.headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if behaviour.StrayResponse {
		t.serveStrayResponse(w, r)
	}
	run := t.recordRun(r, id)
	t.applyFaults(r, &behaviour)
	if behaviour.Crash {
		pause.For(r.Context(), behaviour.Pause)
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	if behaviour.ContentEncoding != "" {
		w.Header().Set("Content-Encoding", behaviour.ContentEncoding)
	}
	if !behaviour.NoSignature {
		w.Header().Set(t.headers.Signature, Signature(id))
	}
	if behaviour.Unframed {
		t.serveUnframed(w, behaviour, run)
		return
	}
	if behaviour.CrashInAnswer {
		t.crashInAnswer(w, r, behaviour)
	}
	if behaviour.Events > 0 {
		t.serveStream(w, r, behaviour, run)
		return
	}
	time.Sleep(behaviour.Pause + behaviour.Delay)
	if behaviour.Status != 0 {
		w.WriteHeader(behaviour.Status)
	}
	fmt.Fprint(w, ResponseBody(id))
}

// Crash closes the listener and all connections, as the end of a process does.
func (t *Target) Crash() {
	t.mu.Lock()
	select {
	case <-t.crashed:
	default:
		close(t.crashed)
	}
	t.mu.Unlock()
	_ = t.server.Close() // the listener and all connections are closed even on an error
}

// crashInAnswer begins a response and ends the target after the pause.
func (t *Target) crashInAnswer(w http.ResponseWriter, r *http.Request, b Behaviour) {
	if b.Events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	fmt.Fprint(w, "id: 1\nda")
	_ = http.NewResponseController(w).Flush() // the crash closes the connection in any case
	pause.For(r.Context(), b.Pause)
	t.Crash()
	panic(http.ErrAbortHandler)
}

// Signature returns the signature of the response to a request.
func Signature(id string) string { return "signed-" + id }

// ResponseBody returns the body of a plain response to a request.
func ResponseBody(id string) string { return "answer to " + id }

// EventData returns the data of event n of a streamed response.
func EventData(id string, n int64) string { return fmt.Sprintf("%s-%d", id, n) }

// recordRun reads the request body and records the run.
func (t *Target) recordRun(r *http.Request, id string) *Run {
	var body strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			break
		}
	}
	from, _ := strconv.ParseInt(r.Header.Get(t.headers.LastEventID), 10, 64) // 0: from the start
	run := &Run{ID: id, Target: t.ID, StartedAt: time.Now(), Workspace: r.Header.Get(t.headers.Workspace), LastEventID: from, Host: r.Host, URI: r.RequestURI,
		Header: r.Header.Clone(), Body: body.String()}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	return run
}

// serveStream streams the events after run.LastEventID.
func (t *Target) serveStream(w http.ResponseWriter, r *http.Request, b Behaviour, run *Run) {
	if b.Status != 0 {
		w.WriteHeader(b.Status)
		return
	}
	pause.For(r.Context(), b.Delay)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	sent := 0
	for n := run.LastEventID + 1; n <= int64(b.Events); n++ {
		if b.BreakAfter > 0 && sent == b.BreakAfter {
			if b.TruncateEvent {
				fmt.Fprintf(w, "id: %d\nda", n)
				_ = flush() // the panic below closes the connection in any case
			}
			panic(http.ErrAbortHandler)
		}
		if b.HangAfter > 0 && sent == b.HangAfter {
			<-r.Context().Done()
		}
		fmt.Fprintf(w, "id: %d\ndata: %s%s\n\n", n, EventData(run.ID, n), b.Mark)
		if flush() != nil || !pause.For(r.Context(), b.Pause) {
			t.mu.Lock()
			run.CallerClosed = true
			t.mu.Unlock()
			return
		}
		sent++
	}
}

// serveStrayResponse writes a response to another request before the one to r.
func (t *Target) serveStrayResponse(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	id := r.Header.Get(t.headers.RequestID)
	t.recordRun(r, id)
	for _, of := range []string{"another", id} {
		body := ResponseBody(of)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			t.headers.RequestID, of, t.headers.Signature, Signature(of), len(body), body)
	}
	panic(http.ErrAbortHandler)
}

// serveUnframed writes a response without a length or chunks and closes the
// connection.
func (t *Target) serveUnframed(w http.ResponseWriter, b Behaviour, run *Run) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	contentType := "text/plain"
	if b.Events > 0 {
		contentType = "text/event-stream"
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: %s\r\n\r\n",
		t.headers.RequestID, run.ID, t.headers.Signature, Signature(run.ID), contentType)
	if b.Events == 0 {
		fmt.Fprint(conn, ResponseBody(run.ID))
	}
	for n := run.LastEventID + 1; n <= int64(b.Events); n++ {
		if b.BreakAfter > 0 && n-run.LastEventID > int64(b.BreakAfter) {
			if b.TruncateEvent {
				fmt.Fprintf(conn, "id: %d\nda", n)
			}
			break
		}
		fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", n, EventData(run.ID, n))
	}
	if tcp, ok := conn.(*net.TCPConn); ok && b.Reset {
		time.Sleep(b.Pause)  // what was sent before is to arrive
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
}
