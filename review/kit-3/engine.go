package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in for an engine: it reports its state, answers about its health, and
// runs requests.
type engine struct {
	fleet             *fleet
	id, service, zone string
	addr              string
	slots             int
	born              int64
	server            *http.Server
	handle            func(e *engine, w http.ResponseWriter, r *http.Request, id string) // runs a request
	mu                sync.Mutex
	running           int
	sequence          int
	arrivals          []arrival
	down              bool // it has crashed and is not back yet
	reporting         sync.WaitGroup
}

// arrival is a request that an engine began to run.
type arrival struct {
	id string
	at time.Time
}

// addEngine starts an engine at the address with the given number.
func (f *fleet) addEngine(number int, service, zone string, slots int, handle func(*engine, http.ResponseWriter, *http.Request, string)) error {
	e := &engine{fleet: f, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), handle: handle,
		addr: fmt.Sprintf("%s:%d", f.ip(number), enginePort)}
	if err := e.listen(); err != nil {
		return err
	}
	f.engines = append(f.engines, e)
	e.reporting.Add(1)
	go e.report()
	return nil
}

func (e *engine) listen() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the engine as the end of its process does: its listener and all channels are
// closed. It is back after a time, under its id, and knows nothing of before.
func (e *engine) crash(back time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	_ = e.server.Close()
	e.fleet.rec.line("engine: %s crashes", e.id)
	time.AfterFunc(back, func() {
		if e.fleet.ctx.Err() != nil || e.listen() != nil {
			return
		}
		e.mu.Lock()
		e.down, e.born, e.sequence = false, time.Now().UnixMilli(), 0
		e.mu.Unlock()
		e.fleet.rec.line("engine: %s is back", e.id)
	})
}

func (e *engine) close() {
	e.mu.Lock()
	_ = e.server.Close()
	e.mu.Unlock()
	e.reporting.Wait()
}

// report sends status reports: each to one control process after another until one
// acknowledges it.
func (e *engine) report() {
	defer e.reporting.Done()
	controls := e.fleet.role("control")
	for next := 0; e.fleet.ctx.Err() == nil; {
		e.mu.Lock()
		if e.down {
			e.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		e.sequence++
		sequence, born := e.sequence, e.born
		e.mu.Unlock()
		body, _ := json.Marshal(map[string]any{"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
			"warmup_left_ms": 0, "sequence": sequence, "born": born, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}})
		for range controls {
			status, _, err := e.fleet.call(controls[next%len(controls)], http.MethodPost, "/v1/instances/"+e.id+"/heartbeat", body)
			if err == nil && status >= 200 && status < 300 {
				break
			}
			next++
		}
		for until := time.Now().Add(heartbeatTime); time.Now().Before(until) && e.fleet.ctx.Err() == nil && e.bornAt() == born; {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (e *engine) bornAt() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.born
}

// ServeHTTP answers one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Banyanwalk-Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Banyanwalk-Request-Id")
	w.Header().Set("X-Banyanwalk-Request-Id", id)
	if expected := r.Header.Get("X-Banyanwalk-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Banyanwalk-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	if e.running >= e.slots+24 { // slots and a short queue
		e.mu.Unlock()
		w.Header().Set("X-Banyanwalk-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	load := fmt.Sprintf("%d,%d,%d", min(e.running, e.slots), max(0, e.running-e.slots), e.slots)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{id: id, at: time.Now()})
	e.mu.Unlock()
	w.Header().Set("X-Banyanwalk-Instance-Load", load)
	w.Header().Set("X-Banyanwalk-Response-Signature", signature(id))
	e.handle(e, w, r, id)
}

func signature(id string) string { return "sig." + id }

// ran returns the requests that engines of a zone began to run after a moment.
func (f *fleet) ran(zone string, after time.Time) []arrival {
	var found []arrival
	for _, e := range f.engines {
		if zone != "" && e.zone != zone {
			continue
		}
		e.mu.Lock()
		for _, a := range e.arrivals {
			if a.at.After(after) {
				found = append(found, a)
			}
		}
		e.mu.Unlock()
	}
	return found
}

// plain answers a request with a short body after some milliseconds of work.
func plain(_ *engine, w http.ResponseWriter, r *http.Request, id string) {
	time.Sleep(15 * time.Millisecond)
	body := "answer to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	fmt.Fprint(w, body)
}

// streamOf returns a handler that answers with a number of events, a pause between them, and
// data of a size.
func streamOf(events int, pause time.Duration, bytes int) func(*engine, http.ResponseWriter, *http.Request, string) {
	return func(_ *engine, w http.ResponseWriter, r *http.Request, id string) {
		w.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(w).Flush
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := from + 1; n <= events; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n, bytes)); err != nil {
				return
			}
			if flush() != nil {
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
		}
	}
}

func eventData(id string, n, bytes int) string {
	data := fmt.Sprintf("%s-%d-", id, n)
	for len(data) < bytes {
		data += "abcdefghijklmnopqrstuvwxyz"
	}
	return data[:max(bytes, 1)]
}

// sortedByTime returns arrivals in the order of their times.
func sortedByTime(all []arrival) []arrival {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b arrival) int { return a.at.Compare(b.at) })
	return sorted
}
