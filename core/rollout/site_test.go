package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/catalog"
	"banyanwalk/core/rollout"
)

const (
	stepMS      = 20
	reportMS    = 200 // between two reports of a process
	pushMS      = 120 // until processes know of a change of phase
	decideMS    = 200
	wantedAt    = 4 // a process asks for more grants below this number
	oldVersion  = "1"
	newVersion  = "2"
	serviceName = "llm"
	usualRate   = 300 // requests a second
)

var bounds = rollout.Bounds{Share: 0.1, Slack: 50, RollbackDelay: 5 * time.Second}

// site simulates the processes of a site and a control group in virtual time.
type site struct {
	rand       *rand.Rand
	rate       func(ms int64) float64 // requests a second
	routes     []string
	durationMS int64
	// answer returns how a request ends; load is the share of requests that go to the
	// new version.
	answer func(s *site, fresh bool, route string) (failed, slow bool)
	// loss is the share of reports that are lost, and repeat of those that arrive twice.
	loss, repeat float64
	leaderLost   func(ms int64) bool // the control group loses its leader now
	leaderless   int64               // time that an election takes
	restart      func(ms int64) bool // a process is replaced by a new one now
	hoard        bool                // processes spend their grants just before they expire
	frozen       map[int]bool        // processes that neither report nor learn, and wake at wakeMS
	wakeMS       int64
	newSlots     int
	crashAt      int64 // eight requests at the new version fail together

	now       int64
	machine   *catalog.Machine
	leader    *rollout.Leader
	electedMS int64
	index     uint64
	processes []*process
	pending   []pendingAnswer
	late      []lateReport
	history   []rollout.Rollout // each change of the phase
	changedMS []int64

	total, fresh, freshAnswered, freshBad int
	fiftiethMS, lastFreshMS               int64
	oldInFlight                           int
	completedWith                         int // requests at the old version at Completed
}

type process struct {
	incarnation uint64
	counts      map[[2]string]*rollout.Evidence
	grants      []grant
	offset      int64
}

type grant struct{ n, expires int64 }

type pendingAnswer struct {
	at           int64
	p            *process
	version      string
	route        string
	failed, slow bool
}

type lateReport struct {
	at          int64
	incarnation uint64
	evidence    []rollout.Evidence
	p           *process
	wanted      int
}

func newSite(seed uint64) *site {
	s := &site{rand: rand.New(rand.NewPCG(seed, 1)), rate: func(int64) float64 { return usualRate }, routes: []string{"a", "b", "c"}, durationMS: 40_000,
		machine: catalog.New(), newSlots: 300}
	s.answer = func(s *site, _ bool, _ string) (bool, bool) { return s.rand.Float64() < 0.005, s.rand.Float64() < 0.02 }
	for i := range 12 {
		s.processes = append(s.processes, &process{incarnation: uint64(i + 1), counts: make(map[[2]string]*rollout.Evidence), offset: int64(i) * 17 % reportMS})
	}
	return s
}

func (s *site) apply(c rollout.Command) catalog.Result {
	s.index++
	result := s.machine.Apply(s.index, catalog.Command{Rollout: &c})
	if result.Changed {
		r, _ := rollout.Find(s.machine.State().Rollouts, serviceName)
		s.history, s.changedMS = append(s.history, r), append(s.changedMS, s.now)
		if r.Phase == rollout.Completed {
			s.completedWith = s.oldInFlight
		}
	}
	return result
}

func (s *site) record() rollout.Rollout {
	r, _ := rollout.Find(s.machine.State().Rollouts, serviceName)
	return r
}

// known returns the phase that a process knows.
func (s *site) known(i int) rollout.Phase {
	phase := rollout.Canary
	until := s.now - pushMS
	if s.frozen[i] && s.now < s.wakeMS {
		until = 0
	}
	for n, at := range s.changedMS {
		if at <= until {
			phase = s.history[n].Phase
		}
	}
	return phase
}

// run simulates the rollout and the time after it.
func (s *site) run(t *testing.T) rollout.Rollout {
	s.now = 1_000_000
	start := s.now
	for range 50 { // requests of before the order, which must not count
		s.count(s.processes[0], oldVersion, "a").Requests += 100
		s.count(s.processes[0], oldVersion, "a").Answers += 100
	}
	require.True(t, s.apply(rollout.Command{Begin: &rollout.Begin{AtMS: s.now, Service: serviceName, Version: newVersion, DurationMS: s.durationMS}}).Changed)
	for ; s.now < start+s.durationMS+8000; s.now += stepMS {
		ms := s.now - start
		if s.leaderLost != nil && s.leaderLost(ms) {
			s.changeLeader(t)
		}
		if s.restart != nil && s.restart(ms) {
			s.processes[0] = &process{incarnation: s.rand.Uint64(), counts: make(map[[2]string]*rollout.Evidence)}
		}
		if ms < s.durationMS {
			s.arrive(ms)
		}
		if s.crashAt > 0 && ms >= s.crashAt {
			s.crash()
		}
		s.finishAnswers()
		s.report()
		if ms%decideMS == 0 {
			s.decide()
		}
	}
	return s.record()
}

// changeLeader restores the state from a snapshot, as a new leader would.
func (s *site) changeLeader(t *testing.T) {
	encoded, err := msgpack.Marshal(s.machine.Snapshot())
	require.NoError(t, err)
	var snapshot catalog.Snapshot
	require.NoError(t, msgpack.Unmarshal(encoded, &snapshot))
	s.machine, s.leader, s.electedMS = catalog.Restore(snapshot), nil, s.now+s.leaderless
}

