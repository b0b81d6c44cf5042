package puller

import (
	"context"
	"time"

	"banyanwalk/core/batch"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/agent"
)

// itemState is where an item stands at this agent.
type itemState uint8

const (
	itemReady itemState = iota
	itemRunning
	itemEnded // its result waits for control's acknowledgement
)

// refusalsToAlone is after how many refusals beside spare slots an item is
// taken for a suspect, which a target only runs alone.
const refusalsToAlone = 3

// maxRuns bounds the runs of an item under one lease, nearly all of them
// refused. The item then goes back.
const maxRuns = 1000

// Times of a suspect.
const (
	aloneTime     = 60 * time.Second // longest time that a target is kept quiet for it
	aloneBackoff  = 500 * time.Millisecond
	maxAloneTries = 6 // doublings of the backoff
)

// item is one leased item.
type item struct {
	pulled   rpc.PulledItem
	state    itemState
	readyAt  time.Time
	cancel   context.CancelCauseFunc // while running
	runs     int                     // started under this lease
	refusals int
	tries    int        // to run alone
	notAlone time.Time  // before which it does not try to run alone again
	call     *modelCall // how the request was sent; nil before the first run

	result  batch.ItemResult // once ended; offset and length are set on commit
	payload []byte
}

// lane is what runs on one target.
type lane struct {
	running  int
	launches []time.Time // of items that may not have their slot yet
	alone    *item       // the target is kept quiet for it
	aloneBy  time.Time
}

func (p *Puller) laneOf(id fleet.TargetID) *lane {
	l, ok := p.lanes[id]
	if !ok {
		l = &lane{}
		p.lanes[id] = l
	}
	return l
}

// pending returns how many launched items may not have their slot yet.
func (l *lane) pending(now time.Time) int {
	for len(l.launches) > 0 && now.Sub(l.launches[0]) >= launchWindow {
		l.launches = l.launches[1:]
	}
	return len(l.launches)
}

// fill starts ready items on the spare slots of a target.
func (p *Puller) fill(ctx context.Context, t fleet.Target, now time.Time) {
	l := p.laneOf(t.ID)
	if l.alone != nil {
		p.fillAlone(ctx, t, l, now)
		return
	}
	if len(p.ready[t.Model]) == 0 {
		return
	}
	pending := l.pending(now)
	spare := p.cfg.Slots.SpareOn(t.ID) - pending
	for ; spare > 0; spare-- {
		it := p.takeReady(t.Model, now)
		if it == nil {
			break
		}
		if it.isSuspect() {
			l.alone, l.aloneBy = it, now.Add(aloneTime)
			p.fillAlone(ctx, t, l, now)
			return
		}
		p.launch(ctx, it, t, l, now)
	}
	if pending > 0 && len(p.ready[t.Model]) > 0 {
		p.wakeAfter(now, launchWindow)
	}
}

// isSuspect reports whether a target only runs the item alone.
func (it *item) isSuspect() bool {
	return it.refusals >= refusalsToAlone || it.pulled.Lease.LastFailure == outcome.TargetFailed
}

// takeReady takes the oldest ready item that may start now, or returns nil.
func (p *Puller) takeReady(model string, now time.Time) *item {
	for _, it := range p.ready[model] {
		if it.mayStart(now) {
			p.unready(it)
			return it
		}
	}
	return nil
}

// mayStart reports whether a ready item is not put off.
func (it *item) mayStart(now time.Time) bool { return !it.isSuspect() || !now.Before(it.notAlone) }

// fillAlone starts a suspect once nothing else of ours runs on the target.
func (p *Puller) fillAlone(ctx context.Context, t fleet.Target, l *lane, now time.Time) {
	it := l.alone
	if it.state != itemReady {
		return // it runs now
	}
	if now.After(l.aloneBy) {
		l.alone = nil
		it.putOffAlone(now)
		p.ready[t.Model] = append(p.ready[t.Model], it)
		return
	}
	if l.running == 0 && p.cfg.Slots.SpareOn(t.ID) > 0 {
		p.launch(ctx, it, t, l, now)
	}
}

