package limit

import "time"

const (
	// Grace is how long a request waits for a token that is due soon, although
	// the owner has none now. It exceeds the age that the owner's knowledge of
	// spending has, so that no request within its rate and burst is refused.
	Grace = 200 * time.Millisecond
	// stallMemory is how long the backlog of a change of owner may last.
	stallMemory = 30 * time.Second
	// pendingMemory is how long after its token is due a gateway that waits for
	// it keeps its turn.
	pendingMemory = 50 * time.Millisecond
	// yieldMargin is how much longer another gateway's request must have waited
	// to go first. Below it tokens go to whoever asks, without lying idle.
	yieldMargin = 25 * time.Millisecond
	// askAhead is how long before a token is due those who wait ask for it; the
	// question is under way for about as long.
	askAhead = 5 * time.Millisecond
	// MaxWait bounds the wait for the owner's word, through a change of owner.
	MaxWait = 2 * time.Second
)

// Refuses tells whether a request that got no token is refused. position
// counts the requests of the same gateway before it, age is how long it has
// waited. The first result is the time until a token is due, in nanoseconds.
func (g Grant) Refuses(position, age int64) (due int64, refused bool) {
	if g.Verdict != Empty {
		return 0, false
	}
	due = g.Next + position*g.Interval
	return due, age+due > g.Patience
}

// AskAfter returns the pause after which a request asks again for a token that
// is due after due nanoseconds.
func AskAfter(due int64) int64 { return max(0, due-int64(askAhead)) }

// waitQueue is the gateways that wait for tokens of one workspace. Whoever has waited
// markedly longer goes first.
type waitQueue map[GatewayID]waiting

type waiting struct {
	since int64 // when the oldest request came
	need  int64
	until int64 // the entry lapses then
}

// ahead returns the requests of other gateways that go first.
func (q waitQueue) ahead(id GatewayID, since, now int64) int64 {
	sum := int64(0)
	for other, p := range q {
		if p.until < now {
			delete(q, other)
			continue
		}
		if other != id && p.since+int64(yieldMargin) < since {
			sum += p.need
		}
	}
	return sum
}
