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
	progressInterval = 2 * time.Second
	variantPause     = 1 * time.Second // between variants, beyond the time in which all buckets fill
)

// Runner runs the variants of a plan one after the other.
type Runner struct {
	plan     *Plan
	token    string // operator token, for events
	progress io.Writer
}

// NewRunner returns a runner of a prepared plan. Progress lines go to progress.
func NewRunner(p *Plan, operatorToken string, progress io.Writer) *Runner {
	return &Runner{plan: p, token: operatorToken, progress: progress}
}

// Run measures every variant. It ends early, with what was measured so far,
// when ctx ends.
func (r *Runner) Run(ctx context.Context) *Report {
	report := &Report{Plan: r.plan.Name, Started: time.Now().UTC()}
	for i, v := range r.plan.Variants {
		if i > 0 {
			pause.For(ctx, r.plan.refillTime()+variantPause)
		}
		if ctx.Err() != nil {
			break
		}
		report.Variants = append(report.Variants, r.variant(ctx, v))
	}
	return report
}

// session is one run of one variant.
type session struct {
	*Runner
	variant  Variant
	gateways []string
	start    time.Time
	caller   *caller
	inFlight atomic.Int64
	skipped  atomic.Int64

	mu        sync.Mutex
	results   []result
	batches   []BatchResult
	performed []PerformedEvent
	faults    []string
	batchDone map[int]int // items done, by job
	batchRate []float64   // items per second, by timeline step
}

func (r *Runner) variant(ctx context.Context, v Variant) VariantReport {
	s := &session{Runner: r, variant: v, gateways: r.plan.Gateways, batchDone: make(map[int]int)}
	if len(v.Gateways) > 0 {
		s.gateways = v.Gateways
	}
	s.start = time.Now()
	s.caller = newCaller(r.plan, s.start)
	bounded, cancel := context.WithTimeout(ctx, r.plan.Duration+r.plan.Drain)
	defer cancel()
	background, stopBackground := context.WithCancel(bounded)
	var watch, work conc.WaitGroup
	watch.Go(func() { s.showProgress(background) })
	watch.Go(func() { s.sampleBatch(background) })
	work.Go(func() { s.online(bounded) })
	s.runBatches(bounded, &work)
	work.Go(func() { s.events(bounded) })
	work.Wait()
	stopBackground()
	watch.Wait()
	return s.report()
}

// online sends each arrival at its time, whatever became of earlier ones.
func (s *session) online(ctx context.Context) {
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
			s.add(s.caller.send(ctx, a, s.gateways))
		})
	}
}

func (s *session) add(r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

func (s *session) runBatches(ctx context.Context, wg *conc.WaitGroup) {
	if s.variant.NoBatch {
		return
	}
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	for i, job := range s.plan.Batch {
		wg.Go(func() {
			pause.For(ctx, time.Until(s.start.Add(job.At)))
			b := &batchCaller{client: client, gateways: append([]string(nil), s.gateways...), job: job, seed: s.plan.EngineSeed}
			r := b.run(ctx, s.plan.Seed<<20+uint64(i)<<40, func(done int) { s.batchProgress(i, done) })
			s.mu.Lock()
			defer s.mu.Unlock()
			s.batches = append(s.batches, r)
			if r.Fault != "" {
				s.faults = append(s.faults, fmt.Sprintf("batch %s: %s", job.Workspace, r.Fault))
			}
		})
	}
}

func (s *session) batchProgress(job, done int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batchDone[job] = done
}

func (s *session) itemsDone() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.batchDone {
		total += n
	}
	return total
}

func (s *session) sampleBatch(ctx context.Context) {
	last := 0
	for ctx.Err() == nil {
		pause.For(ctx, timelineStep)
		done := s.itemsDone()
		s.batchRate = append(s.batchRate, float64(done-last)/timelineStep.Seconds())
		last = done
	}
}

func (s *session) events(ctx context.Context) {
	if s.variant.NoEvents {
		return
	}
	o := &operator{client: &fasthttp.Client{}, controls: s.plan.Controls, token: s.token}
	for _, e := range s.plan.Events {
		pause.For(ctx, time.Until(s.start.Add(e.At)))
		if ctx.Err() != nil {
			return
		}
		err := o.perform(ctx, e)
		s.mu.Lock()
		if err != nil {
			s.faults = append(s.faults, fmt.Sprintf("event %s %s: %v", e.Action, e.Name, err))
		} else {
			s.performed = append(s.performed, PerformedEvent{AtMS: time.Since(s.start).Milliseconds(), Action: e.Action, Name: e.Name})
		}
		s.mu.Unlock()
	}
}

func (s *session) showProgress(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, progressInterval)
		s.mu.Lock()
		answered := len(s.results)
		s.mu.Unlock()
		fmt.Fprintf(s.progress, "%s %5.1fs answered %d in flight %d batch items %d\n",
			s.variant.Name, time.Since(s.start).Seconds(), answered, s.inFlight.Load(), s.itemsDone())
	}
}

func (s *session) report() VariantReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := summarise(s.plan, s.variant, s.results)
	report.Skipped = int(s.skipped.Load())
	report.Batches, report.Faults, report.EventsPerformed = s.batches, s.faults, s.performed
	for i := range report.Timeline {
		if i < len(s.batchRate) {
			report.Timeline[i].Batch = s.batchRate[i]
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
		report.Faults = append(report.Faults, fmt.Sprintf("%d arrivals not sent: max_in_flight reached", report.Skipped))
	}
	return report
}
