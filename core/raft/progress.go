package raft

import "time"

// replicationState tells how a leader sends its log to one member.
type replicationState uint8

const (
	stateProbe     replicationState = iota // one append at a time until one matches
	stateReplicate                         // appends are sent ahead of their answers
	stateSnapshot                          // a snapshot is under way
)

// progress is what a leader knows of one member.
type progress struct {
	state      replicationState
	match      uint64 // last index that the member has synced
	next       uint64 // next index to send
	sentCommit uint64 // highest commit index sent along
	paused     bool   // in stateProbe: an append is under way
	unanswered int    // bytes of entries sent since match last grew
	round      uint64 // last heartbeat round answered
	complete   uint64 // index up to which the member holds all that entries name
	caughtUp   uint64 // commit index when match first reached it; zero: not yet
	heard      time.Time
	followed   time.Time // since when this leader sends to the member
	advanced   time.Time // last time that match grew or sending started anew
}

// probeFrom goes back to sending one append at a time.
func (p *progress) probeFrom(next uint64, now time.Time) {
	p.state = stateProbe
	p.next = max(next, p.match+1)
	p.paused = false
	p.unanswered = 0
	p.advanced = now
}

// wantsAppend reports whether an append may be sent now and has a purpose.
func (p *progress) wantsAppend(last, committed uint64) bool {
	switch p.state {
	case stateSnapshot:
		return false
	case stateProbe:
		return !p.paused
	}
	if p.next > p.match+maxInflightEntries || p.unanswered >= maxInflightBytes {
		return false
	}
	return p.next <= last || p.sentCommit < committed
}

// acknowledge records that the member has synced its log up to index.
func (p *progress) acknowledge(index uint64, now time.Time) {
	if index > p.match {
		p.match = index
		p.advanced = now
		p.unanswered = 0
	}
	p.next = max(p.next, p.match+1)
	p.state = stateReplicate
	p.paused = false
}
