package placement

import (
	"time"

	"banyanwalk/core/roster"
)

const (
	// memoryShare is the part of a target's memory that all requests there may take
	// together; a target that holds more than its memory crashes. The following
	// parts of it are shared out in advance, so that their sum holds whatever the
	// processes know of each other: the broker's, that of a broker which does not know
	// yet what its predecessor has placed, and that of all gateways without a broker.
	memoryShare         = 0.9
	brokerMemoryShare   = 0.4
	handoverMemoryShare = 0.1
	directMemoryShare   = 0.4 // divided by many gateways, it still holds a usual request for each
	// handoverTime is how long a new broker does not know the requests that its
	// predecessor has placed. Load reports are 200 to 400 ms old.
	handoverTime = time.Second
	// maxSharers is the number of gateways up to which each may use its part at every
	// target. Beyond it the parts would be smaller than a usual request, so a target
	// is used by directSharers gateways on average, with parts for twice as many.
	maxSharers    = 24
	directSharers = 8
	// absurdSizeFactor is the multiple of a target's memory beyond which a request's size
	// is taken for a mistake.
	absurdSizeFactor = 10
)

// HeldTokens returns the tokens that a target holds for the request, as far as they
// count: sizes that cannot be true count as none.
func (q *Query) HeldTokens() int64 {
	if q.Memory <= 0 || q.Tokens < 0 || q.IsAbsurd() {
		return 0
	}
	return q.Tokens
}

// IsAbsurd reports whether the size of a request is taken for a mistake.
func (q *Query) IsAbsurd() bool { return q.Memory > 0 && q.Tokens > absurdSizeFactor*q.Memory }

// SetGateways sets the number of gateways, including this process. The largest number
// counts, since those that are not reported any more may still place requests.
func (t *Targets) SetGateways(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateways = max(t.gateways, count)
}

// hasMemory reports whether a target's memory allows a request. One that is larger than
// the broker's part goes to an empty target only. The caller holds the lock.
func (t *Targets) hasMemory(now time.Time, r *roster.Record, q *Query) bool {
	tokens := q.HeldTokens()
	if tokens == 0 {
		return true
	}
	whole := float64(q.Memory)
	if t.limitSharer == "" && !now.Before(t.handoverUntil) && float64(tokens) > brokerMemoryShare*whole {
		return t.total(r.ID) == 0
	}
	own, peers := t.ownLoads[r.ID], t.peerLoads[r.ID]
	share := memoryShare
	if t.limitSharer == "" {
		share -= directMemoryShare // the gateways may use their part before this process is told
	}
	fitsTarget := float64(own.tokens()+peers.tokens()+tokens) <= share*whole
	fitsOwnPart := float64(own.tokens()-own.BrokeredTokens+tokens) <= t.memoryPart(now, r.ID)*whole
	return fitsTarget && fitsOwnPart
}

// memoryPart returns the part of a target's memory that the requests placed by this
// process may take. The caller holds the lock.
func (t *Targets) memoryPart(now time.Time, id string) float64 {
	switch {
	case t.limitSharer == "" && now.Before(t.handoverUntil):
		return handoverMemoryShare
	case t.limitSharer == "":
		return brokerMemoryShare
	case t.gateways <= maxSharers && t.gateways > 0:
		return directMemoryShare / float64(t.gateways)
	case t.gateways == 0: // not known yet
		return directMemoryShare / maxSharers
	case t.position(id)*float64(t.gateways) < directSharers:
		return directMemoryShare / (2 * directSharers)
	default:
		return 0
	}
}

// tokens returns the tokens of all requests of a load.
func (l Load) tokens() int64 { return l.Tokens + l.BatchTokens }

// ReleaseTokens removes the tokens of a request that Acquire has placed.
func (t *Targets) ReleaseTokens(id string, batch bool, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addTokens(id, batch, -tokens)
}

// addTokens changes the tokens that this process counts at a target. The caller holds the
// lock.
func (t *Targets) addTokens(id string, batch bool, by int64) {
	load := t.ownLoads[id]
	if batch {
		load.BatchTokens += by
	} else {
		load.Tokens += by
	}
	t.setOwn(id, load)
}

// AssignTokens counts the tokens of a request that Assign has counted. They are removed
// with a negative number.
func (t *Targets) AssignTokens(broker uint64, id string, tokens int64) {
	if tokens == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := brokerTarget{broker, id}
	if t.brokeredTokens[at] += tokens; t.brokeredTokens[at] == 0 {
		delete(t.brokeredTokens, at)
	}
	load := t.ownLoads[id]
	load.Tokens += tokens
	load.BrokeredTokens += tokens
	t.setOwn(id, load)
}
