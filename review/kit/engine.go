package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	lines   []string
}

func newRecord() *record { return &record{started: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
}

func (r *record) write(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// run is one request that an engine began to work on.
type run struct {
	at                              time.Time
	engine, method, uri, id, tenant string
	expect, digest                  string
	bytes                           int
}

// engine is a stand-in for a model engine or an application server: it speaks what the
// pages say and behaves soundly.
type engine struct {
	site                    *site
	id, service, zone, addr string
	slots                   int
	events                  int           // of each stream
	pause                   time.Duration // between two events
	pad                     string        // that each event holds beside its number
	born                    int64
	server                  *http.Server
	listener                net.Listener
	done                    chan struct{}
	once                    sync.Once

	mu       sync.Mutex
	state    string
	sequence int
	running  int
	runs     []run
}

// addEngine starts an engine that sends status reports.
func (s *site) addEngine(number int, service, zone string) (*engine, error) {
	ip := s.prefix + strconv.Itoa(100+number)
	l, err := net.Listen("tcp", ip+":"+strconv.Itoa(enginePort))
	if err != nil {
		return nil, err
	}
	e := &engine{site: s, id: fmt.Sprintf("i-7f3a%04x", number), service: service, zone: zone, addr: l.Addr().String(), slots: 8, events: 20, pause: 5 * time.Millisecond,
		born: time.Now().UnixMilli(), listener: l, done: make(chan struct{}), state: "ready"}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	s.engines = append(s.engines, e)
	return e, nil
}

func (e *engine) stop() {
	e.once.Do(func() {
		close(e.done)
		_ = e.server.Close()
	})
}

// report returns the next status report.
func (e *engine) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	body, _ := json.Marshal(map[string]any{"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state, "warmup_left_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": e.sequence, "born": e.born})
	return body
}

// beatOnce sends a status report to one control host after the other until one
// acknowledges it.
func (e *engine) beatOnce() (acknowledgedBy string) {
	body := e.report()
	for _, p := range e.site.role("control") {
		status, _, err := e.site.controlCall(p, http.MethodPost, "/v1/instances/"+e.id+"/heartbeat", body)
		if err == nil && status >= 200 && status < 300 {
			return p.machine.name
		}
	}
	return ""
}

func (e *engine) beat() {
	for {
		e.beatOnce()
		select {
		case <-e.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// drain says that the engine leaves, until a control host has acknowledged it.
func (e *engine) drain() (at time.Time, by string) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	for {
		if by := e.beatOnce(); by != "" {
			return time.Now(), by
		}
	}
}

func (e *engine) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

// ServeHTTP serves one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	e.mu.Lock()
	state, running := e.state, e.running
	e.mu.Unlock()
	h.Set("X-Banyanwalk-Instance-Load", fmt.Sprintf("%d,0,%d", running, e.slots))
	if r.URL.Path == "/healthz" {
		h.Set("X-Banyanwalk-Instance-Id", e.id)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Banyanwalk-Request-Id")
	h.Set("X-Banyanwalk-Request-Id", id)
	if expect := r.Header.Get("X-Banyanwalk-Expect-Instance"); expect != "" && expect != e.id {
		h.Set("X-Banyanwalk-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Banyanwalk-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	if e.running >= e.slots+24 {
		e.mu.Unlock()
		h.Set("X-Banyanwalk-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	sum := sha256.Sum256(body)
	begun := run{at: time.Now(), engine: e.id, method: r.Method, uri: r.RequestURI, id: id, tenant: r.Header.Get("X-Banyanwalk-Tenant"),
		expect: r.Header.Get("X-Banyanwalk-Expect-Instance"), digest: hex.EncodeToString(sum[:8]), bytes: len(body)}
	e.runs = append(e.runs, begun)
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	h.Set("X-Banyanwalk-Response-Signature", "3e1b.07."+id)
	h.Set("X-Banyanwalk-Weight-Versions", "1")
	if e.service != llmService {
		time.Sleep(15 * time.Millisecond)
		_, _ = w.Write(bytes.Repeat([]byte("a"), 800))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flusher, _ := w.(http.Flusher)
	for n := last + 1; n <= e.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d%s\n\n", n, id, n, e.pad); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.pause):
		}
	}
}
