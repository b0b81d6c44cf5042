package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/jobs"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/follow"
	"banyanwalk/services/replicated"
	"banyanwalk/services/targetcall"
)

const (
	// spareSlots is how many slots batch items leave free at each target, for
	// online requests that arrive before the gateways' next load reports.
	spareSlots = 1
	// holdDuration is how long a slot is reserved for a request that has just
	// arrived at a target; by then the gateways' load reports include it.
	holdDuration = 300 * time.Millisecond
	// passInterval is the shortest time between two passes: slots that are released within
	// it share one.
	passInterval = 5 * time.Millisecond
	// scheduleInterval bounds the delay until the runner reacts to load changes.
	scheduleInterval = 100 * time.Millisecond
	// maxWaitGrace is added to the maximum wait of an item before it is abandoned,
	// because this host may have first seen its job late.
	maxWaitGrace = 1 * time.Second
	// retryDelay is the delay before a failed item runs again.
	retryDelay = 300 * time.Millisecond
	// checkpointInterval is the interval at which the progress of items is
	// committed, and so how much work is lost when the leader fails.
	checkpointInterval = 1 * time.Second
	// retentionInterval is the interval at which expired jobs are dropped.
	retentionInterval = 10 * time.Second
)

// runner schedules and runs the items of unfinished jobs while this host leads.
type runner struct {
	server       *Server
	log          *telemetry.Log
	follower     *follow.Follower
	group        *replicated.Group[jobs.ApplyResult]
	targetClient *targetcall.Client
	results      *resultCommitter
	trials       *partTrials
	started      metrics.Counter
	resumed      metrics.Counter
	preempted    metrics.Counter

	wg              conc.WaitGroup
	mu              sync.Mutex
	running         map[jobs.ItemRef]*itemRun
	paused          map[jobs.ItemRef]*progress // items that ran before and wait to run again
	wake            chan struct{}
	durations       jobs.DurationEstimator
	lastRetention   time.Time
	awaitedDocument uint64 // newest document of a job whose items had to wait for it
	lastCheckpoint  time.Time
	plan            *jobs.Plan // used by run only, like the next two
	planAt          time.Time  // when the next plan may be made
	planned         bool       // the last pass made its plan
}

func newRunner(s *Server, group *replicated.Group[jobs.ApplyResult]) *runner {
	r := &runner{
		server:        s,
		log:           s.log,
		follower:      s.cfg.Follower,
		group:         group,
		targetClient:  targetcall.NewClient(s.cfg.HeaderNames, s.cfg.Follower, s.cfg.Metrics),
		started:       metrics.GetOrRegisterCounter("jobhost.items.started", s.cfg.Metrics),
		resumed:       metrics.GetOrRegisterCounter("jobhost.items.resumed", s.cfg.Metrics),
		preempted:     metrics.GetOrRegisterCounter("jobhost.items.yielded", s.cfg.Metrics),
		running:       make(map[jobs.ItemRef]*itemRun),
		paused:        make(map[jobs.ItemRef]*progress),
		wake:          make(chan struct{}, 1),
		lastRetention: time.Now(),
	}
	r.results = newResultCommitter(group, s.log, r.wakeUp)
	r.trials = newPartTrials(s)
	return r
}

// wakeUp makes the runner schedule at once.
func (r *runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// runningCount returns how many items are running.
func (r *runner) runningCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// run schedules items until ctx ends, whenever this host leads.
func (r *runner) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	r.wg.Go(func() { r.results.run(ctx) })
	leading := false
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := r.server.state.nextChange()
		if leads := r.group.Replica().Status().IsLeader; leads != leading {
			leading = leads
			r.log.Info("runner_leads", "leads", leads)
			r.server.broker.startTerm(r.server.StorageState().BrokerID())
			if !leads {
				r.cancelAll()
			}
		}
		if leading {
			r.schedule(ctx, time.Now())
		}
		if !pause.For(ctx, passInterval) {
			r.cancelAll()
			return nil
		}
		timer.Reset(r.untilNextPass(leading, time.Now()))
		select {
		case <-ctx.Done():
			r.cancelAll()
			return nil
		case <-timer.C:
		case <-changed:
		case <-r.wake:
		}
	}
}

