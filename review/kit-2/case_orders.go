package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["frozen-order"] = frozenOrder }

const (
	evacuate = 5 * time.Second // evacuate_ms
	contact  = 3 * time.Second // contact_ms
)

// frozenOrder: the operator's order reaches a control host that stands still, is sent again
// to another one, and is overtaken by a later order. When the machine wakes, it must not
// carry out the former order once more.
func frozenOrder(s *site) (int, error) {
	var engines []*engine
	for z := range zones {
		for n := range 3 {
			engines = append(engines, s.newEngine(z, "bell", n))
		}
		engines = append(engines, s.newEngine(z, "dispatch", 50))
	}
	if err := s.startAll(config(2), engines...); err != nil {
		return cannotRun, err
	}
	time.Sleep(3 * time.Second)
	frozen, others := s.controls()[2], s.controls()[:2]
	zone := zones[1]
	var gateways []*machine
	for _, m := range s.class("edge") {
		if m != frozen {
			gateways = append(gateways, m)
		}
	}
	c := newClients(s)
	end := time.Now().Add(32 * time.Second)
	c.every(60*time.Millisecond, end, func(n int) {
		c.stream(pick(gateways), "/wiring/a", fmt.Sprintf("key-of-tenant-%d", n%2), fmt.Sprintf("aa%d:200,bb%d:250", n%9, n))
	})
	c.every(60*time.Millisecond, end, func(n int) {
		c.send(pick(gateways), "POST", "/ping/a", fmt.Sprintf("key-of-tenant-%d", n%2), 1500*time.Millisecond, nil, []byte("ping"))
	})
	time.Sleep(4 * time.Second)
	before := 0
	for _, a := range s.allArrivals() {
		if a.engine.zone == zone {
			before++
		}
	}
	if before == 0 {
		return cannotRun, fmt.Errorf("no request reached zone %s before", zone)
	}
	begin, finish := "/v1/drain/"+zone+"/begin", "/v1/drain/"+zone+"/finish"
	if _, _, err := s.order(begin, nil, 4*time.Second, others...); err != nil {
		return cannotRun, err
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.signal(frozen, syscall.SIGSTOP)
	}
	frozenAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	if _, _, err := s.order(finish, nil, 6*time.Second, append([]*machine{frozen}, others...)...); err != nil {
		return cannotRun, err
	}
	time.Sleep(800 * time.Millisecond)
	ackAt, by, err := s.order(begin, nil, 4*time.Second, others...)
	if err != nil {
		return cannotRun, err
	}
	s.note("the evacuation of %s is acknowledged by %s; it is not taken back any more", zone, by.name)
	time.Sleep(time.Until(frozenAt.Add(4 * time.Second)))
	if s.trouble {
		s.signal(frozen, syscall.SIGCONT)
	}
	wokeAt := time.Now()
	c.wg.Wait()
	time.Sleep(500 * time.Millisecond)
	judged := ackAt.Add(evacuate)
	if calm := wokeAt.Add(contact); calm.After(judged) {
		judged = calm
	}
	c.writeRecord()
	by2 := c.byID()
	total, wrong := 0, 0
	for _, a := range s.allArrivals() {
		r := by2[a.id]
		if r == nil || r.at.Before(judged) {
			continue
		}
		total++
		if a.engine.zone == zone {
			wrong++
			if wrong <= 5 {
				s.note("request %s, sent at %.3f to %s, reaches engine %s in %s at %.3f", a.id, s.since(r.at), r.gateway.name, a.boot, zone, s.since(a.at))
			}
		}
	}
	s.note("EVAC: of %d requests sent later than evacuate_ms after the acknowledgement, and contact_ms after the freeze, %d reach engines in %s", total, wrong, zone)
	if total < 50 {
		return cannotRun, fmt.Errorf("only %d requests are judged", total)
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
