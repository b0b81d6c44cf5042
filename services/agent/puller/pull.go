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
	rateWeight = 0.2 // of the newest sample in a moving average
	// prefetchRounds is how many round trips of completions are held ready.
	prefetchRounds = 3
	// minPrefetch is the expected number of completions in prefetchRounds below
	// which nothing is held ready.
	minPrefetch = 0.1
	// incarnationStep is added after a refusal, when a clock ran back between
	// two lives of an agent; nanoseconds.
	incarnationStep = uint64(10 * time.Minute)
)

// rate is the moving average of completions of one model.
type rate struct {
	perSecond float64
	since     time.Time
	count     int
}

// add counts a completion. The average moves at most ten times a second.
func (r *rate) add(now time.Time) {
	r.count++
	elapsed := now.Sub(r.since)
	if elapsed < sweepEvery {
		return
	}
	sample := float64(r.count) / elapsed.Seconds()
	if r.since.IsZero() {
		sample = 0
	}
	r.perSecond += rateWeight * (sample - r.perSecond)
	r.since, r.count = now, 0
}

// prefetch returns how many items of a model to hold ready, so that a slot
// that ends is filled while the next pull is under way.
func (p *Puller) prefetch(model string) int {
	r, ok := p.rates[model]
	if !ok {
		return 0
	}
	expected := r.perSecond * p.roundTrip.Seconds() * prefetchRounds
	if expected < minPrefetch {
		return 0
	}
	return int(math.Ceil(expected))
}

// wants lists what the next pull asks for.
func (p *Puller) wants(targets []fleet.Target, now time.Time) []batch.Want {
	type capacity struct{ spare, running int }
	byModel := make(map[string]capacity)
	for _, t := range targets {
		c := byModel[t.Model]
		l := p.laneOf(t.ID)
		c.running += l.running
		pending := l.pending(now)
		if pending > 0 {
			p.wakeAfter(now, launchWindow)
		}
		c.spare += max(0, p.cfg.Slots.SpareOn(t.ID)-pending)
		byModel[t.Model] = c
	}
	var wants []batch.Want
	for model, c := range byModel {
		if c.spare+c.running == 0 {
			continue
		}
		n := min(c.spare+p.prefetch(model)-p.startable(model, now), maxWant)
		if n > 0 {
			wants = append(wants, batch.Want{Model: model, Max: n})
		}
	}
	slices.SortFunc(wants, func(a, b batch.Want) int { return b.Max - a.Max })
	return wants
}

// startable counts the ready items of a model that may start now.
func (p *Puller) startable(model string, now time.Time) int {
	n := 0
	for _, it := range p.ready[model] {
		if it.mayStart(now) {
			n++
		}
	}
	return n
}

// maybePull starts a pull when slots are spare and none is under way. A pull
// that waits for other models is given up for one that covers all.
func (p *Puller) maybePull(ctx context.Context, targets []fleet.Target, now time.Time) {
	if now.Before(p.pullAt) {
		p.wakeAfter(now, p.pullAt.Sub(now))
		return
	}
	wants := p.wants(targets, now)
	if len(wants) == 0 {
		return
	}
	if p.pull != nil {
		if !covers(p.pull.wants, wants) {
			p.pull.cancel()
		}
		return
	}
	p.startPull(ctx, wants, pollWait, now)
}

// covers reports whether all wanted models are asked for already.
func covers(asked, wants []batch.Want) bool {
	for _, w := range wants {
		if !slices.ContainsFunc(asked, func(a batch.Want) bool { return a.Model == w.Model }) {
			return false
		}
	}
	return true
}

func (p *Puller) startPull(ctx context.Context, wants []batch.Want, wait time.Duration, now time.Time) {
	calling, cancel := context.WithTimeout(ctx, wait+pollSlack)
	p.pull = &pullCall{wants: wants, cancel: cancel, sentAt: now}
	request := p.pullRequest(wants, wait)
	p.wg.Go(func() {
		defer cancel()
		var answer rpc.ItemsPulled
		err := p.cfg.Control.Poll(calling, rpc.MethodItemsPull, request, &answer)
		p.post(ctx, func() { p.pulled(&answer, err) })
	})
}

// pulled takes the answer to a pull. After a failure the same request number
// is sent again, and gets what control may have leased meanwhile.
func (p *Puller) pulled(answer *rpc.ItemsPulled, err error) {
	now := time.Now()
	call := p.pull
	p.pull = nil
	switch {
	case outcome.IsCode(err, outcome.ItemSuperseded):
		p.cfg.Log.Warn("puller_incarnation_refused", "incarnation", p.incarnation)
		p.incarnation += incarnationStep
		return
	case err != nil:
		p.pullAt = now.Add(failurePause)
		return
	}
	p.request++
	took := now.Sub(call.sentAt)
	if len(answer.Items) == 0 {
		if took < pollWait-pollSlack/4 {
			p.pullAt = now.Add(emptyPause)
		}
		return
	}
	trip := took - time.Duration(answer.WaitedMS)*time.Millisecond
	p.roundTrip += time.Duration(rateWeight * float64(trip-p.roundTrip))
	for i := range answer.Items {
		p.take(&answer.Items[i], now)
	}
}

// take accepts a leased item.
func (p *Puller) take(pulled *rpc.PulledItem, now time.Time) {
	id := pulled.Lease.ID
	if _, known := p.held[id]; known {
		return
	}
	it := &item{pulled: *pulled, readyAt: now}
	if len(p.held) == 0 {
		p.renewAt = now
	}
	p.held[id] = it
	if p.stopping {
		p.giveBack(it)
		return
	}
	model := pulled.Lease.Template.Model
	p.ready[model] = append(p.ready[model], it)
}

// abandonPull gives up a pull at shutdown. What control leased to it is asked
// for once more, to be given back.
func (p *Puller) abandonPull(ctx context.Context) {
	if p.pull == nil {
		return
	}
	p.pull.cancel()
	event := <-p.events
	for event(); p.pull != nil; event() {
		event = <-p.events
	}
	p.startPull(ctx, nil, 0, time.Now())
}
