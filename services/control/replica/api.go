// Package replica runs replicas of any number of independent groups in one
// process: it binds the consensus of core/raft to the files of infra/wal, a
// transport and a state machine.
package replica

import (
	"time"

	"banyanwalk/core/raft"
)

// StateMachine is the replicated state of one group. It is called from one
// goroutine only.
type StateMachine interface {
	// Apply executes a committed command. The result is returned to the
	// proposer when the command was proposed on this process.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by an encoded one.
	Restore(snapshot []byte) error
}

// Transport sends messages to the replica of a group on another host. It never
// blocks and may drop, delay, duplicate or reorder messages.
type Transport interface {
	Send(group uint32, to uint64, messages []raft.Message)
}

// Logger takes one event with alternating keys and values.
type Logger interface {
	Event(name string, keyValues ...any)
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = 600 * time.Millisecond
	DefaultSnapshotEvery     = 10_000 // entries
)

// Config describes one replica. Zero durations and counts mean the defaults.
type Config struct {
	Group             uint32
	ID                uint64   // of this host, never zero
	Peers             []uint64 // configured voters, with ID
	Dir               string   // data folder of this group only
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // lower bound; drawn anew up to twice of it
	SnapshotEvery     int           // entries applied between snapshots
	SnapshotBytes     int           // commands applied between snapshots; 0: no bound
	Logger            Logger        // nil: no events
	// Complete reports whether this host holds all data that applied entries
	// name outside the log. While it does not, a learner gets no vote. Nil
	// means that there is no such data.
	Complete func() bool

	// Voters, ReplaceAfter and Joining open the membership: see raft.Config.
	Voters       int
	ReplaceAfter time.Duration
	NoLease      bool // nobody relies on LeaseValid: see raft.Config
	Joining      bool
}

// Status is the state of a replica at one moment.
type Status struct {
	ID          uint64
	Incarnation uint64
	Leader      uint64 // zero: none known
	Term        uint64
	Commit      uint64
	Applied     uint64
	IsLeader    bool
	LeaseUntil  time.Time // zero unless IsLeader; monotonic clock of this process
	Blank       bool      // the folder is blank and no group has taken it in yet
	Voters      []raft.ReplicaID
	Outgoing    []raft.ReplicaID // not empty: a change of voters is in progress
	Learners    []raft.ReplicaID
}