// schedule cancels and preempts runs, starts runnable items, and does the periodic
// checkpoints and retention.
func (r *runner) schedule(ctx context.Context, now time.Time) {
	r.server.broker.sweep(now)
	r.preemptAtFullTargets()
	began := time.Now()
	if r.planned = !now.Before(r.planAt); r.planned {
		r.cancelClosed()
		r.replan(now)
	}
	pass := newSchedulePass()
	looked := r.plan.Pass(func(e *jobs.Entry) jobs.Attempt { return r.startItem(ctx, now, e.Ref, pass) })
	r.server.load.passed(r.plan.Waiting(), looked, time.Since(began))
	r.checkpoint(now)
	r.dropExpired(ctx, now)
}

// replan makes a new plan. With many items that takes long, and the next one comes later.
func (r *runner) replan(now time.Time) {
	began := time.Now()
	r.plan = r.makePlan(now)
	r.planAt = now.Add(max(minPlanInterval, planDivisor*time.Since(began)))
}

// untilNextPass returns the time until the next pass if nothing happens: items that have come
// since the last plan wait for the next one.
func (r *runner) untilNextPass(leading bool, now time.Time) time.Duration {
	if !leading || r.planned {
		return scheduleInterval
	}
	return min(scheduleInterval, max(0, r.planAt.Sub(now)))
}

// checkpoint commits the progress of items, so that a new leader resumes from
// there.
func (r *runner) checkpoint(now time.Time) {
	if now.Sub(r.lastCheckpoint) < checkpointInterval {
		return
	}
	r.lastCheckpoint = now
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, running := range r.running {
		if unsaved, ok := running.progress.takeUnsaved(ref); ok {
			r.results.addProgress(unsaved)
		}
	}
	for ref, paused := range r.paused {
		if unsaved, ok := paused.takeUnsaved(ref); ok {
			r.results.addProgress(unsaved)
		}
	}
}

// abandon records an item as abandoned.
func (r *runner) abandon(ref jobs.ItemRef, reason string) {
	r.log.Info("item_given_up", "job", ref.Job, "item", ref.Item, "reason", reason)
	r.results.addFinished(jobs.Finished{ItemRef: ref, State: jobs.Abandoned})
}

// cancelClosed cancels the runs, and drops the progress, of items that are no
// longer open.
func (r *runner) cancelClosed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		for ref, running := range r.running {
			if job := m.Job(ref.Job); job == nil || !job.Open(ref.Item) {
				running.cancel(errItemClosed)
			}
		}
		for ref := range r.paused {
			if job := m.Job(ref.Job); job == nil || !job.Open(ref.Item) {
				delete(r.paused, ref)
			}
		}
	})
}

func (r *runner) cancelAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, running := range r.running {
		running.cancel(errNotLeading)
	}
}

// finishRun removes a run and frees its slot. An item that is to run again keeps
// its progress.
func (r *runner) finishRun(finished *itemRun, retry bool) {
	r.mu.Lock()
	finished.progress.runTime += time.Since(finished.startedAt)
	finished.progress.runs++
	if finished.completed {
		r.durations.Observe(finished.tokens, finished.progress.runTime)
	}
	if r.running[finished.ref] == finished {
		delete(r.running, finished.ref)
	}
	if retry {
		r.paused[finished.ref] = finished.progress
	}
	r.mu.Unlock()
	r.follower.Targets.Release(finished.target.ID, true)
	r.follower.Targets.ReleaseTokens(finished.target.ID, true, finished.held)
	r.wakeUp()
}

// dropExpired drops finished jobs whose retention is over.
func (r *runner) dropExpired(ctx context.Context, now time.Time) {
	if now.Sub(r.lastRetention) < retentionInterval || r.server.cfg.JobRetention <= 0 {
		return
	}
	r.lastRetention = now
	var expired []string
	r.server.state.read(func(m *jobs.Machine, firstSeen map[string]time.Time) {
		for _, job := range m.Jobs() {
			if !job.Unfinished() && now.Sub(firstSeen[job.ID]) > r.server.cfg.JobRetention {
				expired = append(expired, job.ID)
			}
		}
	})
	if len(expired) == 0 {
		return
	}
	r.wg.Go(func() {
		_, err := r.group.Execute(ctx, jobs.Command{Drop: expired})
		r.log.Info("jobs_dropped", "jobs", len(expired), "error", err)
	})
}
