package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/limit"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
)

const (
	limitExchangeTimeout = 250 * time.Millisecond
	limitRetryPause      = 10 * time.Millisecond // after an exchange that brought nothing
	limitTick            = 2 * time.Millisecond
	tokenQueueLimit      = 4096            // requests waiting for a token of one workspace
	maxLimitLeave        = 3 * time.Second // outlasts a change of owner
	limitLeavePause      = 50 * time.Millisecond
)

// Limits spends the tokens of the workspaces and exchanges them with the
// owner. It implements Limiter. Run must be running.
type Limits struct {
	control Control
	log     *telemetry.Log
	holder  *limit.Holder
	start   time.Time
	kick    chan struct{}
	tasks   conc.WaitGroup // calls to control

	mu     sync.Mutex
	queues map[string]*tokenQueue

	waits   metrics.Counter
	refused metrics.Counter
	lost    metrics.Counter
}

// tokenQueue is the requests that wait for a token of one workspace, oldest
// first.
type tokenQueue struct {
	waiters []*tokenWaiter
}

type tokenWaiter struct {
	since int64
	done  chan error // one result, buffered
}

// NewLimits returns the limits of one gateway process.
func NewLimits(name string, control Control, log *telemetry.Log, registry metrics.Registry) *Limits {
	return &Limits{
		control: control,
		log:     log,
		holder:  limit.NewHolder(limit.GatewayID{Name: name, Incarnation: rand.Uint64()}),
		start:   time.Now(),
		kick:    make(chan struct{}, 1),
		queues:  make(map[string]*tokenQueue),
		waits:   metrics.GetOrRegisterCounter("gateway.limit_waits", registry),
		refused: metrics.GetOrRegisterCounter("gateway.limit_refusals", registry),
		lost:    metrics.GetOrRegisterCounter("gateway.limit_exchanges_lost", registry),
	}
}

func (l *Limits) now() int64 { return int64(time.Since(l.start)) }

// Admit takes one token of the workspace. While there is none, it waits for
// the owner's word: only that refuses.
func (l *Limits) Admit(ctx context.Context, workspace string) error {
	if l.holder.Waiting(workspace) == 0 && l.holder.Take(workspace) && l.holder.Valid(l.now()) {
		return nil
	}
	w, err := l.enqueue(workspace)
	if err != nil {
		return err
	}
	l.waits.Inc(1)
	timer := time.NewTimer(limit.MaxWait)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timer.C:
		e := outcome.New(outcome.NoQuorum, outcome.NotRun, "the owner of the limits did not answer")
		return l.leave(workspace, w, e.WithRetryAfter(retryAfterBusy))
	case <-ctx.Done():
		return l.leave(workspace, w, ended(ctx, outcome.NotRun))
	}
}

func (l *Limits) enqueue(workspace string) (*tokenWaiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue, ok := l.queues[workspace]
	if !ok {
		queue = &tokenQueue{}
		l.queues[workspace] = queue
	}
	if len(queue.waiters) >= tokenQueueLimit {
		e := outcome.New(outcome.Overloaded, outcome.NotRun, "too many requests of the workspace wait")
		return nil, e.WithRetryAfter(retryAfterBusy)
	}
	w := &tokenWaiter{since: l.now(), done: make(chan error, 1)}
	queue.waiters = append(queue.waiters, w)
	l.holder.SetWaiting(workspace, int64(len(queue.waiters)))
	select {
	case l.kick <- struct{}{}:
	default:
	}
	return w, nil
}

// leave takes a waiter out of queue; a result that came in the meantime counts.
func (l *Limits) leave(workspace string, w *tokenWaiter, err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case result := <-w.done:
		return result
	default:
	}
	queue := l.queues[workspace]
	for i := range queue.waiters {
		if queue.waiters[i] == w {
			queue.waiters = append(queue.waiters[:i], queue.waiters[i+1:]...)
			break
		}
	}
	l.holder.SetWaiting(workspace, int64(len(queue.waiters)))
	return err
}

// Run exchanges tokens until ctx ends, then gives all back.
func (l *Limits) Run(ctx context.Context) error {
	ticker := time.NewTicker(limitTick)
	defer ticker.Stop()
	due := int64(0) // when those who wait may ask again
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-l.kick:
		case <-ticker.C:
		}
		now := l.now()
		needs := l.needs()
		if l.holder.Due(now) || (len(needs) > 0 && now >= due) {
			due = l.exchange(ctx, needs)
		}
	}
	l.giveBack()
	return nil
}

