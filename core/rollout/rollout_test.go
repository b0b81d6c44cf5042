package rollout_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/rollout"
)

// sound is how a good version and the old one answer.
func sound(s *site) (failed, slow bool) {
	return s.rand.Float64() < 0.005, s.rand.Float64() < 0.02
}

// bad makes a part of the answers bad, half of them failed.
func bad(s *site, part float64) (failed, slow bool) {
	if s.rand.Float64() < part {
		return s.rand.IntN(2) == 0, true
	}
	return sound(s)
}

// badVersions are the ways in which a new version may be bad.
var badVersions = map[string]func(s *site, route string) (failed, slow bool){
	"at once":      func(s *site, _ string) (bool, bool) { return bad(s, 0.3) },
	"always fails": func(*site, string) (bool, bool) { return true, false },
	"only slow":    func(s *site, _ string) (bool, bool) { return false, s.rand.Float64() < 0.4 },
	"late":         func(s *site, _ string) (bool, bool) { return bad(s, when(s.elapsed() > s.durationMS/2, 0.3)) },
	"in Finishing": func(s *site, _ string) (bool, bool) {
		return bad(s, when(s.elapsed() > s.durationMS-rollout.FinishingMS(s.durationMS)+300, 0.3))
	},
	"only under load": func(s *site, _ string) (bool, bool) {
		return bad(s, when(float64(s.freshInFlight()) > 0.2*s.rate(s.elapsed()), 0.4))
	},
	"on one route":   func(s *site, route string) (bool, bool) { return bad(s, when(route == "b", 0.3)) },
	"a tenth is bad": func(s *site, _ string) (bool, bool) { return bad(s, 0.15) },
	"late, one route": func(s *site, route string) (bool, bool) {
		return bad(s, when(route == "c" && s.elapsed() > s.durationMS/2, 0.5))
	},
}

func when(condition bool, part float64) float64 {
	if condition {
		return part
	}
	return 0
}

func (s *site) elapsed() int64 { return s.now - s.history[0].StartedMS }

func (s *site) freshInFlight() int { return len(s.pending) - s.oldInFlight }

// troubles are faults of the site; a bad version must stay within its bounds and a good
// one must be completed with each.
var troubles = map[string]func(s *site){
	"calm":    func(*site) {},
	"reports": func(s *site) { s.loss, s.repeat = 0.3, 0.3 },
	"restart": func(s *site) { s.restart = func(ms int64) bool { return ms%3000 == 0 } },
	"leaders": func(s *site) {
		s.leaderLost, s.leaderless = func(ms int64) bool { return ms%7000 == 4000 }, 700
	},
	"hoarded grants": func(s *site) { s.hoard = true },
	"steps of the load": func(s *site) {
		s.rate = func(ms int64) float64 { return []float64{0.4, 1.84}[ms/3300%2] * usualRate }
	},
	"frozen process": func(s *site) { s.frozen, s.wakeMS = map[int]bool{1: true, 2: true}, 1_012_000 },
}

// A bad version must be reverted within the bounds of its exposure and of its time,
// however its badness shows and whatever else fails. Guards against exposing callers to
// it, and against completing it.
func TestBadVersionIsReverted(t *testing.T) {
	for kind, answer := range badVersions {
		for trouble, cause := range troubles {
			t.Run(kind+"/"+trouble, func(t *testing.T) {
				for seed := range uint64(3) {
					s := newSite(seed)
					cause(s)
					s.answer = func(s *site, fresh bool, route string) (bool, bool) {
						if !fresh {
							return sound(s)
						}
						return answer(s, route)
					}
					r := s.run(t)
					t.Logf("seed %d: %s: %s; %d of %d at the new version, %d bad", seed, r.Phase, r.Reason, s.fresh, s.total, s.freshBad)
					assert.Equal(t, rollout.Reverted, r.Phase, r.Reason)
					s.requireBounds(t)
				}
			})
		}
	}
}

