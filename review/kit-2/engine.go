package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for one engine. It behaves as PROTOCOL.md says of a sound one.
type engine struct {
	site    *site
	zone    string
	service string
	ip      string
	slots   int
	model   bool

	mu       sync.Mutex
	id       string
	version  string
	born     int64
	sequence int
	state    string
	leaving  bool // healthz answers 503
	muted    bool // sends no beats
	up       bool
	epoch    int
	running  int
	waiting  int
	listener net.Listener
	conns    map[net.Conn]bool
	stop     chan struct{}
	keepID   bool
	firstLag time.Duration // how late the first report of a boot is

	// begin is called when a request begins to run; true means that the engine crashes.
	begin func(e *engine, r *http.Request) bool
	// events is how many events an answer has, gap the time between them.
	events int
	gap    time.Duration
	next   int // control host of the next beat
}

// newEngine adds an engine; boot starts it.
func (s *site) newEngine(zone int, service string, number int) *engine {
	e := &engine{site: s, zone: zones[zone], service: service, slots: 8, model: service == "bell", version: "v1", events: 20, gap: 20 * time.Millisecond,
		ip: fmt.Sprintf("127.%d.%d.%d", s.subnet, zone+1, 100+number), next: number}
	s.mu.Lock()
	s.engines = append(s.engines, e)
	s.mu.Unlock()
	return e
}

func (e *engine) addr() string { return fmt.Sprintf("%s:%d", e.ip, enginePort) }

// boot starts the engine as a new boot.
func (e *engine) boot() error {
	l, err := net.Listen("tcp", e.addr())
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.keepID || e.id == "" {
		e.id = "i-" + e.site.newID()
	}
	e.born, e.sequence, e.state, e.up, e.leaving = time.Now().UnixMilli(), 0, "ready", true, false
	e.epoch++
	e.running, e.waiting = 0, 0
	e.listener, e.conns, e.stop = l, make(map[net.Conn]bool), make(chan struct{})
	conns := e.conns
	server := &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 15 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch state {
		case http.StateNew:
			conns[c] = true
		case http.StateClosed:
			delete(conns, c)
		}
	}}
	go func() { _ = server.Serve(l) }()
	go e.beat(e.stop, e.firstLag)
	e.site.note("engine %s of %s, version %s, starts at %s in %s", e.id, e.service, e.version, e.addr(), e.zone)
	return nil
}

// crash ends the boot at once: all connections are reset, and nobody is told.
func (e *engine) crash(why string) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	close(e.stop)
	e.listener.Close()
	conns := e.conns
	e.conns = nil
	id := e.id
	var all []net.Conn
	for c := range conns {
		all = append(all, c)
	}
	e.mu.Unlock()
	for _, c := range all {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	e.site.note("engine %s ends: %s", id, why)
}

func (e *engine) end() { e.crash("the case ends") }

// report is the body of a status report.
func (e *engine) report() (id string, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	content := map[string]any{"service": e.service, "address": e.addr(), "zone": e.zone, "version": e.version, "slots": e.slots, "state": e.state,
		"warmup_left_ms": 0, "sequence": e.sequence, "born": e.born}
	if e.model {
		content["stage"], content["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	body, _ = json.Marshal(content)
	return e.id, body
}

// beat sends a status report about every 1.2 s, each to the next control host, and to the
// one after that if it gets no acknowledgement.
func (e *engine) beat(stop chan struct{}, lag time.Duration) {
	timer := time.NewTimer(lag)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-timer.C:
		}
		timer.Reset(1200 * time.Millisecond)
		e.mu.Lock()
		muted := e.muted
		e.mu.Unlock()
		if !muted {
			e.beatNow(nil)
		}
	}
}

// beatNow sends one report, first to the given control host.
func (e *engine) beatNow(first *machine) bool {
	id, body := e.report()
	controls := e.site.controls()
	e.mu.Lock()
	start := e.next
	e.next++
	e.mu.Unlock()
	for i := range controls {
		m := controls[(start+i)%len(controls)]
		if first != nil && i == 0 {
			m = first
		}
		if status, _, err := e.site.callOnce(m, http.MethodPost, "/v1/instances/"+id+"/heartbeat", body); err == nil && status < 300 {
			return true
		}
	}
	return false
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id, epoch, version := e.id, e.epoch, e.version
	leaving := e.leaving
	e.mu.Unlock()
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Banyanwalk-Instance-Id", id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case r.URL.Path == "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":%d,"running":%d,"kv_used":0,"kv_total":72000,"handles":0}`, e.waiting, e.running)
		return
	}
	request := r.Header.Get("X-Banyanwalk-Request-Id")
	w.Header().Set("X-Banyanwalk-Request-Id", request)
	note := arrival{at: time.Now(), engine: e, boot: id, id: request, tenant: r.Header.Get("X-Banyanwalk-Tenant"), path: r.URL.Path, last: r.Header.Get("Last-Event-Id")}
	record := func(ran bool) {
		note.ran = ran
		e.site.mu.Lock()
		e.site.arrivals = append(e.site.arrivals, note)
		e.site.mu.Unlock()
	}
	if expected := r.Header.Get("X-Banyanwalk-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Banyanwalk-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	full := e.running >= e.slots+24
	if !full {
		e.running++
	}
	load := fmt.Sprintf("%d,%d,%d", min(e.running, e.slots), max(0, e.running-e.slots), e.slots)
	e.mu.Unlock()
	w.Header().Set("X-Banyanwalk-Instance-Load", load)
	if full {
		record(false)
		w.Header().Set("X-Banyanwalk-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		if e.epoch == epoch {
			e.running--
		}
		e.mu.Unlock()
	}()
	record(true)
	if !e.model {
		time.Sleep(15 * time.Millisecond)
		w.Header().Set("X-Banyanwalk-Response-Signature", "sig."+request)
		_, _ = fmt.Fprintf(w, "answer to %s %s", request, strings.Repeat("x", 700))
		return
	}
	select {
	case <-time.After(30 * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	if e.begin != nil && e.begin(e, r) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Banyanwalk-Response-Signature", "sig."+request)
	w.Header().Set("X-Banyanwalk-Weight-Versions", "1")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= e.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s event %d of %s\n\n", n, version, id, n, request); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(e.gap):
		case <-r.Context().Done():
			return
		}
	}
}
