package limit

import "time"

const (
	// GracePeriod is how long a request may wait for a token when the bucket is empty.
	// It exceeds the delay with which the owner learns of spending, so that no
	// request within its rate and burst is refused.
	GracePeriod = 200 * time.Millisecond
	// handoverDelayDuration is how long after a change of owner the extra wait
	// applies, so that the backlog can clear.
	handoverDelayDuration = 30 * time.Second
	// turnRetention is how long a waiting gateway keeps its place in the queue
	// after its token is due.
	turnRetention = 50 * time.Millisecond
	// priorityMargin is how much longer another gateway's request must have waited
	// to take priority. Below it the first gateway to ask gets the tokens, so that
	// they are not left unused.
	priorityMargin = 25 * time.Millisecond
	// retryLead is how long before a token is due the waiting gateways request it;
	// it is about the latency of the request.
	retryLead = 5 * time.Millisecond
	// MaxWait is the longest wait for the owner's response, also across a change of
	// owner.
	MaxWait = 2 * time.Second
)

// Refuses reports whether a request that got no token is refused. position
// is the number of requests of the same gateway ahead of it, age how long it has
// waited. due is the time until a token is due, in nanoseconds.
func (g Grant) Refuses(position, age int64) (due int64, refused bool) {
	if g.Verdict != Empty {
		return 0, false
	}
	due = g.Next + position*g.Interval
	return due, age+due > g.WaitLimit
}

// RetryDelay returns the delay before requesting again a token that is due in due
// nanoseconds.
func RetryDelay(due int64) int64 { return max(0, due-int64(retryLead)) }

// waitQueue holds the gateways that wait for tokens of one workspace. A gateway
// whose oldest request has waited longer by priorityMargin takes priority.
type waitQueue map[GatewayID]waiter

type waiter struct {
	since int64 // arrival of the oldest request
	need  int64
	until int64 // when the entry expires
}

// tokensAhead returns how many tokens are needed by gateways that take priority
// over id, and drops expired entries.
func (q waitQueue) tokensAhead(id GatewayID, since, now int64) int64 {
	sum := int64(0)
	for other, w := range q {
		if w.until < now {
			delete(q, other)
			continue
		}
		if other != id && w.since+int64(priorityMargin) < since {
			sum += w.need
		}
	}
	return sum
}
