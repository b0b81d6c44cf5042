package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// catchUp is for how long a machine that is back still counts as lost.
const catchUp = 5200 * time.Millisecond

// wipe stops a store, takes its disk away and starts it again at its address.
func (p *process) wipe(downFor time.Duration) error {
	p.kill()
	if err := os.RemoveAll(filepath.Join(p.site.dir, p.name()+".data")); err != nil {
		return err
	}
	p.site.record.add("platform: %s loses power and its disk", p.name())
	time.Sleep(downFor)
	p.site.record.add("platform: %s is back with an empty disk", p.name())
	return p.start()
}

// readAll reads a batch submission from the start, again after each failure, until the
// time is over. It returns nil if it could not be read.
func (s *site) readAll(id, key string, within time.Duration) map[string]string {
	texts := map[string]string{}
	until := time.Now().Add(within)
	last := ""
	for try, after := 0, 0; time.Now().Before(until); try++ {
		gateways := s.role("gateway")
		g := gateways[try%len(gateways)]
		page, got := s.read(g, id, key, after)
		if got.status != 200 {
			if now := fmt.Sprint(got.status, " ", clip(firstLine(got.body), 60)); now != last {
				last = now
				s.record.add("client GET results of %s after %d at %s: %s %v", id, after, g.machine.name, now, got.err)
			}
			time.Sleep(300 * time.Millisecond)
			continue
		}
		for _, r := range page.Results {
			texts[r.ID] = r.State + " " + r.Text
		}
		after += len(page.Results)
		if len(page.Results) == 0 {
			s.record.add("client GET results of %s at %s: %d of %d", id, g.machine.name, len(texts), page.Total)
			return texts
		}
	}
	s.record.add("client GET results of %s: not readable for %s, %d results", id, within, len(texts))
	return nil
}

// runLot submits items and reads until all have their results.
func (s *site) runLot(id string, count int) (map[string]string, error) {
	var items []item
	for range count {
		items = append(items, newItem(newID(), []byte("round plan")))
	}
	if ok, last := s.submit(id, keyA, items, 4*time.Second); !ok {
		return nil, fmt.Errorf("batch submission: %d", last.status)
	}
	for until := time.Now().Add(25 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		done := s.readAll(id, keyA, 5*time.Second)
		if len(done) == count {
			return done, nil
		}
		if time.Now().After(until) {
			return nil, fmt.Errorf("%d items are done", len(done))
		}
	}
}

// largeTexts takes the disks of two stores one after the other, while a batch submission
// with long outputs is kept.
func largeTexts(s *site, trouble bool) (int, error) {
	if err := begin(s, 18, 3, config(1, nil)); err != nil {
		return cannotRun, err
	}
	piece := 390
	if os.Getenv("PIECE") != "" {
		_, _ = fmt.Sscan(os.Getenv("PIECE"), &piece)
	}
	for _, e := range s.engines {
		e.events, e.pause, e.pad = 300, 8*time.Millisecond, strings.Repeat("x", piece-25)
	}
	id := newID()
	before, err := s.runLot(id, 200)
	if err != nil {
		return cannotRun, err
	}
	bytes := 0
	for _, text := range before {
		bytes += len(text)
	}
	s.record.add("all %d results are read, %d bytes", len(before), bytes)
	time.Sleep(3 * time.Second)
	if _, err := s.runLot(newID(), 120); err != nil {
		return cannotRun, err
	}
	stores := s.role("store")
	for _, p := range stores[:2] {
		if trouble {
			if err := p.wipe(2 * time.Second); err != nil {
				return cannotRun, err
			}
		}
		time.Sleep(catchUp + 8*time.Second)
	}
	after := s.readAll(id, keyA, 15*time.Second)
	for _, p := range s.processes {
		if p.pid() == 0 {
			return cannotRun, fmt.Errorf("%s has ended", p.name())
		}
	}
	if after == nil {
		s.record.add("LOST: the batch submission can't be read")
		return broken, nil
	}
	lost := 0
	for id, text := range before {
		if after[id] != text {
			lost++
		}
	}
	s.record.add("%d results that had been read don't come again", lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
