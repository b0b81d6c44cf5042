package raft

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"time"
)

const (
	simHeartbeat = 100 * time.Millisecond
	simElection  = 500 * time.Millisecond
	simTick      = 50 * time.Millisecond
)

// variant is a bug injected into a simulation, which the checks must detect.
type variant uint8

const (
	noFault            variant = iota
	reusedIncarnation          // a host that lost its disk keeps its old incarnation
	sendBeforeSync             // messages are sent before the state that they rely on is saved
	unconfirmedReads           // the leader answers reads without a heartbeat round
	prematureBootstrap         // every response to a probe reports a blank peer
	prematurePromotion         // learners are promoted before they have caught up
	unsavedPromises            // while the disk works, votes and acknowledgements are sent too
)

// disk is the state that a host has synced.
type disk struct {
	incarnation uint64
	hardState   HardState
	snapshot    Snapshot
	entries     []Entry
}

func (d *disk) save(ready Ready) {
	if ready.HardState != nil {
		d.hardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		d.snapshot, d.entries = *ready.Snapshot, nil
	}
	if len(ready.Entries) > 0 {
		keep := ready.Entries[0].Index - d.snapshot.Index - 1
		d.entries = append(d.entries[:keep:keep], ready.Entries...)
	}
}

func (d *disk) lastIndex() uint64 { return d.snapshot.Index + uint64(len(d.entries)) }

func (d *disk) compact(s Snapshot) {
	d.entries = append([]Entry(nil), d.entries[s.Index-d.snapshot.Index:]...)
	d.snapshot = s
}

// simHost is one host with its process and its disk.
type simHost struct {
	id          uint64
	disk        disk
	raft        *Raft // nil while the process is down
	frozenUntil time.Time
	saving      *Ready // being written by a slow disk, nil if there is none
	applied     uint64
	state       []byte // commands applied, 8 bytes each
	proposed    map[uint64]uint64
	reads       map[uint64]*simRead
}

// simRead is a pending read; it must be served at minIndex or later.
type simRead struct {
	minIndex  uint64
	index     uint64
	confirmed bool
}

// event is a message delivery or an action scheduled for a point in time.
type event struct {
	at      time.Time
	seq     uint64
	message *Message
	action  func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim simulates a group of hosts on a faulty network, driven by one seed.
type sim struct {
	rng                 *rand.Rand
	variant             variant
	now                 time.Time
	queue               eventQueue
	lastSeq             uint64
	hosts               []*simHost // host id is index+1
	peers               []uint64
	cutLinks            map[[2]uint64]bool // {from, to}: messages are lost in this direction
	lossRate, dupRate   float64
	maxDelay            time.Duration
	snapshotInterval    uint64 // in entries
	crashRate           float64
	slowSaveRate        float64 // share of the syncs that take time
	faults              bool
	checks              *checks
	lastCommandID       uint64
	loseDiskAfterRepair bool // lose another disk as soon as the group is repaired
	stats               simStats
}

// simStats counts the events of a history.
type simStats struct {
	acknowledged, reads, snapshots, installs, diskLosses, secondLosses, bootstrapLosses, transfers, crashes, elections, slowSaves int
}

func newSim(seed uint64, v variant) *sim {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &sim{rng: rng, variant: v, now: time.Unix(1_000_000, 0), cutLinks: map[[2]uint64]bool{}, faults: true}
	s.checks = newChecks(s)
	size := 3
	if rng.IntN(4) == 0 {
		size = 5
	}
	s.snapshotInterval = 10 + rng.Uint64N(30)
	s.lossRate, s.dupRate = rng.Float64()*0.15, rng.Float64()*0.15
	s.maxDelay = time.Duration(1+rng.IntN(120)) * time.Millisecond
	s.crashRate = rng.Float64() * 0.004
	if seed%5 == 2 {
		s.crashRate *= 10
	}
	if seed%3 == 1 {
		s.slowSaveRate = rng.Float64() * 0.2
	}
	for i := range size {
		s.peers = append(s.peers, uint64(i+1))
	}
	for _, id := range s.peers {
		h := &simHost{id: id}
		s.hosts = append(s.hosts, h)
		s.wipeDisk(h)
		s.start(h)
		s.tickLater(h)
	}
	return s
}

// wipeDisk gives a host an empty disk with a new incarnation.
func (s *sim) wipeDisk(h *simHost) {
	incarnation := s.rng.Uint64() | 1
	if s.variant == reusedIncarnation && h.disk.incarnation != 0 {
		incarnation = h.disk.incarnation
	}
	h.disk = disk{incarnation: incarnation}
	h.saving = nil
}

func (s *sim) start(h *simHost) {
	r, err := New(Config{
		ID:                ReplicaID{ID: h.id, Incarnation: h.disk.incarnation},
		Peers:             s.peers,
		ElectionTimeout:   simElection,
		HeartbeatInterval: simHeartbeat,
		Rand:              rand.New(rand.NewPCG(s.rng.Uint64(), 2)),
		Now:               s.now,
		SaveCommit:        h.id%2 == 0,
		HardState:         h.disk.hardState,
		Snapshot:          h.disk.snapshot,
		Entries:           append([]Entry(nil), h.disk.entries...),
	})
	if err != nil {
		s.checks.fail("start of %d: %v", h.id, err)
		return
	}
	h.raft, h.frozenUntil, h.saving = r, time.Time{}, nil
	h.applied = h.disk.snapshot.Index
	h.state = h.disk.snapshot.Data
	h.proposed, h.reads = map[uint64]uint64{}, map[uint64]*simRead{}
}

func (s *sim) after(d time.Duration, m *Message, action func()) {
	s.lastSeq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.lastSeq, message: m, action: action})
}

