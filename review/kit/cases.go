package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

// begin starts the site with engines and a config, and waits until it serves.
func begin(s *site, llmEngines, appEngines int, body []byte) error {
	if err := s.start(); err != nil {
		return err
	}
	for i := range llmEngines {
		if _, err := s.addEngine(i+1, llmService, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for i := range appEngines {
		if _, err := s.addEngine(60+i, appService, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := s.order(http.MethodPost, "/v1/configuration/replace", body, 10*time.Second); err != nil {
		return err
	}
	if err := s.ready(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime)
	return nil
}

// item is one item of a batch submission.
type item struct {
	ID         string            `json:"id"`
	Path       string            `json:"path"`
	Headers    map[string]string `json:"headers"`
	Body       []byte            `json:"body"`
	TokenCount int               `json:"token_count"`
}

func newItem(id string, body []byte) item {
	return item{ID: id, Path: pathBatch + "3/91c4", Body: body, TokenCount: 940,
		Headers: map[string]string{"X-Banyanwalk-Model": "m", "X-Banyanwalk-Token-Usage": "540,400", "X-Banyanwalk-Prompt-Prefix": "9c2e41:300,5d07b8:240"}}
}

// submit sends a batch submission as clients do: again at another node after any answer
// but a 202, 4xx excepted, until the time is over.
func (s *site) submit(id, key string, items []item, within time.Duration) (accepted bool, last answer) {
	body, _ := json.Marshal(map[string]any{"requests": items})
	gateways := s.role("gateway")
	until := time.Now().Add(within)
	for try := 0; time.Now().Before(until); try++ {
		g := gateways[(try+len(id)+int(id[0]))%len(gateways)]
		last = s.send(g, http.MethodPost, pathBatch+id[:6], id, key, map[string]string{"Content-Type": "application/json"}, body)
		s.record.add("client POST batch submission %s (%d items, %d bytes) at %s: %d %v %s", id, len(items), len(body), g.machine.name, last.status, last.err, firstLine(last.body))
		if last.status == http.StatusAccepted {
			return true, last
		}
		if last.status == 400 || last.status == 401 || last.status == 404 || last.status == 413 {
			return false, last
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false, last
}

func firstLine(body []byte) string {
	line, _, _ := strings.Cut(string(body), "\n")
	return clip(line, 160)
}

func clip(line string, most int) string { return line[:min(len(line), most)] }

// results is a page of results.
type results struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct{ ID, State, Text string }
}

// read reads results once.
func (s *site) read(g *process, id, key string, after int) (results, answer) {
	got := s.send(g, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", id, after), "", key, nil, nil)
	var page results
	if got.status == http.StatusOK {
		_ = json.Unmarshal(got.body, &page)
	}
	return page, got
}

// smuggled sends a batch submission in which the id of an item holds the rest of one
// request and the head of another one.
func smuggled(s *site, trouble bool) (int, error) {
	if err := begin(s, 6, 3, config(1, nil)); err != nil {
		return cannotRun, err
	}
	ghost, id := newID(), newID()
	sent := map[string]bool{}
	var items []item
	for range 3 {
		i := newItem(newID(), []byte("round plan"))
		sent[i.ID] = true
		items = append(items, i)
	}
	if trouble {
		items[1].ID += "\r\nContent-Length: 0\r\n\r\n" +
			"POST " + pathBatch + "3/none HTTP/1.1\r\nHost: " + hostname + "\r\nX-Banyanwalk-Model: m\r\nX-Banyanwalk-Tenant: " + tenantB + "\r\nX-Banyanwalk-Request-Id: " + ghost +
			"\r\nContent-Length: 0\r\n\r\nPOST /rest HTTP/1.1\r\nX-Rest: 1"
	}
	accepted, last := s.submit(id, keyA, items, 4*time.Second)
	time.Sleep(4 * time.Second)
	status := held
	for _, e := range s.engines {
		for _, r := range e.allRuns() {
			s.record.add("engine %s ran %s %s id %s for tenant %s, addressed to %q", r.engine, r.method, r.uri, r.id, r.tenant, r.expect)
			switch {
			case !sent[r.id]:
				s.record.add("UNASKED: no client sent a request with the id %s", r.id)
				status = broken
			case r.tenant != tenantA:
				s.record.add("UNASKED: the key of the client is held by %s, the engine was told %q", tenantA, r.tenant)
				status = broken
			}
		}
	}
	if !trouble && !accepted {
		return cannotRun, fmt.Errorf("the batch submission was not accepted: %d", last.status)
	}
	return status, nil
}

// multipartBody sends requests whose body is a form with a photograph.
func multipartBody(s *site, trouble bool) (int, error) {
	if err := begin(s, 6, 3, config(1, nil)); err != nil {
		return cannotRun, err
	}
	digests := map[string]string{}
	gateways := s.role("gateway")
	for n := range 20 {
		var body bytes.Buffer
		form := multipart.NewWriter(&body)
		head := textproto.MIMEHeader{}
		head.Set("Content-Disposition", `form-data; name="photo"; filename="panel.jpg"`)
		head.Set("Content-Type", "image/jpeg")
		part, _ := form.CreatePart(head)
		_, _ = part.Write(bytes.Repeat([]byte{0xff, 0xd8, byte(n), 0x00}, 500))
		_ = form.WriteField("question", "which wire is loose?")
		_ = form.WriteField("shop", fmt.Sprint(n))
		_ = form.Close()
		kind := "application/octet-stream"
		if trouble {
			kind = form.FormDataContentType()
		}
		sum := sha256.Sum256(body.Bytes())
		id := newID()
		digests[id] = hex.EncodeToString(sum[:8])
		path := pathPlain
		if n%2 == 1 {
			path = pathAsk
		}
		g := gateways[n%len(gateways)]
		got := s.send(g, http.MethodPost, path+"2f", id, keyA, map[string]string{"Content-Type": kind, "X-Banyanwalk-Deadline-Ms": "1500", "X-Banyanwalk-Model": "m",
			"X-Banyanwalk-Token-Usage": "450,80"}, body.Bytes())
		s.record.add("client POST %s id %s, %d bytes of %s, sha256 %s, at %s: %d %v %s", path, id, body.Len(), kind[:19], digests[id], g.machine.name, got.status, got.err, firstLine(got.body))
	}
	ran, changed := 0, 0
	for _, e := range s.engines {
		for _, r := range e.allRuns() {
			ran++
			verdict := "the same body"
			if r.digest != digests[r.id] {
				verdict = "UNASKED: another body than the client's"
				changed++
			}
			s.record.add("engine %s ran %s %s id %s with %d bytes, sha256 %s: %s", r.engine, r.method, r.uri, r.id, r.bytes, r.digest, verdict)
		}
	}
	s.record.add("%d requests ran, %d of them with a changed body", ran, changed)
	switch {
	case changed > 0:
		return broken, nil
	case ran < 15:
		return cannotRun, fmt.Errorf("only %d requests ran", ran)
	}
	return held, nil
}

// publicBatch changes the config so that the batch route is public, and submits before and
// after.
func publicBatch(s *site, trouble bool) (int, error) {
	if err := begin(s, 6, 3, config(1, nil)); err != nil {
		return cannotRun, err
	}
	ids := []string{newID(), newID()}
	items := func() []item {
		var list []item
		for range 10 {
			list = append(list, newItem(newID(), bytes.Repeat([]byte("p"), 1500)))
		}
		return list
	}
	if accepted, last := s.submit(ids[0], keyA, items(), 4*time.Second); !accepted {
		return cannotRun, fmt.Errorf("first batch submission: %d", last.status)
	}
	change := func(batch map[string]any) { batch["public"] = trouble }
	if err := s.order(http.MethodPost, "/v1/configuration/replace", config(4, change), 4*time.Second); err != nil {
		return cannotRun, err
	}
	time.Sleep(configApply + contactTime)
	if accepted, last := s.submit(ids[1], keyA, items(), 4*time.Second); !accepted {
		return cannotRun, fmt.Errorf("second batch submission: %d", last.status)
	}
	time.Sleep(settleTime + 2*time.Second)
	status := held
	for n, id := range ids {
		for _, g := range s.role("gateway") {
			page, got := s.read(g, id, keyA, 0)
			s.record.add("client GET results of batch submission %d, %s, at %s: %d, total %d, %d results %s", n+1, id, g.machine.name, got.status, page.Total, len(page.Results), clip(firstLine(got.body), 60))
			if got.status == http.StatusNotFound || got.status == http.StatusGone {
				s.record.add("LOST: %d for a batch submission that was accepted over settle_ms before", got.status)
				status = broken
			}
		}
	}
	for _, e := range s.engines {
		for _, r := range e.allRuns() {
			s.record.add("engine %s ran item %s for tenant %q", r.engine, r.id, r.tenant)
			if r.tenant != tenantA {
				s.record.add("UNASKED: the key of the client is held by %s", tenantA)
				status = broken
			}
		}
	}
	return status, nil
}
