package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

// checkResponse checks a response to an online request: one with status 200 must be
// complete and signed, and faults must never lead to 401 or 404.
func (s *Soak) checkResponse(kind, id string, response Response) {
	if response.Err != nil || response.Status != http.StatusOK {
		if response.Status == http.StatusNotFound || response.Status == http.StatusUnauthorized {
			s.addViolation("%s: answered %d", id, response.Status)
		}
		return
	}
	want := standin.ResponseBody(id)
	if kind == "ask" {
		var stream strings.Builder
		for n := int64(1); n <= soakEventsPerStream; n++ {
			fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", n, standin.EventData(id, n))
		}
		want = stream.String()
	}
	body, versions := withoutMarks(response.Body)
	if len(versions) > 1 {
		s.addViolation("%s: events of versions %v", id, versions)
	}
	if body != want || response.Signature != standin.Signature(id) {
		s.addViolation("%s: answered with %q, signed %q", id, response.Body, response.Signature)
		return
	}
	s.served.Add(1)
}

// withoutMarks removes the versions that follow the data of events, and returns them.
func withoutMarks(text string) (unmarked string, versions []string) {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		data, version, marked := strings.Cut(line, versionMark)
		lines[i] = data
		if marked && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return strings.Join(lines, "\n"), versions
}

// configurationVersion returns the version of a configuration, or 0 if it cannot
// be decoded.
func configurationVersion(body []byte) uint64 {
	var configuration struct {
		Version uint64 `json:"version"`
	}
	if json.Unmarshal(body, &configuration) != nil {
		return 0
	}
	return configuration.Version
}

// checkRecovery checks that after the faults every gateway serves, no control host
// has lost the newest acknowledged configuration, and every accepted job completes.
func (s *Soak) checkRecovery(ctx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, g := range s.site.Role(Gateway) {
		for n := 0; ; n++ {
			id := fmt.Sprintf("card-settled-%s-%d", g.Name, n)
			if s.site.Send(timeoutCtx, g, http.MethodPost, "/card/x", id, []byte("body")).Status == http.StatusOK {
				break
			}
			if timeoutCtx.Err() != nil {
				s.addViolation("%s does not serve after the end of all faults", g.Name)
				break
			}
			time.Sleep(heartbeatInterval)
		}
	}
	s.checkFinalConfiguration(timeoutCtx)
	for job, items := range s.acceptedJobs {
		s.checkJob(timeoutCtx, job, items)
	}
}

// checkFinalConfiguration checks that every control host returns a configuration
// at least as new as the newest acknowledged one.
func (s *Soak) checkFinalConfiguration(ctx context.Context) {
	for _, control := range s.site.Role(Control) {
		for {
			status, body, err := s.site.CallControl(control, http.MethodGet, "/v1/configuration/read", nil)
			if err == nil && status == http.StatusOK {
				if read := configurationVersion(body); read < s.newestAcked() {
					s.addViolation("%s: version %d at the end, %d was acknowledged", control.Name, read, s.newestAcked())
				}
				break
			}
			if ctx.Err() != nil {
				s.addViolation("%s: no configuration at the end", control.Name)
				break
			}
			time.Sleep(heartbeatInterval)
		}
	}
}

// jobResults is the body of a response with the results of a job.
type jobResults struct {
	Total   int `json:"total"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// checkJob polls a job until all its items have results and checks them.
func (s *Soak) checkJob(ctx context.Context, job string, items int) {
	for n := 0; ; n++ {
		response := s.site.Send(ctx, s.site.Role(Gateway)[n%2], http.MethodGet, "/v1/lots/"+job+"?after=0", "read", nil)
		var results jobResults
		done := response.Status == http.StatusOK && json.Unmarshal([]byte(response.Body), &results) == nil && len(results.Results) >= items
		switch {
		case response.Status == http.StatusNotFound:
			s.addViolation("%s: accepted and not found", job)
			return
		case done:
			s.checkResults(job, items, &results)
			return
		case ctx.Err() != nil:
			s.addViolation("%s: %d of %d items at the end, status %d", job, len(results.Results), items, response.Status)
			return
		}
		time.Sleep(heartbeatInterval)
	}
}

// checkResults checks that every item of a job is listed once, completed and with
// its whole text.
func (s *Soak) checkResults(job string, items int, results *jobResults) {
	seen := map[string]bool{}
	for _, r := range results.Results {
		var data []string
		for n := int64(1); n <= soakEventsPerStream; n++ {
			data = append(data, standin.EventData(r.ID, n))
		}
		text, versions := withoutMarks(r.Text)
		if len(versions) > 1 {
			s.addViolation("%s: item %s: events of versions %v", job, r.ID, versions)
		}
		if seen[r.ID] || r.State != "completed" || text != strings.Join(data, "\n") {
			s.addViolation("%s: item %s: listed twice: %t, state %s, text %q", job, r.ID, seen[r.ID], r.State, r.Text)
		}
		seen[r.ID] = true
	}
	if len(seen) != items || results.Total != items {
		s.addViolation("%s: %d items of %d, total %d", job, len(seen), items, results.Total)
	}
}

// checkRuns compares the runs recorded by the targets with the outcomes that the
// callers saw: a non-idempotent request runs at most once, and never if it was
// answered 503 or 429. Targets see the workspace and never the key.
func (s *Soak) checkRuns() {
	runs := map[string]int{}
	for _, target := range s.targets {
		for _, run := range target.Runs() {
			runs[run.ID]++
			if run.Workspace != "w1" || run.Header.Get(platform.HeaderNames().Key) != "" {
				s.addViolation("%s ran for workspace %q, its key passed on: %t", run.ID, run.Workspace, run.Header.Get(platform.HeaderNames().Key) != "")
			}
		}
	}
	for id, sent := range s.sent {
		switch {
		case sent.kind == "once" && runs[id] > 1:
			s.addViolation("%s ran %d times", id, runs[id])
		case sent.kind == "once" && runs[id] > 0 && (sent.status == http.StatusServiceUnavailable || sent.status == http.StatusTooManyRequests):
			s.addViolation("%s ran and was answered %d", id, sent.status)
		}
	}
}
