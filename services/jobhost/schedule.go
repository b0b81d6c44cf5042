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

// runnableItem is an item that may run now. It holds copies of what later commands
// change; of job, only the fields of its specification may be read.
type runnableItem struct {
	job       *jobs.Job
	item      jobs.Item
	failures  int // failed attempts that the replicated log holds
	firstSeen time.Time
	partial   jobs.Partial // progress that the replicated log holds
}

// runnableItems returns the open items that are not running, not waiting for a
// retry and have no result to be committed, by descending priority.
func (r *runner) runnableItems(now time.Time) ([]jobs.Candidate, map[jobs.ItemRef]runnableItem) {
	var order []jobs.Candidate
	items := make(map[jobs.ItemRef]runnableItem)
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
				if !job.Open(i) || r.running[ref] != nil || r.results.isPending(ref) {
					continue
				}
				runTime := time.Duration(0)
				if p := r.paused[ref]; p != nil {
					if now.Before(p.notBefore) {
						continue
					}
					runTime = p.runTime
				}
				items[ref] = runnableItem{job: job, item: job.Items[i], failures: job.Failures[i], firstSeen: firstSeen[job.ID], partial: job.Partial[i]}
				order = append(order, jobs.Candidate{Ref: ref, Due: due, Remaining: r.durations.Remaining(job.Items[i].Tokens, runTime)})
			}
		}
	})
	jobs.SortByPriority(now, order)
	return order, items
}

// startItem starts an item at a target with a spare slot, if there is one. It
// abandons an item whose maximum wait is over or whose route no longer exists, and
// notes in pass what has no spare slot. Before this host has the document by which the
// job was accepted, it cannot tell a route that no longer exists from a new one.
func (r *runner) startItem(ctx context.Context, now time.Time, ref jobs.ItemRef, item runnableItem, pass *schedulePass) {
	job := item.job
	spec := &item.item
	deadline := item.firstSeen.Add(time.Duration(job.MaxWaitMS)*time.Millisecond + maxWaitGrace)
	if job.MaxWaitMS > 0 && now.After(deadline) {
		r.abandon(ref, "its maximum wait is over")
		return
	}
	table := r.follower.Table()
	if table == nil || table.Version() < job.Document {
		r.waitForDocument(table, job)
		return
	}
	path, _, _ := strings.Cut(spec.Path, "?")
	route := table.Route(job.Host, path)
	if route == nil {
		r.abandon(ref, "its route no longer exists")
		return
	}
	serviceName := route.Pick(0)
	query := placement.Query{Service: serviceName, Batch: true, Spare: spareSlots, Rollout: r.follower.Gate.Service(serviceName)}
	if service := table.Service(serviceName); service != nil {
		query.WarmupPerSecond = service.WarmupPerSecond
		query.Tokens, query.Memory = r.heldTokens(spec), service.KVCapacity
	}
	if smallest, full := pass.fullServices[serviceName]; full && query.HeldTokens() >= smallest {
		return
	}
	parts := r.trials.partsOf(job.Workspace, spec.Headers)
	if !r.trials.mayRun(now, parts) {
		return
	}
	itemProgress := r.progressOf(ref, item.partial)
	if !r.bindVersion(now, ref, itemProgress, &query, pass) {
		return
	}
	target := r.acquireTarget(now, query, itemProgress.refusedBy)
	if target == nil {
		pass.setFull(&query)
		return
	}
	r.trials.started(now, ref, parts)
	r.mu.Lock()
	delete(r.paused, ref)
	runCtx, cancel := context.WithCancelCause(ctx)
	started := &itemRun{runner: r, ref: ref, target: target, parts: parts, progress: itemProgress, startedAt: now, cancel: cancel,
		request: r.targetRequest(job, spec, deadline), route: route.Name, tokens: spec.Tokens, held: query.HeldTokens(),
		fill: r.follower.Targets.TotalLoad(target.ID), maxAttempts: job.MaxAttempts, loggedFailures: item.failures,
		firstSeen: item.firstSeen, due: item.firstSeen.Add(time.Duration(job.CompletionMS) * time.Millisecond)}
	r.running[ref] = started
	r.mu.Unlock()
	r.started.Inc(1)
	r.wg.Go(func() { started.execute(runCtx) })
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

// schedulePass holds what one pass over the runnable items has found out, so that the
// next ones need not look again.
type schedulePass struct {
	fullServices map[string]int64         // without a place at any target for items that hold this many tokens, or more
	fullVersions map[streams.Origin]int64 // without one at the targets of a version
	present      map[streams.Origin]bool  // whether a target of the version takes requests
	targets      map[string]bool          // whether any target of the service does
}

func newSchedulePass() *schedulePass {
	return &schedulePass{fullServices: make(map[string]int64), fullVersions: make(map[streams.Origin]int64),
		present: make(map[streams.Origin]bool), targets: make(map[string]bool)}
}

func (p *schedulePass) setFull(q *placement.Query) {
	if q.Version == nil {
		p.fullServices[q.Service] = q.HeldTokens()
		return
	}
	p.fullVersions[streams.Origin{Service: q.Service, Version: *q.Version}] = q.HeldTokens()
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
	if smallest, full := pass.fullVersions[origin]; full && query.HeldTokens() >= smallest {
		return false
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
