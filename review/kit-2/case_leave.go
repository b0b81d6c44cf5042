package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["leave-ack"] = leaveAck }

// leaveAck: an engine says that it leaves by its deregistration, and the control host that
// acknowledges it loses power right after that.
func leaveAck(s *site) (int, error) {
	var engines []*engine
	var leaver, model *engine
	for z := range zones {
		for n := range 3 {
			e := s.newEngine(z, "bell", n)
			engines = append(engines, e)
			if z == 1 && n == 0 {
				model = e
			}
		}
		e := s.newEngine(z, "dispatch", 50)
		engines = append(engines, e)
		if z == 2 {
			leaver = e
		}
	}
	if err := s.startAll(config(2), engines...); err != nil {
		return cannotRun, err
	}
	time.Sleep(3 * time.Second)
	lost := s.controls()[0]
	var gateways []*machine
	for _, m := range s.class("edge") {
		if m != lost {
			gateways = append(gateways, m)
		}
	}
	c := newClients(s)
	end := time.Now().Add(20 * time.Second)
	c.every(50*time.Millisecond, end, func(n int) {
		c.stream(pick(gateways), "/wiring/a", fmt.Sprintf("key-of-tenant-%d", n%2), fmt.Sprintf("aa%d:200,bb%d:250", n%9, n))
	})
	c.every(50*time.Millisecond, end, func(n int) {
		c.send(pick(gateways), "POST", "/ping/a", fmt.Sprintf("key-of-tenant-%d", n%2), 1500*time.Millisecond, nil, []byte("ping"))
	})
	time.Sleep(6 * time.Second)
	leaving := []*engine{leaver, model}
	acked := map[*engine]time.Time{}
	for _, e := range leaving { // their last reports, to another control host
		e.mu.Lock()
		e.muted = true
		e.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	for _, e := range leaving {
		e.beatNow(s.controls()[1])
	}
	time.Sleep(300 * time.Millisecond)
	results := make(chan error, len(leaving))
	for _, e := range leaving {
		e.mu.Lock()
		e.leaving = true
		e.mu.Unlock()
		go func() {
			status, _, err := s.callOnce(lost, http.MethodPost, "/v1/instances/"+e.id+"/deregister", []byte(fmt.Sprintf(`{"born":%d}`, e.born)))
			if err == nil && status/100 != 2 {
				err = fmt.Errorf("status %d", status)
			}
			results <- err
		}()
	}
	for range leaving {
		if err := <-results; err != nil {
			return cannotRun, fmt.Errorf("deregistration: %w", err)
		}
	}
	ackAt := time.Now()
	killedAt := ackAt
	if s.trouble {
		killedAt = s.kill(lost)
	}
	for _, e := range leaving {
		acked[e] = ackAt
		s.note("engine %s has deregistered at %s, which acknowledged it with 200; it serves on for some seconds", e.id, lost.name)
	}
	if s.trouble {
		s.note("%s lost power %.1f ms after it acknowledged", lost.name, float64(killedAt.Sub(ackAt).Microseconds())/1000)
	}
	time.Sleep(time.Until(ackAt.Add(5 * time.Second)))
	restartAt := time.Now()
	if s.trouble {
		if err := s.start(lost); err != nil {
			return cannotRun, err
		}
	}
	time.Sleep(time.Until(ackAt.Add(8 * time.Second)))
	for _, e := range leaving {
		e.crash("it exits, as it has said")
	}
	c.wg.Wait()
	c.writeRecord()
	from := ackAt.Add(contact) // drain_ms is shorter
	sentBy := c.byID()
	total, wrong := 0, 0
	for _, a := range s.allArrivals() {
		r := sentBy[a.id]
		if r == nil || r.at.Before(from) || !a.at.Before(restartAt) {
			continue
		}
		total++
		if _, left := acked[a.engine]; left {
			wrong++
			if wrong <= 5 {
				s.note("request %s, sent at %.3f to %s, reaches engine %s at %.3f, %.1f s after the acknowledgement", a.id, s.since(r.at), r.gateway.name, a.boot, s.since(a.at), a.at.Sub(ackAt).Seconds())
			}
		}
	}
	s.note("DRAIN: of %d requests sent by machines in touch later than %s after the acknowledgement (drain_ms is 2 s) and before the lost machine is back, %d reach the engines that are gone", total, contact, wrong)
	if total < 30 {
		return cannotRun, fmt.Errorf("only %d requests are judged", total)
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
