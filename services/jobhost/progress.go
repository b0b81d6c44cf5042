package jobhost

import (
	"sync"
	"time"

	"banyanwalk/core/jobs"
	"banyanwalk/services/targetcall"
)

// progress is how far an item has come on this host.
type progress struct {
	notBefore time.Time     // when it may run again
	attempts  int           // answers that counted as failed, of this leader
	spent     time.Duration // at targets, until now

	mu    sync.Mutex
	text  []byte
	last  int64 // id of the last event in text
	saved int64 // id of the last event that the log holds
	at    int   // length of the text that the log holds
}

// newProgress starts from what the log holds of an item.
func newProgress(kept jobs.Partial) *progress {
	return &progress{text: []byte(kept.Text), last: kept.Last, saved: kept.Last, at: len(kept.Text)}
}

// add appends an event that follows the last one.
func (p *progress) add(e *targetcall.Event) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.ID != 0 && e.ID <= p.last {
		return nil // a target that resumes may repeat what is there
	}
	if e.ID != 0 && p.last != 0 && e.ID != p.last+1 {
		return targetcall.ErrEventGap
	}
	if p.last > 0 {
		p.text = append(p.text, '\n')
	}
	p.text = append(p.text, e.Data...)
	p.last = max(e.ID, p.last+1)
	return nil
}

// end returns the id of the last event.
func (p *progress) end() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// whole returns the text.
func (p *progress) whole() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.text)
}

// unsaved returns what the log does not hold yet, and takes it as saved.
func (p *progress) unsaved(ref jobs.ItemRef) (part jobs.Progress, some bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == p.saved {
		return part, false
	}
	part = jobs.Progress{ItemRef: ref, From: p.saved, Last: p.last, Text: string(p.text[p.at:])}
	p.saved, p.at = p.last, len(p.text)
	return part, true
}