func (s *sim) tickLater(h *simHost) {
	s.after(simTick, nil, func() {
		s.tickLater(h)
		switch {
		case !s.isRunning(h):
		case h.saving != nil:
			h.raft.TickWhileSaving(s.now)
			s.sendWhileSaving(h)
		default:
			h.raft.Tick(s.now)
			s.process(h)
		}
	})
}

func (s *sim) isRunning(h *simHost) bool { return h.raft != nil && !s.now.Before(h.frozenUntil) }

// run processes events until end or the first violation.
func (s *sim) run(end time.Time) {
	for s.checks.err == nil && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		if e.message == nil {
			e.action()
		} else {
			s.deliver(e.message)
		}
		s.checks.checkLeaders()
	}
}

// delayUntilThawed returns the delay of an input to a frozen host. It is random
// because a thawed process reads its sockets in any order.
func (s *sim) delayUntilThawed(h *simHost) time.Duration {
	return h.frozenUntil.Sub(s.now) + time.Duration(s.rng.Int64N(int64(30*time.Millisecond)))
}

func (s *sim) deliver(m *Message) {
	h := s.hosts[m.To.ID-1]
	switch {
	case h.raft == nil || s.cutLinks[[2]uint64{m.From.ID, m.To.ID}]:
		return
	case !s.isRunning(h):
		// The message waits in the socket buffer of the frozen process.
		s.after(s.delayUntilThawed(h), m, nil)
		return
	case h.saving != nil && !MayStepWhileSaving(m.Type):
		s.after(simTick, m, nil)
		return
	}
	if s.variant == prematureBootstrap && m.Type == MsgProbeResp {
		m.Blank = true
	}
	h.raft.Step(s.now, *m)
	if h.saving != nil {
		s.sendWhileSaving(h)
		return
	}
	s.process(h)
}

func (s *sim) sendWhileSaving(h *simHost) {
	if s.variant == unsavedPromises {
		s.send(h.raft.msgs)
		s.send(h.saving.Messages)
	}
	s.send(h.raft.MessagesWhileSaving())
}

func (s *sim) send(messages []Message) {
	for i := range messages {
		m := messages[i]
		if s.rng.Float64() < s.lossRate {
			continue
		}
		copies := 1
		if s.rng.Float64() < s.dupRate {
			copies = 2
		}
		for range copies {
			dup := m
			s.after(time.Millisecond+time.Duration(s.rng.Int64N(int64(s.maxDelay))), &dup, nil)
		}
	}
}

// process handles all pending Ready values of a host, with random crashes before
// and after the save.
func (s *sim) process(h *simHost) {
	for h.raft != nil && h.raft.HasReady() && s.checks.err == nil {
		if s.variant == prematurePromotion && h.raft.canChangeMembership() {
			m := h.raft.log.membership()
			for _, id := range m.Learners {
				h.raft.changeMembership(m.withPromoted(id))
				break
			}
		}
		ready := h.raft.Ready()
		s.send(ready.MessagesBeforeSync)
		if s.variant == sendBeforeSync {
			s.send(ready.Messages)
		}
		if ready.MustSync && s.crashNow(h) {
			return // as with a torn write, nothing of this Ready is saved
		}
		if ready.MustSync && s.faults && s.rng.Float64() < s.slowSaveRate {
			s.saveSlowly(h, ready)
			return
		}
		s.finishSave(h, ready)
	}
}

