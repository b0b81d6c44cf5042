package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	rounds       = 24
	restartAfter = 200 * time.Millisecond // the platform starts killed processes again
	maxSkew      = 5 * time.Second        // max_skew_ms, by which an unstable core stretches bounds
)

func rotatedKey(version int) string { return fmt.Sprintf("%s%d", keyB, version) }

// rotatedConfig is grownConfig in which the second tenant has another key in each version.
func rotatedConfig(version int) []byte {
	var doc map[string]any
	_ = json.Unmarshal(grownConfig(version), &doc)
	doc["tenants"].([]any)[1].(map[string]any)["api_keys"] = []string{rotatedKey(version)}
	body, _ := json.Marshal(doc)
	return body
}

// ask sends one idempotent request with a key of the second tenant.
func (s *site) ask(g *process, path, key string) (id string, got answer) {
	id = newID()
	return id, s.send(g, http.MethodPost, path+"2f", id, key, map[string]string{"X-Banyanwalk-Deadline-Ms": "1500"}, []byte("ask"))
}

// unheardChange kills the processes that serve control, all at once, and changes the config
// as they come back. Then each gateway is asked on the route that was added, and with the key
// that was taken away.
func unheardChange(s *site, trouble bool) (int, error) {
	moreRoutes = 0
	if err := begin(s, 6, 3, rotatedConfig(1)); err != nil {
		return cannotRun, err
	}
	controls := s.role("control")
	until := time.Now().Add(75 * time.Second)
	for version := 2; version < 2+rounds && time.Now().Before(until); version++ {
		if trouble {
			s.record.add("platform: the processes that serve control are killed")
			for _, p := range controls {
				p.kill()
			}
			time.Sleep(restartAfter)
			for _, p := range controls {
				if err := p.start(); err != nil {
					return cannotRun, err
				}
			}
		}
		body := rotatedConfig(version)
		acked := false
		for limit := time.Now().Add(8 * time.Second); !acked && time.Now().Before(limit); {
			for _, p := range controls {
				if status, _, err := s.controlCall(p, http.MethodPost, "/v1/configuration/replace", body); err == nil && status == http.StatusOK {
					s.record.add("operator POST config %d at %s: 200", version, p.machine.name)
					acked = true
					break
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		if !acked {
			return cannotRun, fmt.Errorf("config %d: no acknowledgement", version)
		}
		acknowledged := time.Now()
		time.Sleep(1500 * time.Millisecond)
		suspect := false
		for _, g := range s.role("gateway") {
			_, got := s.ask(g, newPlainPath(version), rotatedKey(version))
			suspect = suspect || got.status != http.StatusOK
		}
		if !suspect {
			continue
		}
		time.Sleep(time.Until(acknowledged.Add(configApply + maxSkew + contactTime)))
		status := held
		for _, g := range s.role("gateway") {
			_, added := s.ask(g, newPlainPath(version), rotatedKey(version))
			s.record.add("client POST on the added route at %s, %d ms after the acknowledgement: %d %s", g.machine.name, time.Since(acknowledged).Milliseconds(), added.status, firstLine(added.body))
			_, known := s.ask(g, pathPlain, rotatedKey(version))
			s.record.add("client POST with the new key at %s: %d %s", g.machine.name, known.status, firstLine(known.body))
			id, dropped := s.ask(g, pathPlain, rotatedKey(version-1))
			s.record.add("client POST with the dropped key at %s: %d %s", g.machine.name, dropped.status, firstLine(dropped.body))
			if added.status == http.StatusNotFound || added.status == http.StatusUnauthorized || known.status == http.StatusUnauthorized {
				s.record.add("CONFIG: %s refuses what config %d allows", g.machine.name, version)
				status = broken
			}
			for _, e := range s.engines {
				for _, r := range e.allRuns() {
					if r.id == id {
						s.record.add("CONFIG: engine %s ran request %s, whose key config %d has dropped", r.engine, r.id, version)
						status = broken
					}
				}
			}
		}
		if status == broken {
			return status, nil
		}
	}
	return held, nil
}