func (s *site) count(p *process, version, route string) *rollout.Evidence {
	key := [2]string{version, route}
	if p.counts[key] == nil {
		p.counts[key] = &rollout.Evidence{Service: serviceName, Version: version, Route: route}
	}
	return p.counts[key]
}

func (s *site) arrive(ms int64) {
	expected := s.rate(ms) * stepMS / 1000
	n := int(expected)
	if s.rand.Float64() < expected-float64(n) {
		n++
	}
	for range n {
		i := s.rand.IntN(len(s.processes))
		p := s.processes[i]
		route := s.routes[s.rand.IntN(len(s.routes))]
		version := oldVersion
		switch s.known(i) {
		case rollout.Canary:
			if p.spend(s.now, s.hoard) {
				version = newVersion
			}
		case rollout.Finishing, rollout.Completed:
			version = newVersion
		case rollout.Reverted:
		}
		s.send(p, version, route)
	}
}

// spend takes a request from the grants that have not expired.
func (p *process) spend(now int64, hoard bool) bool {
	for i := range p.grants {
		g := &p.grants[i]
		if g.n == 0 || now >= g.expires || hoard && now < g.expires-200 {
			continue
		}
		g.n--
		return true
	}
	return false
}

func (s *site) send(p *process, version, route string) {
	fresh := version == newVersion
	s.total++
	s.count(p, version, route).Requests++
	failed, slow := s.answer(s, fresh, route)
	latency := 200 + s.rand.Int64N(300)
	if slow {
		latency *= 3
	}
	if fresh {
		s.fresh++
		s.lastFreshMS = s.now
	} else {
		s.oldInFlight++
	}
	s.pending = append(s.pending, pendingAnswer{s.now + latency, p, version, route, failed, slow})
}

func (s *site) finishAnswers() {
	kept := s.pending[:0]
	for _, a := range s.pending {
		if a.at > s.now {
			kept = append(kept, a)
			continue
		}
		c := s.count(a.p, a.version, a.route)
		c.Answers++
		if a.failed {
			c.Failed++
		}
		if a.slow {
			c.Slow++
		}
		if a.version == oldVersion {
			s.oldInFlight--
			continue
		}
		s.freshAnswered++
		if a.failed || a.slow {
			if s.freshBad++; s.freshBad == 50 {
				s.fiftiethMS = s.now
			}
		}
	}
	s.pending = kept
}

// crash makes the requests of one target fail at the same moment.
func (s *site) crash() {
	s.crashAt = 0
	for i, left := 0, 8; i < len(s.pending) && left > 0; i++ {
		if s.pending[i].version == newVersion {
			s.pending[i].at, s.pending[i].failed = s.now, true
			left--
		}
	}
}

// report sends the reports that are due and delivers those that arrive.
func (s *site) report() {
	for i, p := range s.processes {
		if (s.now+p.offset)%reportMS >= stepMS || s.frozen[i] && s.now < s.wakeMS || s.rand.Float64() < s.loss {
			continue
		}
		r := lateReport{at: s.now + 20 + s.rand.Int64N(100), incarnation: p.incarnation, p: p}
		for _, e := range p.counts {
			r.evidence = append(r.evidence, *e)
		}
		left := int64(0)
		for _, g := range p.grants {
			if s.now < g.expires {
				left += g.n
			}
		}
		if left < wantedAt {
			r.wanted = 2 * wantedAt
		}
		s.late = append(s.late, r)
		if s.rand.Float64() < s.repeat {
			r.at += s.rand.Int64N(1000) // may arrive after a newer one
			s.late = append(s.late, r)
		}
	}
	kept := s.late[:0]
	for _, r := range s.late {
		if r.at > s.now {
			kept = append(kept, r)
			continue
		}
		s.serve(&r)
	}
	s.late = kept
}

// serve does what a control host does with a report.
func (s *site) serve(r *lateReport) {
	record := s.record()
	if record.Phase.Final() || s.now < s.electedMS {
		return
	}
	if s.leader == nil {
		s.leader = rollout.NewLeader(s.now, record, bounds)
	}
	s.leader.Report(s.now, r.incarnation, r.evidence)
	if r.wanted == 0 {
		return
	}
	if g := s.leader.Reserve(s.now, record, uint64(r.wanted)); g != nil && s.apply(rollout.Command{Grant: g}).CountsChanged {
		s.leader.Reserved(g)
	}
	if n := s.leader.Take(s.now, s.record(), r.incarnation, r.wanted); n > 0 {
		r.p.grants = append(r.p.grants, grant{int64(n), s.now + bounds.GrantTTL().Milliseconds()})
	}
}

func (s *site) decide() {
	record := s.record()
	if record.Phase.Final() || s.now < s.electedMS {
		return
	}
	if s.leader == nil {
		s.leader = rollout.NewLeader(s.now, record, bounds)
	}
	inFlight := len(s.pending)
	d := s.leader.Decide(s.now, record, rollout.Targets{NewTargets: 40, OldTargets: 40, NewSlots: s.newSlots, OldSlots: 320, InFlight: inFlight, OldInFlight: s.oldInFlight})
	if d.Advance != nil {
		s.apply(rollout.Command{Advance: d.Advance})
	} else if g := s.leader.TotalsDue(s.now, record); g != nil {
		s.apply(rollout.Command{Grant: g})
	}
}

// requireBounds checks the bounds that a bad version must keep.
func (s *site) requireBounds(t *testing.T) {
	t.Helper()
	allowed := int(bounds.Share*float64(s.total)) + bounds.Slack
	require.LessOrEqual(t, s.fresh, allowed, "requests at the bad version, of %d", s.total)
	if s.fiftiethMS > 0 {
		require.LessOrEqual(t, s.lastFreshMS, s.fiftiethMS+bounds.RollbackDelay.Milliseconds())
	}
}
