package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// largestCanaryShare is the part of the exposure share that Canary may use at most. The
	// rest is for a version that turns bad during Finishing, when it gets all requests: it
	// is noticed within 2 s, noticeMS, which is much of a short duration.
	largestCanaryShare = 0.4
	leastCanaryShare   = 0.15
	noticeMS           = 2000
	// canarySlack is the part of the slack that Canary may use. The rest is for requests
	// that reached the new version before all processes knew of the rollout.
	canarySlack = 0.6
	// firstSlack is the part of canarySlack that may be used at once. The rest becomes available
	// evenly until Finishing, so that a small service has evidence all the time.
	firstSlack = 0.35

	// finishingShare of the duration is left when Finishing begins, and more for a short
	// duration: requests at the old version last for up to 5 s.
	finishingShare = 0.15
	finishingMS    = 7000
	// largestFinishingShare bounds finishingMS.
	largestFinishingShare = 0.25
	// watchShare of the time of Finishing passes before Completed, so that faults which
	// show only under the whole load are noticed while the old targets still run.
	watchShare = 0.5
	// leastWatchMS of Finishing passes in any case: processes learn of it within 200 ms, and
	// the numbers of their requests are up to 200 ms old.
	leastWatchMS = 1500
	// endedShare of the time of Finishing is left when Canary ends even if the evidence
	// is incomplete.
	endedShare = 0.35
	// completionShare of the time of Finishing is left at the latest at Completed, whether
	// or not all requests at the old version have ended.
	completionShare = 0.25
	// watchAnswers of the new version during Finishing are needed before that.
	watchAnswers = 100

	// badLimit is the number of bad responses beyond those to be expected at which a
	// version is reverted at once. It is well below 50, from which the rollback delay
	// counts, as further requests are in flight by then.
	badLimit = 20
	// badDifference is by how much the share of bad responses must exceed the old one for
	// that, and badDeviations by how many standard deviations the number must.
	badDifference = 0.05
	badDeviations = 3

	// The first responses of cold targets are slow. During the warm-up, slow responses
	// count no further than to warmUpLevel, but badLimit holds. It lasts longer while
	// targets say that they are cold, for longestWarmUpShare of the duration at most.
	warmUpShare        = 0.2
	warmUpMS           = 8000
	longestWarmUpShare = 0.4
	warmUpLevel        = 0.3 * alarmLevel

	// minAnswers of the new version are needed before Finishing.
	minAnswers = 24
	// slotsShare of the old targets' slots, or loadShare of the most requests seen at once,
	// must be available at the new targets before Finishing.
	slotsShare = 0.9
	loadShare  = 1.2
	// gatherMS is how long a new leader gathers evidence before it advances a rollout.
	gatherMS = 1500

	// expiryMarginMS is how long after its expiry a grant may still be spent, by clocks
	// that run differently and reports that are late.
	expiryMarginMS = 2000
	// longestGrant is how long a grant may be spent, and grantShare the part of the
	// rollback delay that it may take.
	longestGrant = 2 * time.Second
	grantShare   = 0.4
)

// Bounds bounds what a bad version may do.
type Bounds struct {
	Share         float64       // of all requests of the service that the new version may get
	Slack         int           // requests, in addition
	RollbackDelay time.Duration // from the 50th bad response to the last request
}

// Set reports whether the bounds allow rollouts at all.
func (b Bounds) Set() bool { return b.Share > 0 && b.RollbackDelay > 0 }

// GrantTTL returns how long a grant may be spent. A process that cannot be reached must
// have stopped within RollbackDelay.
func (b Bounds) GrantTTL() time.Duration {
	return min(longestGrant, time.Duration(grantShare*float64(b.RollbackDelay)))
}

// Observed is what the leader knows of the service besides the record.
type Observed struct {
	Targets
	Sum         Sum
	LedgerAgeMS int64 // time for which this leader has gathered evidence
}

// Targets describes the targets of a service during a rollout.
type Targets struct {
	NewCold     bool // one of them is cold
	NewTargets  int  // ready targets of the new version
	OldTargets  int  // targets of other versions in any state
	NewSlots    int
	OldSlots    int
	InFlight    int // requests at all targets of the service
	OldInFlight int // requests at targets of other versions
}

