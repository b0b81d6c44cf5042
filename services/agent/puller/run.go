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

// itemState is the state of a leased item at this agent.
type itemState uint8

const (
	itemReady itemState = iota
	itemRunning
	itemEnded // waiting for control to acknowledge the result
)

// refusalsBeforeIsolation is the number of refusals by a target with spare slots
// after which an item is treated as a suspect, which a target runs only in
// isolation.
const refusalsBeforeIsolation = 3

// maxRunsPerLease bounds the runs of an item under one lease, nearly all of which
// were refused. At the limit the item is returned to control.
const maxRunsPerLease = 1000

// Limits on running a suspect in isolation.
const (
	isolationTimeout      = 60 * time.Second // longest time that a target is reserved for a suspect
	isolationBackoff      = 500 * time.Millisecond
	maxIsolationDoublings = 6
)

// item is a batch item that this agent holds a lease on.
type item struct {
	pulled             rpc.PulledItem
	state              itemState
	receivedAt         time.Time
	readyAt            time.Time
	cancelRun          context.CancelCauseFunc // while running
	runs               int                     // runs started under this lease
	refusals           int
	isolationDoublings int        // of the isolation backoff
	isolateAfter       time.Time  // earliest time of the next try to isolate it
	call               *modelCall // request as sent to the target; nil before the first run

	result  batch.ItemResult // set once ended; offset and length are set on commit
	payload []byte
}

// targetState tracks the batch items that run on one target.
type targetState struct {
	running           int
	recentLaunches    []time.Time // launches of items that may not occupy their slot yet
	isolated          *item       // suspect that the target is reserved for
	isolationDeadline time.Time
}

func (p *Puller) targetStateOf(id fleet.TargetID) *targetState {
	state, ok := p.targetStates[id]
	if !ok {
		state = &targetState{}
		p.targetStates[id] = state
	}
	return state
}

// pendingLaunches returns how many launched items may not occupy their slot yet.
func (s *targetState) pendingLaunches(now time.Time) int {
	for len(s.recentLaunches) > 0 && now.Sub(s.recentLaunches[0]) >= slotClaimWindow {
		s.recentLaunches = s.recentLaunches[1:]
	}
	return len(s.recentLaunches)
}

// fillSlots starts ready items on the spare slots of a target. If the next item
// is a suspect, the target is reserved for it and no further items start.
func (p *Puller) fillSlots(ctx context.Context, t fleet.Target, now time.Time) {
	state := p.targetStateOf(t.ID)
	if state.isolated != nil {
		p.startIsolated(ctx, t, state, now)
		return
	}
	if len(p.ready[t.Model]) == 0 {
		return
	}
	pending := state.pendingLaunches(now)
	spare := p.cfg.Slots.SpareOn(t.ID) - pending
	for ; spare > 0; spare-- {
		it := p.popReady(t.Model, now)
		if it == nil {
			break
		}
		if it.isSuspect() {
			state.isolated, state.isolationDeadline = it, now.Add(isolationTimeout)
			p.startIsolated(ctx, t, state, now)
			return
		}
		p.launch(ctx, it, t, state, now)
	}
	if pending > 0 && len(p.ready[t.Model]) > 0 {
		p.wakeAfter(now, slotClaimWindow)
	}
}

// isSuspect reports whether the item may have crashed a target or keeps being
// refused, so that a target runs it only in isolation.
func (it *item) isSuspect() bool {
	return it.refusals >= refusalsBeforeIsolation || it.pulled.Lease.LastFailure.IsTargetFailure()
}

// popReady removes and returns the oldest ready item that can start now, or nil.
func (p *Puller) popReady(model string, now time.Time) *item {
	for _, it := range p.ready[model] {
		if it.canStart(now) {
			p.removeReady(it)
			return it
		}
	}
	return nil
}

// canStart reports whether a ready item isn't waiting for its isolation backoff.
func (it *item) canStart(now time.Time) bool { return !it.isSuspect() || !now.Before(it.isolateAfter) }

// startIsolated starts the suspect that a target is reserved for once no other
// batch item runs there. After isolationDeadline it gives up the reservation.
func (p *Puller) startIsolated(ctx context.Context, t fleet.Target, state *targetState, now time.Time) {
	it := state.isolated
	if it.state != itemReady {
		return // already running
	}
	if now.After(state.isolationDeadline) {
		state.isolated = nil
		it.backOffIsolation(now)
		p.ready[t.Model] = append(p.ready[t.Model], it)
		return
	}
	if state.running == 0 && p.cfg.Slots.SpareOn(t.ID) > 0 {
		p.launch(ctx, it, t, state, now)
	}
}

