package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["item-path"] = itemPath }

// itemPath: the items of a batch submission name paths that lie outside of the path prefix
// of the batch route.
func itemPath(s *site) (int, error) {
	var engines []*engine
	for z := range zones {
		for n := range 2 {
			engines = append(engines, s.newEngine(z, "bell", n))
		}
	}
	if err := s.startAll(config(2), engines...); err != nil {
		return cannotRun, err
	}
	time.Sleep(3 * time.Second)
	c := newClients(s)
	gateways := s.class("edge")
	prefix := "/plan/3/"
	if s.trouble {
		prefix = "/generate/"
	}
	const jobs, items = 5, 6
	given := 0
	for j := range jobs {
		var list []any
		for i := range items {
			list = append(list, map[string]any{"id": fmt.Sprintf("%x%04x", j+10, i), "path": fmt.Sprintf("%s%d", prefix, i), "body": "q83vEjRWeJA=", "token_count": 490,
				"headers": map[string]string{"X-Banyanwalk-Model": "m", "X-Banyanwalk-Token-Usage": "450,40", "X-Banyanwalk-Prompt-Prefix": fmt.Sprintf("aa:200,bb%d%d:250", j, i)}})
		}
		body, _ := json.Marshal(map[string]any{"requests": list})
		r := c.send(gateways[j%len(gateways)], http.MethodPost, "/plan/x", "key-of-tenant-0", 4*time.Second, map[string]string{"Content-Type": "application/json"}, body)
		if r.status != http.StatusAccepted {
			return cannotRun, fmt.Errorf("submission: %d %v", r.status, r.err)
		}
		time.Sleep(4 * time.Second)
		read := c.send(gateways[(j+1)%len(gateways)], http.MethodGet, "/v1/lots/"+r.id+"?after=0", "key-of-tenant-0", 4*time.Second, nil, nil)
		s.note("results of %s after 4 s: %d %s", r.id, read.status, read.body)
		var page struct {
			Results []struct{ ID, State, Text string }
		}
		if json.Unmarshal([]byte(read.body), &page) != nil {
			return cannotRun, fmt.Errorf("results: %s", read.body)
		}
		for _, result := range page.Results {
			if result.State == "abandoned" {
				given++
			}
		}
	}
	c.writeRecord()
	s.note("MIXED: %d of %d items are abandoned; none was at an engine that answered 422 or 500, max_wait_s is 60 s, and neither batch nor route has ended", given, jobs*items)
	if given > 0 {
		return broken, nil
	}
	return held, nil
}
