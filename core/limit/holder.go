package limit

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// prefetchHorizon is how much of the expected demand is prefetched.
	prefetchHorizon = 100 * time.Millisecond
	demandHalfLife  = 200 * time.Millisecond
	idleRelease     = 5 * time.Second // time without demand after which all tokens are returned
	leaseMargin     = Lease / 20      // allows for clock drift between gateway and owner
)

// Holder is the gateway's side of the limiter: the leased tokens of each
// workspace. Take, Valid, Waiting and SetWaiting are safe for concurrent use; the
// other methods must be called only by the goroutine that exchanges with the owner.
type Holder struct {
	id       GatewayID
	balances sync.Map     // workspace -> *balance
	expires  atomic.Int64 // end of the lease on all tokens

	owner        uint64
	seq          uint64 // of the latest exchange
	ack          uint64 // Seq of the last applied response
	sentAt       int64
	mustReport   bool
	entries      []UsageEntry
	checkpoint   *Checkpoint
	checkpointAt int64 // when checkpoint was received
	contended    map[string]struct{}
	hadWaiting   bool // requests were waiting at the last exchange
}

// balance holds the tokens of one workspace.
type balance struct {
	tokens  atomic.Int64
	waiting atomic.Int64

	recorded   int64   // tokens held after the last recorded entry or grant
	demandRate float64 // tokens per second, exponentially decayed
	updatedAt  int64
	activeAt   int64 // when tokens were last spent or requested
}

// NewHolder returns the holder of one run of a gateway process.
func NewHolder(id GatewayID) *Holder {
	return &Holder{id: id, mustReport: true, contended: make(map[string]struct{})}
}

// Take spends one token of a workspace if there is one. Afterwards the caller must
// read the clock and check Valid.
func (h *Holder) Take(workspace string) bool {
	found, ok := h.balances.Load(workspace)
	if !ok {
		return false
	}
	b := found.(*balance)
	for {
		tokens := b.tokens.Load()
		if tokens <= 0 {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-1) {
			return true
		}
	}
}

// Valid reports whether the lease still covers a token taken before now.
func (h *Holder) Valid(now int64) bool { return now < h.expires.Load() }

// Waiting returns how many requests of a workspace wait for a token. While there
// are any, new requests must queue behind them.
func (h *Holder) Waiting(workspace string) int64 {
	found, ok := h.balances.Load(workspace)
	if !ok {
		return 0
	}
	return found.(*balance).waiting.Load()
}

// SetWaiting sets how many requests of a workspace wait for a token.
func (h *Holder) SetWaiting(workspace string, n int64) {
	if found, ok := h.balances.Load(workspace); ok {
		found.(*balance).waiting.Store(n)
	}
}

// balanceOf returns the balance of a workspace and creates it if needed.
func (h *Holder) balanceOf(workspace string, now int64) *balance {
	if found, ok := h.balances.Load(workspace); ok {
		return found.(*balance)
	}
	b := &balance{updatedAt: now, activeAt: now}
	h.balances.Store(workspace, b)
	return b
}

// WaitingRequests describes the requests that wait for a token of one workspace.
type WaitingRequests struct {
	Count  int64
	Oldest int64 // when the oldest of them arrived, on the gateway's clock
}

