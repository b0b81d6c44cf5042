package puller

import (
	"context"
	"time"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

// maybeCommit sends the results that wait. One commit is under way for a
// group; results that end meanwhile go together with the next.
func (p *Puller) maybeCommit(ctx context.Context) {
	for group, items := range p.results {
		if p.commits[group] || len(items) == 0 {
			continue
		}
		n, size := 0, 0
		for n < len(items) && n < maxCommit && (n == 0 || size+len(items[n].payload) <= maxCommitBytes) {
			size += len(items[n].payload)
			n++
		}
		batchOf := items[:n:n]
		p.results[group] = items[n:]
		p.commits[group] = true
		p.startCommit(ctx, group, batchOf, size)
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
		answer, err := p.commit(ctx, request)
		p.post(ctx, func() { p.committed(group, items, answer, err) })
	})
}

// commit repeats the call until control acknowledges or refuses it.
func (p *Puller) commit(ctx context.Context, request *rpc.ItemsCommit) (*rpc.ItemsCommitted, error) {
	for {
		answer := &rpc.ItemsCommitted{}
		calling, cancel := context.WithTimeout(ctx, commitTimeout)
		err := p.cfg.Control.CallAgain(calling, rpc.MethodItemsCommit, request, answer)
		timedOut := calling.Err() != nil
		cancel()
		if err == nil || ctx.Err() != nil || (!timedOut && !waitingHelps(err)) {
			return answer, err
		}
	}
}

func waitingHelps(err error) bool {
	const serverError = 500
	return outcome.From(err).Code.HTTPStatus() >= serverError
}

func (p *Puller) committed(group uint32, items []*item, answer *rpc.ItemsCommitted, err error) {
	p.commits[group] = false
	for _, it := range items {
		p.drop(it)
	}
	if err != nil {
		p.cfg.Log.Warn("commit_refused", "group", group, "items", len(items), "error", err)
		return
	}
	for _, v := range answer.Acks {
		if v.Code != 0 {
			p.cfg.Log.Info("result_dropped", "job", v.ID.Job, "item", v.ID.Item, "attempt", v.ID.Attempt, "code", v.Code.Name())
		}
	}
}

// maybeRenew asks for more time for all that is held, and learns which items
// must stop.
func (p *Puller) maybeRenew(ctx context.Context, now time.Time) {
	if p.renewing || len(p.held) == 0 || now.Sub(p.renewAt) < renewEvery {
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
	p.renewing, p.renewAt = true, now
	p.wg.Go(func() {
		var stopped []batch.StoppedItem
		for _, request := range byGroup {
			stopped = append(stopped, p.renew(ctx, request)...)
		}
		p.post(ctx, func() {
			p.renewing = false
			p.stop(stopped)
		})
	})
}

func (p *Puller) renew(ctx context.Context, request *rpc.ItemsRenew) []batch.StoppedItem {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var answer rpc.ItemsRenewed
	if err := p.cfg.Control.CallAgain(ctx, rpc.MethodItemsRenew, request, &answer); err != nil {
		p.cfg.Log.Warn("renew_failed", "items", len(request.Items), "error", err)
	}
	return answer.Stopped
}

// stop ends items whose lease no longer holds. Those of a cancelled or expired
// job are reported, so that the job can end.
func (p *Puller) stop(stopped []batch.StoppedItem) {
	for _, s := range stopped {
		it, ok := p.held[s.ID]
		if !ok {
			continue
		}
		p.cfg.Log.Info("item_stopped", "job", s.ID.Job, "item", s.ID.Item, "attempt", s.ID.Attempt, "code", s.Code.Name())
		switch it.state {
		case itemReady:
			p.unready(it)
			p.forgetAlone(it)
			p.giveBack(it)
		case itemRunning:
			it.cancel(errStopped)
		}
	}
}

// forgetAlone lets a target go on that was kept quiet for the item.
func (p *Puller) forgetAlone(it *item) {
	for _, l := range p.lanes {
		if l.alone == it {
			l.alone = nil
		}
	}
}
