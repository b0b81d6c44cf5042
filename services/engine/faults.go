package engine

import (
	"context"
	"sync"
	"time"

	"banyanwalk/infra/pause"
)

// Faults is the body of POST /debug/faults. Zero fields leave the active faults
// as they are; Clear removes all of them before the other fields apply.
type Faults struct {
	Clear          bool  `json:"clear"`
	Crash          bool  `json:"crash"`            // crash at once
	ResetToCold    bool  `json:"cold"`             // become cold at once, without a new incarnation
	FreezeMS       int64 `json:"freeze_ms"`        // stop handling requests and announcing for this time
	DelayMS        int64 `json:"delay_ms"`         // delay before each response header
	LinkDelayMS    int64 `json:"link_delay_ms"`    // delay before reading each request and before each response header
	CutAfterTokens int   `json:"cut_after_tokens"` // break the connection after this many tokens of a response
	CutResponses   int   `json:"cut_requests"`     // number of responses to cut; 0 means all
	SwapPairs      int   `json:"cross"`            // number of request pairs that receive each other's response
	StaleResponses int   `json:"stale"`            // number of requests that receive the previous request's response
}

// responseIdentity holds the request id and the generation from which a response
// is built.
type responseIdentity struct {
	id  string
	gen generation
}

// faultState holds the active faults. Its methods are safe for concurrent use.
type faultState struct {
	mu          sync.Mutex
	active      Faults
	frozenUntil time.Time
	pendingSwap chan swapWaiter // holds the request that waits for a swap partner; nil if none
	previous    *responseIdentity
}

// swapWaiter is a request that waits for another one to swap responses with.
type swapWaiter struct {
	requested responseIdentity
	reply     chan responseIdentity
}

// apply merges an update into the active faults. Engine.Inject handles
// ResetToCold and Crash.
func (f *faultState) apply(update Faults, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.Clear {
		f.active = Faults{}
		f.frozenUntil = time.Time{}
	}
	if update.FreezeMS > 0 {
		f.frozenUntil = now.Add(time.Duration(update.FreezeMS) * time.Millisecond)
	}
	setIfNonZero(&f.active.DelayMS, update.DelayMS)
	setIfNonZero(&f.active.LinkDelayMS, update.LinkDelayMS)
	setIfNonZero(&f.active.CutAfterTokens, update.CutAfterTokens)
	setIfNonZero(&f.active.CutResponses, update.CutResponses)
	setIfNonZero(&f.active.SwapPairs, update.SwapPairs)
	setIfNonZero(&f.active.StaleResponses, update.StaleResponses)
}

func setIfNonZero[T int | int64](field *T, value T) {
	if value != 0 {
		*field = value
	}
}

// delayRead waits for the end of a freeze and then for the link delay, before
// the request body is read.
func (f *faultState) delayRead(ctx context.Context) {
	f.waitWhileFrozen(ctx)
	f.mu.Lock()
	delay := time.Duration(f.active.LinkDelayMS) * time.Millisecond
	f.mu.Unlock()
	pause.For(ctx, delay)
}

// delayHeader waits for the link delay and the response delay, before the
// response header is written.
func (f *faultState) delayHeader(ctx context.Context) {
	f.mu.Lock()
	delay := time.Duration(f.active.LinkDelayMS+f.active.DelayMS) * time.Millisecond
	f.mu.Unlock()
	pause.For(ctx, delay)
}

// waitWhileFrozen blocks until a freeze fault has ended.
func (f *faultState) waitWhileFrozen(ctx context.Context) {
	f.mu.Lock()
	frozenUntil := f.frozenUntil
	f.mu.Unlock()
	if !frozenUntil.IsZero() {
		pause.For(ctx, time.Until(frozenUntil))
	}
}

// takeCutLimit returns the number of tokens after which to cut a response, or
// -1 for none, and counts the response against CutResponses.
func (f *faultState) takeCutLimit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active.CutAfterTokens == 0 {
		return -1
	}
	n := f.active.CutAfterTokens
	if f.active.CutResponses > 0 {
		f.active.CutResponses--
		if f.active.CutResponses == 0 {
			f.active.CutAfterTokens = 0
		}
	}
	return n
}

// responseIdentity returns the identity to answer a request with. That is its
// own one, except that a stale fault gives the previous request's and a swap
// fault blocks until a second request arrives and exchanges the two.
func (f *faultState) responseIdentity(ctx context.Context, requested responseIdentity) responseIdentity {
	f.mu.Lock()
	if f.active.StaleResponses > 0 && f.previous != nil {
		f.active.StaleResponses--
		stale := *f.previous
		f.mu.Unlock()
		return stale
	}
	f.previous = &requested
	if f.active.SwapPairs == 0 {
		f.mu.Unlock()
		return requested
	}
	if f.pendingSwap != nil {
		partner := <-f.pendingSwap
		f.pendingSwap = nil
		f.active.SwapPairs--
		f.mu.Unlock()
		partner.reply <- requested
		return partner.requested
	}
	waiter := swapWaiter{requested: requested, reply: make(chan responseIdentity, 1)}
	f.pendingSwap = make(chan swapWaiter, 1)
	f.pendingSwap <- waiter
	f.mu.Unlock()
	select {
	case partner := <-waiter.reply:
		return partner
	case <-ctx.Done():
		f.cancelPendingSwap()
		return requested
	}
}

// cancelPendingSwap removes a waiting request whose caller disconnected before a
// partner arrived.
func (f *faultState) cancelPendingSwap() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingSwap = nil
}
