package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

type handler = func(*engine, http.ResponseWriter, *http.Request, string)

func init() { cases["evacuation"] = evacuation }

// traffic sends requests of a kind to each of some gateways until stop is closed.
func traffic(f *fleet, gateways []*process, path string, every time.Duration, stop <-chan struct{}, wg *sync.WaitGroup) {
	for _, g := range gateways {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var sending sync.WaitGroup
			defer sending.Wait()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
				sending.Add(1)
				go func() {
					defer sending.Done()
					id := fmt.Sprintf("%s-%d", g.name, n)
					a := f.send(g, http.MethodPost, path, id, []byte("body"), 1500*time.Millisecond, nil)
					f.rec.line("client: %s at %s: status %d, error %v", id, g.name, a.status, a.err)
				}()
			}
		}()
	}
}

// evacuation freezes a machine while the operator's order to take an evacuation back is on
// its way to it. The operator sends that order to another node, and later evacuates the zone
// again. The machine wakes.
func evacuation(f *fleet, trouble bool) (bool, error) {
	if err := startSmall(f, func() handler { return streamOf(20, 20*time.Millisecond, 20) }, func() handler { return plain }); err != nil {
		return false, err
	}
	// A machine that does not lead the control processes will freeze. The clients' requests go
	// to the two others.
	leader, first := f.controlLeader(), 0
	var gateways []*process
	for i, g := range f.role("gateway") {
		if g.name != leader {
			first = i
		}
	}
	for i, g := range f.role("gateway") {
		if i != first {
			gateways = append(gateways, g)
		}
	}
	zone := gateways[0].zone // of a machine that is not frozen, as gateways prefer engines of their own zone
	f.rec.line("the control process on %s leads; %s will freeze; %s will be evacuated", leader, f.role("control")[first].name, zone)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	traffic(f, gateways, "/ping/x", 25*time.Millisecond, stop, &wg)
	defer wg.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second)
	if err := f.order("begin evacuation, first", first+1, "/v1/drain/"+zone+"/begin", nil); err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	if late := f.ran(zone, time.Now().Add(-time.Second)); len(late) > 0 {
		return false, fmt.Errorf("the first evacuation did not take effect: %d requests", len(late))
	}
	frozen := []*process{f.role("control")[first], f.role("gateway")[first]}
	if trouble {
		for _, p := range frozen {
			p.signal(syscall.SIGSTOP)
		}
		f.rec.line("machine %s freezes", frozen[0].name)
	}
	froze := time.Now()
	if err := f.order("finish evacuation, first", first, "/v1/drain/"+zone+"/finish", nil); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if err := f.order("begin evacuation, second", first+1, "/v1/drain/"+zone+"/begin", nil); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	f.rec.line("the second evacuation is acknowledged")
	time.Sleep(time.Until(froze.Add(3200 * time.Millisecond)))
	if trouble {
		for _, p := range frozen {
			p.signal(syscall.SIGCONT)
		}
		f.rec.line("machine %s wakes", frozen[0].name)
	}
	woke := time.Now()
	// Machines are in touch 3 s after the thaw; an unstable core stretches the 5 s of an
	// evacuation by 5 s at most.
	counted := acknowledged.Add(10 * time.Second)
	if later := woke.Add(2 * contactTime); later.After(counted) {
		counted = later
	}
	time.Sleep(time.Until(counted.Add(10 * time.Second)))
	late := f.ran(zone, counted)
	f.rec.line("requests that engines of %s ran in the last 10 s, though the zone is evacuated: %d", zone, len(late))
	for _, a := range late[:min(5, len(late))] {
		f.rec.line("engine: ran %s %.1f s after the acknowledgement", a.id, a.at.Sub(acknowledged).Seconds())
	}
	return len(late) > 0, nil
}

// controlLeader returns the name of the control process that wrote last that it leads.
func (f *fleet) controlLeader() string {
	leader, newest := "", ""
	for _, p := range f.role("control") {
		content, err := os.ReadFile(filepath.Join(f.dir, p.role+"-"+p.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			if strings.Contains(line, "msg=leadership") && strings.Contains(line, "own=true") && line[:40] > newest {
				leader, newest = p.name, line[:40]
			}
		}
	}
	return leader
}
