package jobhost

import (
	"context"
	"net/http"
	"strings"
	"time"

	"banyanwalk/core/jobs"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/core/streams"
	"banyanwalk/services/targetcall"
)

const (
	// minPlanInterval is the shortest time between two plans. Within it, items start in the
	// order of the last one.
	minPlanInterval = 20 * time.Millisecond
	// planDivisor is the part of the processor time, as a divisor, that plans may take
	// whatever the number of items that wait.
	planDivisor = 20
)

// runnableItem is an item that may run now. It holds copies of what later commands
// change; of job, only the fields of its specification may be read.
type runnableItem struct {
	job       *jobs.Job
	item      jobs.Item
	failures  int // failed attempts that the replicated log holds
	firstSeen time.Time
	partial   jobs.Partial // progress that the replicated log holds
}

// makePlan orders the items that may run now, and abandons those whose maximum wait is
// over.
func (r *runner) makePlan(now time.Time) *jobs.Plan {
	entries, expired := r.planEntries(now)
	for _, ref := range expired {
		r.abandon(ref, "its maximum wait is over")
	}
	return jobs.NewPlan(now, entries)
}

// planEntries returns the items that may run now, and those whose maximum wait is over.
func (r *runner) planEntries(now time.Time) (entries []jobs.Entry, expired []jobs.ItemRef) {
	table := r.follower.Table()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server.state.read(func(m *jobs.Machine, firstSeen map[string]time.Time) {
		for _, job := range m.Jobs() {
			if !job.Unfinished() {
				continue
			}
			due := firstSeen[job.ID].Add(time.Duration(job.CompletionMS) * time.Millisecond)
			for i := range job.Items {
				ref := jobs.ItemRef{Job: job.ID, Item: i}
				if !r.mayRun(job, ref) {
					continue
				}
				if job.MaxWaitMS > 0 && now.After(runDeadline(job, firstSeen[job.ID])) {
					expired = append(expired, ref)
					continue
				}
				origin, begun, runTime := job.Partial[i].Origin, job.Partial[i].Last > 0, time.Duration(0)
				if p := r.paused[ref]; p != nil {
					if now.Before(p.notBefore) {
						continue
					}
					runTime = p.runTime
					origin, begun = p.begunAt()
				}
				item := &job.Items[i]
				entries = append(entries, jobs.Entry{
					Candidate: jobs.Candidate{Ref: ref, Due: due, Remaining: r.durations.Remaining(item.Tokens, runTime)},
					Lane:      jobs.LaneOf(serviceOf(table, job, item), origin, begun),
					Held:      r.heldTokens(item),
				})
			}
		}
	})
	return entries, expired
}

// runDeadline returns when the maximum wait of a job's items is over.
func runDeadline(job *jobs.Job, firstSeen time.Time) time.Time {
	return firstSeen.Add(time.Duration(job.MaxWaitMS)*time.Millisecond + maxWaitGrace)
}

// mayRun reports whether an item is open, does not run and has no result to be committed.
// The caller holds the lock.
func (r *runner) mayRun(job *jobs.Job, ref jobs.ItemRef) bool {
	return job.Open(ref.Item) && r.running[ref] == nil && !r.results.isPending(ref)
}

// serviceOf returns the service of an item's route, or "" if it has none.
func serviceOf(table *routing.Table, job *jobs.Job, item *jobs.Item) string {
	if route := routeOf(table, job, item); route != nil {
		return route.Pick(0)
	}
	return ""
}

// routeOf returns the route of an item, or nil if it has none: that of its path, or, if the
// path lies outside of all routes, that by which its job was submitted.
func routeOf(table *routing.Table, job *jobs.Job, item *jobs.Item) *routing.Route {
	if table == nil {
		return nil
	}
	path, _, _ := strings.Cut(item.Path, "?")
	if route := table.Route(job.Host, path); route != nil {
		return route
	}
	return table.RouteNamed(job.Route)
}

// load returns an item of a plan, or false if it may not run any more.
func (r *runner) load(ref jobs.ItemRef) (item runnableItem, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server.state.read(func(m *jobs.Machine, firstSeen map[string]time.Time) {
		job := m.Job(ref.Job)
		if job == nil || !r.mayRun(job, ref) {
			return
		}
		found = true
		item = runnableItem{job: job, item: job.Items[ref.Item], failures: job.Failures[ref.Item], firstSeen: firstSeen[ref.Job], partial: job.Partial[ref.Item]}
	})
	return item, found
}

// startItem starts an item at a target with a spare slot, if there is one. It
// abandons an item whose route no longer exists. Before
// this host has the document by which the job was accepted, it cannot tell a route that
// no longer exists from a new one.
func (r *runner) startItem(ctx context.Context, now time.Time, ref jobs.ItemRef, pass *schedulePass) jobs.Attempt {
	item, found := r.load(ref)
	if !found {
		return jobs.Done
	}
	job := item.job
	spec := &item.item
	table := r.follower.Table()
	if table == nil || table.Version() < job.Document {
		r.waitForDocument(table, job)
		return jobs.Done
	}
	route := routeOf(table, job, spec)
	if route == nil {
		r.abandon(ref, "its route no longer exists")
		return jobs.Done
	}
	serviceName := route.Pick(0)
	query := placement.Query{Service: serviceName, Batch: true, Spare: spareSlots, Rollout: r.follower.Gate.Service(serviceName)}
	if service := table.Service(serviceName); service != nil {
		query.WarmupPerSecond = service.WarmupPerSecond
		query.Tokens, query.Memory = r.heldTokens(spec), service.KVCapacity
	}
	parts := r.trials.partsOf(job.Workspace, spec.Headers)
	if !r.trials.mayRun(now, parts) {
		return jobs.Done
	}
	itemProgress := r.progressOf(ref, item.partial)
	if !r.bindVersion(now, ref, itemProgress, &query, pass) {
		return jobs.Done
	}
	target := r.acquireTarget(now, query, itemProgress.refusedBy)
	if target == nil {
		return r.noPlace(now, query)
	}
	r.trials.started(now, ref, parts)
	r.mu.Lock()
	delete(r.paused, ref)
	runCtx, cancel := context.WithCancelCause(ctx)
	started := &itemRun{runner: r, ref: ref, target: target, parts: parts, progress: itemProgress, startedAt: now, cancel: cancel,
		request: r.targetRequest(job, spec, runDeadline(job, item.firstSeen)), route: route.Name, tokens: spec.Tokens, held: query.HeldTokens(),
		fill: r.follower.Targets.TotalLoad(target.ID), maxAttempts: job.MaxAttempts, loggedFailures: item.failures,
		firstSeen: item.firstSeen, due: item.firstSeen.Add(time.Duration(job.CompletionMS) * time.Millisecond)}
	r.running[ref] = started
	r.mu.Unlock()
	r.started.Inc(1)
	r.wg.Go(func() { started.execute(runCtx) })
	return jobs.Done
}

