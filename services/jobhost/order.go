package jobhost

import (
	"context"
	"net/http"
	"strings"
	"time"

	"banyanwalk/core/jobs"
	"banyanwalk/core/placement"
	"banyanwalk/services/targetcall"
)

// openItem is an item that could run now.
type openItem struct {
	job     *jobs.Job
	seen    time.Time
	partial jobs.Partial // that the log holds
}

// openItems returns the items that neither run nor pause, in the order in which
// they are to run.
func (r *runner) openItems(now time.Time) ([]jobs.Candidate, map[jobs.ItemRef]openItem) {
	var order []jobs.Candidate
	open := make(map[jobs.ItemRef]openItem)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server.state.read(func(m *jobs.Machine, seen map[string]time.Time) {
		for _, job := range m.Jobs() {
			if !job.Unfinished() {
				continue
			}
			due := seen[job.ID].Add(time.Duration(job.CompletionMS) * time.Millisecond)
			for i := range job.Items {
				ref := jobs.ItemRef{Job: job.ID, Item: i}
				if !job.Open(i) || r.running[ref] != nil || r.results.pending(ref) {
					continue
				}
				spent := time.Duration(0)
				if p := r.pausing[ref]; p != nil {
					if now.Before(p.notBefore) {
						continue
					}
					spent = p.spent
				}
				open[ref] = openItem{job: job, seen: seen[job.ID], partial: job.Partial[i]}
				order = append(order, jobs.Candidate{Ref: ref, Due: due, Remaining: r.pace.Remaining(job.Items[i].Tokens, spent)})
			}
		}
	})
	jobs.SortByPriority(now, order)
	return order, open
}

// start runs an item at a target with a slot to spare, if there is one.
func (r *runner) start(ctx context.Context, now time.Time, ref jobs.ItemRef, item openItem, full map[string]bool) {
	job := item.job
	work := &job.Items[ref.Item]
	giveUp := item.seen.Add(time.Duration(job.MaxWaitMS)*time.Millisecond + waitMargin)
	if job.MaxWaitMS > 0 && now.After(giveUp) {
		r.giveUp(ref, "its time is over")
		return
	}
	table := r.follower.Table()
	if table == nil {
		return
	}
	path, _, _ := strings.Cut(work.Path, "?")
	route := table.Route(job.Host, path)
	if route == nil {
		r.giveUp(ref, "its route is gone")
		return
	}
	name := route.Pick(0)
	if full[name] {
		return
	}
	query := placement.Query{Service: name, Batch: true, Spare: spareSlots}
	if service := table.Service(name); service != nil {
		query.WarmupPerSecond = service.WarmupPerSecond
	}
	target, _ := r.follower.Targets.Acquire(now, query)
	if target == nil {
		full[name] = true
		return
	}
	r.mu.Lock()
	kept := r.pausing[ref]
	if kept == nil {
		kept = newProgress(item.partial)
	}
	delete(r.pausing, ref)
	running, cancel := context.WithCancelCause(ctx)
	started := &run{runner: r, ref: ref, target: target, progress: kept, began: now, cancel: cancel,
		request: r.request(job, work, giveUp), tokens: work.Tokens, maxAttempts: job.MaxAttempts, failures: job.Failures[ref.Item]}
	r.running[ref] = started
	r.mu.Unlock()
	r.started.Inc(1)
	r.wg.Go(func() { started.execute(running) })
}

// request returns what goes to the target of an item.
func (r *runner) request(job *jobs.Job, item *jobs.Item, deadline time.Time) *targetcall.Request {
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
