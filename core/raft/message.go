package raft

import (
	"cmp"
	"fmt"
)

// ReplicaID identifies one data directory of one host. The incarnation is drawn
// at random when the directory is created, so a host that lost its disk returns
// under another identity and can never vote or acknowledge as the lost replica.
type ReplicaID struct {
	ID          uint64 `msgpack:"i"` // configured number of the host, never zero
	Incarnation uint64 `msgpack:"n"` // random number of the data directory, never zero
}

// IsZero reports whether the identity is unset.
func (r ReplicaID) IsZero() bool { return r == ReplicaID{} }

// String returns the identity as id/incarnation.
func (r ReplicaID) String() string { return fmt.Sprintf("%d/%x", r.ID, r.Incarnation) }

// compareReplicas orders identities by ID, then by incarnation.
func compareReplicas(a, b ReplicaID) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// EntryType is the kind of a log entry.
type EntryType uint8

// The types of entries.
const (
	// EntryCommand holds a command of the state machine. A new leader appends
	// one with an empty command to start its term.
	EntryCommand EntryType = iota
	// EntryMembership holds an encoded Membership.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Type  EntryType `msgpack:"y,omitempty"`
	Data  []byte    `msgpack:"d,omitempty"`
}

// HardState is the part of a replica's state, besides the log, that must
// survive a restart.
type HardState struct {
	Term   uint64    `msgpack:"t"`
	Vote   ReplicaID `msgpack:"v"`
	Commit uint64    `msgpack:"c"` // a lower bound of the commit index
}

// Snapshot is the state after entry Index; it replaces all entries up to there.
type Snapshot struct {
	Index      uint64     `msgpack:"i"`
	Term       uint64     `msgpack:"t"`
	Membership Membership `msgpack:"m"`
	Data       []byte     `msgpack:"d"`
}

// IsEmpty reports whether there is no snapshot.
func (s Snapshot) IsEmpty() bool { return s.Index == 0 }

// MessageType is the kind of a message.
type MessageType uint8

// The types of messages.
const (
	// MsgProbe asks whether the receiver is blank; a leader also takes it as a
	// request to add the sender as a learner. It is sent by a replica that has
	// no leader and either is no voter, has committed nothing or may have been
	// replaced.
	MsgProbe MessageType = iota + 1
	// MsgProbeResp answers MsgProbe. Blank is set if its sender's log has never
	// held an entry.
	MsgProbeResp
	// MsgPreVote asks whether the receiver would grant its vote in Term; it
	// changes no state of the receiver.
	MsgPreVote
	// MsgPreVoteResp answers MsgPreVote.
	MsgPreVoteResp
	// MsgVote requests the vote in Term.
	MsgVote
	// MsgVoteResp answers MsgVote.
	MsgVoteResp
	// MsgAppend replicates Entries, which follow the entry (Index, LogTerm).
	MsgAppend
	// MsgAppendResp acknowledges that the log is synced up to Index, or rejects
	// a message of an older term or an append that doesn't match the log.
	MsgAppendResp
	// MsgHeartbeat stops followers from campaigning; its responses renew the
	// leader's lease and confirm reads.
	MsgHeartbeat
	// MsgHeartbeatResp echoes the Round of MsgHeartbeat; Index is the last one
	// passed to SetDataIndex.
	MsgHeartbeatResp
	// MsgSnapshot sends Snapshot to a member that needs entries which the
	// leader has compacted.
	MsgSnapshot
	// MsgReadIndex forwards a follower's read request to the leader.
	MsgReadIndex
	// MsgReadIndexResp answers MsgReadIndex with the index that must be applied
	// before the read.
	MsgReadIndexResp
	// MsgTransfer is sent by a leader that has stepped down; the receiver
	// campaigns at once.
	MsgTransfer
)

// Message is one message between two replicas of a group. Fields that its Type
// does not use are zero.
type Message struct {
	Type     MessageType `msgpack:"y"`
	From     ReplicaID   `msgpack:"f"`
	To       ReplicaID   `msgpack:"o"` // on MsgProbe the incarnation is zero: any incarnation of the host
	Term     uint64      `msgpack:"t,omitempty"`
	Index    uint64      `msgpack:"i,omitempty"`
	LogTerm  uint64      `msgpack:"l,omitempty"`
	Commit   uint64      `msgpack:"c,omitempty"`
	Hint     uint64      `msgpack:"h,omitempty"` // on a rejected append: the entry to send next
	Round    uint64      `msgpack:"r,omitempty"` // number of the heartbeat round, echoed by the response
	Token    uint64      `msgpack:"k,omitempty"` // identifies a read request, echoed by the response
	Reject   bool        `msgpack:"x,omitempty"`
	Blank    bool        `msgpack:"b,omitempty"`
	Transfer bool        `msgpack:"a,omitempty"` // on MsgVote: the leader of the previous term has stepped down
	Entries  []Entry     `msgpack:"e,omitempty"`
	Snapshot *Snapshot   `msgpack:"s,omitempty"`
}

// ReadState reports that a state machine which has applied Index may serve the
// read request Token.
type ReadState struct {
	Token uint64
	Index uint64
}
