package raft

// Ready is the work that the caller has to do next. The package documentation
// states the order.
type Ready struct {
	HardState          *HardState  // to save, nil when unchanged
	Snapshot           *Snapshot   // to save and to restore the state machine from; it replaces the log
	Entries            []Entry     // to save; they replace saved entries from Entries[0].Index on
	MustSync           bool        // the state to save must be synced before Messages are sent
	MessagesBeforeSync []Message   // may be sent before the sync
	Messages           []Message   // to send after the sync
	Committed          []Entry     // to apply, after Snapshot
	ReadStates         []ReadState // reads that may be served once their index is applied
}

// maxCommittedBytes limits the command bytes in Ready.Committed.
const maxCommittedBytes = 4 << 20

// HasReady reports whether Ready would return anything.
func (r *Raft) HasReady() bool {
	return len(r.msgs) > 0 || len(r.readStates) > 0 || r.receivedSnapshot != nil ||
		r.log.stable < r.log.lastIndex() || r.log.returned < r.log.committed ||
		r.hardState().mustSave(r.savedHardState) || r.mustSaveCommit() || r.hasAppends() || r.readsNeedRound()
}

func (r *Raft) readsNeedRound() bool {
	return r.role == Leader && len(r.pendingReads) > 0 && r.pendingReads[0].round > r.lastRound
}

func (r *Raft) hasAppends() bool {
	if r.role != Leader {
		return false
	}
	for id, p := range r.progress {
		if id != r.id && p.shouldSendAppend(r.log.lastIndex(), r.log.committed) {
			return true
		}
	}
	return false
}

func (r *Raft) hardState() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
}

// mustSave reports whether the term or the vote has changed. A change of only
// the commit index forces no write; it is saved along with other changes.
func (h HardState) mustSave(saved HardState) bool {
	return h.Term != saved.Term || h.Vote != saved.Vote
}

// mustSaveCommit reports whether the commit index has advanced and is to be saved.
func (r *Raft) mustSaveCommit() bool {
	return r.cfg.SaveCommit && r.log.committed > r.savedHardState.Commit
}

// Ready returns the pending work. The caller must call Advance once it is saved.
func (r *Raft) Ready() Ready {
	r.advanceReads()
	if r.role == Leader {
		r.sendAppends()
	}
	var ready Ready
	hardStateChanged := r.hardState().mustSave(r.savedHardState)
	ready.Snapshot = r.receivedSnapshot
	r.receivedSnapshot = nil
	ready.Entries = r.log.slice(r.log.stable+1, r.log.lastIndex(), int(^uint(0)>>1))
	ready.MustSync = hardStateChanged || r.mustSaveCommit() || ready.Snapshot != nil || len(ready.Entries) > 0
	if ready.MustSync {
		hs := r.hardState()
		ready.HardState = &hs
		r.savedHardState = hs
	}
	ready.MessagesBeforeSync, ready.Messages = r.splitMessages(hardStateChanged)
	r.msgs = nil
	if r.log.returned < r.log.committed {
		ready.Committed = r.log.slice(r.log.returned+1, r.log.committed, maxCommittedBytes)
		r.log.returned = ready.Committed[len(ready.Committed)-1].Index
	}
	ready.ReadStates = r.readStates
	r.readStates = nil
	return ready
}

// splitMessages separates the messages that may be sent before the sync: a
// leader's replication messages, if its term is already saved.
func (r *Raft) splitMessages(hardStateChanged bool) (early, late []Message) {
	if hardStateChanged {
		return nil, r.msgs
	}
	for i := range r.msgs {
		switch r.msgs[i].Type {
		case MsgAppend, MsgHeartbeat, MsgSnapshot:
			early = append(early, r.msgs[i])
		default:
			late = append(late, r.msgs[i])
		}
	}
	return early, late
}

// Advance reports that everything in the last Ready is saved and synced.
func (r *Raft) Advance(ready Ready) {
	if ready.HardState != nil {
		r.syncedHardState = *ready.HardState
	}
	if n := len(ready.Entries); n > 0 {
		r.log.stable = ready.Entries[n-1].Index
	}
	if r.role == Leader {
		r.maybeCommit()
	}
}

// Status is a copy of the state of a replica.
type Status struct {
	ID                  ReplicaID
	Role                Role
	Term                uint64
	Leader              ReplicaID // zero if unknown
	LastIndex           uint64
	Commit              uint64
	Blank               bool
	Membership          Membership // the latest, committed or not
	CommittedMembership Membership // the latest committed
}

// Status returns the current state.
func (r *Raft) Status() Status {
	return Status{
		ID:                  r.id,
		Role:                r.role,
		Term:                r.term,
		Leader:              r.leader,
		LastIndex:           r.log.lastIndex(),
		Commit:              r.log.committed,
		Blank:               r.log.isBlank(),
		Membership:          r.log.membership(),
		CommittedMembership: r.log.membershipUpTo(r.log.committed),
	}
}
