package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/jobs"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/follow"
	"banyanwalk/services/replicated"
	"banyanwalk/services/targetcall"
)

const (
	// spareSlots stay free at each target for the online requests that come
	// before the gateways' next reports.
	spareSlots = 1
	// holdFor is until when the gateways' reports show a request that has just
	// come to a target.
	holdFor = 300 * time.Millisecond
	// fillEvery bounds the time until the runner sees a change of the loads.
	fillEvery = 100 * time.Millisecond
	// waitMargin is added to the time after which an item is given up, as this
	// host may have seen its job late.
	waitMargin = 1 * time.Second
	// retryPause is the pause after which an item that failed runs again.
	retryPause = 300 * time.Millisecond
	// saveEvery is the pause between two records of how far items have come: as
	// much of their work is lost with a leader.
	saveEvery = 1 * time.Second
	// dropEvery is the pause between two looks for jobs that may go.
	dropEvery = 10 * time.Second
)

// runner runs the items of open jobs while this host leads.
type runner struct {
	server   *Server
	log      *telemetry.Log
	follower *follow.Follower
	group    *replicated.Group[jobs.Answer]
	caller   *targetcall.Client
	results  *resultLog
	started  metrics.Counter
	resumed  metrics.Counter
	yielded  metrics.Counter

	wg      conc.WaitGroup
	mu      sync.Mutex
	running map[jobs.ItemRef]*run
	pausing map[jobs.ItemRef]*progress // items that are not running but have begun or failed
	wake    chan struct{}
	pace    jobs.DurationEstimator
	dropped time.Time
	saved   time.Time
}

func newRunner(s *Server, group *replicated.Group[jobs.Answer]) *runner {
	r := &runner{
		server:   s,
		log:      s.log,
		follower: s.cfg.Follower,
		group:    group,
		caller:   targetcall.NewClient(s.cfg.HeaderNames, s.cfg.Metrics),
		started:  metrics.GetOrRegisterCounter("jobhost.items.started", s.cfg.Metrics),
		resumed:  metrics.GetOrRegisterCounter("jobhost.items.resumed", s.cfg.Metrics),
		yielded:  metrics.GetOrRegisterCounter("jobhost.items.yielded", s.cfg.Metrics),
		running:  make(map[jobs.ItemRef]*run),
		pausing:  make(map[jobs.ItemRef]*progress),
		wake:     make(chan struct{}, 1),
		dropped:  time.Now(),
	}
	r.results = newResultLog(group, s.log, r.nudge)
	return r
}

// nudge lets the runner look at once.
func (r *runner) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// count returns how many items run.
func (r *runner) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// run starts and stops items until ctx ends.
func (r *runner) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	r.wg.Go(func() { r.results.run(ctx) })
	leading := false
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := r.server.state.next()
		if leads := r.group.Replica().Status().IsLeader; leads != leading {
			leading = leads
			r.log.Info("runner_leads", "leads", leads)
			r.server.broker.lead(r.server.Storage().Broker())
			if !leads {
				r.stopAll()
			}
		}
		if leading {
			r.review(ctx, time.Now())
		}
		timer.Reset(fillEvery)
		select {
		case <-ctx.Done():
			r.stopAll()
			return nil
		case <-timer.C:
		case <-changed:
		case <-r.wake:
		}
	}
}

// review stops what must stop and starts what can start.
func (r *runner) review(ctx context.Context, now time.Time) {
	r.stopClosed()
	r.yield()
	order, open := r.openItems(now)
	full := make(map[string]bool)
	for i := range order {
		r.start(ctx, now, order[i].Ref, open[order[i].Ref], full)
	}
	r.save(now)
	r.dropOld(ctx, now)
}

// save logs how far the items have come, so that a new leader goes on from
// there.
func (r *runner) save(now time.Time) {
	if now.Sub(r.saved) < saveEvery {
		return
	}
	r.saved = now
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, running := range r.running {
		if part, some := running.progress.unsaved(ref); some {
			r.results.save(part)
		}
	}
	for ref, paused := range r.pausing {
		if part, some := paused.unsaved(ref); some {
			r.results.save(part)
		}
	}
}

// giveUp lists an item as abandoned.
func (r *runner) giveUp(ref jobs.ItemRef, why string) {
	r.log.Info("item_given_up", "job", ref.Job, "item", ref.Item, "reason", why)
	r.results.add(jobs.Finished{ItemRef: ref, State: jobs.Abandoned})
}

// stopClosed stops the runs of items that are not open any more.
func (r *runner) stopClosed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		for ref, running := range r.running {
			if job := m.Job(ref.Job); job == nil || !job.Open(ref.Item) {
				running.cancel(errClosed)
			}
		}
		for ref := range r.pausing {
			if job := m.Job(ref.Job); job == nil || !job.Open(ref.Item) {
				delete(r.pausing, ref)
			}
		}
	})
}

func (r *runner) stopAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, running := range r.running {
		running.cancel(errNotLeading)
	}
}

// ended takes a run off the list. An item that is to run again keeps its
// progress.
func (r *runner) ended(ended *run, again bool) {
	r.mu.Lock()
	ended.progress.spent += time.Since(ended.began)
	if ended.whole {
		r.pace.Observe(ended.tokens, ended.progress.spent)
	}
	if r.running[ended.ref] == ended {
		delete(r.running, ended.ref)
	}
	if again {
		r.pausing[ended.ref] = ended.progress
	}
	r.mu.Unlock()
	r.follower.Targets.Release(ended.target.ID, true)
	r.nudge()
}

// dropOld drops jobs that nobody may ask for any more.
func (r *runner) dropOld(ctx context.Context, now time.Time) {
	if now.Sub(r.dropped) < dropEvery || r.server.cfg.KeepFor <= 0 {
		return
	}
	r.dropped = now
	var old []string
	r.server.state.read(func(m *jobs.Machine, seen map[string]time.Time) {
		for _, job := range m.Jobs() {
			if !job.Unfinished() && now.Sub(seen[job.ID]) > r.server.cfg.KeepFor {
				old = append(old, job.ID)
			}
		}
	})
	if len(old) == 0 {
		return
	}
	r.wg.Go(func() {
		_, err := r.group.Execute(ctx, jobs.Command{Drop: old})
		r.log.Info("jobs_dropped", "jobs", len(old), "error", err)
	})
}
