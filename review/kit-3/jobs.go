package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// item is one item of a batch submission.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"token_count"`
}

// submission returns a batch submission. Each item's prompt has the given number of parts of
// one token each.
func submission(id string, items, parts, bodyBytes int) []byte {
	var all []item
	for i := range items {
		name := fmt.Sprintf("%s-%d", id, i)
		var prefix strings.Builder
		for p := range parts {
			if p > 0 {
				prefix.WriteByte(',')
			}
			fmt.Fprintf(&prefix, "%08x%08x:1", len(id)<<16|i, p)
		}
		all = append(all, item{ID: name, Path: "/plan/" + id + "/" + fmt.Sprint(i),
			Headers: map[string]string{"X-Banyanwalk-Model": "m", "X-Banyanwalk-Token-Usage": fmt.Sprintf("%d,40", max(1, parts)), "X-Banyanwalk-Prompt-Prefix": prefix.String()},
			Body:    base64.StdEncoding.EncodeToString([]byte(strings.Repeat("x", bodyBytes))), Tokens: max(1, parts) + 40})
	}
	body, _ := json.Marshal(map[string]any{"requests": all})
	return body
}

// submit sends a batch submission until it is accepted or attempts have been made.
func (f *fleet) submit(tenant, attempts int, id string, body []byte) bool {
	gateways := f.role("gateway")
	for attempt := range attempts {
		g := gateways[(tenant+attempt)%len(gateways)]
		a := f.send(g, http.MethodPost, "/plan/"+id, id, body, 4*time.Second, map[string]string{"X-Banyanwalk-Credential": keyOf(tenant), "Content-Type": "application/json"})
		f.rec.line("client: tenant%d submits %s (%d bytes) at %s: status %d %.90q, error %v", tenant, id, len(body), g.name, a.status, a.body, a.err)
		if a.status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// results is a page of results.
type results struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// read reads a page of results at one gateway.
func (f *fleet) read(g *process, tenant int, id string, after int) (results, answer) {
	a := f.send(g, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", id, after), "read-"+id, nil, 2500*time.Millisecond,
		map[string]string{"X-Banyanwalk-Credential": keyOf(tenant)})
	var page results
	if a.status == http.StatusOK {
		if err := json.Unmarshal(a.body, &page); err != nil {
			a.err = err
		}
	}
	return page, a
}

// awaitDone waits until all results of a job are listed.
func (f *fleet) awaitDone(tenant int, id string, patience time.Duration) bool {
	until := time.Now().Add(patience)
	gateways := f.role("gateway")
	for n := 0; time.Now().Before(until); n++ {
		page, a := f.read(gateways[n%len(gateways)], tenant, id, 0)
		next := page.Next
		for a.status == http.StatusOK && next < page.Total {
			more, answered := f.read(gateways[n%len(gateways)], tenant, id, next)
			if answered.status != http.StatusOK || more.Next == next {
				break
			}
			next = more.Next
		}
		if a.status == http.StatusOK && next == page.Total {
			f.rec.line("client: tenant%d has read all %d results of %s", tenant, page.Total, id)
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}