// A good version must be completed before the time limit, with next to no requests left
// at the old one. Guards against reverting it for cold targets, for a crash that hits
// several requests at once, for the load or for faults of the control group.
func TestGoodVersionIsCompleted(t *testing.T) {
	kinds := map[string]func(s *site) (failed, slow bool){
		"sound": sound,
		"cold and slow at first": func(s *site) (bool, bool) {
			return false, s.fresh < 18 && s.rand.Float64() < 0.8 || s.rand.Float64() < 0.02
		},
		"one crash": func(s *site) (bool, bool) {
			if s.elapsed() < 100 {
				s.crashAt = 15_000
			}
			return sound(s)
		},
	}
	for kind, answer := range kinds {
		for trouble, cause := range troubles {
			t.Run(kind+"/"+trouble, func(t *testing.T) {
				for seed := range uint64(3) {
					s := newSite(seed)
					cause(s)
					s.answer = func(s *site, fresh bool, _ string) (bool, bool) {
						if !fresh {
							return sound(s)
						}
						return answer(s)
					}
					r := s.run(t)
					completed := s.changedMS[len(s.changedMS)-1] - s.history[0].StartedMS
					assert.Equal(t, rollout.Completed, r.Phase, r.Reason)
					assert.Less(t, completed, s.durationMS)
					assert.LessOrEqual(t, s.completedWith, len(s.frozen))
					t.Logf("seed %d: %s after %d ms; %d of %d at the new version", seed, r.Reason, completed, s.fresh, s.total)
				}
			})
		}
	}
}

// A load that makes both versions slow must not count against the new one.
func TestLoadIsComparedAtTheSameTime(t *testing.T) {
	for seed := range uint64(5) {
		s := newSite(seed)
		s.answer = func(s *site, _ bool, _ string) (bool, bool) {
			return false, s.rand.Float64() < []float64{0.02, 0.35}[s.elapsed()/6600%2]
		}
		r := s.run(t)
		assert.Equal(t, rollout.Completed, r.Phase, r.Reason)
	}
}

// Small services: a rollout with hardly any request is reverted and says so; a few
// requests a second are enough for a proof.
func TestFewRequests(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		phase rollout.Phase
		why   string
	}{{0.2, rollout.Reverted, "too little evidence"}, {8, rollout.Completed, ""}} {
		for seed := range uint64(5) {
			s := newSite(seed)
			s.rate = func(int64) float64 { return c.rate }
			s.answer = func(*site, bool, string) (bool, bool) { return false, false }
			r := s.run(t)
			assert.Equal(t, c.phase, r.Phase, "%s with %v a second", r.Reason, c.rate)
			assert.Contains(t, r.Reason, c.why)
			s.requireBoundsIfReverted(t, c.phase)
		}
	}
}

// The requests must not move to targets that cannot take them.
func TestTooFewSlots(t *testing.T) {
	s := newSite(1)
	s.newSlots = 30
	r := s.run(t)
	assert.Equal(t, rollout.Reverted, r.Phase)
	assert.Contains(t, r.Reason, "slots")
	s.requireBounds(t)
}

func (s *site) requireBoundsIfReverted(t *testing.T, phase rollout.Phase) {
	if phase == rollout.Reverted {
		s.requireBounds(t)
	}
}

func beginCommand(at int64, version string, duration int64) *rollout.Command {
	return &rollout.Command{Begin: &rollout.Begin{AtMS: at, Service: serviceName, Version: version, DurationMS: duration}}
}

// Guards against a lost order, an order that is begun twice, and final phases that
// change.
func TestOrdersAndFinalPhases(t *testing.T) {
	var all []rollout.Rollout
	apply := func(c *rollout.Command) (rollout.Change, error) {
		next, change, err := rollout.Apply(all, c)
		all = next
		if err != nil {
			return change, err
		}
		return change, nil
	}
	must := func(want rollout.Change, c *rollout.Command) {
		t.Helper()
		change, err := apply(c)
		require.NoError(t, err)
		require.Equal(t, want, change)
	}
	advance := func(start int64, p rollout.Phase) *rollout.Command {
		return &rollout.Command{Advance: &rollout.Advance{Service: serviceName, StartedMS: start, Phase: p}}
	}
	grant := func(start int64, n, limit uint64) *rollout.Command {
		return &rollout.Command{Grant: &rollout.Grant{Service: serviceName, StartedMS: start, Requests: n, Limit: limit}}
	}
	must(rollout.PhaseChange, beginCommand(5, "2", 1000))
	must(rollout.Unchanged, beginCommand(9, "2", 1000))
	_, err := apply(beginCommand(9, "3", 1000))
	require.Error(t, err, "another order while one is active")
	_, err = apply(beginCommand(9, "2", 2000))
	require.Error(t, err, "another duration is another order")
	must(rollout.CountsChange, grant(5, 10, 12))
	must(rollout.Unchanged, grant(5, 10, 12))
	must(rollout.Unchanged, grant(4, 1, 12))
	require.Equal(t, uint64(10), all[0].Granted)
	must(rollout.PhaseChange, advance(5, rollout.Finishing))
	must(rollout.Unchanged, advance(5, rollout.Canary))
	must(rollout.Unchanged, grant(5, 1, 12))
	must(rollout.PhaseChange, advance(5, rollout.Completed))
	for p := range rollout.Reverted + 2 {
		must(rollout.Unchanged, advance(5, p))
	}
	must(rollout.Unchanged, beginCommand(20, "2", 1000))
	must(rollout.PhaseChange, beginCommand(5, "3", 1000))
	require.NotEqual(t, int64(5), all[0].StartedMS, "a late command of the former rollout must not reach this one")
	must(rollout.Unchanged, advance(5, rollout.Reverted))
}

