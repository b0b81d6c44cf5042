package gateway

import (
	"context"
	"time"

	"banyanwalk/core/balance"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
)

// queueKind parts the requests for one model by what can hold them up, so that
// none waits behind one that needs more than it does.
type queueKind uint8

// The kinds of queue, in the order in which they are served.
const (
	queueRetry queueKind = iota // has targets to avoid
	queueFirst
	queueAlone // suspects
	queueKinds
)

type queueKey struct {
	model string
	kind  queueKind
}

// kind returns the kind of queue that a request waits in.
func (k *slotRequest) kind() queueKind {
	switch {
	case k.alone:
		return queueAlone
	case len(k.avoid) > 0:
		return queueRetry
	default:
		return queueFirst
	}
}

func (t *targetTable) queue(model string, kind queueKind) *slotQueue {
	key := queueKey{model, kind}
	if known, ok := t.queues.Load(key); ok {
		return known.(*slotQueue)
	}
	fresh := &slotQueue{fair: balance.NewQueue[*waiter](slotQueueLimit)}
	known, _ := t.queues.LoadOrStore(key, fresh)
	return known.(*slotQueue)
}

// wait queues for a slot.
func (t *targetTable) wait(ctx context.Context, q *slotQueue, k *slotRequest, until time.Time) (*lease, error) {
	w := &waiter{slotRequest: k, done: make(chan waitResult, 1)}
	q.push(w)
	t.serve(k.model)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case result := <-w.done:
		return result.lease, result.err
	case <-timer.C:
		return q.leave(w, errNoSlot(k.model))
	case <-ctx.Done():
		return q.leave(w, ended(ctx, outcome.NotRun))
	}
}

func errNoSlot(model string) error {
	e := outcome.New(outcome.TargetBusy, outcome.NotRun, "every target of %s is at its limit", model)
	return e.WithRetryAfter(retryAfterBusy)
}

// push adds a waiter; whoever has to give way for it is refused.
func (q *slotQueue) push(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := w.slotRequest
	evicted, full := q.fair.Push(k.workspace, k.weight, k.order, w)
	if full {
		evicted.done <- waitResult{err: errNoSlot(evicted.slotRequest.model)}
	}
	q.count()
}

// count notes the length of the queue, and since when it has not been empty.
func (q *slotQueue) count() {
	n := int64(q.fair.Len())
	switch {
	case n == 0:
		q.busySince = time.Time{}
	case q.busySince.IsZero():
		q.busySince = time.Now()
	}
	q.waiting.Store(n)
}

// patience returns how long a request that comes now may wait for a slot. A
// burst or a cold start passes, and waiting it out beats a refusal; under
// lasting overload a long wait would only move every answer later.
func (q *slotQueue) patience(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.busySince.IsZero() && now.Sub(q.busySince) > overloadAfter {
		return overloadSlotWait
	}
	return maxSlotWait
}

// leave takes a waiter out of the queue. A slot that it got in the meantime is
// returned instead of err.
func (q *slotQueue) leave(w *waiter, err error) (*lease, error) {
	q.mu.Lock()
	removed := q.fair.Remove(w.slotRequest.workspace, w)
	q.count()
	q.mu.Unlock()
	if removed {
		return nil, err
	}
	result := <-w.done
	return result.lease, result.err
}

// serve hands free slots of a model to those who wait.
func (t *targetTable) serve(model string) {
	for kind := range queueKinds {
		t.serveQueue(t.queue(model, kind))
	}
}

// serveQueue hands free slots to one queue, in fair order.
func (t *targetTable) serveQueue(q *slotQueue) {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		w, ok := q.fair.Peek()
		if !ok {
			break
		}
		found, err := t.try(w.slotRequest)
		if found == nil && err == nil {
			break
		}
		q.fair.Pop()
		w.done <- waitResult{lease: found, err: err}
	}
	q.count()
}

// serveAll serves every queue and forgets targets that the fleet has no more.
func (t *targetTable) serveAll() {
	t.queues.Range(func(key, _ any) bool {
		if k := key.(queueKey); k.kind == queueFirst {
			t.serve(k.model)
		}
		return true
	})
	view := t.state.View()
	t.loads.Range(func(id, known any) bool {
		l := known.(*targetLoad)
		if _, present := view.Target(id.(fleet.TargetID)); !present && l.InFlight() == 0 {
			t.loads.CompareAndDelete(id, known)
		}
		return true
	})
}