// noPlace tells whether an item found no target because of its size, or because no target
// has a slot for any item.
func (r *runner) noPlace(now time.Time, query placement.Query) jobs.Attempt {
	query.Tokens = 0
	if r.follower.Targets.HasPlace(now, query) {
		return jobs.NoPlace
	}
	return jobs.NoSlot
}

// acquireTarget acquires a slot for an item, at another target than the one that refused it
// last, if there is one: a target that refuses all items always has the most free slots.
func (r *runner) acquireTarget(now time.Time, query placement.Query, refusedBy string) *roster.Record {
	if refusedBy != "" {
		others := query
		others.Exclude = map[string]bool{refusedBy: true}
		if target, _ := r.follower.Targets.Acquire(now, others); target != nil {
			return target
		}
	}
	target, _ := r.follower.Targets.Acquire(now, query)
	return target
}

// waitForDocument logs that the items of a job wait for the document by which the job was
// accepted, once for each document.
func (r *runner) waitForDocument(table *routing.Table, job *jobs.Job) {
	if table == nil || r.awaitedDocument >= job.Document {
		return
	}
	r.awaitedDocument = job.Document
	r.log.Info("items_await_document", "job", job.ID, "route", job.Route, "document", job.Document, "document_held", table.Version())
}

// heldTokens returns the tokens that a target may hold for an item.
func (r *runner) heldTokens(item *jobs.Item) int64 {
	if r.server.cfg.ItemTokens == nil {
		return item.Tokens
	}
	if tokens := r.server.cfg.ItemTokens(item.Headers); tokens > 0 {
		return tokens
	}
	return item.Tokens
}

// schedulePass holds what one pass over the plan has found out, so that the next items
// need not look again.
type schedulePass struct {
	present map[streams.Origin]bool // whether a target of the version takes requests
	targets map[string]bool         // whether any target of the service does
}

func newSchedulePass() *schedulePass {
	return &schedulePass{present: make(map[streams.Origin]bool), targets: make(map[string]bool)}
}

func (p *schedulePass) isPresent(targets *placement.Targets, origin streams.Origin) bool {
	present, known := p.present[origin]
	if !known {
		present = targets.HasVersion(origin.Service, origin.Version)
		p.present[origin] = present
	}
	return present
}

func (p *schedulePass) hasTargets(targets *placement.Targets, service string) bool {
	found, known := p.targets[service]
	if !known {
		_, _, count := targets.Free(service)
		found = count > 0
		p.targets[service] = found
	}
	return found
}

// progressOf returns the progress of an item that is not running. It is kept until the
// item runs.
func (r *runner) progressOf(ref jobs.ItemRef, logged jobs.Partial) *progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	itemProgress := r.paused[ref]
	if itemProgress == nil {
		itemProgress = newProgress(logged)
		if logged.Last > 0 {
			r.paused[ref] = itemProgress
		}
	}
	return itemProgress
}

// bindVersion restricts the targets of an item whose text has begun to those at which
// it can go on, and reports whether it may run now. If there have been none for long, the
// text starts again at any target.
func (r *runner) bindVersion(now time.Time, ref jobs.ItemRef, p *progress, query *placement.Query, pass *schedulePass) bool {
	origin, begun := p.begunAt()
	if !begun {
		return true
	}
	present := origin.Service == query.Service && pass.isPresent(r.follower.Targets, origin) && !r.follower.Gate.Bars(origin.Service, origin.Version, true)
	if !present && !pass.hasTargets(r.follower.Targets, query.Service) {
		return false
	}
	if !p.mayGoOn(now, present) {
		return false
	}
	if present {
		query.Version = &origin.Version
		return true
	}
	r.log.Info("item_restarted", "job", ref.Job, "item", ref.Item, "service", origin.Service, "version", origin.Version,
		"reason", "no target of the version takes requests")
	return true
}

// targetRequest returns the request that runs an item at a target. It omits
// hop-by-hop and reserved headers.
func (r *runner) targetRequest(job *jobs.Job, item *jobs.Item, deadline time.Time) *targetcall.Request {
	header := make(http.Header, len(item.Headers))
	for _, h := range item.Headers {
		if !targetcall.IsHopByHop(h.Name, "") && !r.server.cfg.HeaderNames.IsReserved(h.Name) {
			header[h.Name] = append(header[h.Name], h.Value)
		}
	}
	return &targetcall.Request{
		Method: http.MethodPost, URI: item.Path, Host: job.Host, Header: header, Body: item.Body,
		ID: item.ID, Workspace: job.Workspace, Deadline: deadline,
	}
}