// finishSave saves a Ready and does what its caller does after the sync, with a
// random crash in between.
func (s *sim) finishSave(h *simHost, ready Ready) {
	h.disk.save(ready)
	if s.crashNow(h) {
		return
	}
	h.raft.Advance(ready)
	if s.variant != sendBeforeSync {
		s.send(ready.Messages)
	}
	s.apply(h, ready)
}

// saveSlowly finishes a save after up to two election timeouts. A crash before
// that leaves the disk with or without it.
func (s *sim) saveSlowly(h *simHost, ready Ready) {
	s.stats.slowSaves++
	h.saving = &ready
	s.after(time.Duration(s.rng.Int64N(int64(2*simElection))), nil, func() { s.wakeFromSave(h, &ready) })
}

func (s *sim) wakeFromSave(h *simHost, ready *Ready) {
	switch {
	case h.saving != ready:
		return // the process or the disk is another one by now
	case !s.isRunning(h):
		s.after(s.delayUntilThawed(h), nil, func() { s.wakeFromSave(h, ready) })
		return
	}
	h.saving = nil
	s.finishSave(h, *ready)
	s.process(h)
}

func (s *sim) crashNow(h *simHost) bool {
	if !s.faults || s.rng.Float64() >= s.crashRate {
		return false
	}
	s.crash(h)
	return true
}

func (s *sim) crash(h *simHost) {
	if h.raft == nil {
		return
	}
	s.stats.crashes++
	if h.saving != nil && s.rng.IntN(2) == 0 {
		h.disk.save(*h.saving)
	}
	h.raft, h.saving = nil, nil
	down := 30 * time.Millisecond
	if s.rng.IntN(2) == 0 {
		down = 1500 * time.Millisecond
	}
	s.after(time.Duration(s.rng.Int64N(int64(down))), nil, func() {
		if h.raft == nil {
			s.start(h)
		}
	})
}

func (s *sim) apply(h *simHost, ready Ready) {
	if ready.Snapshot != nil {
		s.stats.installs++
		s.checks.checkSnapshot(h, *ready.Snapshot)
		h.applied, h.state = ready.Snapshot.Index, ready.Snapshot.Data
	}
	for _, e := range ready.Committed {
		s.checks.checkCommitted(h, e)
		if e.Type == EntryCommand && len(e.Data) > 0 {
			h.state = append(h.state[:len(h.state):len(h.state)], e.Data...)
		}
		h.applied = e.Index
		if term, ok := h.proposed[e.Index]; ok && term == e.Term {
			s.checks.recordAcknowledged(e.Index)
		}
	}
	for _, read := range ready.ReadStates {
		if waiting := h.reads[read.Token]; waiting != nil {
			waiting.index, waiting.confirmed = read.Index, true
		}
	}
	for token, read := range h.reads {
		if read.confirmed && h.applied >= read.index {
			s.checks.checkRead(h, read)
			delete(h.reads, token)
		}
	}
	if h.applied >= h.disk.snapshot.Index+s.snapshotInterval {
		s.snapshot(h)
	}
}

func (s *sim) snapshot(h *simHost) {
	snap, err := h.raft.SnapshotAt(h.applied)
	if err != nil {
		s.checks.fail("snapshot of %d: %v", h.id, err)
		return
	}
	snap.Data = h.state
	h.disk.compact(snap)
	h.raft.Compact(snap, snap.Index-s.rng.Uint64N(s.snapshotInterval))
	s.stats.snapshots++
}

func (s *sim) propose(h *simHost) {
	s.lastCommandID++
	data := binary.LittleEndian.AppendUint64(nil, s.lastCommandID)
	if index, term, err := h.raft.Propose(data); err == nil {
		h.proposed[index] = term
	}
}

func (s *sim) read(h *simHost) {
	token := s.rng.Uint64()
	read := &simRead{minIndex: s.checks.minReadIndex}
	h.reads[token] = read
	if s.variant == unconfirmedReads && h.raft.role == Leader {
		read.index, read.confirmed = h.raft.log.committed, true
		return
	}
	h.raft.ReadIndex(token)
}
