package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["bad-part"] = func(s *site) (int, error) { return badPart(s, 8) }
	cases["bad-part-one-tenant"] = func(s *site) (int, error) { return badPart(s, 1) }
}

const badPartID = "dead0bad"

// badPart: a part of prompts crashes each engine that begins to write an answer on it, and
// requests with it come from callers of several tenants.
func badPart(s *site, tenantsWithIt int) (int, error) {
	var mu sync.Mutex
	var crashes []time.Time
	reached := map[string]time.Time{}
	var engines []*engine
	begin := func(e *engine, r *http.Request) bool {
		if !strings.Contains(r.Header.Get("X-Banyanwalk-Prompt-Prefix"), badPartID+":") {
			return false
		}
		mu.Lock()
		reached[r.Header.Get("X-Banyanwalk-Request-Id")+"/"+e.id] = time.Now()
		if s.trouble {
			crashes = append(crashes, time.Now())
		}
		mu.Unlock()
		if !s.trouble {
			return false
		}
		e.crash("a part of a prompt crashes it: request " + r.Header.Get("X-Banyanwalk-Request-Id") + " of " + r.Header.Get("X-Banyanwalk-Tenant"))
		time.AfterFunc(2500*time.Millisecond, func() {
			s.mu.Lock()
			closed := s.closed
			s.mu.Unlock()
			if !closed {
				_ = e.boot()
			}
		})
		return true
	}
	for z := range zones {
		for n := range 6 {
			e := s.newEngine(z, "bell", n)
			e.begin = begin
			engines = append(engines, e)
		}
	}
	if err := s.startAll(config(8), engines...); err != nil {
		return cannotRun, err
	}
	time.Sleep(3 * time.Second)
	gateways := s.class("edge")
	c := newClients(s)
	end := time.Now().Add(50 * time.Second)
	c.every(25*time.Millisecond, end, func(n int) {
		c.stream(pick(gateways), fmt.Sprintf("/wiring/%d", n), fmt.Sprintf("key-of-tenant-%d", n%8), fmt.Sprintf("aa%d:100,cc%d:100,bb%d:250", n%20, n%7, n))
	})
	time.Sleep(6 * time.Second)
	c.every(700*time.Millisecond, end, func(n int) {
		for range 2 { // the attempt, and one retry
			r := c.stream(pick(gateways), fmt.Sprintf("/wiring/bad%d", n), fmt.Sprintf("key-of-tenant-%d", n%tenantsWithIt),
				fmt.Sprintf("aa%d:100,%s:100,ff%d:250", n%20, badPartID, n))
			if r.status != 429 && r.status != 503 {
				return
			}
			time.Sleep(400 * time.Millisecond)
		}
	})
	c.wg.Wait()
	c.writeRecord()
	mu.Lock()
	defer mu.Unlock()
	s.note("%d crashes of engines, %d requests with the part reached engines", len(crashes), len(reached))
	if !s.trouble {
		return held, nil
	}
	if len(crashes) < 5 {
		s.note("BUDGET: fewer than five crashes")
		return held, nil
	}
	from := crashes[4].Add(contact)
	sentBy := c.byID()
	late := 0
	for _, a := range s.allArrivals() {
		r := sentBy[a.id]
		if r != nil && strings.Contains(r.parts, badPartID+":") && a.at.After(from) {
			late++
			s.note("request %s of %s with the part reaches engine %s at %.3f, %.1f s after the fifth crash", a.id, a.tenant, a.boot, s.since(a.at), a.at.Sub(crashes[4]).Seconds())
		}
	}
	s.note("BUDGET: %d requests with the part reach engines later than contact_ms after the fifth crash (three are allowed)", late)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}
