package director

import (
	"math/rand/v2"
	"sync"
	"time"

	"banyanwalk/core/catalog"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
)

const (
	// targetSilence is after how long a silent target is forgotten. Reports
	// may be seconds late.
	targetSilence = 20 * time.Second
	// memberSilence is the same for processes of the site.
	memberSilence = 5 * time.Second
	// loadSilence is after how long a silent process holds no targets.
	loadSilence = 2 * time.Second
	// spentMemory is how long what a process has spent counts after its last
	// report; it must not jump when a silent one reports again.
	spentMemory = 10 * time.Minute
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
	spent    map[uint64]spending // by process, also of those that are silent or have ended
	life     uint64              // random number of this life of the host
	urgent   chan struct{}       // closed and replaced when subscribers must know at once
}

// spending is what one life of a process has spent of each workspace. Only what
// it spends after its first report to this host counts, as this host may have
// begun later.
type spending struct {
	from   map[string]uint64
	tokens map[string]uint64
	heard  time.Time
}

type memberRecord struct {
	load  rpc.MemberLoad
	heard time.Time
}

func newBoard() *board {
	return &board{
		roster:  roster.New(),
		targets: make(map[string]uint64),
		members: make(map[string]*memberRecord),
		spent:   make(map[uint64]spending),
		life:    rand.Uint64(),
		urgent:  make(chan struct{}),
	}
}

// report takes a target's report and returns what became of it.
func (b *board) report(now time.Time, report roster.Report) roster.MergeResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	verdict := b.roster.Merge(now, report)
	b.note(report.ID, verdict)
	return verdict
}

// leave takes a target's word that it has left.
func (b *board) leave(now time.Time, id string, born int64) roster.MergeResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	verdict := b.roster.Leave(now, id, born)
	b.note(id, verdict)
	return verdict
}

func (b *board) note(id string, verdict roster.MergeResult) {
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
	known := b.members[load.Member.Name]
	first, heard := b.spent[load.Member.Process]
	if !heard {
		first.from = load.Spent
	}
	b.spent[load.Member.Process] = spending{from: first.from, tokens: load.Spent, heard: now}
	b.members[load.Member.Name] = &memberRecord{load: load, heard: now}
	if known == nil || known.load.Member.Process != load.Member.Process || !sameStorage(known.load.Member.Store, load.Member.Store) {
		b.wake()
	}
}

func sameStorage(a, b *rpc.StorageState) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.ID == b.ID && a.Leads == b.Leads && a.Term == b.Term && len(a.Voters) == len(b.Voters) && len(a.Learners) == len(b.Learners)
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
	for process, s := range b.spent {
		if now.Sub(s.heard) > spentMemory {
			delete(b.spent, process)
		}
	}
	expired := b.roster.Expire(now.Add(-targetSilence))
	for _, record := range expired {
		delete(b.targets, record.ID)
	}
	return expired
}

// since returns the targets that have changed after a revision, and the
// revision that this is up to.
func (b *board) since(now time.Time, revision uint64) (targets []rpc.TargetReport, upTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, changed := range b.targets {
		record := b.roster.Get(id)
		if changed <= revision || record == nil {
			continue
		}
		targets = append(targets, rpc.TargetReport{Report: record.Report, AgeMS: now.Sub(record.ReceivedAt).Milliseconds()})
	}
	return targets, b.revision
}

// others adds up what the members other than the named one do. Members that
// are silent hold no targets any more, but what they have spent counts on.
func (b *board) others(now time.Time, name string) *rpc.Others {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := &rpc.Others{Host: b.life, Spent: make(map[string]uint64), Loads: make(map[string]placement.Load), Debts: make(map[string]float64), Broker: b.broker(now)}
	b.addSpent(sum, name)
	for member, m := range b.members {
		if member == name || now.Sub(m.heard) > loadSilence || m.load.Member.Role == rpc.RoleControl {
			continue
		}
		sum.Count++
		if m.load.Member.Role == rpc.RoleGateway {
			sum.Gateways++
		}
		for workspace, debt := range m.load.Debts {
			sum.Debts[workspace] = max(sum.Debts[workspace], debt)
		}
		addLoads(sum, &m.load)
	}
	return sum
}

// addSpent adds what all processes have spent, since this host knows them, but the named member's current
// one. The caller holds the lock.
func (b *board) addSpent(sum *rpc.Others, name string) {
	own := uint64(0)
	if m := b.members[name]; m != nil {
		own = m.load.Member.Process
	}
	for process, s := range b.spent {
		if process == own {
			continue
		}
		for workspace, tokens := range s.tokens {
			if from := s.from[workspace]; tokens > from { // a token that was given back may leave less
				sum.Spent[workspace] += tokens - from
			}
		}
	}
}

// addLoads adds what one member has at targets.
func addLoads(sum *rpc.Others, load *rpc.MemberLoad) {
	for id, at := range load.Loads {
		total := sum.Loads[id]
		total.Online += at.Online
		total.Batch += at.Batch
		if load.Broker == sum.Broker {
			total.Brokered += at.Brokered
		}
		sum.Loads[id] = total
	}
}

// broker returns the number of the broker in force. The caller holds the lock.
func (b *board) broker(now time.Time) uint64 {
	var hosts []rpc.Member
	for _, m := range b.members {
		if m.load.Member.Store != nil && now.Sub(m.heard) <= loadSilence {
			hosts = append(hosts, m.load.Member)
		}
	}
	if leader := storeLeader(hosts); leader != nil {
		return leader.Broker()
	}
	return 0
}

// leads reports whether a member is the storage host that leads.
func (b *board) leads(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.members[name]
	return m != nil && m.load.Member.Store != nil && m.load.Member.Store.Leads
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
