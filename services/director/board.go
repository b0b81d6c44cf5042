package director

import (
	"sync"
	"time"

	"banyanwalk/core/catalog"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
)

const (
	// targetSilence is after how long a silent target is forgotten. Reports
	// may be seconds late.
	targetSilence = 20 * time.Second
	// memberSilence is the same for processes of the site.
	memberSilence = 5 * time.Second
	// storeMemory is how long the name of a silent storage host is known, so
	// that it can be retired while it is down.
	storeMemory = 10 * time.Minute
)

// board is what this host has heard of targets and members. It is not
// replicated: targets report to any control host, and members follow all of
// them. It is safe for concurrent use.
type board struct {
	mu       sync.Mutex
	revision uint64
	roster   *roster.Roster
	targets  map[string]uint64 // revision of the last change, by id
	members  map[string]*memberRecord
	urgent   chan struct{} // closed and replaced when subscribers must know at once
}

type memberRecord struct {
	load     rpc.MemberLoad
	heard    time.Time
	revision uint64
}

func newBoard() *board {
	return &board{
		roster:  roster.New(),
		targets: make(map[string]uint64),
		members: make(map[string]*memberRecord),
		urgent:  make(chan struct{}),
	}
}

// report takes a target's report and returns what became of it.
func (b *board) report(now time.Time, report roster.Report) roster.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	verdict := b.roster.Merge(now, report)
	b.note(report.ID, verdict)
	return verdict
}

// leave takes a target's word that it has left.
func (b *board) leave(now time.Time, id string, born int64) roster.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	verdict := b.roster.Leave(now, id, born)
	b.note(id, verdict)
	return verdict
}

func (b *board) note(id string, verdict roster.Verdict) {
	if verdict == roster.Stale {
		return
	}
	b.revision++
	b.targets[id] = b.revision
	if verdict == roster.Changed {
		b.wake()
	}
}

// wake lets subscribers look at once. The caller holds the lock.
func (b *board) wake() {
	close(b.urgent)
	b.urgent = make(chan struct{})
}

// signal lets subscribers look at once.
func (b *board) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wake()
}

// member takes a member's report about itself. A change of its state, other
// than its load, is urgent.
func (b *board) member(now time.Time, load rpc.MemberLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision++
	known := b.members[load.Member.Name]
	b.members[load.Member.Name] = &memberRecord{load: load, heard: now, revision: b.revision}
	if known == nil || known.load.Member.Process != load.Member.Process || !sameStorage(known.load.Member.Store, load.Member.Store) {
		b.wake()
	}
}

func sameStorage(a, b *rpc.StorageState) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.ID == b.ID && a.Leads == b.Leads && a.Term == b.Term
}

// prune forgets who has been silent for long.
func (b *board) prune(now time.Time) []*roster.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, m := range b.members {
		keep := memberSilence
		if m.load.Member.Store != nil {
			keep = storeMemory
		}
		if now.Sub(m.heard) > keep {
			delete(b.members, name)
		}
	}
	expired := b.roster.Expire(now.Add(-targetSilence))
	for _, record := range expired {
		delete(b.targets, record.ID)
	}
	return expired
}

// since returns what has changed after a revision, except about one member,
// and the revision that this is up to.
func (b *board) since(now time.Time, revision uint64, except string) (push rpc.FollowPush, upTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, changed := range b.targets {
		record := b.roster.Get(id)
		if changed <= revision || record == nil {
			continue
		}
		push.Targets = append(push.Targets, rpc.TargetReport{Report: record.Report, AgeMS: now.Sub(record.Heard).Milliseconds()})
	}
	for name, m := range b.members {
		if m.revision > revision && name != except {
			push.Members = append(push.Members, m.load)
		}
	}
	return push, b.revision
}

// next returns a channel that is closed at the next urgent change.
func (b *board) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.urgent
}

// without returns how many storage hosts would be left without the one of a
// name, and the replica id of that one, or 0 when it is not known. Hosts that
// are silent, or retired as well, are not left.
func (b *board) without(now time.Time, name string, state *catalog.State) (left int, id uint64) {
	for _, m := range b.stores(now, storeMemory) {
		if m.Name == name {
			id = m.Store.ID
		}
	}
	for _, m := range b.stores(now, memberSilence) {
		if _, retired := state.Retirement(m.Name); !retired && m.Name != name {
			left++
		}
	}
	return left, id
}

// stores returns the storage hosts heard within the given time.
func (b *board) stores(now time.Time, within time.Duration) []rpc.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []rpc.Member
	for _, m := range b.members {
		if m.load.Member.Store != nil && now.Sub(m.heard) <= within {
			found = append(found, m.load.Member)
		}
	}
	return found
}
