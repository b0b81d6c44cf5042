package load

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMaxUS  = 120_000_000 // two minutes in microseconds; longer durations are recorded as this
	histogramDigits = 3           // significant decimal digits
	timelineStep    = 500 * time.Millisecond
)

// Report holds the results of all variants of a plan.
type Report struct {
	Plan     string          `json:"plan"`
	Started  time.Time       `json:"started"`
	Variants []VariantReport `json:"variants"`
}

// VariantReport holds the results of one variant. Offered, Correct, Wrong and the
// latencies leave out the warm-up.
type VariantReport struct {
	Name             string            `json:"name"`
	Offered          int               `json:"offered"`
	Correct          int               `json:"whole"`
	Wrong            int               `json:"wrong"`   // content of another request, or truncated without an error
	Skipped          int               `json:"skipped"` // not sent because MaxInFlight was reached
	Retries          int               `json:"resends"`
	WrongRefusals    int               `json:"wrong_refusals"` // rate limited although within rate and burst
	Latency          Quantiles         `json:"latency_ms"`     // from scheduled time to end, without noisy workspaces
	FirstToken       Quantiles         `json:"first_token_ms"`
	TokenGap         Quantiles         `json:"token_gap_ms"`
	WorstWorkspace   string            `json:"worst_workspace"`
	WorstServedRatio float64           `json:"worst_share"` // correct responses per request that a strict limiter admits
	BatchPerSecond   float64           `json:"batch_items_per_second"`
	Batches          []BatchResult     `json:"batches,omitempty"`
	Workspaces       []WorkspaceReport `json:"workspaces"`
	Codes            []CodeCount       `json:"codes,omitempty"`
	Timeline         []TimelinePoint   `json:"timeline"`
	Problems         []string          `json:"faults,omitempty"` // problems that kept the run from following the plan
	EventsPerformed  []PerformedEvent  `json:"events,omitempty"`
}

// Quantiles holds quantiles of a duration, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// WorkspaceReport holds the online results of one workspace.
type WorkspaceReport struct {
	Name          string    `json:"name"`
	Noisy         bool      `json:"noisy"`
	Offered       int       `json:"offered"`
	Admissible    int       `json:"due"` // offered requests that a strict limiter admits
	Correct       int       `json:"whole"`
	RateLimited   int       `json:"limited"`
	Failed        int       `json:"failed"`
	WrongRefusals int       `json:"wrong_refusals"`
	Latency       Quantiles `json:"latency_ms"`
}

// CodeCount counts the failures with the same code and outcome.
type CodeCount struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
}

// TimelinePoint summarises the requests scheduled within one timelineStep.
type TimelinePoint struct {
	AtMS           int64   `json:"at_ms"`
	Correct        int     `json:"whole"`
	Failed         int     `json:"failed"` // without rate-limited requests
	P99MS          float64 `json:"p99_ms"`
	BatchPerSecond float64 `json:"batch_items_per_second"`
}

