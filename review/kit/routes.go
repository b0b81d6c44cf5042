package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	changes       = 12
	changeGap     = 2500 * time.Millisecond
	shortFreeze   = 500 * time.Millisecond
	askEach       = 5 * time.Millisecond   // requests that show whether a config is in force
	submitAfter   = 100 * time.Millisecond // from then to the batch submission
	itemsPerBatch = 3
)

// moreRoutes is the dose of big_config on nsl-dakar; MORE=N sets another one.
var moreRoutes = func() int {
	if n, err := strconv.Atoi(os.Getenv("MORE")); err == nil {
		return n
	}
	return 350
}()

// newBatchPath returns the path prefix of the batch route that a version adds.
func newBatchPath(version int) string { return fmt.Sprintf("/pule%d/", 300+version) }

// newPlainPath returns the path prefix of the idempotent route that a version adds.
func newPlainPath(version int) string { return fmt.Sprintf("/lohu%d/", 300+version) }

// grownConfig is config with many routes more, and with a batch route and an idempotent
// route for each version from 2 on.
func grownConfig(version int) []byte {
	var doc map[string]any
	_ = json.Unmarshal(config(version, nil), &doc)
	routes := doc["routes"].([]any)
	add := func(like int, name, prefix string) {
		r := maps.Clone(routes[like].(map[string]any))
		r["name"], r["path_prefix"] = name, prefix
		routes = append(routes, r)
	}
	for v := 2; v <= version; v++ {
		add(2, fmt.Sprintf("r-b%d", v), newBatchPath(v))
		add(1, fmt.Sprintf("r-n%d", v), newPlainPath(v))
	}
	for i := range moreRoutes {
		add(1, fmt.Sprintf("r-m%d", i), fmt.Sprintf("/lohu%d/", 1000+i))
	}
	doc["routes"] = routes
	body, _ := json.Marshal(doc)
	return body
}

// newRoutes adds routes with each change of the config, while a store, each in turn, is frozen
// for half a second. After each acknowledgement, requests on the new idempotent route are sent
// to each gateway until it has the route; a little later one batch submission arrives there on
// the new batch route. Without the disruption the routes are all there from the beginning:
// nothing changes and nothing freezes.
func newRoutes(s *site, trouble bool) (int, error) {
	first := 1
	if !trouble {
		first = changes + 1
	}
	if err := begin(s, 6, 3, grownConfig(first)); err != nil {
		return cannotRun, err
	}
	type submitted struct {
		id      string
		gateway *process
		at      time.Time
	}
	var (
		mu       sync.Mutex
		accepted []submitted
		refused  = map[int]int{}
		clients  sync.WaitGroup
	)
	begun := time.Now()
	for version := 2; version <= changes+1; version++ {
		if trouble {
			frozen := s.role("store")[version%3].machine
			s.signal(frozen, syscall.SIGSTOP)
			s.record.add("platform: machine %s freezes", frozen.name)
			time.AfterFunc(shortFreeze, func() {
				s.signal(frozen, syscall.SIGCONT)
				s.record.add("platform: machine %s goes on", frozen.name)
			})
			if err := s.order(http.MethodPost, "/v1/configuration/replace", grownConfig(version), 4*time.Second); err != nil {
				return cannotRun, err
			}
		}
		for _, g := range s.role("gateway") {
			acknowledged := time.Now()
			clients.Go(func() {
				id, path := newID(), newBatchPath(version)
				var items []item
				for range itemsPerBatch {
					i := newItem(newID(), []byte("round plan"))
					i.Path = path + "3/91c4"
					items = append(items, i)
				}
				body, _ := json.Marshal(map[string]any{"requests": items})
				asked := 0
				for time.Since(acknowledged) < configApply {
					asked++
					if got := s.send(g, http.MethodPost, newPlainPath(version)+"2f", newID(), keyA, map[string]string{"X-Banyanwalk-Deadline-Ms": "1500"}, []byte("ask")); got.status == http.StatusOK {
						break
					}
					time.Sleep(askEach)
				}
				time.Sleep(submitAfter)
				at := time.Now()
				got := s.send(g, http.MethodPost, path+id[:6], id, keyA, map[string]string{"Content-Type": "application/json"}, body)
				s.record.add("client POST batch submission %s on %s at %s, %d ms after the acknowledgement and %d requests that showed the config: %d %v", id, path, g.machine.name,
					at.Sub(acknowledged).Milliseconds(), asked, got.status, got.err)
				mu.Lock()
				defer mu.Unlock()
				if got.status == http.StatusAccepted {
					accepted = append(accepted, submitted{id, g, at})
					return
				}
				refused[got.status]++
			})
		}
		time.Sleep(time.Until(begun.Add(time.Duration(version-1) * changeGap)))
	}
	clients.Wait()
	time.Sleep(6 * time.Second)
	s.record.add("%d batch submissions were accepted; the others' answers by status: %v", len(accepted), refused)
	if status, content, err := s.controlCall(s.role("control")[0], http.MethodGet, "/v1/configuration/read", nil); status == http.StatusOK {
		var read struct{ Routes []any }
		_ = json.Unmarshal(content, &read)
		s.record.add("operator GET config: 200, %d routes", len(read.Routes))
		if len(read.Routes) != 3+2*changes+moreRoutes {
			return cannotRun, fmt.Errorf("the config has %d routes", len(read.Routes))
		}
	} else {
		return cannotRun, fmt.Errorf("config: %d %v", status, err)
	}
	completed, abandoned, open := 0, 0, 0
	for _, b := range accepted {
		page, got := s.read(s.role("gateway")[0], b.id, keyA, 0)
		if got.status != http.StatusOK {
			return cannotRun, fmt.Errorf("results of %s: %d %v", b.id, got.status, got.err)
		}
		open += itemsPerBatch - len(page.Results)
		givenUp := 0
		for _, r := range page.Results {
			if r.State == "abandoned" {
				givenUp++
			}
		}
		completed, abandoned = completed+len(page.Results)-givenUp, abandoned+givenUp
		if givenUp > 0 {
			s.record.add("MIXED: %d of %d items of batch submission %s, accepted at %s, are listed as abandoned %d s after it was sent", givenUp, itemsPerBatch, b.id,
				b.gateway.machine.name, int(time.Since(b.at).Seconds()))
		}
	}
	s.record.add("items: %d completed, %d abandoned, %d not listed. No engine answers 422 or 500 here, max_wait_s is 60, no batch submission was ended, no route was taken away", completed, abandoned, open)
	switch {
	case abandoned > 0:
		return broken, nil
	case len(accepted) < changes:
		return cannotRun, fmt.Errorf("only %d batch submissions were accepted", len(accepted))
	case completed < itemsPerBatch*changes:
		return cannotRun, fmt.Errorf("only %d items were completed", completed)
	}
	return held, nil
}
