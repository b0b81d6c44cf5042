package main

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	restartDelay = 500 * time.Millisecond
	usualLot     = 10     // items: "of about 10"
	usualBody    = 15_000 // bytes, mean of the site file
	mostRead     = 8      // of the accepted batch submissions, at the end
)

// memoryLoad is what is submitted; usually the lots have usualLot items of usualBody bytes.
type memoryLoad struct {
	every       time.Duration
	submissions int
	items, body int
}

var (
	// burstLoad is a burst of 6 times the site's mean rate of 1.03 a second, for 3 s, with
	// large bodies; the site file's largest is 1,300,000, and ten of these fit max_body_bytes.
	burstLoad = memoryLoad{every: 162 * time.Millisecond, submissions: 18, items: usualLot, body: 300_000}
	// queueLoad is one submission a second, with as many items as one may hold.
	queueLoad = memoryLoad{every: time.Second, submissions: 32, items: 200, body: usualBody}
)

func burstMemory(s *site, trouble bool) (int, error) { return storeMemoryCase(s, burstLoad, trouble) }

func queueMemory(s *site, trouble bool) (int, error) { return storeMemoryCase(s, queueLoad, trouble) }

// watchMemory plays the platform: a process that uses more than memory_mb is killed, and
// one that has ended is started again after a short delay.
func (s *site) watchMemory(stop <-chan struct{}) {
	peaks := map[string]int{}
	for tick := 0; ; tick++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, p := range s.processes {
			if p.pid() == 0 {
				s.record.add("platform: %s has ended, start it again", p.name())
				p.restarts++
				time.Sleep(restartDelay)
				_ = p.start()
				continue
			}
			used := p.usedMB()
			if used > peaks[p.name()]+15 {
				peaks[p.name()] = used
				s.record.add("platform: %s uses %d of %d MB", p.name(), used, p.machine.memoryMB)
			}
			if used > p.machine.memoryMB {
				s.record.add("platform: %s uses %d MB, more than %d: killed", p.name(), used, p.machine.memoryMB)
				p.ends++
				p.kill()
			}
		}
	}
}

// storeMemoryCase submits a load and plays the platform, which ends what uses too much memory.
func storeMemoryCase(s *site, load memoryLoad, trouble bool) (int, error) {
	if err := begin(s, 18, 3, config(1, nil)); err != nil {
		return cannotRun, err
	}
	for _, e := range s.engines {
		e.events, e.pause = 221, 20*time.Millisecond
	}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { s.watchMemory(stop) })
	if !trouble {
		load.items, load.body = usualLot, usualBody
	}
	keys := []string{keyA, keyB}
	for i := range 6 {
		keys = append(keys, tenantKey(i))
	}
	type lot struct{ id, key string }
	var mu sync.Mutex
	var accepted []lot
	var clients sync.WaitGroup
	for n := range load.submissions {
		clients.Go(func() {
			var items []item
			for range load.items {
				body := make([]byte, load.body)
				_, _ = rand.Read(body)
				items = append(items, newItem(newID(), body))
			}
			id, key := newID(), keys[n%len(keys)]
			if ok, _ := s.submit(id, key, items, 8*time.Second); ok {
				mu.Lock()
				accepted = append(accepted, lot{id, key})
				mu.Unlock()
			}
		})
		time.Sleep(load.every)
	}
	clients.Wait()
	s.record.add("%d batch submissions were accepted", len(accepted))
	if len(accepted) < 6 {
		return cannotRun, fmt.Errorf("only %d batch submissions were accepted", len(accepted))
	}
	time.Sleep(18 * time.Second) // finish_s
	lost := 0
	for i, l := range accepted {
		if i >= mostRead {
			break
		}
		found := false
		until := time.Now().Add(contactTime)
		for try := 0; !found && time.Now().Before(until); try++ {
			gateways := s.role("gateway")
			g := gateways[try%len(gateways)]
			page, got := s.read(g, l.id, l.key, 0)
			found = got.status == http.StatusOK
			s.record.add("client GET results of %s at %s: %d, total %d, %d results %s", l.id, g.machine.name, got.status, page.Total, len(page.Results), clip(firstLine(got.body), 80))
			if !found {
				time.Sleep(300 * time.Millisecond)
			}
		}
		if !found {
			lost++
			s.record.add("LOST: batch submission %s can't be read", l.id)
		}
	}
	close(stop)
	watch.Wait()
	restarted := 0 // machines whose process ended by itself three times
	for _, p := range s.processes {
		if p.ends >= 3 {
			restarted++
		}
		if p.ends > 0 {
			s.record.add("platform: %s was killed %d times for its memory", p.name(), p.ends)
		}
	}
	if restarted >= 2 {
		s.record.add("Fault: on %d machines, processes ended by themselves three times or more", restarted)
	}
	if lost > 0 || restarted >= 2 {
		return broken, nil
	}
	return held, nil
}
