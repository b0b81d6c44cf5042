package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// sent is one client attempt.
type sent struct {
	at      time.Time
	gateway *machine
	id      string
	path    string
	parts   string
	status  int
	body    string
	err     error
	took    time.Duration
}

// clients sends requests at a steady rate, each on a new connection, and keeps what came
// of them. A client sends once more after a refusal that promises that nothing ran.
type clients struct {
	site *site
	http *http.Client
	mu   sync.Mutex
	all  []*sent
	wg   sync.WaitGroup
}

func newClients(s *site) *clients {
	return &clients{site: s, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends one request and waits for its answer.
func (c *clients) send(gateway *machine, method, path, key string, deadline time.Duration, header map[string]string, body []byte) *sent {
	r := &sent{at: time.Now(), gateway: gateway, id: c.site.newID(), path: path, parts: header["X-Banyanwalk-Prompt-Prefix"]}
	c.mu.Lock()
	c.all = append(c.all, r)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", gateway.ip, frontendPort, path), bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	request.Host = "site.example"
	request.Header.Set("X-Banyanwalk-Request-Id", r.id)
	request.Header.Set("X-Banyanwalk-Credential", key)
	request.Header.Set("X-Banyanwalk-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	r.id = request.Header.Get("X-Banyanwalk-Request-Id")
	response, err := c.http.Do(request)
	if err == nil {
		var read []byte
		read, err = io.ReadAll(response.Body)
		response.Body.Close()
		r.status, r.body = response.StatusCode, string(read)
	}
	r.err, r.took = err, time.Since(r.at)
	return r
}

// every calls f at a steady rate until the time is over, each call in a goroutine.
func (c *clients) every(gap time.Duration, until time.Time, f func(n int)) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(gap)
		defer ticker.Stop()
		for n := 0; time.Now().Before(until); n++ {
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				f(n)
			}()
			<-ticker.C
		}
	}()
}

// stream sends a request for tokens.
func (c *clients) stream(gateway *machine, path, key, parts string) *sent {
	return c.send(gateway, http.MethodPost, path, key, 5*time.Second, map[string]string{
		"X-Banyanwalk-Model": "m", "X-Banyanwalk-Token-Usage": "450,40", "X-Banyanwalk-Prompt-Prefix": parts}, []byte("prompt"))
}

func (c *clients) list() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent(nil), c.all...)
}

// gatewayOf returns the attempts by id.
func (c *clients) byID() map[string]*sent {
	found := make(map[string]*sent)
	for _, r := range c.list() {
		found[r.id] = r
	}
	return found
}

func pick[T any](from []T) T { return from[rand.IntN(len(from))] }

// writeRecord writes what was sent, answered and run.
func (c *clients) writeRecord() {
	arrivals := c.site.allArrivals()
	ran := make(map[string][]arrival)
	for _, a := range arrivals {
		ran[a.id] = append(ran[a.id], a)
	}
	counts := map[string]int{}
	for _, r := range c.list() {
		result := fmt.Sprint(r.status)
		if r.err != nil {
			result += " cut"
		}
		counts[r.path[:min(6, len(r.path))]+" "+result]++
		where := ""
		for _, a := range ran[r.id] {
			where += fmt.Sprintf(" %.3f:%s(%s)", c.site.since(a.at), a.boot, a.engine.zone)
		}
		c.site.mu.Lock()
		fmt.Fprintf(c.site.record, "%8.3f  sent %s to %s %s %s -> %s after %d ms; at engines:%s\n", c.site.since(r.at), r.id, r.gateway.name, r.path, r.parts, result, r.took.Milliseconds(), where)
		c.site.mu.Unlock()
	}
	c.site.note("answers by route and status: %v", counts)
}
