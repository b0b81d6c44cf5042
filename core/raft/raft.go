package raft

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Propose.
var (
	// ErrNotLeader means that the command was not appended.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrOverloaded means that too much is waiting for a quorum; the command
	// was not appended.
	ErrOverloaded = errors.New("raft: too many uncommitted entries")
	// ErrEmpty means that the command has no bytes.
	ErrEmpty = errors.New("raft: empty command")
)

// Role is the part that a replica plays in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

const (
	maxAppendBytes     = 1 << 20 // data of one MsgAppend
	maxInflightEntries = 4096    // sent ahead of a member's acknowledgements
	maxInflightBytes   = 8 << 20 // of entries, sent without any acknowledgement
	maxUncommitted     = 1 << 16 // entries of a leader waiting for a quorum
	maxWaitingReads    = 1 << 16 // read requests waiting for a round
	leaseMarginPercent = 10      // of the election timeout, for clock rates
)

// Config describes one replica and the state that it recovered from its folder.
type Config struct {
	ID                ReplicaID
	Peers             []uint64      // configured voters, with the own ID
	ElectionTimeout   time.Duration // lower bound; drawn anew up to twice of it
	HeartbeatInterval time.Duration
	Rand              *rand.Rand // for election timeouts
	Now               time.Time
	HoldVote          bool // as a learner, take no vote before SetComplete
	// NoLease is set where nobody relies on LeaseUntil, which then stays zero. A
	// replica that starts again need not wait for the end of a leader's lease:
	// it votes at once and soon campaigns.
	NoLease bool

	// Voters, if not 0, opens the membership: any host that asks becomes a
	// learner, and so many hosts are kept as voters. A voter that has been
	// silent for ReplaceAfter yields its vote to a learner of another host.
	Voters       int
	ReplaceAfter time.Duration
	Joining      bool // never form a group, only join one

	HardState HardState
	Snapshot  Snapshot // Data is kept for members that lag behind the log
	Entries   []Entry  // after Snapshot
}

func (c *Config) validate() error {
	switch {
	case c.ID.ID == 0 || c.ID.Incarnation == 0:
		return errors.New("raft: identity without ID or incarnation")
	case !slices.Contains(c.Peers, c.ID.ID):
		return errors.Newf("raft: peers %v without own ID %d", c.Peers, c.ID.ID)
	case c.HeartbeatInterval <= 0 || c.ElectionTimeout <= 2*c.HeartbeatInterval:
		return errors.New("raft: election timeout must exceed two heartbeat intervals")
	case c.Rand == nil:
		return errors.New("raft: no source of randomness")
	}
	return nil
}

// Raft is one replica of one group. It is not safe for concurrent use.
type Raft struct {
	cfg  Config
	id   ReplicaID
	now  time.Time
	role Role
	term uint64
	vote ReplicaID
	log  *raftLog

	complete uint64   // index up to which all data outside the log is here
	retired  []uint64 // hosts that are to have no vote

	leader       ReplicaID
	heard        time.Time // last contact with a leader, or the restart
	timerStart   time.Time
	timerTimeout time.Duration
	votes        map[ReplicaID]bool
	blankPeers   map[uint64]blankPeer // answers to probes while blank
	probed       time.Time

	// Leader only.
	progress  map[ReplicaID]*progress
	round     uint64 // last heartbeat round sent
	rounds    []roundTime
	heartbeat time.Time // when the last round was sent
	elected   time.Time
	leaseFrom time.Time // send time of the last round that a quorum answered
	opened    uint64    // index of the entry that opened the term
	reads     []readRequest

	msgs       []Message
	readStates []ReadState
	installed  *Snapshot // received, not yet returned by Ready
	saved      HardState // last one returned by Ready
}

// New returns a replica in the state recovered from its folder.
func New(cfg Config) (*Raft, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := newLog(cfg.HardState, cfg.Snapshot, cfg.Entries)
	if err != nil {
		return nil, err
	}
	r := &Raft{
		cfg:        cfg,
		id:         cfg.ID,
		now:        cfg.Now,
		term:       cfg.HardState.Term,
		vote:       cfg.HardState.Vote,
		log:        log,
		blankPeers: map[uint64]blankPeer{},
		saved:      cfg.HardState,
	}
	if !cfg.HoldVote {
		r.complete = math.MaxUint64
	}
	r.cfg.Entries = nil
	r.cfg.Snapshot = Snapshot{}
	r.resetTimer()
	switch {
	case log.isBlank():
	case cfg.NoLease:
		// A leader that is there makes itself heard before.
		interval := int64(cfg.HeartbeatInterval)
		r.timerTimeout = time.Duration(interval + cfg.Rand.Int64N(2*interval))
	default:
		r.heard = cfg.Now
	}
	return r, nil
}

