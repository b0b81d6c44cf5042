package gateway

import (
	"context"
	"time"

	"banyanwalk/core/balance"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
)

// queueKind separates the waiting requests for one model by their constraints on
// the target, so that no request waits behind one that is harder to place.
type queueKind uint8

// The kinds of queue, in the order in which they get free slots.
const (
	queueRetry queueKind = iota // retries, which avoid some targets
	queueFirstAttempt
	queueIsolated // suspects, which run in isolation on a target
	numQueueKinds
)

type queueKey struct {
	model string
	kind  queueKind
}

// kind returns the kind of queue in which the request waits.
func (r *slotRequest) kind() queueKind {
	switch {
	case r.isolated:
		return queueIsolated
	case len(r.avoid) > 0:
		return queueRetry
	default:
		return queueFirstAttempt
	}
}

func (t *targetTable) queue(model string, kind queueKind) *slotQueue {
	key := queueKey{model, kind}
	if existing, ok := t.queues.Load(key); ok {
		return existing.(*slotQueue)
	}
	created := &slotQueue{fairQueue: balance.NewQueue[*waiter](slotQueueLimit)}
	queue, _ := t.queues.LoadOrStore(key, created)
	return queue.(*slotQueue)
}

// waitForSlot queues a request until it gets a slot, the deadline passes or ctx
// ends.
func (t *targetTable) waitForSlot(ctx context.Context, q *slotQueue, req *slotRequest, deadline time.Time) (*lease, error) {
	w := &waiter{slotRequest: req, done: make(chan waitResult, 1)}
	q.push(w)
	t.assignSlots(req.model)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case result := <-w.done:
		return result.lease, result.err
	case <-timer.C:
		return q.cancelWait(w, errNoSlot(req.model))
	case <-ctx.Done():
		return q.cancelWait(w, contextFailure(ctx, outcome.NotRun))
	}
}

func errNoSlot(model string) error {
	e := outcome.New(outcome.TargetBusy, outcome.NotRun, "every target of %s is at its limit", model)
	return e.WithRetryAfter(retryAfterBusy)
}

// push adds a waiter. If the queue is full, the waiter that is evicted for it,
// which may be w itself, is refused.
func (q *slotQueue) push(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	req := w.slotRequest
	evicted, full := q.fairQueue.Push(req.workspace, req.weight, req.order, w)
	if full {
		evicted.done <- waitResult{err: errNoSlot(evicted.slotRequest.model)}
	}
	q.updateLength()
}

// updateLength records the length of the queue and since when it has been
// non-empty. q.mu must be held.
func (q *slotQueue) updateLength() {
	n := int64(q.fairQueue.Len())
	switch {
	case n == 0:
		q.nonEmptySince = time.Time{}
	case q.nonEmptySince.IsZero():
		q.nonEmptySince = time.Now()
	}
	q.waiting.Store(n)
}

// waitLimit returns how long a request that arrives now may wait for a slot. A
// burst or a cold start is short, so waiting is better than a refusal; under
// sustained overload a long wait would only delay every response.
func (q *slotQueue) waitLimit(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.nonEmptySince.IsZero() && now.Sub(q.nonEmptySince) > overloadAfter {
		return overloadSlotWait
	}
	return maxSlotWait
}

// cancelWait removes a waiter from the queue and returns err, or the waiter's
// result if it has got one in the meantime.
func (q *slotQueue) cancelWait(w *waiter, err error) (*lease, error) {
	q.mu.Lock()
	removed := q.fairQueue.Remove(w.slotRequest.workspace, w)
	q.updateLength()
	q.mu.Unlock()
	if removed {
		return nil, err
	}
	result := <-w.done
	return result.lease, result.err
}

// assignSlots assigns free slots to the requests that wait for a model.
func (t *targetTable) assignSlots(model string) {
	for kind := range numQueueKinds {
		t.assignQueueSlots(t.queue(model, kind))
	}
}

// assignQueueSlots assigns free slots to the requests in one queue, in fair order.
func (t *targetTable) assignQueueSlots(q *slotQueue) {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		w, ok := q.fairQueue.Peek()
		if !ok {
			break
		}
		l, err := t.tryAcquire(w.slotRequest)
		if l == nil && err == nil {
			break
		}
		q.fairQueue.Pop()
		w.done <- waitResult{lease: l, err: err}
	}
	q.updateLength()
}

// maintain assigns free slots in every queue and drops the loads of targets that
// have left the fleet and have no request in flight.
func (t *targetTable) maintain() {
	t.queues.Range(func(key, _ any) bool {
		if k := key.(queueKey); k.kind == queueFirstAttempt {
			t.assignSlots(k.model)
		}
		return true
	})
	view := t.state.View()
	t.loads.Range(func(id, value any) bool {
		l := value.(*targetLoad)
		if _, present := view.Target(id.(fleet.TargetID)); !present && l.InFlight() == 0 {
			t.loads.CompareAndDelete(id, value)
		}
		return true
	})
}
