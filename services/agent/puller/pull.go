package puller

import (
	"context"
	"math"
	"slices"
	"time"

	"banyanwalk/core/batch"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

const (
	ewmaWeight = 0.2 // weight of the newest sample in a moving average
	// prefetchRoundTrips is the number of pull round trips whose expected
	// completions are covered by prefetched items.
	prefetchRoundTrips = 3
	// minPrefetchItems is the expected number of completions within
	// prefetchRoundTrips below which nothing is prefetched.
	minPrefetchItems = 0.1
	// incarnationStep, in nanoseconds, is added to the incarnation when control
	// refuses it because the clock went backwards between two starts of the
	// agent.
	incarnationStep = uint64(10 * time.Minute)
)

// completionRate is a moving average of the rate of completed items of one model.
type completionRate struct {
	perSecond   float64
	windowStart time.Time
	windowCount int
}

// add counts a completion. The average is updated at most once per sweepInterval.
func (r *completionRate) add(now time.Time) {
	r.windowCount++
	elapsed := now.Sub(r.windowStart)
	if elapsed < sweepInterval {
		return
	}
	sample := float64(r.windowCount) / elapsed.Seconds()
	if r.windowStart.IsZero() {
		sample = 0
	}
	r.perSecond += ewmaWeight * (sample - r.perSecond)
	r.windowStart, r.windowCount = now, 0
}

// prefetchCount returns how many items of a model to hold ready beyond the spare
// slots, so that slots that become free during the next pull can be filled at
// once.
func (p *Puller) prefetchCount(model string) int {
	r, ok := p.completionRates[model]
	if !ok {
		return 0
	}
	expected := r.perSecond * p.roundTrip.Seconds() * prefetchRoundTrips
	if expected < minPrefetchItems {
		return 0
	}
	return int(math.Ceil(expected))
}

// wants returns the models and item counts that the next pull asks for, largest
// count first.
func (p *Puller) wants(targets []fleet.Target, now time.Time) []batch.Want {
	type capacity struct{ spare, running int }
	byModel := make(map[string]capacity)
	for _, t := range targets {
		c := byModel[t.Model]
		state := p.targetStateOf(t.ID)
		c.running += state.running
		pending := state.pendingLaunches(now)
		if pending > 0 {
			p.wakeAfter(now, slotClaimWindow)
		}
		c.spare += max(0, p.cfg.Slots.SpareOn(t.ID)-pending)
		byModel[t.Model] = c
	}
	var wants []batch.Want
	for model, c := range byModel {
		if c.spare+c.running == 0 {
			continue
		}
		n := min(c.spare+p.prefetchCount(model)-p.countStartable(model, now), maxItemsPerPull)
		if n > 0 {
			wants = append(wants, batch.Want{Model: model, Max: n})
		}
	}
	slices.SortFunc(wants, func(a, b batch.Want) int { return b.Max - a.Max })
	return wants
}

// countStartable counts the ready items of a model that can start now.
func (p *Puller) countStartable(model string, now time.Time) int {
	n := 0
	for _, it := range p.ready[model] {
		if it.canStart(now) {
			n++
		}
	}
	return n
}

// maybePull starts a pull if more items are wanted and none is in flight. An
// in-flight pull that doesn't cover all wanted models is cancelled, so that the
// next one asks for all of them.
func (p *Puller) maybePull(ctx context.Context, targets []fleet.Target, now time.Time) {
	if now.Before(p.nextPullAt) {
		p.wakeAfter(now, p.nextPullAt.Sub(now))
		return
	}
	wants := p.wants(targets, now)
	if len(wants) == 0 {
		return
	}
	if p.inFlightPull != nil {
		if !coversModels(p.inFlightPull.wants, wants) {
			p.inFlightPull.cancel()
		}
		return
	}
	p.startPull(ctx, wants, longPollWait, now)
}

// coversModels reports whether requested names every model in wants.
func coversModels(requested, wants []batch.Want) bool {
	for _, w := range wants {
		if !slices.ContainsFunc(requested, func(a batch.Want) bool { return a.Model == w.Model }) {
			return false
		}
	}
	return true
}

func (p *Puller) startPull(ctx context.Context, wants []batch.Want, wait time.Duration, now time.Time) {
	callCtx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	p.inFlightPull = &pullCall{wants: wants, cancel: cancel, sentAt: now}
	request := p.pullRequest(wants, wait)
	p.wg.Go(func() {
		defer cancel()
		var response rpc.ItemsPullResponse
		err := p.cfg.Control.Poll(callCtx, rpc.MethodItemsPull, request, &response)
		p.post(ctx, func() { p.handlePullResponse(&response, err) })
	})
}

// handlePullResponse handles the end of a pull. After a failure the next pull
// repeats the request number, so that control returns the items that it may
// already have leased to the failed one.
func (p *Puller) handlePullResponse(response *rpc.ItemsPullResponse, err error) {
	now := time.Now()
	pull := p.inFlightPull
	p.inFlightPull = nil
	switch {
	case outcome.IsCode(err, outcome.ItemSuperseded):
		p.cfg.Log.Warn("puller_incarnation_refused", "incarnation", p.incarnation)
		p.incarnation += incarnationStep
		return
	case err != nil:
		p.nextPullAt = now.Add(failedPullBackoff)
		return
	}
	p.pullNumber++
	elapsed := now.Sub(pull.sentAt)
	if len(response.Items) == 0 {
		if elapsed < longPollWait-pollGrace/4 {
			p.nextPullAt = now.Add(emptyPullBackoff)
		}
		return
	}
	roundTrip := elapsed - time.Duration(response.WaitedMS)*time.Millisecond
	p.roundTrip += time.Duration(ewmaWeight * float64(roundTrip-p.roundTrip))
	for i := range response.Items {
		p.accept(&response.Items[i], now)
	}
}

// accept adds a leased item to the ready items, or returns it while draining.
func (p *Puller) accept(pulled *rpc.PulledItem, now time.Time) {
	id := pulled.Lease.ID
	if _, known := p.held[id]; known {
		return
	}
	it := &item{pulled: *pulled, receivedAt: now, readyAt: now}
	if len(p.held) == 0 {
		p.lastRenewal = now
	}
	p.held[id] = it
	if p.draining {
		p.returnItem(it)
		return
	}
	model := pulled.Lease.Template.Model
	p.ready[model] = append(p.ready[model], it)
}

// abandonPull cancels the in-flight pull at shutdown. Control may already have
// leased items to it, so an immediate pull under the same number fetches them to
// be returned.
func (p *Puller) abandonPull(ctx context.Context) {
	if p.inFlightPull == nil {
		return
	}
	p.inFlightPull.cancel()
	callback := <-p.callbacks
	for callback(); p.inFlightPull != nil; callback() {
		callback = <-p.callbacks
	}
	p.startPull(ctx, nil, 0, time.Now())
}
