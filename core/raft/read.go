package raft

// readRequest is a read that waits for the responses to a heartbeat round.
type readRequest struct {
	token uint64
	from  ReplicaID
	index uint64 // zero until the leader has committed an entry of its term
	round uint64 // first heartbeat round sent after the request
}

// ReadIndex requests an index that covers everything committed before the call.
// The result is a ReadState with the token. It is lost if the leader changes, a
// message is dropped or too many reads are pending; the caller must then ask
// again. Tokens must not repeat, even across restarts of one incarnation.
func (r *Raft) ReadIndex(token uint64) {
	switch {
	case r.role == Leader:
		r.addRead(token, r.id)
	case !r.leader.IsZero():
		r.send(Message{Type: MsgReadIndex, To: r.leader, Token: token})
	}
}

func (r *Raft) handleReadIndex(m Message) {
	if r.role == Leader {
		r.addRead(m.Token, m.From)
	}
}

func (r *Raft) addRead(token uint64, from ReplicaID) {
	if len(r.pendingReads) >= maxPendingReads {
		return
	}
	read := readRequest{token: token, from: from, round: r.lastRound + 1}
	if r.log.committed >= r.termStartIndex {
		read.index = r.log.committed
	}
	r.pendingReads = append(r.pendingReads, read)
}

// advanceReads sends a heartbeat round if the oldest pending read needs one, and
// otherwise answers the reads that are confirmed. Reads that arrive during a
// round are batched: the next round is sent once the current one has confirmed
// the reads before them.
func (r *Raft) advanceReads() {
	if r.role != Leader || len(r.pendingReads) == 0 {
		return
	}
	if r.log.committed >= r.termStartIndex {
		for i := range r.pendingReads {
			if r.pendingReads[i].index == 0 {
				r.pendingReads[i].index = r.log.committed
			}
		}
	}
	if r.pendingReads[0].round > r.lastRound {
		r.sendRound()
		return
	}
	r.confirmReads(r.confirmedRound())
}

// confirmReads answers the pending reads up to the confirmed round.
func (r *Raft) confirmReads(confirmed uint64) {
	done := 0
	for done < len(r.pendingReads) && r.pendingReads[done].round <= confirmed && r.pendingReads[done].index > 0 {
		done++
	}
	for _, read := range r.pendingReads[:done] {
		if read.from == r.id {
			r.readStates = append(r.readStates, ReadState{Token: read.token, Index: read.index})
			continue
		}
		r.send(Message{Type: MsgReadIndexResp, To: read.from, Token: read.token, Index: read.index})
	}
	r.pendingReads = r.pendingReads[done:]
}