// Memory is the state of the tests that Decide keeps between two calls. The zero value is
// that of a new leader.
type Memory struct {
	LastMS           int64
	FirstNewMS       int64  // when the new version's first responses were seen
	FinishingMS      int64  // when Finishing was first seen
	FinishingAnswers uint64 // responses of the new version until then
	PeakLoad         int    // most requests seen at the targets of the service at once
	All              RouteMemory
	Routes           map[string]RouteMemory
}

// RouteMemory is the state of the tests of one route, or of all routes together.
type RouteMemory struct {
	started        bool
	new, old       Counts // seen so far
	failures, slow cusum
}

// Decision is what follows from the evidence.
type Decision struct {
	Advance *Advance // nil: the phase stays
	Allowed uint64   // requests that may have been granted in total
	Why     string   // why the rollout stands where it does
}

// FinishingMS returns the time before the limit at which Finishing begins.
func FinishingMS(durationMS int64) int64 {
	d := float64(durationMS)
	return int64(math.Max(finishingShare*d, math.Min(finishingMS, largestFinishingShare*d)))
}

// Allowed returns how many requests to the new version may be granted during Canary,
// after the given time and number of requests that reached the service.
func Allowed(b Bounds, durationMS, elapsedMS int64, reached uint64) uint64 {
	passed := math.Min(1, math.Max(0, float64(elapsedMS)/float64(durationMS-FinishingMS(durationMS))))
	slack := canarySlack * float64(b.Slack) * (firstSlack + (1-firstSlack)*passed)
	share := canaryShare(b, durationMS, float64(reached)/math.Max(1, float64(elapsedMS)))
	return uint64(share*b.Share*float64(reached) + slack)
}

// canaryShare returns the part of the exposure share that Canary may use at a rate of
// requests per millisecond.
func canaryShare(b Bounds, durationMS int64, rate float64) float64 {
	kept := math.Max(0, rate*noticeMS-(1-canarySlack)*float64(b.Slack))
	expected := b.Share * rate * float64(durationMS)
	if expected <= 0 {
		return largestCanaryShare
	}
	return math.Min(largestCanaryShare, math.Max(leastCanaryShare, 1-kept/expected))
}

// Decide judges a rollout that is not final. It is a pure function of its arguments.
func Decide(nowMS int64, r Rollout, b Bounds, o *Observed, m Memory) (Decision, Memory) {
	m = m.observe(nowMS, &r, o)
	left := r.StartedMS + r.DurationMS - nowMS
	advance := func(p Phase, why string, args ...any) Decision {
		why = fmt.Sprintf(why, args...)
		return Decision{Why: why, Advance: &Advance{AtMS: nowMS, Service: r.Service, StartedMS: r.StartedMS, Phase: p, Reason: why, Totals: o.Sum.Totals()}}
	}
	if bad := m.findBad(&r, o); bad != "" {
		return advance(Reverted, "%s", bad), m
	}
	finishing := FinishingMS(r.DurationMS)
	if r.Phase == Finishing {
		return m.decideFinishing(nowMS, left, finishing, o, advance), m
	}
	stay := Decision{Allowed: Allowed(b, r.DurationMS, nowMS-r.StartedMS, max(r.Requests, o.Sum.Requests))}
	if o.NewTargets == 0 {
		stay.Allowed = 0
	}
	ended := left <= int64(endedShare*float64(finishing))
	if !ended && o.LedgerAgeMS < gatherMS {
		stay.Why = "gathers evidence"
		return stay, m
	}
	if o.OldTargets == 0 && o.NewTargets > 0 && r.Old.Answers+o.Sum.Old.Answers == 0 {
		return advance(Completed, "no target runs another version"), m
	}
	missing := m.missing(&r, o)
	switch {
	case left > finishing:
		stay.Why = fmt.Sprintf("observes until %d ms before the time limit", finishing)
		if missing != "" {
			stay.Why += "; so far: " + missing
		}
		return stay, m
	case missing == "":
		return advance(Finishing, "%d responses of the new version are as good as those of the old one", o.Sum.New.Answers), m
	case ended:
		return advance(Reverted, "near the time limit: %s", missing), m
	default:
		stay.Why = missing
		return stay, m
	}
}