func (l *Limits) needs() map[string]limit.WaitingRequests {
	l.mu.Lock()
	defer l.mu.Unlock()
	needs := make(map[string]limit.WaitingRequests)
	for workspace, queue := range l.queues {
		if len(queue.waiters) > 0 {
			needs[workspace] = limit.WaitingRequests{Count: int64(len(queue.waiters)), Oldest: queue.waiters[0].since}
		}
	}
	return needs
}

// exchange makes one exchange and returns when those who still wait may ask
// again.
func (l *Limits) exchange(ctx context.Context, needs map[string]limit.WaitingRequests) int64 {
	request := l.holder.Begin(l.now(), needs)
	answer, err := l.call(ctx, request)
	if err != nil {
		l.lost.Inc(1)
		l.log.Debug("limit_exchange_lost", "error", err)
		return l.now() + int64(limitRetryPause)
	}
	grants, ok := l.holder.Finish(l.now(), answer)
	if !ok {
		if answer.Status == limit.StatusReport {
			return l.now()
		}
		return l.now() + int64(limitRetryPause)
	}
	return l.serve(grants)
}

// call sends a request and books spending while it waits for the answer.
func (l *Limits) call(parent context.Context, request *rpc.LimitRequest) (*rpc.LimitAnswer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(parent), limitExchangeTimeout)
	defer cancel()
	answer := &rpc.LimitAnswer{}
	done := make(chan error, 1)
	l.tasks.Go(func() { done <- l.control.Call(ctx, rpc.MethodLimitAcquire, request, answer) })
	ticker := time.NewTicker(limit.RecordInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return answer, err
		case <-ticker.C:
			l.holder.RecordSpent(l.now())
		}
	}
}

// serve hands the tokens to those who wait, oldest first, and refuses those to
// whom the owner has said that none is due in time.
func (l *Limits) serve(grants []limit.Grant) int64 {
	byWorkspace := make(map[string]limit.Grant, len(grants))
	for _, g := range grants {
		byWorkspace[g.Workspace] = g
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := int64(0)
	for workspace, queue := range l.queues {
		soonest := l.serveQueue(workspace, queue, byWorkspace[workspace])
		if soonest > 0 && (next == 0 || soonest < next) {
			next = soonest
		}
	}
	return next
}

func (l *Limits) serveQueue(workspace string, queue *tokenQueue, grant limit.Grant) (soonest int64) {
	for len(queue.waiters) > 0 && l.holder.Take(workspace) && l.holder.Valid(l.now()) {
		queue.waiters[0].done <- nil
		queue.waiters = queue.waiters[1:]
	}
	now := l.now()
	kept := queue.waiters[:0]
	for _, w := range queue.waiters {
		due, refused := grant.Refuses(int64(len(kept)), now-w.since)
		if refused {
			l.refused.Inc(1)
			w.done <- errRateLimited(due)
			continue
		}
		if len(kept) == 0 {
			soonest = now + limit.RetryDelay(due)
		}
		kept = append(kept, w)
	}
	queue.waiters = kept
	l.holder.SetWaiting(workspace, int64(len(kept)))
	if len(kept) == 0 {
		delete(l.queues, workspace)
	}
	return soonest
}

func errRateLimited(due int64) error {
	e := outcome.New(outcome.RateLimited, outcome.NotRun, "the workspace has spent its rate and burst")
	return e.WithRetryAfter(time.Duration(due))
}

// giveBack returns all tokens, so that other gateways get them at once and a
// new owner misses no spending. It goes on through a change of owner.
func (l *Limits) giveBack() {
	defer l.tasks.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), maxLimitLeave)
	defer cancel()
	for {
		answer := &rpc.LimitAnswer{}
		attempt, end := context.WithTimeout(ctx, limitExchangeTimeout)
		err := l.control.Call(attempt, rpc.MethodLimitAcquire, l.holder.Leave(l.now()), answer)
		end()
		if err == nil {
			if _, taken := l.holder.Finish(l.now(), answer); taken {
				return
			}
		}
		select {
		case <-ctx.Done():
			l.log.Warn("limit_tokens_not_returned", "error", err)
			return
		case <-time.After(limitLeavePause):
		}
	}
}
