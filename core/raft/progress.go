package raft

import "time"

// replicationState is how a leader sends its log to one member.
type replicationState uint8

const (
	stateProbe     replicationState = iota // one append at a time until the member accepts one
	stateReplicate                         // appends are pipelined without waiting for responses
	stateSnapshot                          // a snapshot was sent and not yet acknowledged
)

// progress is the leader's replication state of one member.
type progress struct {
	state             replicationState
	match             uint64 // last index that the member has synced
	next              uint64 // next index to send
	sentCommit        uint64 // commit index in the last append
	paused            bool   // in stateProbe: an append was sent and not yet answered
	unackedBytes      int    // command bytes sent since match last grew
	acknowledgedRound uint64 // last heartbeat round answered
	dataIndex         uint64 // index up to which the member holds the data that entries refer to
	catchUpIndex      uint64 // commit index when match first reached it; 0 before that
	lastResponse      time.Time
	trackedSince      time.Time // when this leader started to replicate to the member
	lastProgress      time.Time // last time that match grew or sending was restarted
	keptUpAt          time.Time // last time that match grew or was not behind the commit index
	keptUpMatch       uint64    // match then
}

// noteKeptUp notes whether the member's log grows while there are committed entries that it
// lacks.
func (p *progress) noteKeptUp(committed uint64, now time.Time) {
	if p.match >= committed || p.match > p.keptUpMatch || p.keptUpAt.IsZero() {
		p.keptUpAt, p.keptUpMatch = now, p.match
	}
}

// probeFrom switches to stateProbe: one append at a time, starting at next.
func (p *progress) probeFrom(next uint64, now time.Time) {
	p.state = stateProbe
	p.next = max(next, p.match+1)
	p.paused = false
	p.unackedBytes = 0
	p.lastProgress = now
}

// shouldSendAppend reports whether flow control allows an append now and there
// is something to send.
func (p *progress) shouldSendAppend(last, committed uint64) bool {
	switch p.state {
	case stateSnapshot:
		return false
	case stateProbe:
		return !p.paused
	}
	if p.next > p.match+maxInflightEntries || p.unackedBytes >= maxInflightBytes {
		return false
	}
	return p.next <= last || p.sentCommit < committed
}

// acknowledge records that the member has synced its log up to index and
// switches to stateReplicate.
func (p *progress) acknowledge(index uint64, now time.Time) {
	if index > p.match {
		p.match = index
		p.lastProgress = now
		p.unackedBytes = 0
	}
	p.next = max(p.next, p.match+1)
	p.state = stateReplicate
	p.paused = false
}