// PerformedEvent is an operator action with the time at which it succeeded.
type PerformedEvent struct {
	AtMS   int64  `json:"at_ms"`
	Action Action `json:"action"`
	Name   string `json:"name"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxUS, histogramDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), histogramMaxUS))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

// summarise computes the report of one variant. The request counts and latencies
// leave out the warm-up; retries, wrong refusals, failure codes and the timeline
// include it.
func summarise(p *Plan, v Variant, results []result) VariantReport {
	report := VariantReport{Name: v.Name}
	slices.SortFunc(results, func(a, b result) int { return cmp.Compare(a.sent, b.sent) })
	latency, firstToken, tokenGap := newHistogram(), newHistogram(), newHistogram()
	for _, w := range workspaceNames(p) {
		workspaceResults := resultsOfWorkspace(results, w)
		if len(workspaceResults) == 0 {
			continue
		}
		report.Workspaces = append(report.Workspaces, summariseWorkspace(p, w, workspaceResults))
	}
	for _, r := range results {
		report.Retries += r.retries
		if r.scheduled < p.Warmup {
			continue
		}
		report.Offered++
		if r.wrong {
			report.Wrong++
		}
		if !r.correct {
			continue
		}
		report.Correct++
		if isNoisy(p, r.workspace) {
			continue
		}
		recordDuration(latency, r.ended-r.scheduled)
		recordDuration(firstToken, r.firstToken)
		for _, g := range r.tokenGaps {
			recordDuration(tokenGap, g)
		}
	}
	report.Latency, report.FirstToken, report.TokenGap = quantiles(latency), quantiles(firstToken), quantiles(tokenGap)
	report.Codes = countCodes(results)
	report.Timeline = timeline(p, results)
	for _, w := range report.Workspaces {
		report.WrongRefusals += w.WrongRefusals
	}
	report.WorstWorkspace, report.WorstServedRatio = worstServed(report.Workspaces)
	return report
}

func summariseWorkspace(p *Plan, name string, results []result) WorkspaceReport {
	w := WorkspaceReport{Name: name, Noisy: isNoisy(p, name)}
	h := newHistogram()
	for _, r := range results {
		if r.scheduled < p.Warmup {
			continue
		}
		w.Offered++
		switch {
		case r.rateLimited:
			w.RateLimited++
		case r.correct:
			w.Correct++
			recordDuration(h, r.ended-r.scheduled)
		default:
			w.Failed++
		}
	}
	w.Latency = quantiles(h)
	w.Admissible = w.Offered
	if limit, ok := p.limits[name]; ok {
		w.Admissible = countAdmissible(results, limit.Rate, limit.Burst, p.Warmup)
		w.WrongRefusals = countWrongRefusals(results, limit.Rate, limit.Burst)
	}
	return w
}

// worstServed returns the workspace with the lowest ratio of correct responses to
// requests that a strict limiter admits, and that ratio.
func worstServed(workspaces []WorkspaceReport) (string, float64) {
	name, worstRatio := "", 1.0
	for _, w := range workspaces {
		if w.Admissible == 0 {
			continue
		}
		if ratio := min(1, float64(w.Correct)/float64(w.Admissible)); name == "" || ratio < worstRatio {
			name, worstRatio = w.Name, ratio
		}
	}
	return name, worstRatio
}

// countCodes counts the requests without a correct response by failure code and
// outcome.
func countCodes(results []result) []CodeCount {
	counts := make(map[CodeCount]int)
	for _, r := range results {
		if r.correct {
			continue
		}
		counts[CodeCount{Code: failureCode(r), Outcome: r.outcome}]++
	}
	codeCounts := make([]CodeCount, 0, len(counts))
	for key, n := range counts {
		key.Count = n
		codeCounts = append(codeCounts, key)
	}
	slices.SortFunc(codeCounts, func(a, b CodeCount) int {
		return cmp.Or(cmp.Compare(a.Code, b.Code), cmp.Compare(a.Outcome, b.Outcome))
	})
	return codeCounts
}

// failureCode returns the result code of a failure or, without one, a text that
// describes it.
func failureCode(r result) string {
	switch {
	case r.code != "":
		return r.code
	case r.wrong:
		return "wrong answer"
	case r.status != 0:
		return fmt.Sprintf("status %d", r.status)
	default:
		return "no answer"
	}
}

// timeline groups all results, also those of the warm-up, by scheduled time.
func timeline(p *Plan, results []result) []TimelinePoint {
	points := make([]TimelinePoint, p.Duration/timelineStep+1)
	histograms := make([]*hdrhistogram.Histogram, len(points))
	for i := range points {
		points[i].AtMS = (time.Duration(i) * timelineStep).Milliseconds()
		histograms[i] = newHistogram()
	}
	for _, r := range results {
		i := min(int(r.scheduled/timelineStep), len(points)-1)
		switch {
		case r.correct:
			points[i].Correct++
			if !isNoisy(p, r.workspace) {
				recordDuration(histograms[i], r.ended-r.scheduled)
			}
		case !r.rateLimited:
			points[i].Failed++
		}
	}
	for i, h := range histograms {
		points[i].P99MS = quantiles(h).P99
	}
	return points
}

func workspaceNames(p *Plan) []string {
	var names []string
	for _, o := range p.Online {
		if !slices.Contains(names, o.Workspace) {
			names = append(names, o.Workspace)
		}
	}
	return names
}

func isNoisy(p *Plan, workspace string) bool {
	return slices.ContainsFunc(p.Online, func(o OnlineTraffic) bool { return o.Workspace == workspace && o.Noisy })
}

func resultsOfWorkspace(results []result, name string) []result {
	var own []result
	for _, r := range results {
		if r.workspace == name {
			own = append(own, r)
		}
	}
	return own
}