// putOffAlone lets other items go first after the target was not free.
func (it *item) putOffAlone(now time.Time) {
	it.notAlone = now.Add(aloneBackoff << it.tries)
	it.tries = min(it.tries+1, maxAloneTries)
}

// launch runs an item on a target.
func (p *Puller) launch(ctx context.Context, it *item, t fleet.Target, l *lane, now time.Time) {
	open, err := it.open(t, now)
	if err != nil {
		p.end(it, failure(it, outcome.From(err)))
		return
	}
	running, cancel := context.WithCancelCause(ctx)
	it.state, it.cancel = itemRunning, cancel
	l.running++
	l.launches = append(l.launches, now)
	p.launched.Mark(1)
	p.wg.Go(func() {
		answer, err := p.cfg.Slots.RunBatch(running, open)
		cause := context.Cause(running)
		cancel(nil)
		p.post(ctx, func() { p.ran(it, t, answer, err, cause) })
	})
}

// ran takes the end of a run.
func (p *Puller) ran(it *item, t fleet.Target, answer agent.Answer, err error, cause error) {
	l := p.laneOf(t.ID)
	l.running--
	if l.alone == it {
		l.alone = nil
	}
	it.cancel = nil
	now := time.Now()
	if err == nil {
		p.rateOf(t.Model).add(now)
		p.finished.Mark(1)
		p.end(it, whole(it, answer))
		return
	}
	e := outcome.From(err)
	switch {
	case cause != nil:
		p.end(it, interrupted(it, answer, e))
	case e.Outcome == outcome.NotRun && mayRunHere(e.Code):
		p.again(it, t, now)
	case e.Code == outcome.Preempted:
		p.end(it, interrupted(it, answer, e))
	default:
		p.end(it, failure(it, e))
	}
}

func (p *Puller) rateOf(model string) *rate {
	r, ok := p.rates[model]
	if !ok {
		r = &rate{}
		p.rates[model] = r
	}
	return r
}

// mayRunHere reports whether an item that was not run is only waiting for a
// slot, rather than refused for good.
func mayRunHere(code outcome.Code) bool {
	switch code {
	case outcome.BadRequest, outcome.BodyTooLarge, outcome.Quarantined:
		return false
	default:
		return true
	}
}

// again keeps an item that did not run for the next spare slot.
func (p *Puller) again(it *item, t fleet.Target, now time.Time) {
	if p.stopping || it.runs == maxRuns-1 {
		p.giveBack(it)
		return
	}
	if it.isSuspect() {
		it.putOffAlone(now)
	}
	if p.cfg.Slots.SpareOn(t.ID) > 0 {
		it.refusals++
		p.wakeAfter(now, launchWindow)
	}
	it.state, it.readyAt = itemReady, now
	p.ready[t.Model] = append(p.ready[t.Model], it)
}

// giveBack returns an item that has not run.
func (p *Puller) giveBack(it *item) {
	p.end(it, interruption{result: batch.ItemResult{Status: batch.ResultReturned, Code: outcome.Preempted, Outcome: outcome.NotRun}})
}

// end queues the result of an item for its commit.
func (p *Puller) end(it *item, in interruption) {
	if it.state == itemEnded {
		return
	}
	it.state = itemEnded
	it.result, it.payload = in.result, in.payload
	it.result.ID = it.pulled.Lease.ID
	if in.result.Status == batch.ResultReturned {
		p.returned.Mark(1)
	}
	p.results[it.pulled.Group] = append(p.results[it.pulled.Group], it)
}

// drop forgets an item that control no longer wants to hear of.
func (p *Puller) drop(it *item) { delete(p.held, it.pulled.Lease.ID) }
