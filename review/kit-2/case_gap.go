package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["kept-name"] = keptName }

// logWatch keeps a second name of each file of the log of a store, so that a removed file
// can come back as after a loss of power.
type logWatch struct {
	m      *machine
	dir    string
	backup string

	mu      sync.Mutex
	present []string // segments
	all     []string // all names when the last segments were removed
	removed []string // by the last compaction
	at      time.Time
}

func names(dir, suffix string) (found []string) {
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), suffix) {
			found = append(found, e.Name())
		}
	}
	slices.Sort(found)
	return found
}

func (w *logWatch) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Microsecond):
		}
		now := names(w.dir, ".wal")
		w.mu.Lock()
		for _, name := range now {
			if !slices.Contains(w.present, name) {
				_ = os.Link(filepath.Join(w.dir, name), filepath.Join(w.backup, name))
			}
		}
		var gone []string
		for _, name := range w.present {
			if !slices.Contains(now, name) {
				gone = append(gone, name)
			}
		}
		if len(gone) > 0 {
			if time.Since(w.at) > 300*time.Millisecond {
				w.removed = nil
			}
			w.removed, w.at = append(w.removed, gone...), time.Now()
			w.all = names(w.dir, "")
		}
		w.present = now
		w.mu.Unlock()
	}
}

