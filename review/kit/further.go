package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The findings in this file are not among the five cases; the report tells of them.

// foreignReport sends one status report of another writer, with a field missing, before an
// engine says that it leaves.
func foreignReport(s *site, trouble bool) (int, error) {
	if err := begin(s, 3, 3, config(1, nil)); err != nil {
		return cannotRun, err
	}
	leaving := s.engines[0]
	if trouble {
		body, _ := json.Marshal(map[string]any{"service": leaving.service, "address": leaving.addr, "version": "v1", "slots": 8, "state": "ready", "warmup_left_ms": 0,
			"sequence": 500, "born": leaving.born})
		p := s.role("control")[0]
		status, content, err := s.controlCall(p, http.MethodPost, "/v1/instances/"+leaving.id+"/heartbeat", body)
		s.record.add("other writer: status report without a zone for %s at %s: %d %v %s", leaving.id, p.machine.name, status, err, firstLine(content))
	}
	time.Sleep(2 * time.Second)
	at, by := leaving.drain()
	s.record.add("engine %s says draining, acknowledged by %s", leaving.id, by)
	stop := at.Add(drainTime + contactTime)
	var wg sync.WaitGroup
	sentAt := sync.Map{}
	for _, g := range s.role("gateway") {
		wg.Go(func() {
			for time.Now().Before(stop) {
				id := newID()
				sentAt.Store(id, time.Now())
				got := s.send(g, http.MethodPost, pathAsk+"2f", id, keyA, map[string]string{"X-Banyanwalk-Deadline-Ms": "5000", "X-Banyanwalk-Model": "m", "X-Banyanwalk-Token-Usage": "450,80"}, []byte("ask"))
				if got.status != http.StatusOK {
					s.record.add("client POST id %s at %s: %d %v", id, g.machine.name, got.status, got.err)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	status, all := held, 0
	for _, e := range s.engines {
		for _, r := range e.allRuns() {
			all++
			if e == leaving && r.at.After(at.Add(drainTime)) {
				sent, _ := sentAt.Load(r.id)
				s.record.add("DRAIN: engine %s got request %s %d ms after the acknowledgement, sent by its client %d ms after it", r.engine, r.id,
					r.at.Sub(at).Milliseconds(), sent.(time.Time).Sub(at).Milliseconds())
				status = broken
			}
		}
	}
	if all < 100 {
		return cannotRun, fmt.Errorf("only %d requests ran", all)
	}
	return status, nil
}

// gatewayBodies sends 16 batch submissions of the largest size to one gateway at once.
func gatewayBodies(s *site, trouble bool) (int, error) {
	if err := begin(s, 6, 3, config(1, nil)); err != nil {
		return cannotRun, err
	}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { s.watchMemory(stop) })
	g := s.role("gateway")[3]
	clients := 16
	if !trouble {
		clients = 1
	}
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			var items []item
			for range queueLoad.items {
				body := make([]byte, usualBody)
				_, _ = rand.Read(body)
				items = append(items, newItem(newID(), body))
			}
			body, _ := json.Marshal(map[string]any{"requests": items})
			id := newID()
			got := s.send(g, http.MethodPost, pathBatch+id[:6], id, keyA, map[string]string{"Content-Type": "application/json"}, body)
			s.record.add("client POST batch submission %s (%d bytes) at %s: %d %v %s", id, len(body), g.machine.name, got.status, got.err, firstLine(got.body))
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	close(stop)
	watch.Wait()
	if g.ends > 0 {
		return broken, nil
	}
	return held, nil
}
