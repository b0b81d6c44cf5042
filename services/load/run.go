package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"banyanwalk/infra/pause"
)

const (
	progressInterval  = 2 * time.Second
	extraVariantPause = 1 * time.Second // between variants, added to the time in which all rate limiters refill
)

// Runner runs the variants of a plan one after the other.
type Runner struct {
	plan          *Plan
	operatorToken string // authorises the plan's events
	progress      io.Writer
}

// NewRunner returns a runner for a prepared plan. Progress lines go to progress.
func NewRunner(p *Plan, operatorToken string, progress io.Writer) *Runner {
	return &Runner{plan: p, operatorToken: operatorToken, progress: progress}
}

// Run runs every variant and returns the report. When ctx ends, it returns early
// with the results so far.
func (r *Runner) Run(ctx context.Context) *Report {
	report := &Report{Plan: r.plan.Name, Started: time.Now().UTC()}
	for i, v := range r.plan.Variants {
		if i > 0 {
			pause.For(ctx, r.plan.longestRefillTime()+extraVariantPause)
		}
		if ctx.Err() != nil {
			break
		}
		report.Variants = append(report.Variants, r.runVariant(ctx, v))
	}
	return report
}

// variantRun is the state of one run of one variant.
type variantRun struct {
	*Runner
	variant  Variant
	gateways []string
	start    time.Time
	client   *onlineClient
	inFlight atomic.Int64
	skipped  atomic.Int64

	mu              sync.Mutex
	results         []result
	batches         []BatchResult
	performedEvents []PerformedEvent
	problems        []string
	batchItemsDone  map[int]int // items completed or failed, by index into Plan.Batch
	batchItemRates  []float64   // items per second, by timeline step
}

func (r *Runner) runVariant(ctx context.Context, v Variant) VariantReport {
	s := &variantRun{Runner: r, variant: v, gateways: r.plan.Gateways, batchItemsDone: make(map[int]int)}
	if len(v.Gateways) > 0 {
		s.gateways = v.Gateways
	}
	s.start = time.Now()
	s.client = newOnlineClient(r.plan, s.start)
	runCtx, cancel := context.WithTimeout(ctx, r.plan.Duration+r.plan.Drain)
	defer cancel()
	monitorCtx, stopMonitors := context.WithCancel(runCtx)
	var monitors, traffic conc.WaitGroup
	monitors.Go(func() { s.printProgress(monitorCtx) })
	monitors.Go(func() { s.sampleBatchRate(monitorCtx) })
	traffic.Go(func() { s.sendOnline(runCtx) })
	s.runBatches(runCtx, &traffic)
	traffic.Go(func() { s.performEvents(runCtx) })
	traffic.Wait()
	stopMonitors()
	monitors.Wait()
	return s.report()
}

// sendOnline sends each arrival at its scheduled time, without waiting for earlier
// responses (open loop). It skips arrivals beyond MaxInFlight and counts them.
func (s *variantRun) sendOnline(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, a := range schedule(s.plan, s.variant) {
		pause.For(ctx, time.Until(s.start.Add(a.at)))
		if ctx.Err() != nil {
			return
		}
		if s.inFlight.Load() >= int64(s.plan.MaxInFlight) {
			s.skipped.Add(1)
			continue
		}
		s.inFlight.Add(1)
		wg.Go(func() {
			defer s.inFlight.Add(-1)
			s.addResult(s.client.send(ctx, a, s.gateways))
		})
	}
}

func (s *variantRun) addResult(r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

// runBatches starts every batch job of the plan at its time.
func (s *variantRun) runBatches(ctx context.Context, wg *conc.WaitGroup) {
	if s.variant.NoBatch {
		return
	}
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	for i, job := range s.plan.Batch {
		wg.Go(func() {
			pause.For(ctx, time.Until(s.start.Add(job.At)))
			b := &batchClient{client: client, gateways: append([]string(nil), s.gateways...), job: job, seed: s.plan.EngineSeed}
			r := b.run(ctx, s.plan.Seed<<20+uint64(i)<<40, func(done int) { s.setBatchItemsDone(i, done) })
			s.mu.Lock()
			defer s.mu.Unlock()
			s.batches = append(s.batches, r)
			if r.Problem != "" {
				s.problems = append(s.problems, fmt.Sprintf("batch %s: %s", job.Workspace, r.Problem))
			}
		})
	}
}

func (s *variantRun) setBatchItemsDone(job, done int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batchItemsDone[job] = done
}

func (s *variantRun) totalBatchItemsDone() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.batchItemsDone {
		total += n
	}
	return total
}

// sampleBatchRate records the batch item rate of every timeline step.
func (s *variantRun) sampleBatchRate(ctx context.Context) {
	lastDone := 0
	for ctx.Err() == nil {
		pause.For(ctx, timelineStep)
		done := s.totalBatchItemsDone()
		s.batchItemRates = append(s.batchItemRates, float64(done-lastDone)/timelineStep.Seconds())
		lastDone = done
	}
}

// performEvents performs the plan's operator actions at their times.
func (s *variantRun) performEvents(ctx context.Context) {
	if s.variant.NoEvents {
		return
	}
	o := &operator{client: &fasthttp.Client{}, controls: s.plan.Controls, token: s.operatorToken}
	for _, e := range s.plan.Events {
		pause.For(ctx, time.Until(s.start.Add(e.At)))
		if ctx.Err() != nil {
			return
		}
		err := o.perform(ctx, e)
		s.mu.Lock()
		if err != nil {
			s.problems = append(s.problems, fmt.Sprintf("event %s %s: %v", e.Action, e.Name, err))
		} else {
			s.performedEvents = append(s.performedEvents, PerformedEvent{AtMS: time.Since(s.start).Milliseconds(), Action: e.Action, Name: e.Name})
		}
		s.mu.Unlock()
	}
}

func (s *variantRun) printProgress(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, progressInterval)
		s.mu.Lock()
		answered := len(s.results)
		s.mu.Unlock()
		fmt.Fprintf(s.progress, "%s %5.1fs answered %d in flight %d batch items %d\n",
			s.variant.Name, time.Since(s.start).Seconds(), answered, s.inFlight.Load(), s.totalBatchItemsDone())
	}
}

func (s *variantRun) report() VariantReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := summarise(s.plan, s.variant, s.results)
	report.Skipped = int(s.skipped.Load())
	report.Batches, report.Problems, report.EventsPerformed = s.batches, s.problems, s.performedEvents
	for i := range report.Timeline {
		if i < len(s.batchItemRates) {
			report.Timeline[i].BatchPerSecond = s.batchItemRates[i]
		}
	}
	completed, longest := 0, time.Duration(0)
	for _, b := range s.batches {
		completed += b.Completed
		longest = max(longest, b.Took)
	}
	if longest > 0 {
		report.BatchPerSecond = float64(completed) / longest.Seconds()
	}
	if report.Skipped > 0 {
		report.Problems = append(report.Problems, fmt.Sprintf("%d arrivals not sent: max_in_flight reached", report.Skipped))
	}
	return report
}
