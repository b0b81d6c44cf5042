package rollout

import "time"

const (
	// grantLogMS is the least time between two log entries with grants, in milliseconds.
	grantLogMS = 100
	// totalsMS is how often the totals are logged when no grant is.
	totalsMS = 1000
	// reserveFactor is how many times the wanted number is logged at once. What is logged
	// and not handed out is lost with the leader.
	reserveFactor = 2
	// processesPerRoom is among how many processes what can be granted is divided at
	// least, so that the first one that asks does not get all of it.
	processesPerRoom = 4
)

// Leader is what the leader of the control group keeps of one active rollout besides the
// record. A new leader starts an empty one. It is not safe for concurrent use.
type Leader struct {
	bounds   Bounds
	ledger   *Ledger
	memory   Memory
	decision Decision
	pool     uint64 // requests that are logged as granted and not handed out
	loggedMS int64  // time of the last log entry with totals
}

// NewLeader returns the state of a leader that begins to gather evidence.
func NewLeader(nowMS int64, r Rollout, b Bounds) *Leader {
	return &Leader{bounds: b, ledger: NewLedger(nowMS, r)}
}

// Serves reports whether the state belongs to the rollout.
func (l *Leader) Serves(r *Rollout) bool { return l.ledger.Serves(r) }

// Sum returns the evidence of all processes.
func (l *Leader) Sum() Sum { return l.ledger.Sum() }

// Decision returns the last decision.
func (l *Leader) Decision() Decision { return l.decision }

// Report takes a process's evidence. Requests that it let expire can be handed out again.
func (l *Leader) Report(nowMS int64, incarnation uint64, evidence []Evidence) {
	l.ledger.Report(nowMS, incarnation, evidence)
	l.pool += l.ledger.Unspent(nowMS, incarnation)
}

// Decide judges the rollout.
func (l *Leader) Decide(nowMS int64, r Rollout, t Targets) Decision {
	o := Observed{Targets: t, Sum: l.ledger.Sum(), LedgerAgeMS: l.ledger.AgeMS(nowMS)}
	l.decision, l.memory = Decide(nowMS, r, l.bounds, &o, l.memory)
	return l.decision
}

// Reserve returns the command that logs further grants, or nil if the pool holds the
// wanted number, nothing more may be granted or the last entry was too recent.
func (l *Leader) Reserve(nowMS int64, r Rollout, wanted uint64) *Grant {
	limit := l.decision.Allowed
	if r.Phase != Canary || r.Granted >= limit || l.pool >= wanted || nowMS-l.loggedMS < grantLogMS {
		return nil
	}
	return l.grant(nowMS, r, min(limit-r.Granted, reserveFactor*wanted), limit)
}

// Reserved adds requests of a command that has been applied.
func (l *Leader) Reserved(g *Grant) { l.pool += g.Requests }

// TotalsDue returns the command that logs the totals, or nil if that is not due.
func (l *Leader) TotalsDue(nowMS int64, r Rollout) *Grant {
	if sum := l.ledger.Sum(); nowMS-l.loggedMS < totalsMS || sum.Requests <= r.Requests {
		return nil
	}
	return l.grant(nowMS, r, 0, 0)
}

func (l *Leader) grant(nowMS int64, r Rollout, n, limit uint64) *Grant {
	l.loggedMS = nowMS
	sum := l.ledger.Sum()
	return &Grant{AtMS: nowMS, Service: r.Service, StartedMS: r.StartedMS, Requests: n, Limit: limit, Totals: sum.Totals()}
}

// Take hands out requests from the pool to a process and returns their number.
func (l *Leader) Take(nowMS int64, r Rollout, incarnation uint64, wanted int) int {
	if r.Phase != Canary || l.decision.Allowed == 0 || wanted <= 0 {
		return 0
	}
	room := l.decision.Allowed - min(l.decision.Allowed, r.Granted)
	n := min(uint64(wanted), max(1, (l.pool+room)/processesPerRoom), l.pool)
	if n == 0 {
		return 0
	}
	l.pool -= n
	l.ledger.Granted(incarnation, int(n), nowMS+int64(l.bounds.GrantTTL()/time.Millisecond))
	return int(n)
}
