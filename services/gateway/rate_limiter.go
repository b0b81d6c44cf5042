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
	exchangeTimeout        = 250 * time.Millisecond
	exchangeRetryDelay     = 10 * time.Millisecond // after an exchange that failed or was rejected
	exchangeCheckInterval  = 2 * time.Millisecond
	tokenQueueLimit        = 4096            // requests waiting for a token of one workspace
	returnTokensTimeout    = 3 * time.Second // longer than a change of owner
	returnTokensRetryDelay = 50 * time.Millisecond
)

// RateLimiter is the gateway's side of the distributed rate limiter: it spends tokens
// leased from the owner of the token buckets. It implements Limiter. Admit
// succeeds only while Run exchanges tokens with the owner.
type RateLimiter struct {
	control Control
	log     *telemetry.Log
	holder  *limit.Holder
	start   time.Time
	wake    chan struct{}
	calls   conc.WaitGroup // in-flight calls to control

	mu     sync.Mutex
	queues map[string]*tokenQueue

	waits         metrics.Counter
	refused       metrics.Counter
	lostExchanges metrics.Counter
}

// tokenQueue holds the requests that wait for a token of one workspace, oldest
// first.
type tokenQueue struct {
	waiters []*tokenWaiter
}

type tokenWaiter struct {
	enqueuedAt int64
	done       chan error // one result, buffered
}

// NewRateLimiter returns the rate limiter of one gateway process.
func NewRateLimiter(name string, control Control, log *telemetry.Log, registry metrics.Registry) *RateLimiter {
	return &RateLimiter{
		control:       control,
		log:           log,
		holder:        limit.NewHolder(limit.GatewayID{Name: name, Incarnation: rand.Uint64()}),
		start:         time.Now(),
		wake:          make(chan struct{}, 1),
		queues:        make(map[string]*tokenQueue),
		waits:         metrics.GetOrRegisterCounter("gateway.limit_waits", registry),
		refused:       metrics.GetOrRegisterCounter("gateway.limit_refusals", registry),
		lostExchanges: metrics.GetOrRegisterCounter("gateway.limit_exchanges_lost", registry),
	}
}

func (l *RateLimiter) now() int64 { return int64(time.Since(l.start)) }

// Admit takes one token of the workspace. If there is none it waits for the owner:
// a request is rate limited only on the owner's response.
func (l *RateLimiter) Admit(ctx context.Context, workspace string) error {
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
		return l.cancelWait(workspace, w, e.WithRetryAfter(retryAfterBusy))
	case <-ctx.Done():
		return l.cancelWait(workspace, w, contextFailure(ctx, outcome.NotRun))
	}
}

func (l *RateLimiter) enqueue(workspace string) (*tokenWaiter, error) {
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
	w := &tokenWaiter{enqueuedAt: l.now(), done: make(chan error, 1)}
	queue.waiters = append(queue.waiters, w)
	l.holder.SetWaiting(workspace, int64(len(queue.waiters)))
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return w, nil
}

// cancelWait removes a waiter from its queue and returns err, or the waiter's
// result if one has arrived in the meantime.
func (l *RateLimiter) cancelWait(workspace string, w *tokenWaiter, err error) error {
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

// Run exchanges tokens with the owner until ctx ends, then returns them all.
func (l *RateLimiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeCheckInterval)
	defer ticker.Stop()
	nextExchange := int64(0) // earliest time to request tokens for waiting requests again
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-ticker.C:
		}
		now := l.now()
		waiting := l.waitingRequests()
		if l.holder.Due(now) || (len(waiting) > 0 && now >= nextExchange) {
			nextExchange = l.exchange(ctx, waiting)
		}
	}
	l.returnTokens()
	return nil
}

func (l *RateLimiter) waitingRequests() map[string]limit.WaitingRequests {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := make(map[string]limit.WaitingRequests)
	for workspace, queue := range l.queues {
		if len(queue.waiters) > 0 {
			waiting[workspace] = limit.WaitingRequests{Count: int64(len(queue.waiters)), Oldest: queue.waiters[0].enqueuedAt}
		}
	}
	return waiting
}

