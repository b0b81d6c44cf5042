package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	evacuateBound = 5 * time.Second // evacuate_ms
	freezeFor     = 6 * time.Second
)

// signal sends a signal to both processes of a machine, as a freeze of the machine does.
func (s *site) signal(m *machine, sig syscall.Signal) {
	for _, p := range s.processes {
		if pid := p.pid(); p.machine == m && pid != 0 {
			_ = syscall.Kill(pid, sig)
		}
	}
}

// orderAt sends an order of the operator to control hosts in the given order, to the next
// one after a second without a response, until one acknowledges it.
func (s *site) orderAt(hosts []*process, path string) error {
	for _, p := range hosts {
		status, _, err := s.controlCall(p, http.MethodPost, path, nil)
		s.record.add("operator POST %s at %s: %d %v", path, p.machine.name, status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
	}
	return errors.New(path + ": no acknowledgement")
}

// staleOrder freezes a control machine, to which the operator first sends the withdrawal of
// an evacuation, and evacuates the zone again meanwhile. It does so with two machines, one
// after the other, as the one that leads may lose its leadership instead.
func staleOrder(s *site, trouble bool) (int, error) {
	if err := begin(s, 6, 3, config(1, nil)); err != nil {
		return cannotRun, err
	}
	zone := zones[0]
	controls := s.role("control")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, g := range s.role("gateway") {
		if g.machine.zone != zone { // their machines freeze; only the others send requests
			continue
		}
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				path := pathAsk
				if n%2 == 1 {
					path = pathPlain
				}
				got := s.send(g, http.MethodPost, path+"2f", newID(), keyA, map[string]string{"X-Banyanwalk-Deadline-Ms": "1500", "X-Banyanwalk-Model": "m", "X-Banyanwalk-Token-Usage": "450,80"}, []byte("ask"))
				if got.status != http.StatusOK {
					s.record.add("client POST at %s: %d %v", g.machine.name, got.status, got.err)
				}
			}
		})
	}
	status := held
	for _, frozen := range []*process{controls[1], controls[2]} {
		others := []*process{controls[0]}
		for _, p := range controls[1:] {
			if p != frozen {
				others = append(others, p)
			}
		}
		if err := s.orderAt(others, "/v1/drain/"+zone+"/begin"); err != nil {
			return cannotRun, err
		}
		time.Sleep(2 * time.Second)
		if trouble {
			s.signal(frozen.machine, syscall.SIGSTOP)
			s.record.add("platform: machine %s freezes", frozen.machine.name)
		}
		frozenAt := time.Now()
		time.Sleep(200 * time.Millisecond)
		if err := s.orderAt(append([]*process{frozen}, append(others, others...)...), "/v1/drain/"+zone+"/finish"); err != nil {
			return cannotRun, err
		}
		time.Sleep(500 * time.Millisecond)
		if err := s.orderAt(append(others, others...), "/v1/drain/"+zone+"/begin"); err != nil {
			return cannotRun, err
		}
		acked := time.Now()
		time.Sleep(time.Until(frozenAt.Add(freezeFor)))
		if trouble {
			s.signal(frozen.machine, syscall.SIGCONT)
			s.record.add("platform: machine %s goes on", frozen.machine.name)
		}
		from := time.Now().Add(contactTime)
		if bound := acked.Add(evacuateBound); bound.After(from) {
			from = bound
		}
		until := from.Add(4 * time.Second)
		time.Sleep(time.Until(until))
		reached, elsewhere := 0, 0
		for _, e := range s.engines {
			for _, r := range e.allRuns() {
				switch {
				case r.at.Before(from) || r.at.After(until):
				case e.zone == zone:
					if reached++; reached <= 5 {
						s.record.add("EVAC: request %s reached engine %s in %s %d ms after the acknowledgement of its evacuation (bound %d)", r.id, r.engine, e.zone,
							r.at.Sub(acked).Milliseconds(), evacuateBound.Milliseconds())
					}
				default:
					elsewhere++
				}
			}
		}
		s.record.add("from %d to %d ms after the acknowledgement, %d requests reached engines in the evacuated zone and %d others", from.Sub(acked).Milliseconds(), until.Sub(acked).Milliseconds(), reached, elsewhere)
		if reached+elsewhere < 50 {
			return cannotRun, fmt.Errorf("only %d requests ran", reached+elsewhere)
		}
		if reached > 0 {
			status = broken
		}
		if err := s.orderAt(others, "/v1/drain/"+zone+"/finish"); err != nil {
			return cannotRun, err
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	clients.Wait()
	return status, nil
}