// backOffIsolation delays the next try to isolate the item, doubling the delay
// each time, so that other items can run first.
func (it *item) backOffIsolation(now time.Time) {
	it.isolateAfter = now.Add(isolationBackoff << it.isolationDoublings)
	it.isolationDoublings = min(it.isolationDoublings+1, maxIsolationDoublings)
}

// launch starts an item on a target.
func (p *Puller) launch(ctx context.Context, it *item, t fleet.Target, state *targetState, now time.Time) {
	open, err := it.executeRequest(t, now)
	if err != nil {
		p.endItem(it, failedResult(it, outcome.From(err)))
		return
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	it.state, it.cancelRun = itemRunning, cancel
	state.running++
	state.recentLaunches = append(state.recentLaunches, now)
	p.launched.Mark(1)
	p.wg.Go(func() {
		response, err := p.cfg.Slots.RunBatch(runCtx, open)
		cause := context.Cause(runCtx)
		cancel(nil)
		p.post(ctx, func() { p.handleRunEnd(it, t, response, err, cause) })
	})
}

// handleRunEnd handles the end of a run. cause is the reason for which the run was
// cancelled, or nil.
func (p *Puller) handleRunEnd(it *item, t fleet.Target, response agent.Response, err error, cause error) {
	state := p.targetStateOf(t.ID)
	state.running--
	if state.isolated == it {
		state.isolated = nil
	}
	it.cancelRun = nil
	now := time.Now()
	if err == nil {
		p.completionRateOf(t.Model).add(now)
		p.finished.Mark(1)
		p.endItem(it, completedResult(it, response))
		return
	}
	e := outcome.From(err)
	switch {
	case cause != nil:
		p.endItem(it, interruptedResult(it, response, e))
	case e.Outcome == outcome.NotRun && isTransientRefusal(e.Code):
		p.requeue(it, t, now)
	case e.Code == outcome.Preempted:
		p.endItem(it, interruptedResult(it, response, e))
	default:
		p.endItem(it, failedResult(it, e))
	}
}

func (p *Puller) completionRateOf(model string) *completionRate {
	r, ok := p.completionRates[model]
	if !ok {
		r = &completionRate{}
		p.completionRates[model] = r
	}
	return r
}

// isTransientRefusal reports whether an item that was refused with code may run
// here later, rather than being refused for good.
func isTransientRefusal(code outcome.Code) bool {
	switch code {
	case outcome.BadRequest, outcome.BodyTooLarge, outcome.Quarantined:
		return false
	default:
		return true
	}
}

// requeue makes an item that didn't run ready again for the next spare slot.
func (p *Puller) requeue(it *item, t fleet.Target, now time.Time) {
	if p.draining || it.runs == maxRunsPerLease-1 {
		p.returnItem(it)
		return
	}
	if it.isSuspect() {
		it.backOffIsolation(now)
	}
	if p.cfg.Slots.SpareOn(t.ID) > 0 {
		it.refusals++
		p.wakeAfter(now, slotClaimWindow)
	}
	it.state, it.readyAt = itemReady, now
	p.ready[t.Model] = append(p.ready[t.Model], it)
}

// returnItem returns an item that hasn't run to control's queue.
func (p *Puller) returnItem(it *item) {
	p.endItem(it, attemptResult{itemResult: batch.ItemResult{Status: batch.ResultReturned, Code: outcome.Preempted, Outcome: outcome.NotRun}})
}

// endItem queues the result of an item to be committed.
func (p *Puller) endItem(it *item, r attemptResult) {
	if it.state == itemEnded {
		return
	}
	it.state = itemEnded
	it.result, it.payload = r.itemResult, r.payload
	it.result.ID = it.pulled.Lease.ID
	if r.itemResult.Status == batch.ResultReturned {
		p.returned.Mark(1)
	}
	p.uncommitted[it.pulled.Group] = append(p.uncommitted[it.pulled.Group], it)
}

// removeHeld forgets an item whose result control has acknowledged or refused.
func (p *Puller) removeHeld(it *item) { delete(p.held, it.pulled.Lease.ID) }
