package raft

import "time"

// MayStepWhileSaving reports whether Step may handle a message of this type
// between Ready and Advance. The handlers of these types neither append
// received entries nor replace the log, so the state that is being saved stays
// valid.
func MayStepWhileSaving(t MessageType) bool {
	switch t {
	case MsgHeartbeat, MsgHeartbeatResp, MsgAppendResp, MsgReadIndex, MsgReadIndexResp:
		return true
	default:
		return false
	}
}

// TickWhileSaving advances the time between Ready and Advance. Only a leader's
// timers run: a follower without a working disk must not campaign.
func (r *Raft) TickWhileSaving(now time.Time) {
	r.advanceClock(now)
	if r.role == Leader {
		r.tickLeader()
	}
}

// MessagesWhileSaving returns the messages that may be sent between Ready and
// Advance: those that promise nothing beyond the term that is already synced. The
// others stay queued for the next Ready.
func (r *Raft) MessagesWhileSaving() []Message {
	if r.hardState().mustSave(r.syncedHardState) {
		return nil
	}
	var urgent, later []Message
	for i := range r.msgs {
		if needsNoSave(r.msgs[i].Type) {
			urgent = append(urgent, r.msgs[i])
		} else {
			later = append(later, r.msgs[i])
		}
	}
	r.msgs = later
	return urgent
}

// needsNoSave reports whether a message relies on no state but the term.
func needsNoSave(t MessageType) bool {
	switch t {
	case MsgHeartbeat, MsgHeartbeatResp, MsgReadIndex, MsgReadIndexResp, MsgTransfer:
		return true
	default:
		return false
	}
}
