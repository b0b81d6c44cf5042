package raft

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Propose and RemoveHost.
var (
	// ErrNotLeader means that the command was not appended.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrOverloaded means that too many entries are uncommitted; the command
	// was not appended. RemoveHost returns it while another membership change
	// is in progress or the leader has committed no entry of its own term yet.
	ErrOverloaded = errors.New("raft: too many uncommitted entries")
	// ErrEmptyCommand means that the command has no bytes.
	ErrEmptyCommand = errors.New("raft: empty command")
)

// Role is the role of a replica in its current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

const (
	maxAppendBytes        = 1 << 20 // command bytes in one MsgAppend
	maxInflightEntries    = 4096    // entries sent to a member beyond its last acknowledged one
	maxInflightBytes      = 8 << 20 // command bytes sent to a member since its last acknowledgement
	maxUncommittedEntries = 1 << 16 // entries in a leader's log after the commit index
	maxPendingReads       = 1 << 16 // read requests waiting for a heartbeat round
	leaseMarginPercent    = 10      // of the election timeout; allows for differences in clock rate
	stallAllowance        = 3       // heartbeat intervals that a follower waits after it was stalled itself
)

// Config describes one replica and the state recovered from its data directory.
type Config struct {
	ID                ReplicaID
	Peers             []uint64      // configured voters, including this replica
	ElectionTimeout   time.Duration // each timeout is drawn from this value up to twice this value
	HeartbeatInterval time.Duration
	Rand              *rand.Rand // for election timeouts
	Now               time.Time
	AwaitData         bool // as a learner, don't become a voter before SetDataIndex reports its data
	// NoLease disables the leader lease: LeaseUntil stays zero. A restarted
	// replica then needn't wait for the end of a leader's lease: it votes at
	// once and campaigns after one to three heartbeat intervals.
	NoLease bool

	// SaveCommit saves the commit index whenever it advances, not only along with
	// other changes. A restarted replica then knows at once nearly all entries that
	// were committed, at the price of a sync for each of them.
	SaveCommit bool

	// VoterCount, if not 0, opens the membership: any host that asks becomes a
	// learner, and learners are promoted until there are this many voters. A
	// voter that has not answered for ReplaceAfter is replaced by a learner of
	// another host.
	VoterCount   int
	ReplaceAfter time.Duration
	Joining      bool // never bootstrap a group, only join one

	HardState HardState
	Snapshot  Snapshot // Data is kept in memory for members that need entries before the log
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

	dataIndex    uint64   // index up to which this replica holds the data that entries refer to
	retiredHosts []uint64 // hosts that should not be voters

	leader                ReplicaID
	lastLeaderContact     time.Time // time of the last contact with a leader, or of the restart
	electionTimerStart    time.Time
	lastTick              time.Time
	allowedForStall       bool // since the last contact with a leader
	electionTimerDuration time.Duration
	electionsLost         int // campaigns as a candidate since the last contact with a leader
	votes                 map[ReplicaID]bool
	blankPeers            map[uint64]blankPeer // peers that answered a probe as blank, by host
	lastProbe             time.Time

	// Leader only.
	progress          map[ReplicaID]*progress
	lastRound         uint64 // number of the last heartbeat round sent
	unconfirmedRounds []roundTime
	lastHeartbeat     time.Time // when the last heartbeat round was sent
	leaseStart        time.Time // send time of the last round that a quorum answered
	termStartIndex    uint64    // index of the empty entry that starts this leader's term
	pendingReads      []readRequest

	msgs             []Message
	readStates       []ReadState
	receivedSnapshot *Snapshot // installed from the leader, not yet returned by Ready
	savedHardState   HardState // last HardState returned by Ready
	syncedHardState  HardState // last HardState for which Advance was called
}

// New returns a replica in the state recovered from its data directory.
func New(cfg Config) (*Raft, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := newLog(cfg.HardState, cfg.Snapshot, cfg.Entries)
	if err != nil {
		return nil, err
	}
	r := &Raft{
		cfg:             cfg,
		id:              cfg.ID,
		now:             cfg.Now,
		term:            cfg.HardState.Term,
		vote:            cfg.HardState.Vote,
		log:             log,
		blankPeers:      map[uint64]blankPeer{},
		savedHardState:  cfg.HardState,
		syncedHardState: cfg.HardState,
	}
	if !cfg.AwaitData {
		r.dataIndex = math.MaxUint64
	}
	r.cfg.Entries = nil
	r.cfg.Snapshot = Snapshot{}
	r.resetTimer()
	switch {
	case log.isBlank():
	case cfg.NoLease:
		// A live leader sends a heartbeat before this timer expires.
		r.setShortTimer()
	default:
		r.lastLeaderContact = cfg.Now
	}
	return r, nil
}

