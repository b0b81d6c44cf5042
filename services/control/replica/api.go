// Package replica runs Raft replicas. It connects the consensus algorithm of
// core/raft to a write-ahead log (infra/wal), a transport and a state machine.
// One process can run replicas of any number of independent groups.
package replica

import (
	"time"

	"banyanwalk/core/raft"
	"banyanwalk/infra/durable"
)

// StateMachine is the replicated state of one group. All its methods are called
// from the same goroutine.
type StateMachine interface {
	// Apply executes a committed command. If the command was proposed by this
	// process, Replica.Propose returns the result.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state with one encoded by Snapshot.
	Restore(snapshot []byte) error
}

// Transport sends messages to a group's replica on another host. Send must not
// block; messages may be dropped, delayed, duplicated or reordered.
type Transport interface {
	Send(group uint32, to uint64, messages []raft.Message)
}

// Logger records an event with alternating keys and values.
type Logger interface {
	Event(name string, keyValues ...any)
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = 600 * time.Millisecond
	DefaultSnapshotEvery     = 10_000 // entries
)

// Config configures one replica. Zero durations and counts select the defaults.
type Config struct {
	Group             uint32
	ID                uint64   // of this host; must not be zero
	Peers             []uint64 // IDs of the configured voters, including ID
	Dir               string   // data directory, not shared with other groups
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // lower bound; each timeout is drawn from [1, 2) times this
	SnapshotEvery     int           // applied entries between snapshots
	SnapshotBytes     int           // size of applied commands between snapshots; 0: unlimited
	Logger            Logger        // nil: events are discarded
	FS                durable.FS    // nil: the file system of the operating system
	// DataComplete reports whether this host holds all data that applied entries
	// refer to but that is stored outside the log. A learner is not promoted to
	// voter while it returns false. Nil means that there is no such data.
	DataComplete func() bool

	// VoterCount, ReplaceAfter and Joining control open membership; see
	// raft.Config.
	VoterCount   int
	ReplaceAfter time.Duration
	NoLease      bool // disables the leader lease, so LeaseValid is always false; see raft.Config
	Joining      bool
	SaveCommit   bool // saves the commit index whenever it advances; see raft.Config
}

// Status is a snapshot of a replica's state.
type Status struct {
	ID          uint64
	Incarnation uint64
	Leader      uint64 // 0: unknown
	Term        uint64
	Commit      uint64
	Applied     uint64
	IsLeader    bool
	LeaseUntil  time.Time // end of the leader lease, on the process's monotonic clock; zero unless IsLeader
	DiskFailing bool      // the disk refuses writes, so this replica takes no part in elections and commits
	Blank       bool      // it has no data and no group has admitted it yet
	Voters      []raft.ReplicaID
	Outgoing    []raft.ReplicaID // previous voters while a membership change is in progress, else empty
	Learners    []raft.ReplicaID
}
