package replica

import (
	"sync/atomic"
	"time"
)

// readCall is one caller of ReadIndex.
type readCall struct {
	done  chan uint64 // holds one index
	ended atomic.Bool // the caller has gone
}

func (c *readCall) finish(index uint64) { c.done <- index }

// readRound is a group of calls that share one request to the leader.
type readRound struct {
	token   uint64
	asked   time.Time
	callers []*readCall
}

// startReads asks the leader on behalf of all calls that wait.
func (r *Replica) startReads(now time.Time) {
	calls := r.reads.take()
	if len(calls) == 0 {
		return
	}
	r.nextToken++
	r.rounds = append(r.rounds, &readRound{token: r.nextToken, asked: now, callers: calls})
	r.core.ReadIndex(r.nextToken)
}

// repeatReads asks again for rounds whose answer may be lost, and forgets the
// rounds that nobody waits for any more.
func (r *Replica) repeatReads(now time.Time) {
	kept := r.rounds[:0]
	for _, round := range r.rounds {
		if !round.isWanted() {
			continue
		}
		kept = append(kept, round)
		if now.Sub(round.asked) >= 2*r.cfg.HeartbeatInterval {
			round.asked = now
			r.core.ReadIndex(round.token)
		}
	}
	r.rounds = kept
}

// hurryReads makes all rounds ask again at the next tick: a leader has come.
func (r *Replica) hurryReads() {
	for _, round := range r.rounds {
		round.asked = time.Time{}
	}
}

func (r *readRound) isWanted() bool {
	for _, c := range r.callers {
		if !c.ended.Load() {
			return true
		}
	}
	return false
}

// confirmRead passes a round whose index is known to the applier.
func (r *Replica) confirmRead(token, index uint64) {
	for i, round := range r.rounds {
		if round.token != token {
			continue
		}
		r.rounds = append(r.rounds[:i], r.rounds[i+1:]...)
		r.applier.add(task{confirm: &confirmedRead{index: index, callers: round.callers}})
		return
	}
}
