package engine

import (
	"context"
	"sync"
	"time"

	"banyanwalk/infra/pause"
)

// Faults is the body of POST /debug/faults. Fields that are zero change
// nothing, except that Clear first ends all faults.
type Faults struct {
	Clear          bool  `json:"clear"`
	Crash          bool  `json:"crash"`            // now
	Cold           bool  `json:"cold"`             // turn cold now, without a new incarnation
	FreezeMS       int64 `json:"freeze_ms"`        // do nothing for so long
	DelayMS        int64 `json:"delay_ms"`         // before each answer's head
	LinkDelayMS    int64 `json:"link_delay_ms"`    // before each request is read, and before each head
	CutAfterTokens int   `json:"cut_after_tokens"` // break the connection of each answer after so many tokens
	CutRequests    int   `json:"cut_requests"`     // how many answers to cut; 0: all
	Cross          int   `json:"cross"`            // pairs of requests that get each other's body
	Stale          int   `json:"stale"`            // requests that get the body of the request before them
}

// identity names the request that an answer is for.
type identity struct {
	id  string
	gen generation
}

// faultState holds the faults in force.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	frozen  time.Time
	waiting chan crossing // a request that waits for its partner
	last    *identity
}

type crossing struct {
	own   identity
	reply chan identity
}

func (f *faultState) apply(n Faults, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Clear {
		f.faults = Faults{}
		f.frozen = time.Time{}
	}
	if n.FreezeMS > 0 {
		f.frozen = now.Add(time.Duration(n.FreezeMS) * time.Millisecond)
	}
	setIf(&f.faults.DelayMS, n.DelayMS)
	setIf(&f.faults.LinkDelayMS, n.LinkDelayMS)
	setIf(&f.faults.CutAfterTokens, n.CutAfterTokens)
	setIf(&f.faults.CutRequests, n.CutRequests)
	setIf(&f.faults.Cross, n.Cross)
	setIf(&f.faults.Stale, n.Stale)
}

func setIf[T int | int64](field *T, value T) {
	if value != 0 {
		*field = value
	}
}

// beforeRead waits out freezes and the link delay.
func (f *faultState) beforeRead(ctx context.Context) {
	f.thaw(ctx)
	f.mu.Lock()
	delay := time.Duration(f.faults.LinkDelayMS) * time.Millisecond
	f.mu.Unlock()
	pause.For(ctx, delay)
}

// beforeHead waits out the delays of an answer.
func (f *faultState) beforeHead(ctx context.Context) {
	f.mu.Lock()
	delay := time.Duration(f.faults.LinkDelayMS+f.faults.DelayMS) * time.Millisecond
	f.mu.Unlock()
	pause.For(ctx, delay)
}

// thaw blocks while the engine is frozen.
func (f *faultState) thaw(ctx context.Context) {
	f.mu.Lock()
	until := f.frozen
	f.mu.Unlock()
	if !until.IsZero() {
		pause.For(ctx, time.Until(until))
	}
}

// cutAfter returns after how many tokens to cut this answer, or -1.
func (f *faultState) cutAfter() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.CutAfterTokens == 0 {
		return -1
	}
	n := f.faults.CutAfterTokens
	if f.faults.CutRequests > 0 {
		f.faults.CutRequests--
		if f.faults.CutRequests == 0 {
			f.faults.CutAfterTokens = 0
		}
	}
	return n
}

// swap returns the identity under which to answer: the own one, unless the
// answer is to be crossed or stale.
func (f *faultState) swap(ctx context.Context, own identity) identity {
	f.mu.Lock()
	if f.faults.Stale > 0 && f.last != nil {
		f.faults.Stale--
		stale := *f.last
		f.mu.Unlock()
		return stale
	}
	f.last = &own
	if f.faults.Cross == 0 {
		f.mu.Unlock()
		return own
	}
	if f.waiting != nil {
		partner := <-f.waiting
		f.waiting = nil
		f.faults.Cross--
		f.mu.Unlock()
		partner.reply <- own
		return partner.own
	}
	c := crossing{own: own, reply: make(chan identity, 1)}
	f.waiting = make(chan crossing, 1)
	f.waiting <- c
	f.mu.Unlock()
	select {
	case other := <-c.reply:
		return other
	case <-ctx.Done():
		f.abandon()
		return own
	}
}

// abandon removes a request that left before a partner came.
func (f *faultState) abandon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = nil
}