// decideFinishing judges a rollout in Finishing that is not found bad. left is the time
// until the limit and finishing the whole time of the phase, in milliseconds.
func (m *Memory) decideFinishing(nowMS, left, finishing int64, o *Observed, advance func(Phase, string, ...any) Decision) Decision {
	switch {
	case o.LedgerAgeMS < gatherMS:
		return Decision{Why: "gathers evidence"}
	case left <= int64(completionShare*float64(finishing)) && m.doubt() != "":
		return advance(Reverted, "near the time limit: %s", m.doubt())
	case left <= int64(completionShare*float64(finishing)):
		return advance(Completed, "the time limit is near; %d requests are at the old version", o.OldInFlight)
	case left > int64(watchShare*float64(finishing)), nowMS-m.FinishingMS < leastWatchMS, o.Sum.New.Answers < m.FinishingAnswers+watchAnswers:
		return Decision{Why: "observes the new version under the whole load"}
	case o.OldInFlight > 0:
		return Decision{Why: fmt.Sprintf("%d requests are at the old version", o.OldInFlight)}
	case m.doubt() != "":
		return Decision{Why: m.doubt()}
	default:
		return advance(Completed, "no requests are at the old version")
	}
}

// observe adds the evidence since the previous call to the tests.
func (m Memory) observe(nowMS int64, r *Rollout, o *Observed) Memory {
	elapsed := int64(0)
	if m.LastMS > 0 {
		elapsed = max(0, nowMS-m.LastMS)
	}
	m.LastMS = nowMS
	m.PeakLoad = max(m.PeakLoad, o.InFlight)
	if m.FirstNewMS == 0 && o.Sum.New.Answers > 0 {
		m.FirstNewMS = nowMS
	}
	if m.FinishingMS == 0 && r.Phase == Finishing {
		m.FinishingMS, m.FinishingAnswers = nowMS, o.Sum.New.Answers
	}
	if o.Sum.Old.Answers < minOldAnswers {
		return m // the responses of the new version are compared later
	}
	step := routeStep{elapsedMS: elapsed, warm: !m.warmingUp(nowMS, r, o.NewCold), alone: r.Phase == Finishing}
	prior := tally{priorAnswers, priorBad}
	m.All = m.All.observe(step, o.Sum.Old, o.Sum.New, prior, prior)
	step.failures, step.slow = m.All.failures.load, m.All.slow.load
	routes := maps.Clone(m.Routes)
	if routes == nil {
		routes = make(map[string]RouteMemory)
	}
	for name, sum := range o.Sum.Routes {
		failures := tally{routePriorAnswers, routePriorAnswers * m.All.failures.usual()}
		slow := tally{routePriorAnswers, routePriorAnswers * m.All.slow.usual()}
		routes[name] = routes[name].observe(step, sum.Old, sum.New, failures, slow)
	}
	m.Routes = routes
	return m
}

// routeStep is what all routes have in common in one call of Decide.
type routeStep struct {
	elapsedMS      int64
	warm, alone    bool
	failures, slow float64 // see interval.load
}

// observe adds the responses of one route, or of all together, since the previous call.
func (m RouteMemory) observe(step routeStep, oldSum, newSum Counts, failurePrior, slowPrior tally) RouteMemory {
	old, added := oldSum.since(m.old), newSum.since(m.new)
	failed := func(c Counts) tally { return tally{float64(c.Answers), float64(c.Failed)} }
	slow := func(c Counts) tally { return tally{float64(c.Answers), float64(c.Slow)} }
	i := interval{elapsedMS: step.elapsedMS, first: !m.started, alone: step.alone}
	i.oldTotal, i.old, i.added, i.prior, i.load = failed(oldSum), failed(old), failed(added), failurePrior, step.failures
	m.failures = m.failures.observe(i)
	i.oldTotal, i.old, i.added, i.prior, i.load = slow(oldSum), slow(old), slow(added), slowPrior, step.slow
	m.slow = m.slow.observe(i)
	if !step.warm {
		m.slow.level = math.Min(m.slow.level, warmUpLevel)
	}
	m.started = true
	m.old, m.new = m.old.max(oldSum), m.new.max(newSum)
	return m
}

