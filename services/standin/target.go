// Package standin holds stand-ins of what surrounds a site, for tests: targets
// that answer, refuse and break off as they are told, and count what they run.
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

// Behaviour is what a target does with a request.
type Behaviour struct {
	Refuse      bool          // answer 503 and say that the request did not run
	Status      int           // of the answer; 0: 200
	Events      int           // of a stream; 0: a whole answer
	BreakAfter  int           // close the connection after so many events; 0: never
	Torn        bool          // with BreakAfter: in the middle of the next event
	HangAfter   int           // fall silent after so many events, until the caller leaves; 0: never
	NoSignature bool          // leave the signature out
	Pause       time.Duration // between two events, and before a whole answer
	Stray       bool          // answer another request first
}

// Run is one request that a target began to work on.
type Run struct {
	ID        string // of the request
	Target    string
	Workspace string
	From      int64 // last event id that the request named
	Host      string
	URI       string
	Header    http.Header
	Body      string
	Gone      bool // the caller closed the connection before the end
}

// Target is one stand-in target. It is safe for concurrent use.
type Target struct {
	ID      string
	Addr    string
	dialect targetcall.Dialect
	server  *http.Server
	serving conc.WaitGroup

	mu        sync.Mutex
	behaviour func(id string) Behaviour
	runs      []*Run
}

// Dialect returns header names for tests that need no provider's.
func Dialect() targetcall.Dialect {
	return targetcall.Dialect{
		RequestID: "X-Id", Deadline: "X-Deadline", Expect: "X-Expect", Workspace: "X-Workspace", LastEventID: "Last-Event-Id",
		NotRun: "X-Not-Run", Signature: "X-Signature", Key: "X-Key",
	}
}

// Report is what the target would say of itself when it is ready.
func (t *Target) Report(service, dataCentre string, slots int) rpc.TargetReport {
	return rpc.TargetReport{Report: roster.Report{
		ID: t.ID, Born: 1, Sequence: 1, Service: service, Addr: t.Addr, DataCentre: dataCentre, Slots: slots, State: roster.Ready,
	}}
}

// NewTarget starts a target on a loopback address. Close ends it.
func NewTarget(id string, dialect targetcall.Dialect, behaviour Behaviour) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "stand-in target")
	}
	t := &Target{ID: id, Addr: l.Addr().String(), dialect: dialect}
	t.Set(func(string) Behaviour { return behaviour })
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	t.serving.Go(func() { _ = t.server.Serve(l) }) // its error tells that Close was called
	return t, nil
}

// Close ends the target and all its connections.
func (t *Target) Close() {
	_ = t.server.Close() // the listener and all connections are closed in any case
	t.serving.Wait()
}

// Set replaces what the target does, by the id of the request.
func (t *Target) Set(behaviour func(id string) Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = behaviour
}

// Runs returns what the target has worked on.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make([]Run, 0, len(t.runs))
	for _, r := range t.runs {
		runs = append(runs, *r)
	}
	return runs
}

// ServeHTTP answers one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(t.dialect.RequestID)
	w.Header().Set(t.dialect.RequestID, id)
	if expected := r.Header.Get(t.dialect.Expect); expected != "" && expected != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	behaviour := t.behaviour(id)
	t.mu.Unlock()
	if behaviour.Refuse {
		w.Header().Set(t.dialect.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if behaviour.Stray {
		t.answerStray(w, r)
	}
	run := t.begin(r, id)
	if !behaviour.NoSignature {
		w.Header().Set(t.dialect.Signature, Signature(id))
	}
	if behaviour.Events > 0 {
		t.stream(w, r, behaviour, run)
		return
	}
	time.Sleep(behaviour.Pause)
	if behaviour.Status != 0 {
		w.WriteHeader(behaviour.Status)
	}
	fmt.Fprint(w, Answer(id))
}

// Signature returns the signature of the answer to a request.
func Signature(id string) string { return "signed-" + id }

// Answer returns the whole answer to a request.
func Answer(id string) string { return "answer to " + id }

// EventData returns the data of the event number n of an answer.
func EventData(id string, n int64) string { return fmt.Sprintf("%s-%d", id, n) }

func (t *Target) begin(r *http.Request, id string) *Run {
	var body strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			break
		}
	}
	from, _ := strconv.ParseInt(r.Header.Get(t.dialect.LastEventID), 10, 64) // 0: from the start
	run := &Run{ID: id, Target: t.ID, Workspace: r.Header.Get(t.dialect.Workspace), From: from, Host: r.Host, URI: r.RequestURI,
		Header: r.Header.Clone(), Body: body.String()}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	return run
}

func (t *Target) stream(w http.ResponseWriter, r *http.Request, b Behaviour, run *Run) {
	if b.Status != 0 {
		w.WriteHeader(b.Status)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	sent := 0
	for n := run.From + 1; n <= int64(b.Events); n++ {
		if b.BreakAfter > 0 && sent == b.BreakAfter {
			if b.Torn {
				fmt.Fprintf(w, "id: %d\nda", n)
				_ = flush() // the connection ends right after
			}
			panic(http.ErrAbortHandler)
		}
		if b.HangAfter > 0 && sent == b.HangAfter {
			<-r.Context().Done()
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(run.ID, n))
		if flush() != nil || !pause.For(r.Context(), b.Pause) {
			t.mu.Lock()
			run.Gone = true
			t.mu.Unlock()
			return
		}
		sent++
	}
}

// answerStray writes the answer to another request where that to r is due.
func (t *Target) answerStray(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	id := r.Header.Get(t.dialect.RequestID)
	t.begin(r, id)
	for _, of := range []string{"another", id} {
		body := Answer(of)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			t.dialect.RequestID, of, t.dialect.Signature, Signature(of), len(body), body)
	}
	panic(http.ErrAbortHandler)
}