// Begin returns the next exchange. needs holds the waiting requests by workspace.
func (h *Holder) Begin(now int64, needs map[string]WaitingRequests) *Request {
	h.seq++
	h.sentAt = now
	h.hadWaiting = len(needs) > 0
	expired := !h.Valid(now)
	r := &Request{Gateway: h.id, Owner: h.owner, Seq: h.seq, Ack: h.ack}
	for workspace := range needs {
		h.balanceOf(workspace, now)
	}
	h.balances.Range(func(key, value any) bool {
		workspace, b := key.(string), value.(*balance)
		need := needs[workspace]
		want := h.settleBalance(now, workspace, b, need.Count, expired || h.mustReport)
		if need.Count > 0 {
			want.Oldest = now - need.Oldest
		}
		if want.Waiting > 0 || want.Prefetch > 0 {
			r.TokenRequests = append(r.TokenRequests, want)
		}
		return true
	})
	slices.SortFunc(r.TokenRequests, func(a, b TokenRequest) int { return compare(a.Workspace, b.Workspace) })
	if h.mustReport {
		r.Report = &Report{Checkpoint: h.checkpoint, Age: now - h.checkpointAt}
	}
	r.Entries = h.unackedEntries(now)
	return r
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// settleBalance records what was spent since the last exchange, returns tokens
// that are not needed and computes what to request. With surrender set it returns
// all tokens.
func (h *Holder) settleBalance(now int64, workspace string, b *balance, need int64, surrender bool) TokenRequest {
	tokens := b.tokens.Load()
	spent := b.recorded - tokens
	b.recordDemand(now, spent+need)
	target := need + b.prefetchTarget(now)
	if _, contended := h.contended[workspace]; contended {
		target = need
	}
	if surrender {
		target = 0
	}
	returned := int64(0)
	if surplus := tokens - target; surplus > 0 && (surrender || surplus > target || target == need) {
		returned = b.withdraw(surplus)
	}
	// Tokens may have been spent concurrently, so read the balance again.
	left := b.tokens.Load()
	spent = b.recorded - returned - left
	b.recorded = left
	if spent > 0 || returned > 0 {
		h.entries = append(h.entries, UsageEntry{Seq: h.seq, Workspace: workspace, Spent: spent, Returned: returned, spentAt: now})
	}
	if surrender {
		return TokenRequest{Workspace: workspace, Waiting: need}
	}
	return TokenRequest{Workspace: workspace, Waiting: need, Prefetch: max(0, target-need-left)}
}

// withdraw removes up to n unspent tokens and returns how many.
func (b *balance) withdraw(n int64) int64 {
	for {
		tokens := b.tokens.Load()
		taken := min(n, tokens)
		if taken <= 0 {
			return 0
		}
		if b.tokens.CompareAndSwap(tokens, tokens-taken) {
			return taken
		}
	}
}

// recordDemand adds n tokens to the estimate of the demand rate.
func (b *balance) recordDemand(now, n int64) {
	elapsed := float64(max(0, now-b.updatedAt))
	b.updatedAt = now
	decay := math.Exp2(-elapsed / float64(demandHalfLife))
	b.demandRate = b.demandRate*decay + float64(n)*math.Ln2/demandHalfLife.Seconds()
	if n > 0 {
		b.activeAt = now
	}
}

// prefetchTarget returns how many tokens to hold for expected requests.
func (b *balance) prefetchTarget(now int64) int64 {
	if now-b.activeAt > int64(idleRelease) {
		return 0
	}
	return 1 + int64(math.Ceil(b.demandRate*prefetchHorizon.Seconds()))
}

// unackedEntries returns the entries that the owner may not have processed. For a
// report it returns all entries that the last checkpoint may not cover.
func (h *Holder) unackedEntries(now int64) []UsageEntry {
	var list []UsageEntry
	for _, e := range h.entries {
		if e.Seq > h.ack || h.mustReport {
			e.Age = now - e.spentAt
			list = append(list, e)
		}
	}
	return list
}

// Finish applies the response to the latest exchange and returns its grants. It
// returns false when the response belongs to another exchange or its status is not
// StatusOK.
func (h *Holder) Finish(now int64, a *Response) ([]Grant, bool) {
	if a.Seq != h.seq || a.Status == StatusStale {
		return nil, false
	}
	if a.Status != StatusOK {
		h.surrenderAll(now)
		h.mustReport = true
		return nil, false
	}
	h.mustReport = false
	h.owner = a.Owner
	h.ack = a.Seq
	for _, g := range a.Grants {
		b := h.balanceOf(g.Workspace, now)
		b.recorded += g.Tokens
		b.tokens.Add(g.Tokens)
	}
	h.expires.Store(h.sentAt + int64(Lease-leaseMargin))
	clear(h.contended)
	for _, workspace := range a.Contended {
		h.contended[workspace] = struct{}{}
	}
	if a.Checkpoint != nil {
		h.checkpoint, h.checkpointAt = a.Checkpoint, now
	}
	h.pruneEntries()
	return a.Grants, true
}

// surrenderAll discards all tokens because another owner has taken over. Earlier
// spending is recorded for the report.
func (h *Holder) surrenderAll(now int64) {
	h.expires.Store(math.MinInt64)
	h.balances.Range(func(key, value any) bool {
		b := value.(*balance)
		left := b.tokens.Swap(0)
		if spent := b.recorded - left; spent > 0 {
			h.entries = append(h.entries, UsageEntry{Seq: h.seq + 1, Workspace: key.(string), Spent: spent, spentAt: now})
		}
		b.recorded = 0
		return true
	})
}

// RecordSpent records what was spent up to now, for the next exchange. It is called
// every RecordInterval while an exchange is in flight, so that the recorded times
// of spending stay precise if the owner fails.
func (h *Holder) RecordSpent(now int64) {
	h.balances.Range(func(key, value any) bool {
		b := value.(*balance)
		left := b.tokens.Load()
		if spent := b.recorded - left; spent > 0 {
			h.entries = append(h.entries, UsageEntry{Seq: h.seq + 1, Workspace: key.(string), Spent: spent, spentAt: now})
			b.recorded = left
			b.recordDemand(now, spent)
		}
		return true
	})
}

// pruneEntries drops the entries that both the owner and the checkpoint cover.
func (h *Holder) pruneEntries() {
	if h.checkpoint == nil {
		return
	}
	covered := min(h.ack, h.checkpoint.seqOf(h.id))
	h.entries = slices.DeleteFunc(h.entries, func(e UsageEntry) bool { return e.Seq <= covered })
}

// Due reports whether an exchange is due at now; it does not consider waiting
// requests. Near the limit spending is reported sooner, because the owner cannot
// grant the tokens again before it is reported.
func (h *Holder) Due(now int64) bool {
	elapsed := now - h.sentAt
	switch {
	case elapsed >= int64(Heartbeat):
		return true
	case elapsed >= int64(ReportInterval):
		return len(h.contended) > 0 || h.HasUnrecordedSpending()
	case elapsed >= int64(NearReportInterval):
		return h.hadWaiting && h.HasUnrecordedSpending()
	default:
		return false
	}
}

// HasUnrecordedSpending reports whether tokens were spent that are not yet
// recorded.
func (h *Holder) HasUnrecordedSpending() bool {
	spent := false
	h.balances.Range(func(_, value any) bool {
		b := value.(*balance)
		spent = b.tokens.Load() < b.recorded
		return !spent
	})
	return spent
}

// Close returns the final exchange, which returns all tokens to the owner.
func (h *Holder) Close(now int64) *Request {
	h.contended = make(map[string]struct{})
	h.expires.Store(math.MinInt64)
	r := h.Begin(now, nil)
	r.Closing = true
	r.TokenRequests = nil
	return r
}
