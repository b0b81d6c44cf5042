package puller

import (
	"context"
	"time"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

// maybeCommit commits the results that aren't committed yet. Each group has at
// most one commit in flight; results that arrive meanwhile are batched into the
// next one.
func (p *Puller) maybeCommit(ctx context.Context) {
	for group, items := range p.uncommitted {
		if p.commitInFlight[group] || len(items) == 0 {
			continue
		}
		n, size := 0, 0
		for n < len(items) && n < maxResultsPerCommit && (n == 0 || size+len(items[n].payload) <= maxCommitBytes) {
			size += len(items[n].payload)
			n++
		}
		committing := items[:n:n]
		p.uncommitted[group] = items[n:]
		p.commitInFlight[group] = true
		p.startCommit(ctx, group, committing, size)
	}
}

func (p *Puller) startCommit(ctx context.Context, group uint32, items []*item, size int) {
	request := &rpc.ItemsCommit{Group: group, Agent: p.cfg.Agent, Payload: make([]byte, 0, size)}
	for _, it := range items {
		r := it.result
		r.Offset, r.Length = uint32(len(request.Payload)), uint32(len(it.payload))
		request.Payload = append(request.Payload, it.payload...)
		request.Results = append(request.Results, r)
	}
	p.wg.Go(func() {
		response, err := p.commit(ctx, request)
		p.post(ctx, func() { p.handleCommitResponse(group, items, response, err) })
	})
}

// commit repeats the call until control acknowledges it or refuses it for good.
func (p *Puller) commit(ctx context.Context, request *rpc.ItemsCommit) (*rpc.ItemsCommitResponse, error) {
	for {
		response := &rpc.ItemsCommitResponse{}
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		err := p.cfg.Control.CallIdempotent(callCtx, rpc.MethodItemsCommit, request, response)
		timedOut := callCtx.Err() != nil
		cancel()
		if err == nil || ctx.Err() != nil || (!timedOut && !isServerError(err)) {
			return response, err
		}
	}
}

func isServerError(err error) bool {
	const serverError = 500
	return outcome.From(err).Code.HTTPStatus() >= serverError
}

func (p *Puller) handleCommitResponse(group uint32, items []*item, response *rpc.ItemsCommitResponse, err error) {
	p.commitInFlight[group] = false
	for _, it := range items {
		p.removeHeld(it)
	}
	if err != nil {
		p.cfg.Log.Warn("commit_refused", "group", group, "items", len(items), "error", err)
		return
	}
	for _, v := range response.Acks {
		if v.Code != 0 {
			p.cfg.Log.Info("result_dropped", "job", v.ID.Job, "item", v.ID.Item, "attempt", v.ID.Attempt, "code", v.Code.Name())
		}
	}
}

// maybeRenew renews the leases of all held items every renewInterval. The
// responses name the items that must stop.
func (p *Puller) maybeRenew(ctx context.Context, now time.Time) {
	if p.renewInFlight || len(p.held) == 0 || now.Sub(p.lastRenewal) < renewInterval {
		return
	}
	byGroup := make(map[uint32]*rpc.ItemsRenew)
	for id, it := range p.held {
		r, ok := byGroup[it.pulled.Group]
		if !ok {
			r = &rpc.ItemsRenew{Group: it.pulled.Group, Agent: p.cfg.Agent, Incarnation: p.incarnation, LeaseMS: p.cfg.Lease.Milliseconds()}
			byGroup[it.pulled.Group] = r
		}
		r.Items = append(r.Items, id)
	}
	p.renewInFlight, p.lastRenewal = true, now
	p.wg.Go(func() {
		var stopped []batch.StoppedItem
		for _, request := range byGroup {
			stopped = append(stopped, p.renew(ctx, request)...)
		}
		p.post(ctx, func() {
			p.renewInFlight = false
			p.stopItems(stopped)
		})
	})
}

func (p *Puller) renew(ctx context.Context, request *rpc.ItemsRenew) []batch.StoppedItem {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var response rpc.ItemsRenewResponse
	if err := p.cfg.Control.CallIdempotent(ctx, rpc.MethodItemsRenew, request, &response); err != nil {
		p.cfg.Log.Warn("renew_failed", "items", len(request.Items), "error", err)
	}
	return response.Stopped
}

// stopItems cancels or returns items whose lease is no longer valid. Their
// results are committed like any other, because a cancelled or expired job ends
// only when all its items are accounted for.
func (p *Puller) stopItems(stopped []batch.StoppedItem) {
	for _, s := range stopped {
		it, ok := p.held[s.ID]
		if !ok {
			continue
		}
		p.cfg.Log.Info("item_stopped", "job", s.ID.Job, "item", s.ID.Item, "attempt", s.ID.Attempt, "code", s.Code.Name())
		switch it.state {
		case itemReady:
			p.removeReady(it)
			p.cancelIsolation(it)
			p.returnItem(it)
		case itemRunning:
			it.cancelRun(errStoppedByControl)
		}
	}
}

// cancelIsolation releases the target that is reserved for the item, if any.
func (p *Puller) cancelIsolation(it *item) {
	for _, state := range p.targetStates {
		if state.isolated == it {
			state.isolated = nil
		}
	}
}
