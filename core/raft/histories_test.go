package raft

import (
	"flag"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

var (
	firstSeed = flag.Uint64("raft.seed", 1, "first seed of the histories")
	histories = flag.Uint64("raft.histories", 2000, "number of histories")
)

// errNoRecovery is the only violation of liveness; all others are of safety.
var errNoRecovery = errors.New("no recovery within a minute")

const longHistoryInterval = 40 // every so many seeds a history is long

// onMembershipCommitted is called when a membership is committed. After half of
// the disk losses it loses another disk as soon as the group is repaired.
func (s *sim) onMembershipCommitted() {
	if !s.faults || !s.loseDiskAfterRepair || !s.checks.canLoseDisk(0) {
		return
	}
	s.loseDiskAfterRepair = false
	victim := s.hosts[s.rng.IntN(len(s.hosts))]
	s.stats.secondLosses++
	// Not during this call, because the host may be the one that is committing.
	s.after(0, nil, func() { s.loseDisk(victim) })
}

func (s *sim) loseDisk(h *simHost) {
	if !s.checks.canLoseDisk(h.id) {
		return
	}
	s.stats.diskLosses++
	s.loseDiskAfterRepair = s.rng.IntN(2) == 0
	s.wipeDisk(h)
	s.crash(h)
}

// loseDiskBeforeBootstrap loses one disk if nothing has been committed yet.
func (s *sim) loseDiskBeforeBootstrap() {
	if len(s.checks.committedEntries) > 0 {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	s.stats.bootstrapLosses++
	s.wipeDisk(h)
	s.crash(h)
}

// injectFault injects a random fault, or heals the network.
func (s *sim) injectFault() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	other := s.hosts[s.rng.IntN(len(s.hosts))]
	switch s.rng.IntN(13) {
	case 0:
		s.cutLinks[[2]uint64{h.id, other.id}] = true
	case 1, 2:
		s.cutLinks[[2]uint64{h.id, other.id}] = true
		s.cutLinks[[2]uint64{other.id, h.id}] = true
	case 3:
		for _, id := range s.peers {
			s.cutLinks[[2]uint64{h.id, id}] = true
			s.cutLinks[[2]uint64{id, h.id}] = s.rng.IntN(2) == 0
		}
	case 4, 5, 6:
		clear(s.cutLinks)
	case 7, 8:
		s.crash(h)
	case 9, 10:
		h.frozenUntil = s.now.Add(time.Duration(s.rng.Int64N(int64(2 * time.Second))))
	case 11:
		s.loseDisk(h)
	case 12:
		if s.isRunning(h) && h.raft.TransferLeadership(s.now) {
			s.stats.transfers++
			if h.saving != nil {
				s.sendWhileSaving(h)
				return
			}
			s.process(h)
		}
	}
}

func (s *sim) repeatRandomly(spread time.Duration, action func()) {
	s.after(time.Duration(s.rng.Int64N(int64(spread))), nil, func() {
		if !s.faults {
			return
		}
		action()
		s.repeatRandomly(spread, action)
	})
}

// sendRequest reads from or proposes commands to a random host. A host that does
// not lead refuses the commands.
func (s *sim) sendRequest() { s.sendRequestTo(s.hosts[s.rng.IntN(len(s.hosts))]) }

func (s *sim) sendRequestTo(h *simHost) {
	switch {
	case h.raft == nil:
		return
	case !s.isRunning(h):
		s.after(s.delayUntilThawed(h), nil, func() { s.sendRequestTo(h) })
		return
	case h.saving != nil:
		s.after(simTick, nil, func() { s.sendRequestTo(h) })
		return
	}
	if s.rng.IntN(3) == 0 {
		s.read(h)
	} else {
		for range 1 + s.rng.IntN(4) {
			s.propose(h)
		}
	}
	s.process(h)
}

// heal ends all faults and requires that the group recovers within a minute.
func (s *sim) heal() {
	s.faults, s.lossRate, s.dupRate = false, 0, 0
	clear(s.cutLinks)
	for _, h := range s.hosts {
		h.frozenUntil = time.Time{}
	}
	deadline := s.now.Add(time.Minute)
	last := uint64(0)
	for s.checks.err == nil && s.now.Before(deadline) {
		s.run(s.now.Add(500 * time.Millisecond))
		if last != 0 && s.checks.containsCommand(last) && s.checks.hasConverged() {
			return
		}
		if last == 0 || !s.checks.containsCommand(last) {
			last = s.proposeOnLeader()
		}
	}
	if s.checks.err == nil {
		s.checks.err = errors.Wrapf(errNoRecovery, "membership %v", s.checks.latestMembership)
	}
}

// proposeOnLeader proposes a command on a leader with a lease and returns the
// command, or 0 if there is no such leader.
func (s *sim) proposeOnLeader() uint64 {
	for _, h := range s.hosts {
		if s.isRunning(h) && h.saving == nil && !h.raft.LeaseUntil().IsZero() {
			s.propose(h)
			s.process(h)
			return s.lastCommandID
		}
	}
	return 0
}

// runHistory simulates one history from a seed and returns the first violation.
func runHistory(seed uint64, v variant) (stats simStats, err error) {
	s := newSim(seed, v)
	defer func() {
		stats = s.stats
		if p := recover(); p != nil {
			err = errors.Newf("panic: %v", p)
		}
		err = errors.Wrapf(err, "seed %d", seed)
	}()
	length := time.Duration(3+s.rng.IntN(4)) * time.Second
	if seed%longHistoryInterval == 0 {
		length = 40 * time.Second
	}
	if seed%3 == 0 {
		s.after(time.Duration(s.rng.Int64N(int64(time.Second))), nil, s.loseDiskBeforeBootstrap)
	}
	s.run(s.now.Add(time.Second))
	requestSpread := 40 * time.Millisecond
	if seed%4 == 1 {
		requestSpread = 3 * time.Second // mostly idle: logs are equal, so any replica can win an election
	}
	s.repeatRandomly(requestSpread, s.sendRequest)
	s.repeatRandomly(time.Duration(200+s.rng.IntN(2000))*time.Millisecond, s.injectFault)
	s.run(s.now.Add(length))
	s.heal()
	return s.stats, s.checks.err
}

// runHistories runs histories in a few goroutines and passes each result to enough,
// which returns true to stop.
func runHistories(first, count uint64, v variant, enough func(simStats, error) bool) {
	const workers = 4
	var mu sync.Mutex
	var done bool
	var wg sync.WaitGroup
	for worker := range uint64(workers) {
		wg.Go(func() {
			for seed := first + worker; seed < first+count; seed += workers {
				stats, err := runHistory(seed, v)
				mu.Lock()
				done = enough(stats, err) || done
				stop := done
				mu.Unlock()
				if stop {
					return
				}
			}
		})
	}
	wg.Wait()
}

func TestHistories(t *testing.T) {
	var total simStats
	longest := 0
	runHistories(*firstSeed, *histories, noFault, func(s simStats, err error) bool {
		if err != nil {
			t.Error(err)
		}
		total.acknowledged += s.acknowledged
		total.reads += s.reads
		total.snapshots += s.snapshots
		total.installs += s.installs
		total.diskLosses += s.diskLosses
		total.secondLosses += s.secondLosses
		total.bootstrapLosses += s.bootstrapLosses
		total.transfers += s.transfers
		total.crashes += s.crashes
		total.elections += s.elections
		total.slowSaves += s.slowSaves
		longest = max(longest, s.snapshots)
		return false
	})
	t.Logf("%d histories: %+v; most snapshots in one: %d", *histories, total, longest)
}

// TestChecksDetectInjectedBugs runs variants with an injected bug until a safety
// check detects it.
func TestChecksDetectInjectedBugs(t *testing.T) {
	const limit, enough = 4000, 2 // histories
	names := map[variant]string{
		reusedIncarnation:  "reused incarnation",
		sendBeforeSync:     "send before sync",
		unconfirmedReads:   "unconfirmed reads",
		prematureBootstrap: "premature bootstrap",
		prematurePromotion: "premature promotion",
		unsavedPromises:    "unsaved promises",
	}
	for v := reusedIncarnation; v <= unsavedPromises; v++ {
		t.Run(names[v], func(t *testing.T) {
			ran, found := 0, 0
			var last error
			runHistories(1, limit, v, func(_ simStats, err error) bool {
				ran++
				if err != nil && !errors.Is(err, errNoRecovery) {
					found++
					last = err
				}
				return found == enough
			})
			require.NotZero(t, found)
			t.Logf("found in %d of %d histories, e.g. %v", found, ran, last)
		})
	}
}