// warmingUp reports whether slow responses may be due to cold targets.
func (m *Memory) warmingUp(nowMS int64, r *Rollout, cold bool) bool {
	if m.FirstNewMS == 0 {
		return true
	}
	passed, duration := float64(nowMS-m.FirstNewMS), float64(r.DurationMS)
	return passed < math.Min(warmUpMS, warmUpShare*duration) || cold && passed < longestWarmUpShare*duration
}

// findBad returns why the new version counts as bad, or an empty string.
func (m *Memory) findBad(r *Rollout, o *Observed) string {
	for _, name := range slices.Sorted(maps.Keys(m.Routes)) {
		route := m.Routes[name]
		if kind := route.above(alarmLevel); kind != "" {
			sum := o.Sum.Routes[name]
			return fmt.Sprintf("route %s: the new version has more %s responses: %s", name, kind, compare(sum.New, sum.Old))
		}
	}
	if kind := m.All.above(alarmLevel); kind != "" {
		return fmt.Sprintf("the new version has more %s responses: %s", kind, compare(o.Sum.New, o.Sum.Old))
	}
	// A new leader has not heard from all processes, and will not from those that ended.
	known := o.Sum.New.max(r.New)
	answers, bad := float64(known.Answers), float64(known.Bad())
	p := math.Min(1, math.Max(m.All.failures.peak, m.All.failures.expected)+math.Max(m.All.slow.peak, m.All.slow.expected))
	excess := bad - answers*p - badDeviations*math.Sqrt(answers*p*(1-p))
	if excess >= badLimit && bad > answers*(p+badDifference) {
		return fmt.Sprintf("%d bad responses of the new version are too many: %s", int(bad), compare(o.Sum.New, o.Sum.Old))
	}
	return ""
}

// compare describes the counts of both versions for operators.
func compare(fresh, old Counts) string {
	return fmt.Sprintf("%d failed and %d slow of %d, the old one %d and %d of %d", fresh.Failed, fresh.Slow, fresh.Answers, old.Failed, old.Slow, old.Answers)
}

// above returns the kind of response by which a test exceeds a level, or an empty string.
func (m *RouteMemory) above(level float64) string {
	switch {
	case m.failures.level >= level:
		return "failed"
	case m.slow.level >= level:
		return "slow"
	default:
		return ""
	}
}

// doubt returns why the new version may be bad, or an empty string.
func (m *Memory) doubt() string {
	if kind := m.All.above(doubtLevel); kind != "" {
		return fmt.Sprintf("the new version may have more %s responses", kind)
	}
	for _, name := range slices.Sorted(maps.Keys(m.Routes)) {
		route := m.Routes[name]
		if kind := route.above(doubtLevel); kind != "" {
			return fmt.Sprintf("route %s: the new version may have more %s responses", name, kind)
		}
	}
	return ""
}

// missing returns what is needed before Finishing, or an empty string.
func (m *Memory) missing(r *Rollout, o *Observed) string {
	fresh := o.Sum.New.max(r.New)
	if o.NewTargets == 0 {
		return "no target of the new version is ready"
	}
	if fresh.Answers < minAnswers || o.Sum.Old.Answers < minOldAnswers {
		return fmt.Sprintf("too little evidence: %d responses of the new version, %d of the old one", fresh.Answers, o.Sum.Old.Answers)
	}
	if doubt := m.doubt(); doubt != "" {
		return doubt
	}
	failures := tally{float64(fresh.Answers), float64(fresh.Failed)}
	if failures.ratio(m.All.failures.expected) > soundLevel {
		return fmt.Sprintf("too little evidence: %d of %d responses of the new version failed", fresh.Failed, fresh.Answers)
	}
	needed := int(math.Min(slotsShare*float64(o.OldSlots), loadShare*float64(m.PeakLoad)))
	if o.NewSlots < needed {
		return fmt.Sprintf("the new version's targets have %d slots, %d are needed", o.NewSlots, needed)
	}
	return ""
}
