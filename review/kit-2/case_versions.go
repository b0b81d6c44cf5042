package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["same-id"] = sameID }

// sameID: engines crash one after the other, and each is back after a second under the id
// that it had, with the next version of its software. Its first status report is two
// seconds late.
func sameID(s *site) (int, error) {
	var engines []*engine
	for z := range zones {
		for n := range 2 {
			e := s.newEngine(z, "bell", n)
			e.keepID, e.gap = true, 100*time.Millisecond
			engines = append(engines, e)
		}
	}
	if err := s.startAll(config(2), engines...); err != nil {
		return cannotRun, err
	}
	time.Sleep(3 * time.Second)
	gateways := s.class("edge")
	c := newClients(s)
	end := time.Now().Add(24 * time.Second)
	c.every(75*time.Millisecond, end, func(n int) {
		c.stream(pick(gateways), "/fault/a", fmt.Sprintf("key-of-tenant-%d", n%2), fmt.Sprintf("aa%d:200,bb%d:250", n%9, n))
	})
	time.Sleep(5 * time.Second)
	for _, e := range engines {
		if s.trouble {
			e.crash("it crashes")
			time.Sleep(time.Second)
			e.mu.Lock()
			e.version, e.firstLag = "v2", 2*time.Second
			e.mu.Unlock()
			if err := e.boot(); err != nil {
				return cannotRun, err
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.wg.Wait()
	c.writeRecord()
	whole, joined := 0, 0
	for _, r := range c.list() {
		if r.status != 200 {
			continue
		}
		whole++
		if strings.Contains(r.body, "data: v1 ") && strings.Contains(r.body, "data: v2 ") {
			joined++
			s.note("the answer to %s, sent at %.3f to %s, holds events of two versions:\n%s", r.id, s.since(r.at), r.gateway.name, r.body)
		}
	}
	s.note("ORDER: of %d answers, %d hold events of two software versions (two are allowed)", whole, joined)
	if whole < 100 {
		return cannotRun, fmt.Errorf("only %d answers", whole)
	}
	if joined > 2 {
		return broken, nil
	}
	return held, nil
}
