package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

func (k *Soak) checkAnswer(kind, id string, a Answer) {
	if a.Err != nil || a.Status != http.StatusOK {
		if a.Status == http.StatusNotFound || a.Status == http.StatusUnauthorized {
			k.breaks("%s: answered %d", id, a.Status)
		}
		return
	}
	want := standin.ResponseBody(id)
	if kind == "ask" {
		var all strings.Builder
		for n := int64(1); n <= soakEvents; n++ {
			fmt.Fprintf(&all, "id: %d\ndata: %s\n\n", n, standin.EventData(id, n))
		}
		want = all.String()
	}
	if a.Body != want || a.Signature != standin.Signature(id) {
		k.breaks("%s: answered with %q, signed %q", id, a.Body, a.Signature)
		return
	}
	k.served.Add(1)
}

func versionOf(body []byte) uint64 {
	var read struct {
		Version uint64 `json:"version"`
	}
	if json.Unmarshal(body, &read) != nil {
		return 0
	}
	return read.Version
}

// settle waits until everything that was accepted is done, and checks it.
func (k *Soak) settle(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, g := range k.site.Role(Gateway) {
		for n := 0; ; n++ {
			id := fmt.Sprintf("card-settled-%s-%d", g.Name, n)
			if k.site.Ask(bounded, g, http.MethodPost, "/card/x", id, []byte("body")).Status == http.StatusOK {
				break
			}
			if bounded.Err() != nil {
				k.breaks("%s serves nothing after all faults are over", g.Name)
				break
			}
			time.Sleep(beatInterval)
		}
	}
	k.checkConfiguration(bounded)
	for job, items := range k.accepted {
		k.checkLot(bounded, job, items)
	}
}

func (k *Soak) checkConfiguration(ctx context.Context) {
	for _, control := range k.site.Role(Control) {
		for {
			status, body, err := k.site.Operate(control, http.MethodGet, "/v1/configuration/read", nil)
			if err == nil && status == http.StatusOK {
				if read := versionOf(body); read < k.newest() {
					k.breaks("%s: version %d at the end, %d was acknowledged", control.Name, read, k.newest())
				}
				break
			}
			if ctx.Err() != nil {
				k.breaks("%s: no configuration at the end", control.Name)
				break
			}
			time.Sleep(beatInterval)
		}
	}
}

type lotResults struct {
	Total   int `json:"total"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// checkLot reads a job until it is done: every item once, with its whole text.
func (k *Soak) checkLot(ctx context.Context, job string, items int) {
	for n := 0; ; n++ {
		answer := k.site.Ask(ctx, k.site.Role(Gateway)[n%2], http.MethodGet, "/v1/lots/"+job+"?after=0", "read", nil)
		var read lotResults
		done := answer.Status == http.StatusOK && json.Unmarshal([]byte(answer.Body), &read) == nil && len(read.Results) >= items
		switch {
		case answer.Status == http.StatusNotFound:
			k.breaks("%s: accepted and not found", job)
			return
		case done:
			k.checkResults(job, items, &read)
			return
		case ctx.Err() != nil:
			k.breaks("%s: %d of %d items at the end, status %d", job, len(read.Results), items, answer.Status)
			return
		}
		time.Sleep(beatInterval)
	}
}

func (k *Soak) checkResults(job string, items int, read *lotResults) {
	seen := map[string]bool{}
	for _, r := range read.Results {
		var data []string
		for n := int64(1); n <= soakEvents; n++ {
			data = append(data, standin.EventData(r.ID, n))
		}
		if seen[r.ID] || r.State != "completed" || r.Text != strings.Join(data, "\n") {
			k.breaks("%s: item %s listed before %t, %s, text %q", job, r.ID, seen[r.ID], r.State, r.Text)
		}
		seen[r.ID] = true
	}
	if len(seen) != items || read.Total != items {
		k.breaks("%s: %d items of %d, total %d", job, len(seen), items, read.Total)
	}
}

// checkRuns compares what the targets ran with what the callers were told.
func (k *Soak) checkRuns() {
	runs := map[string]int{}
	for _, target := range k.targets {
		for _, r := range target.Runs() {
			runs[r.ID]++
			if r.Workspace != "w1" || r.Header.Get(platform.HeaderNames().Key) != "" {
				k.breaks("%s ran for workspace %q, its key passed on: %t", r.ID, r.Workspace, r.Header.Get(platform.HeaderNames().Key) != "")
			}
		}
	}
	for id, sent := range k.sent {
		switch {
		case sent.kind == "once" && runs[id] > 1:
			k.breaks("%s ran %d times", id, runs[id])
		case sent.kind == "once" && runs[id] > 0 && (sent.status == http.StatusServiceUnavailable || sent.status == http.StatusTooManyRequests):
			k.breaks("%s ran and was answered %d", id, sent.status)
		}
	}
}
