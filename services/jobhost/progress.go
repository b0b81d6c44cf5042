package jobhost

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/jobs"
	"banyanwalk/core/streams"
	"banyanwalk/services/targetcall"
)

const (
	// fruitlessStep is the number of fruitless runs in a row after which the delay
	// doubles: a burst of crashes may end several runs of a sound item.
	fruitlessStep     = 8
	maxRetryDoublings = 10
	maxRetryDelay     = 5 * time.Second
	// maxTextBytes bounds the text of one item, also of one that a target sends
	// without end.
	maxTextBytes = 1 << 20
	// versionWait is how long an item waits for a target of the version at which its
	// text began: one that has crashed is mostly back by then.
	versionWait = 4 * time.Second
)

var errTextTooLong = errors.Newf("the text of the item exceeds %d bytes", maxTextBytes)

// progress is the part of an item's response that this host has received.
type progress struct {
	notBefore time.Time     // earliest time of the next run
	attempts  int           // failed attempts under this leader
	runTime   time.Duration // total time of the runs so far
	fruitless int           // runs in a row that yielded no event
	refusedBy string        // target that refused the last run; empty: it was not refused

	// Runs under this leader that ended before the text was whole, and why.
	runs, yielded, refused, broken int

	mu         sync.Mutex
	writer     uint64         // identifies this text from its beginning here; see jobs.Partial
	former     uint64         // writer of the saved text that it went on from; 0: none, or its first part is saved
	origin     streams.Origin // where the text began, and may go on; set with the first event
	versionFor time.Time      // since when no target of that version takes requests; zero: one does
	text       []byte
	lastEvent  int64 // id of the last event in text; their number, if they have none
	hasIDs     bool  // whether events have ids, as far as this process has seen any
	savedEvent int64 // id of the last event that is committed or queued
	savedBytes int   // length of the text that is committed or queued
}

// newProgress starts from the progress of an item in the replicated log.
func newProgress(logged jobs.Partial) *progress {
	return &progress{writer: rand.Uint64(), former: logged.Writer, origin: logged.Origin, text: []byte(logged.Text), lastEvent: logged.Last, savedEvent: logged.Last, savedBytes: len(logged.Text)}
}

// nextRetryDelay returns the delay after a run that started after the event
// startEvent and broke off. It grows while runs yield nothing.
func (p *progress) nextRetryDelay(startEvent int64) time.Duration {
	if p.lastEventID() > startEvent {
		p.fruitless = 0
	}
	delay := min(retryDelay<<min(p.fruitless/fruitlessStep, maxRetryDoublings), maxRetryDelay)
	p.fruitless++
	return delay
}

// appendEvent appends the event that follows the last one, from a target with the given
// origin. It ignores repeated
// events and fails if one is missing. If the text gets too long, it is dropped: what
// the target has sent is not the output of the item.
func (p *progress) appendEvent(e *targetcall.Event, from streams.Origin) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.ID != 0 && e.ID <= p.lastEvent {
		return nil // a target may repeat events when it resumes
	}
	if p.lastEvent != 0 && !e.GoesOn(p.lastEvent) && (e.ID != 0 || p.hasIDs) {
		return targetcall.ErrEventGap
	}
	p.hasIDs = p.hasIDs || e.ID != 0
	if len(p.text)+len(e.Data) >= maxTextBytes {
		p.beginAgain()
		return errTextTooLong
	}
	if p.lastEvent > 0 {
		p.text = append(p.text, '\n')
	} else {
		p.origin = from
	}
	p.text = append(p.text, e.Data...)
	p.lastEvent = max(e.ID, p.lastEvent+1)
	return nil
}

// begunAt returns where the text began, or false if it has not begun.
func (p *progress) begunAt() (streams.Origin, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.origin, p.lastEvent > 0
}

// mayGoOn reports whether a target may take the text on: present tells whether one that
// it can go on at takes requests. Without one for versionWait, the text starts again.
func (p *progress) mayGoOn(now time.Time, present bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case present:
		p.versionFor = time.Time{}
		return true
	case p.versionFor.IsZero():
		p.versionFor = now
		return false
	case now.Sub(p.versionFor) < versionWait:
		return false
	}
	p.beginAgain()
	return true
}

// beginAgain drops the text. The caller holds the lock.
func (p *progress) beginAgain() {
	p.text, p.lastEvent, p.savedEvent, p.savedBytes, p.versionFor = nil, 0, 0, 0, time.Time{}
	p.writer, p.former, p.hasIDs = rand.Uint64(), 0, false
}

// lastEventID returns the id of the last event.
func (p *progress) lastEventID() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEvent
}

// fullText returns the text received so far.
func (p *progress) fullText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.text)
}

// takeUnsaved returns the progress since the previous call and marks it as saved.
// ok is false if there is none.
func (p *progress) takeUnsaved(ref jobs.ItemRef) (unsaved jobs.Progress, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastEvent == p.savedEvent {
		return unsaved, false
	}
	unsaved = jobs.Progress{ItemRef: ref, From: p.savedEvent, Last: p.lastEvent, Text: string(p.text[p.savedBytes:]), Origin: p.origin,
		Writer: p.writer, Former: p.former}
	p.savedEvent, p.savedBytes, p.former = p.lastEvent, len(p.text), 0
	return unsaved, true
}