// Tick lets time pass. It is to be called several times per heartbeat interval.
func (r *Raft) Tick(now time.Time) {
	r.advanceClock(now)
	if r.role == Leader {
		r.tickLeader()
		return
	}
	isVoter := r.log.membership().IsVoter(r.id)
	if !isVoter || r.log.committed == 0 || r.maybeReplaced() {
		r.tickOutsider()
	}
	if isVoter && r.now.Sub(r.timerStart) >= r.timerTimeout {
		r.campaign(PreCandidate)
	}
}

func (r *Raft) advanceClock(now time.Time) {
	if now.After(r.now) {
		r.now = now
	}
}

// Step handles a message from another replica. Messages for another host or
// incarnation are dropped.
func (r *Raft) Step(now time.Time, m Message) {
	r.advanceClock(now)
	if m.To.ID != r.id.ID || m.From.ID == r.id.ID || m.From.IsZero() {
		return
	}
	if m.Type == MsgProbe {
		r.handleProbe(m)
		return
	}
	if m.To != r.id {
		return
	}
	switch m.Type {
	case MsgProbeResp:
		r.handleProbeResp(m)
	case MsgReadIndex:
		r.handleReadIndex(m)
	case MsgReadIndexResp:
		r.readStates = append(r.readStates, ReadState{Token: m.Token, Index: m.Index})
	case MsgPreVote, MsgVote:
		r.handleVote(m)
	default:
		if r.admitTerm(m) {
			r.stepTerm(m)
		}
	}
}

// admitTerm compares the term of a message with the own one, follows a higher
// term, and reports whether the message is of the current term after that.
func (r *Raft) admitTerm(m Message) bool {
	fromLeader := m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot
	switch {
	case m.Term < r.term:
		if fromLeader {
			// The sender may lead a term that is over; the answer tells it.
			r.send(Message{Type: MsgAppendResp, To: m.From, Reject: true, Index: m.Index})
		}
		return false
	case m.Term > r.term && m.Type == MsgPreVoteResp && !m.Reject:
		return m.Term == r.term+1
	case m.Term > r.term:
		r.becomeFollower(m.Term, ReplicaID{})
	}
	if fromLeader {
		r.follow(m.From)
	}
	return true
}

func (r *Raft) stepTerm(m Message) {
	switch m.Type {
	case MsgPreVoteResp, MsgVoteResp:
		r.handleVoteResp(m)
	case MsgAppend:
		r.handleAppend(m)
	case MsgHeartbeat:
		r.handleHeartbeat(m)
	case MsgSnapshot:
		r.handleSnapshot(m)
	case MsgAppendResp:
		r.handleAppendResp(m)
	case MsgHeartbeatResp:
		r.handleHeartbeatResp(m)
	case MsgTransfer:
		r.handleTransfer()
	}
}

// send queues a message of the current term.
func (r *Raft) send(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.term
	}
	r.msgs = append(r.msgs, m)
}

// Propose appends a command to the log of the leader and returns its position.
// The command is executed if an entry of this term is committed at this index.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	switch {
	case r.role != Leader:
		return 0, 0, ErrNotLeader
	case len(data) == 0:
		return 0, 0, ErrEmpty
	case r.log.lastIndex()-r.log.committed >= maxUncommitted:
		return 0, 0, ErrOverloaded
	}
	return r.appendAsLeader(EntryCommand, data), r.term, nil
}

func (r *Raft) appendAsLeader(t EntryType, data []byte) uint64 {
	index := r.log.lastIndex() + 1
	r.log.appendEntries([]Entry{{Index: index, Term: r.term, Type: t, Data: data}})
	return index
}

// Compact tells that the caller has saved s, made from the state after entry
// s.Index. Entries up to keepAfter are dropped from memory.
func (r *Raft) Compact(s Snapshot, keepAfter uint64) { r.log.compact(s, keepAfter) }

// SnapshotAt returns a snapshot without data of the applied position index.
func (r *Raft) SnapshotAt(index uint64) (Snapshot, error) {
	term, ok := r.log.term(index)
	if !ok || index > r.log.committed {
		return Snapshot{}, errors.Newf("raft: no committed entry %d", index)
	}
	return Snapshot{Index: index, Term: term, Membership: r.log.membershipUpTo(index)}, nil
}
