package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["heads"] = heads }

// memoryWatch does what the provider does: it kills a process that uses more memory than
// its machine has, and starts it again after a short delay.
type memoryWatch struct {
	mu    sync.Mutex
	over  map[string]int // how often the process of a machine was over its limit
	peaks map[string]int
}

// watch watches processes until stop is closed.
func (m *memoryWatch) watch(f *fleet, processes []*process, limitMB int, stop <-chan struct{}) {
	m.peaks, m.over = make(map[string]int), make(map[string]int)
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, p := range processes {
			if !p.running() {
				f.rec.line("provider: %s %s has ended by itself", p.role, p.name)
				if f.startProcess(p) != nil {
					return
				}
				continue
			}
			now, _ := p.memoryMB()
			m.mu.Lock()
			m.peaks[p.name] = max(m.peaks[p.name], now)
			over := now > limitMB
			if over {
				m.over[p.name]++
			}
			m.mu.Unlock()
			if !over {
				continue
			}
			f.rec.line("provider: %s %s uses %d MB of %d, and is killed", p.role, p.name, now, limitMB)
			p.signal(syscall.SIGKILL)
			<-p.exited
			time.Sleep(500 * time.Millisecond)
			if f.startProcess(p) != nil {
				return
			}
		}
	}
}

// heads has the clients of eight tenants submit batches whose items have long prompts with
// many parts, within the limits of the config and within what each tenant may have waiting.
func heads(f *fleet, trouble bool) (bool, error) {
	if err := startSmall(f, func() handler { return streamOf(40, 25*time.Millisecond, 20) }, func() handler { return plain }); err != nil {
		return false, err
	}
	watch := &memoryWatch{}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Add(1)
	go func() {
		defer watching.Done()
		watch.watch(f, f.role("store"), storeMemoryMB, stop)
	}()
	ended := false
	end := func() {
		if !ended {
			ended = true
			close(stop)
			watching.Wait()
		}
	}
	defer end()
	if !f.submit(0, 5, "ordinary", submission("ordinary", 10, 5, 200)) {
		return false, fmt.Errorf("the ordinary batch was not accepted")
	}
	if !f.awaitDone(0, "ordinary", 20*time.Second) {
		return false, fmt.Errorf("the ordinary batch was not done")
	}
	const perTenant = 6
	parts := 740 // 13 KB of headers an item
	if !trouble {
		parts = 5
	}
	accepted := 0
	var mu sync.Mutex
	var submitting sync.WaitGroup
	until := time.Now().Add(50 * time.Second)
	for tenant := range 8 {
		submitting.Add(1)
		go func() {
			defer submitting.Done()
			for n := range perTenant {
				if time.Now().After(until) {
					return
				}
				id := fmt.Sprintf("long-%d-%d", tenant, n)
				if f.submit(tenant, 4, id, submission(id, 200, parts, 10)) {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
		}()
	}
	submitting.Wait()
	f.rec.line("%d batches were accepted, with %d parts in the prompt of each item", accepted, parts)
	served, asked := 0, 0
	for n := range 12 { // an ordinary client goes on reading its results
		g := f.role("gateway")[n%3]
		page, a := f.read(g, 0, "ordinary", 0)
		f.rec.line("client: tenant0 reads its ordinary batch at %s: status %d, %d results, error %v", g.name, a.status, len(page.Results), a.err)
		asked++
		if a.status == http.StatusOK && len(page.Results) > 0 {
			served++
		}
		time.Sleep(500 * time.Millisecond)
	}
	end()
	watch.mu.Lock()
	defer watch.mu.Unlock()
	f.rec.line("memory of the storage processes at their peaks, MB of %d: %v; ends for that: %v; %d of %d reads of an ordinary batch answered", storeMemoryMB,
		watch.peaks, watch.over, served, asked)
	machines := 0 // whose process ended three times
	for _, ends := range watch.over {
		if ends >= 3 {
			machines++
		}
	}
	return machines >= 2, nil
}