// keptName: all machines lose power after the stores have removed segments of their logs.
// Of the names that were removed without a sync of their folder, an older one is kept and a
// younger one is lost, at two of three stores.
func keptName(s *site) (int, error) {
	var engines []*engine
	for z := range zones {
		for n := range 3 {
			engines = append(engines, s.newEngine(z, "bell", n))
		}
	}
	if err := s.startAll(config(2), engines...); err != nil {
		return cannotRun, err
	}
	time.Sleep(4 * time.Second)
	c := newClients(s)
	gateways, stores := s.class("edge"), s.class("storage")
	var accepted []string
	submit := func(bodyBytes int) error {
		var list []any
		for i := range 10 {
			list = append(list, map[string]any{"id": s.newID(), "path": fmt.Sprintf("/plan/%d", i), "body": base64.StdEncoding.EncodeToString(make([]byte, bodyBytes)), "token_count": 490,
				"headers": map[string]string{"X-Banyanwalk-Model": "m", "X-Banyanwalk-Token-Usage": "450,40", "X-Banyanwalk-Prompt-Prefix": fmt.Sprintf("aa:200,bb%d:250", i)}})
		}
		body, _ := json.Marshal(map[string]any{"requests": list})
		id := s.newID()
		for try := range 8 { // the same submission again, at another node, until it is accepted
			r := c.send(gateways[(len(accepted)+try)%len(gateways)], http.MethodPost, "/plan/x", "key-of-tenant-0", 4*time.Second, map[string]string{"Content-Type": "application/json", "X-Banyanwalk-Request-Id": id}, body)
			if r.status == http.StatusAccepted {
				accepted = append(accepted, id)
				s.note("submission %s of %d bytes is accepted", id, len(body))
				return nil
			}
			time.Sleep(500 * time.Millisecond)
		}
		return fmt.Errorf("a submission is not accepted")
	}
	for range 2 { // planned: each store is stopped and started, one after the other
		for _, m := range stores {
			if err := submit(2000); err != nil {
				return cannotRun, err
			}
			s.signal(m, syscall.SIGTERM)
			<-m.done["store"]
			if err := s.start(m); err != nil {
				return cannotRun, err
			}
			time.Sleep(5200 * time.Millisecond) // catch_up_s
		}
	}
	stop := make(chan struct{})
	var watches []*logWatch
	for _, m := range stores {
		w := &logWatch{m: m, dir: filepath.Join(s.dir, m.name, "store", "log"), backup: filepath.Join(s.dir, m.name, "kept")}
		if err := os.MkdirAll(w.backup, 0o700); err != nil {
			return cannotRun, err
		}
		watches = append(watches, w)
		go w.run(stop)
	}
	compacted := func() bool {
		for _, w := range watches {
			w.mu.Lock()
			n := len(w.removed)
			w.mu.Unlock()
			if n < 2 {
				return false
			}
		}
		return true
	}
	for n := 0; n < 14 && !compacted(); n++ {
		if err := submit(250_000); err != nil {
			return cannotRun, err
		}
		for i := 0; i < 60 && !compacted(); i++ {
			time.Sleep(10 * time.Millisecond)
		}
	}
	if !compacted() {
		return cannotRun, fmt.Errorf("the stores have not removed two segments at once")
	}
	for _, m := range s.machines { // all machines lose power
		for _, role := range m.roles {
			_ = m.procs[role].Process.Kill()
		}
	}
	for _, m := range s.machines {
		s.kill(m)
	}
	close(stop)
	s.note("all machines lose power")
	for i, w := range watches {
		w.mu.Lock()
		s.note("%s: its last compaction removed the segments %v; no name was made since: %t", w.m.name, w.removed, slices.Equal(w.all, names(w.dir, "")))
		if !slices.Equal(w.all, names(w.dir, "")) {
			w.mu.Unlock()
			return cannotRun, fmt.Errorf("a folder was changed after the compaction")
		}
		if s.trouble && i < 2 {
			slices.Sort(w.removed)
			kept := w.removed[0]
			if err := os.Link(filepath.Join(w.backup, kept), filepath.Join(w.dir, kept)); err != nil {
				w.mu.Unlock()
				return cannotRun, err
			}
			s.note("%s: of the removed names, %s is kept and the others are lost", w.m.name, kept)
		}
		w.mu.Unlock()
	}
	time.Sleep(time.Second)
	for _, m := range s.machines {
		if err := s.start(m); err != nil {
			return cannotRun, err
		}
	}
	back := time.Now()
	exits := map[string]int{}
	for time.Since(back) < 15*time.Second { // the platform starts again what has ended
		for _, m := range s.machines {
			for _, role := range m.roles {
				select {
				case <-m.done[role]:
					exits[m.name+"/"+role]++
					time.Sleep(300 * time.Millisecond)
					if err := s.start(m); err != nil {
						return cannotRun, err
					}
				default:
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	lost, last := 0, ""
	deadline := time.Now().Add(10 * time.Second)
	var mu sync.Mutex
	var readers sync.WaitGroup
	for i, id := range accepted {
		readers.Add(1)
		go func() {
			defer readers.Done()
			readable, answer := false, ""
			for try := 0; !readable && time.Now().Before(deadline); try++ {
				r := c.send(gateways[(i+try)%len(gateways)], http.MethodGet, "/v1/lots/"+id+"?after=0", "key-of-tenant-0", 2*time.Second, nil, nil)
				readable = r.status == http.StatusOK && r.err == nil
				answer = fmt.Sprint(r.status, " ", strings.TrimSpace(r.body))
				if !readable {
					time.Sleep(500 * time.Millisecond)
				}
			}
			s.note("submission %s can be read: %t", id, readable)
			mu.Lock()
			defer mu.Unlock()
			if !readable {
				lost, last = lost+1, answer
			}
		}()
	}
	readers.Wait()
	for _, m := range stores {
		content, _ := os.ReadFile(filepath.Join(s.dir, m.name+".store.log"))
		for line := range strings.Lines(string(content)) {
			if strings.HasPrefix(line, "banyan-site-store: ") {
				s.note("%s printed: %s", m.name, strings.TrimSpace(line))
				break
			}
		}
	}
	c.writeRecord()
	s.note("processes that ended by themselves after the power was back: %v", exits)
	s.note("LOST: of %d accepted submissions, %d cannot be read later than recover_s after the machines are back; last answer: %s", len(accepted), lost, last)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