// exchange makes one exchange with the owner. It returns the earliest time to
// request tokens again for the requests that still wait.
func (l *RateLimiter) exchange(ctx context.Context, waiting map[string]limit.WaitingRequests) int64 {
	request := l.holder.Begin(l.now(), waiting)
	response, err := l.callOwner(ctx, request)
	if err != nil {
		l.lostExchanges.Inc(1)
		l.log.Debug("limit_exchange_lost", "error", err)
		return l.now() + int64(exchangeRetryDelay)
	}
	grants, ok := l.holder.Finish(l.now(), response)
	if !ok {
		if response.Status == limit.StatusReport {
			return l.now()
		}
		return l.now() + int64(exchangeRetryDelay)
	}
	return l.applyGrants(grants)
}

// callOwner sends an exchange to the owner. It records spent tokens at intervals
// while it waits for the response.
func (l *RateLimiter) callOwner(parent context.Context, request *rpc.LimitRequest) (*rpc.LimitResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(parent), exchangeTimeout)
	defer cancel()
	response := &rpc.LimitResponse{}
	done := make(chan error, 1)
	l.calls.Go(func() { done <- l.control.Call(ctx, rpc.MethodLimitAcquire, request, response) })
	ticker := time.NewTicker(limit.RecordInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return response, err
		case <-ticker.C:
			l.holder.RecordSpent(l.now())
		}
	}
}

// applyGrants gives the granted tokens to waiting requests, oldest first, and
// refuses those for which the owner has no token in time. It returns the earliest
// time to request tokens again, or 0 if no request still waits.
func (l *RateLimiter) applyGrants(grants []limit.Grant) int64 {
	byWorkspace := make(map[string]limit.Grant, len(grants))
	for _, g := range grants {
		byWorkspace[g.Workspace] = g
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	earliest := int64(0)
	for workspace, queue := range l.queues {
		retryAt := l.applyGrant(workspace, queue, byWorkspace[workspace])
		if retryAt > 0 && (earliest == 0 || retryAt < earliest) {
			earliest = retryAt
		}
	}
	return earliest
}

// applyGrant applies a grant to the queue of its workspace. It returns the time at
// which to request tokens again, or 0 if no request still waits.
func (l *RateLimiter) applyGrant(workspace string, queue *tokenQueue, grant limit.Grant) (retryAt int64) {
	for len(queue.waiters) > 0 && l.holder.Take(workspace) && l.holder.Valid(l.now()) {
		queue.waiters[0].done <- nil
		queue.waiters = queue.waiters[1:]
	}
	now := l.now()
	remaining := queue.waiters[:0]
	for _, w := range queue.waiters {
		due, refused := grant.Refuses(int64(len(remaining)), now-w.enqueuedAt)
		if refused {
			l.refused.Inc(1)
			w.done <- errRateLimited(due)
			continue
		}
		if len(remaining) == 0 {
			retryAt = now + limit.RetryDelay(due)
		}
		remaining = append(remaining, w)
	}
	queue.waiters = remaining
	l.holder.SetWaiting(workspace, int64(len(remaining)))
	if len(remaining) == 0 {
		delete(l.queues, workspace)
	}
	return retryAt
}

func errRateLimited(due int64) error {
	e := outcome.New(outcome.RateLimited, outcome.NotRun, "the workspace has spent its rate and burst")
	return e.WithRetryAfter(time.Duration(due))
}

// returnTokens returns all tokens to the owner, so that other gateways can use
// them at once and a new owner knows of all spending. It retries across a change
// of owner.
func (l *RateLimiter) returnTokens() {
	defer l.calls.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), returnTokensTimeout)
	defer cancel()
	for {
		response := &rpc.LimitResponse{}
		callCtx, cancelCall := context.WithTimeout(ctx, exchangeTimeout)
		err := l.control.Call(callCtx, rpc.MethodLimitAcquire, l.holder.Close(l.now()), response)
		cancelCall()
		if err == nil {
			if _, accepted := l.holder.Finish(l.now(), response); accepted {
				return
			}
		}
		select {
		case <-ctx.Done():
			l.log.Warn("limit_tokens_not_returned", "error", err)
			return
		case <-time.After(returnTokensRetryDelay):
		}
	}
}
