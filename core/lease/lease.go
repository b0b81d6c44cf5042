// Package lease tracks the membership leases that the leader of the control
// service grants to agents. It reads no clock: the caller passes in monotonic
// time.
package lease

import (
	"cmp"
	"slices"
	"time"
)

// Holder identifies one incarnation of an agent.
type Holder struct {
	Agent       string
	Incarnation uint64
}

// Table holds the leases of one leader. It is not safe for concurrent use.
type Table struct {
	duration time.Duration
	leases   map[string]entry
}

type entry struct {
	incarnation uint64
	until       time.Time
}

// NewTable returns an empty table that grants leases of the given duration.
func NewTable(duration time.Duration) *Table {
	return &Table{duration: duration, leases: make(map[string]entry)}
}

// Duration returns the time for which leases are granted.
func (t *Table) Duration() time.Duration { return t.duration }

// Renew grants the holder a full lease that starts now.
func (t *Table) Renew(h Holder, now time.Time) {
	t.leases[h.Agent] = entry{incarnation: h.Incarnation, until: now.Add(t.duration)}
}

// Reset removes all leases and grants a full one to each holder. A new leader
// calls it because it doesn't know which leases its predecessor granted.
func (t *Table) Reset(holders []Holder, now time.Time) {
	clear(t.leases)
	for _, h := range holders {
		t.Renew(h, now)
	}
}

// Expired returns the holders whose leases have expired, sorted by agent. They
// stay in the table until DropExpired, Renew or Reset.
func (t *Table) Expired(now time.Time) []Holder {
	var expired []Holder
	for agent, e := range t.leases {
		if !now.Before(e.until) {
			expired = append(expired, Holder{Agent: agent, Incarnation: e.incarnation})
		}
	}
	slices.SortFunc(expired, func(a, b Holder) int { return cmp.Compare(a.Agent, b.Agent) })
	return expired
}

// DropExpired removes a holder whose lease has expired. It does nothing if the
// lease was renewed in the meantime, by this or another incarnation of the agent.
func (t *Table) DropExpired(h Holder, now time.Time) {
	e, found := t.leases[h.Agent]
	if found && e.incarnation == h.Incarnation && !now.Before(e.until) {
		delete(t.leases, h.Agent)
	}
}

// Remaining returns the time until the agent's lease expires, or 0 if it has none.
func (t *Table) Remaining(agent string, now time.Time) time.Duration {
	e, found := t.leases[agent]
	if !found {
		return 0
	}
	return max(0, e.until.Sub(now))
}
