package entry

import (
	"context"
	"sync"
	"time"

	"banyanwalk/core/outcome"
	"banyanwalk/core/quota"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/follow"
)

const (
	// tokenTimeout is how long a request waits for a broker's token. Brokers answer within a
	// few milliseconds; a lost packet is sent again after 200 ms.
	tokenTimeout = 40 * time.Millisecond
	// tokenRetryInterval is how long a broker of tokens that failed to answer is not asked.
	tokenRetryInterval = 300 * time.Millisecond
	// partWaitDivisor is the part of its route's latency objective, as a divisor, that a
	// request waits at most for this gateway's part of its workspace's tokens.
	partWaitDivisor = 2
)

// tokens takes tokens from the buckets of workspaces: from this gateway's part, else from
// the workspace's broker.
type tokens struct {
	follower *follow.Follower
	jobs     *jobClient
	metrics  *requestMetrics

	mu     sync.Mutex
	paused map[uint64]time.Time // until when a broker is not asked, by replica id
}

func newTokens(f *follow.Follower, jobs *jobClient, m *requestMetrics) *tokens {
	return &tokens{follower: f, jobs: jobs, metrics: m, paused: make(map[uint64]time.Time)}
}

// take takes a token for a request, or returns its refusal.
func (t *tokens) take(c *call) *outcome.Error {
	wait, ok := t.takeOwn(c)
	if ok {
		return nil
	}
	granted, failure := t.ask(c)
	if granted || failure != nil {
		return failure
	}
	return t.awaitOwn(c, wait)
}

// takeOwn takes a token from this gateway's part.
func (t *tokens) takeOwn(c *call) (wait time.Duration, ok bool) {
	if c.workspace == nil {
		return 0, true
	}
	rate := quota.Rate{PerSecond: c.workspace.RatePerSecond, Burst: c.workspace.Burst}
	now := c.started
	if t.follower.Buckets.Bounded() {
		now = t.follower.QuotaNow()
	}
	wait, ok = t.follower.Buckets.Take(now, c.workspace.Name, rate)
	if t.follower.Buckets.ReportDue() {
		t.metrics.earlyReports.Inc(1)
		t.follower.ReportNow()
	}
	return wait, ok
}

// awaitOwn waits a little for a token of this gateway's part, if only the part is spent and
// not what the workspace has.
func (t *tokens) awaitOwn(c *call, wait time.Duration) *outcome.Error {
	frees, partOnly := t.follower.Buckets.FreesIn(t.follower.QuotaNow(), c.workspace.Name)
	switch {
	case partOnly && frees <= c.route.Objective/partWaitDivisor:
		time.Sleep(frees)
		var ok bool
		if wait, ok = t.takeOwn(c); ok {
			return nil
		}
	case partOnly:
		wait = frees
	}
	return t.refusal(c).WithRetryAfter(wait)
}

// ask asks the workspace's broker for a token, or else its deputy. It returns neither a token
// nor a failure if none of them answers.
func (t *tokens) ask(c *call) (granted bool, failure *outcome.Error) {
	if !t.follower.Buckets.MayAsk(t.follower.QuotaNow(), c.workspaceName()) {
		return false, nil
	}
	for _, broker := range t.follower.TokenBrokers(c.workspace.Name) {
		if broker == 0 || t.isPaused(broker) {
			continue
		}
		if granted, failure = t.askOne(c, broker); granted || failure != nil {
			return granted, failure
		}
	}
	return false, nil
}

// askOne asks one broker for a token. It returns neither a token nor a failure if the broker
// does not answer.
func (t *tokens) askOne(c *call, broker uint64) (granted bool, failure *outcome.Error) {
	buckets, workspace := t.follower.Buckets, c.workspace.Name
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	t.metrics.tokensAsked.Inc(1)
	err := t.jobs.callOnce(ctx, tokenTimeout, broker, rpc.MethodTokenAcquire, &rpc.TokenRequest{Workspace: workspace}, &rpc.Ack{})
	switch {
	case err == nil:
		buckets.Granted(workspace)
		c.brokeredToken = true
		return true, nil
	case outcome.IsCode(err, outcome.RateLimited):
		failure = outcome.From(err)
		t.metrics.rateLimited(quota.LimitReached)
		buckets.Refused(t.follower.QuotaNow(), workspace, failure.RetryAfter)
		return false, failure
	case !outcome.IsCode(err, outcome.StateStale): // else the workspace has just moved there
		t.pause(broker)
	}
	t.metrics.tokensUnanswered.Inc(1)
	return false, nil
}

func (t *tokens) isPaused(broker uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.paused[broker])
}

// pause keeps a broker from being asked for tokenRetryInterval.
func (t *tokens) pause(broker uint64) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, until := range t.paused {
		if now.After(until) {
			delete(t.paused, id)
		}
	}
	t.paused[broker] = now.Add(tokenRetryInterval)
}

// refusal returns the refusal of a request for which this gateway has no token, and counts
// its cause.
func (t *tokens) refusal(c *call) *outcome.Error {
	standing, known := t.follower.Buckets.Standing(t.follower.QuotaNow(), c.workspaceName())
	if !known {
		return outcome.New(outcome.RateLimited, outcome.NotRun, "over the rate of the workspace")
	}
	t.metrics.rateLimited(standing.Cause())
	return outcome.New(outcome.RateLimited, outcome.NotRun, "no token at this gateway, %s: level %.1f, rate %g, burst %g, %d gateways, %d of them silent, last report %d ms ago",
		standing.Cause(), standing.Level, c.workspace.RatePerSecond, c.workspace.Burst, standing.Gateways, standing.Silent, ms(standing.ReportAge))
}

// giveBack returns the token of a request that did not run.
func (t *tokens) giveBack(c *call) {
	if c.brokeredToken {
		t.follower.Buckets.Keep(t.follower.QuotaNow(), c.workspaceName())
		return
	}
	t.follower.Buckets.Return(c.workspaceName())
}