// The state is restored between any two commands, and the bounds hold over all leaders:
// a new leader must not grant again what a former one has granted.
func TestLeaderLostAtEachStep(t *testing.T) {
	for period := int64(300); period <= 2100; period += 300 {
		t.Run(fmt.Sprint(period), func(t *testing.T) {
			s := newSite(uint64(period))
			s.hoard = true
			s.leaderLost = func(ms int64) bool { return ms%period == 0 }
			s.answer = func(s *site, fresh bool, _ string) (bool, bool) {
				return fresh && s.rand.Float64() < 0.5, false
			}
			r := s.run(t)
			t.Logf("%s: %s; %d of %d", r.Phase, r.Reason, s.fresh, s.total)
			assert.Equal(t, rollout.Reverted, r.Phase)
			assert.GreaterOrEqual(t, r.Granted, uint64(s.fresh))
			s.requireBounds(t)
		})
	}
}

// Reports are cumulative: in any order, lost or repeated, they must give the sum of the
// newest counts, without what was counted before the order, and never the same request
// twice.
func TestLedgerCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rollout.NewLedger(0, rollout.Rollout{Service: "s", Version: "2", Requests: 7})
		before := rapid.Uint64Range(0, 1000).Draw(t, "before")
		evidence := func(version string, answers uint64) []rollout.Evidence {
			return []rollout.Evidence{{Service: "s", Version: version, Route: "r", Requests: answers, Answers: answers}, {Service: "other", Version: version, Answers: 99}}
		}
		newest := make(map[uint64]uint64)
		for p := uint64(1); p <= 3; p++ {
			l.Report(0, p, evidence("1", before))
			newest[p] = before
		}
		for range rapid.IntRange(0, 30).Draw(t, "reports") {
			p := rapid.Uint64Range(1, 3).Draw(t, "process")
			answers := before + rapid.Uint64Range(0, 500).Draw(t, "answers")
			l.Report(1000, p, evidence("1", answers))
			newest[p] = max(newest[p], answers)
		}
		want := uint64(0)
		for _, n := range newest {
			want += n - before
		}
		sum := l.Sum()
		require.Equal(t, 7+want, sum.Requests)
		require.Equal(t, want, sum.Old.Answers)
		require.Zero(t, sum.New.Answers)
	})
}

// Requests that expired unspent are granted again, but only once it is certain that they
// cannot be spent any more.
func TestExpiredGrantsReturn(t *testing.T) {
	l := rollout.NewLedger(0, rollout.Rollout{Service: "s", Version: "2"})
	placed := func(n uint64) []rollout.Evidence {
		return []rollout.Evidence{{Service: "s", Version: "2", Requests: n}}
	}
	l.Report(0, 1, placed(3))
	l.Granted(1, 10, 2000)
	l.Report(2500, 1, placed(7))
	assert.Zero(t, l.Unspent(2500, 1), "a report may be late")
	l.Report(5000, 1, placed(7))
	assert.Equal(t, uint64(6), l.Unspent(5000, 1))
	assert.Zero(t, l.Unspent(9000, 1), "returned already")
}

// The version that is already the only one in force is completed at once.
func TestVersionInForceIsCompleted(t *testing.T) {
	c := beginCommand(1, "2", 1000)
	c.Begin.InForce = true
	all, change, err := rollout.Apply(nil, c)
	require.Nil(t, err)
	assert.Equal(t, rollout.PhaseChange, change)
	assert.Equal(t, rollout.Completed, all[0].Phase)
	d, _ := rollout.Decide(3000, rollout.Rollout{DurationMS: 60_000, Phase: rollout.Canary}, bounds, &rollout.Observed{LedgerAgeMS: 3000, Targets: rollout.Targets{NewTargets: 2}}, rollout.Memory{})
	require.NotNil(t, d.Advance)
	assert.Equal(t, rollout.Completed, d.Advance.Phase)
}