// Tick advances the time and runs the timers. Call it several times per
// heartbeat interval.
func (r *Raft) Tick(now time.Time) {
	r.advanceClock(now)
	if !r.lastTick.IsZero() && r.now.Sub(r.lastTick) >= r.cfg.ElectionTimeout/2 {
		r.allowForStall()
	}
	r.lastTick = r.now
	if r.role == Leader {
		r.tickLeader()
		return
	}
	isVoter := r.log.membership().IsVoter(r.id)
	if !isVoter || r.log.committed == 0 || r.mayHaveBeenReplaced() {
		r.probePeers()
	}
	if isVoter && r.now.Sub(r.electionTimerStart) >= r.electionTimerDuration {
		r.campaign(PreCandidate)
	}
}

// allowForStall gives the leader time for a heartbeat after this replica itself was
// stalled, once after each contact with the leader.
func (r *Raft) allowForStall() {
	if r.allowedForStall {
		return
	}
	r.allowedForStall = true
	earliest := r.now.Add(stallAllowance*r.cfg.HeartbeatInterval - r.electionTimerDuration)
	if r.electionTimerStart.Before(earliest) {
		r.electionTimerStart = earliest
	}
}

func (r *Raft) advanceClock(now time.Time) {
	if now.After(r.now) {
		r.now = now
	}
}

// Step handles a message from another replica. Messages for another host are
// dropped, and so are messages other than MsgProbe for another incarnation.
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
		if r.updateTerm(m) {
			r.stepCurrentTerm(m)
		}
	}
}

// updateTerm adopts the term of a message if it is higher than the current one
// and reports whether the message should be handled in the current term. A
// granted pre-vote carries the next term, which is not adopted.
func (r *Raft) updateTerm(m Message) bool {
	fromLeader := m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot
	switch {
	case m.Term < r.term:
		if fromLeader {
			// The sender is a leader of an older term; the higher term in the
			// response makes it step down.
			r.send(Message{Type: MsgAppendResp, To: m.From, Reject: true, Index: m.Index})
		}
		return false
	case m.Term > r.term && m.Type == MsgPreVoteResp && !m.Reject:
		return m.Term == r.term+1
	case m.Term > r.term:
		r.becomeFollower(m.Term, ReplicaID{})
	}
	if fromLeader {
		r.acceptLeader(m.From)
	}
	return true
}

func (r *Raft) stepCurrentTerm(m Message) {
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

// send queues a message, in the current term unless m.Term is set.
func (r *Raft) send(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.term
	}
	r.msgs = append(r.msgs, m)
}

// Propose appends a command to the leader's log and returns its position. The
// command takes effect if the entry committed at this index has this term.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	switch {
	case r.role != Leader:
		return 0, 0, ErrNotLeader
	case len(data) == 0:
		return 0, 0, ErrEmptyCommand
	case r.log.lastIndex()-r.log.committed >= maxUncommittedEntries:
		return 0, 0, ErrOverloaded
	}
	return r.appendAsLeader(EntryCommand, data), r.term, nil
}

func (r *Raft) appendAsLeader(t EntryType, data []byte) uint64 {
	index := r.log.lastIndex() + 1
	r.log.appendEntries([]Entry{{Index: index, Term: r.term, Type: t, Data: data}})
	return index
}

// Compact records that the caller has saved s, a snapshot of the state after
// entry s.Index. Entries up to keepAfter, at most s.Index, are dropped from
// memory.
func (r *Raft) Compact(s Snapshot, keepAfter uint64) { r.log.compact(s, keepAfter) }

// SnapshotAt returns the metadata of a snapshot at the committed index; the
// caller fills in Data.
func (r *Raft) SnapshotAt(index uint64) (Snapshot, error) {
	term, ok := r.log.term(index)
	if !ok || index > r.log.committed {
		return Snapshot{}, errors.Newf("raft: no committed entry %d", index)
	}
	return Snapshot{Index: index, Term: term, Membership: r.log.membershipUpTo(index)}, nil
}
