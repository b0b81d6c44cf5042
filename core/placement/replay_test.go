package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"banyanwalk/core/roster"
)

// The replay runs engines and a broker in virtual time, in steps of one millisecond.
const (
	replayTargets   = 42
	replaySlots     = 8
	replayWarmup    = 6600 * time.Millisecond
	replayEvents    = 28
	eventWorkMS     = 20.8
	stepLength      = 6600 * time.Millisecond
	spellMS         = 600
	spellShare      = 0.15
	spellSlowdown   = 2.5
	observeDelayMS  = 4 // until the broker knows what a gateway saw
	firstEventDueMS = 300
	maxGapMS        = 250
)

// replayDuration is shorter unless the figures are to be shown.
func replayDuration() time.Duration {
	if testing.Verbose() {
		return 10 * stepLength
	}
	return 4 * stepLength
}

// replayRun is one request in the replay.
type replayRun struct {
	id       string
	at       int     // arrival, ms
	work     float64 // left until its next event, in ms at usual speed
	events   int     // so far
	first    int     // time of the first event, ms; 0: none yet
	last     int     // time of the last event
	said     int     // pace that the response named, percent
	gap      int     // longest between two events
	fill     int     // at the target when it was chosen
	pace     int     // that was expected of it, percent
	finished int
}

type replayEngine struct {
	record  *roster.Record
	speed   float64
	knee    int // concurrency above which the engine gets no more done; 0: none
	slowFor int // ms left of the slow period
	running []*replayRun
	waiting []*replayRun
}

func (e *replayEngine) pace() float64 {
	if e.slowFor > 0 {
		return spellSlowdown
	}
	return 1
}

func (e *replayEngine) rate() float64 {
	rate := e.speed / e.pace()
	if e.knee > 0 && len(e.running) > e.knee {
		rate *= float64(e.knee) / float64(len(e.running))
	}
	return rate
}

// chooser is a way to place requests.
type chooser interface {
	choose(now time.Time) (id string, fill, pace int)
	header(now time.Time, e *roster.Record, load TargetLoad)
	finished(now time.Time, run *replayRun, record *roster.Record)
}

type replayScenario struct {
	name     string
	mean     float64 // requests a second
	knees    bool    // a third of the engines slow down above 3 requests
	withPace bool    // targets name their pace
	short    bool    // part of each run of the test
	from, to int     // ms; requests that arrive then count; 0: those after the warm-up
	liar     string  // target that lies about its load; empty: none
	lie      func(rng *rand.Rand) TargetLoad
}

type replayResult struct {
	p50, p99, firstP99, inTime float64
	refused, requests          int
	reports                    int // of load
	atLiar                     int // requests at the target that lies
}

func (r replayResult) String() string {
	return fmt.Sprintf("p50 %4.0f  p99 %5.0f  first p99 %4.0f  in time %.4f  refused %d of %d  reports %d", r.p50, r.p99, r.firstP99, r.inTime, r.refused, r.requests, r.reports)
}

func replayRecords() []*roster.Record {
	records := make([]*roster.Record, 0, replayTargets)
	for i := range replayTargets {
		records = append(records, record(fmt.Sprintf("t%02d", i), "a"))
	}
	return records
}

type delayed struct {
	at int
	do func(now time.Time)
}

// replay runs a scenario with one way to place requests.
func replay(s replayScenario, c chooser, records []*roster.Record, seed uint64) replayResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	engines := make(map[string]*replayEngine)
	order := make([]*replayEngine, 0, len(records))
	for i, r := range records {
		e := &replayEngine{record: r, speed: []float64{0.7, 0.7, 1.7}[i%3]}
		if s.knees && (i/3)%3 == 0 {
			e.knee = 3
		}
		engines[r.ID] = e
		order = append(order, e)
	}
	if s.to == 0 {
		s.from, s.to = int(replayWarmup/time.Millisecond), int(replayDuration()/time.Millisecond)
	}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var pending []delayed
	var done []*replayRun
	result := replayResult{}
	nextArrival := 0.0
	for now := range int(replayDuration() / time.Millisecond) {
		for len(pending) > 0 && pending[0].at <= now {
			pending[0].do(at(now))
			pending = pending[1:]
		}
		for nextArrival <= float64(now) {
			rate := s.mean * 0.38
			if now/int(stepLength/time.Millisecond)%2 == 1 {
				rate = s.mean * 1.84
			}
			nextArrival += rng.ExpFloat64() * 1000 / rate
			work := 15 + 5*rng.Float64()
			id, fill, pace := c.choose(at(now))
			if now >= s.from && now < s.to {
				result.requests++
				if id == "" {
					result.refused++
				}
			}
			if id != "" {
				e := engines[id]
				e.waiting = append(e.waiting, &replayRun{id: id, at: now, work: work, fill: fill, pace: pace})
			}
		}
		for _, e := range order {
			// A slow period begins so often that the given share of time is slow.
			if e.slowFor > 0 {
				e.slowFor--
			} else if rng.Float64() < spellShare/(1-spellShare)/spellMS {
				e.slowFor = spellMS
			}
			for len(e.running) < replaySlots && len(e.waiting) > 0 {
				e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
			}
			rate := e.rate()
			kept := e.running[:0]
			for _, run := range e.running {
				run.work -= rate
				if run.work > 0 {
					kept = append(kept, run)
					continue
				}
				run.work += eventWorkMS
				run.events++
				if run.first == 0 {
					run.first = now
					pace := e.pace()
					if !s.withPace {
						pace = 0
					}
					load := TargetLoad{Running: len(e.running), Waiting: len(e.waiting), Slots: replaySlots, PacePercent: int(100 * pace)}
					if s.liar == run.id {
						load = s.lie(rng)
					}
					run.said = load.PacePercent
					if PaceChanged(run.pace, load.PacePercent) {
						result.reports++
						pending = append(pending, delayed{now + observeDelayMS, func(t time.Time) { c.header(t, e.record, load) }})
					}
				} else {
					run.gap = max(run.gap, now-run.last)
				}
				run.last = now
				if run.events < replayEvents {
					kept = append(kept, run)
					continue
				}
				run.finished = now
				if run.at >= s.from && run.at < s.to {
					done = append(done, run)
				}
				pending = append(pending, delayed{now + observeDelayMS, func(t time.Time) { c.finished(t, run, e.record) }})
			}
			e.running = kept
		}
	}
	return result.withRuns(done, s.liar)
}

// withRuns adds the figures of the runs at all targets but one.
func (r replayResult) withRuns(done []*replayRun, liar string) replayResult {
	var whole, first []float64
	inTime := 0
	for _, run := range done {
		if run.id == liar {
			r.atLiar++
			continue
		}
		whole = append(whole, float64(run.finished-run.at))
		first = append(first, float64(run.first-run.at))
		if run.first-run.at <= firstEventDueMS && run.gap <= maxGapMS {
			inTime++
		}
	}
	slices.Sort(whole)
	slices.Sort(first)
	r.p50, r.p99, r.firstP99 = whole[len(whole)/2], whole[len(whole)*99/100], first[len(first)*99/100]
	r.inTime = float64(inTime) / float64(len(whole)+r.refused)
	return r
}

// byTargets places with Targets, with or without what targets tell.
type byTargets struct {
	targets *Targets
	learns  bool
}

func (c *byTargets) choose(now time.Time) (id string, fill, pace int) {
	r, _ := c.targets.Acquire(now, Query{Service: "llm", MaxQueue: 2})
	if r == nil {
		return "", 0, 0
	}
	return r.ID, c.targets.TotalLoad(r.ID), c.targets.ExpectedPace(now, r.ID)
}

func (c *byTargets) header(now time.Time, r *roster.Record, load TargetLoad) {
	if c.learns {
		c.targets.ObserveLoad(now, r, load)
	}
}

func (c *byTargets) finished(now time.Time, run *replayRun, r *roster.Record) {
	c.targets.Release(run.id, false)
	if c.learns {
		c.targets.ObserveRun(now, RunReport{Target: r.ID, Incarnation: r.Incarnation, Fill: run.fill, FirstMS: int64(run.first - run.at),
			EventUS: int64(run.last-run.first) * 1000 / (replayEvents - 1), RanMS: int64(run.last - run.at), PacePercent: run.said})
	}
}

func newByTargets(learns bool) *byTargets {
	targets := New("a")
	targets.SetRecords(replayRecords())
	return &byTargets{targets: targets, learns: learns}
}

// newBroker is byTargets whose broker is replaced by one that has learned nothing, and
// that is told the requests of its predecessor 300 ms later.
type newBroker struct {
	byTargets
	replacedAt time.Time
	replaced   bool
	former     map[string]Load
	toldAt     time.Time
}

func (c *newBroker) choose(now time.Time) (id string, fill, pace int) {
	if !c.replaced && !now.Before(c.replacedAt) {
		c.replaced, c.toldAt = true, now.Add(300*time.Millisecond)
		c.former = c.targets.OwnLoads(0)
		c.targets = newByTargets(true).targets
		c.targets.DrainLimits(now)
	}
	if c.replaced && !now.Before(c.toldAt) {
		c.toldAt = now.Add(100 * time.Millisecond)
		c.targets.SetPeerLoads(maps.Clone(c.former), 1)
	}
	return c.byTargets.choose(now)
}

func (c *newBroker) finished(now time.Time, run *replayRun, r *roster.Record) {
	if c.replaced && start.Add(time.Duration(run.at)*time.Millisecond).Before(c.replacedAt) {
		c.former[run.id] = Load{Online: c.former[run.id].Online - 1}
		return
	}
	c.byTargets.finished(now, run, r)
}

// TestNewBrokerLearnsWithinASecond guards against a broker that places badly for long
// after it has taken over, at the peak of the load.
func TestNewBrokerLearnsWithinASecond(t *testing.T) {
	const replacedMS = 20_000
	s := replayScenario{mean: 200, withPace: true, from: replacedMS + 1000, to: replacedMS + 3000}
	kept := replay(s, newByTargets(true), replayRecords(), 5)
	changed := replay(s, &newBroker{byTargets: *newByTargets(true), replacedAt: start.Add(replacedMS * time.Millisecond)}, replayRecords(), 5)
	t.Log("kept   ", kept)
	t.Log("changed", changed)
	assert.LessOrEqual(t, changed.p50, 1.1*kept.p50)
	assert.LessOrEqual(t, changed.p99, 1.1*kept.p99)
	assert.GreaterOrEqual(t, changed.inTime, kept.inTime-0.005)
}

// byCost is an alternative that was weighed: the lowest cost among targets with a place.
type byCost struct {
	ids      []string
	inFlight map[string]int
	average  map[string]float64 // of the duration, ms
	limit    map[string]float64
	at       map[string]time.Time
	cost     func(c *byCost, now time.Time, id string) float64
	observe  func(c *byCost, now time.Time, run *replayRun)
}

func newByCost(cost func(*byCost, time.Time, string) float64, observe func(*byCost, time.Time, *replayRun)) *byCost {
	c := &byCost{inFlight: map[string]int{}, average: map[string]float64{}, limit: map[string]float64{}, at: map[string]time.Time{}, cost: cost, observe: observe}
	for _, r := range replayRecords() {
		c.ids = append(c.ids, r.ID)
		c.average[r.ID], c.limit[r.ID] = 600, replaySlots
	}
	return c
}

func (c *byCost) choose(now time.Time) (best string, fill, pace int) {
	least := math.Inf(1)
	for _, id := range c.ids {
		if c.inFlight[id] >= replaySlots+2 {
			continue
		}
		if cost := c.cost(c, now, id); cost < least {
			best, least = id, cost
		}
	}
	if best != "" {
		c.inFlight[best]++
	}
	return best, c.inFlight[best], 0
}

func (c *byCost) header(time.Time, *roster.Record, TargetLoad) {}

func (c *byCost) finished(now time.Time, run *replayRun, _ *roster.Record) {
	c.inFlight[run.id]--
	if c.observe != nil {
		c.observe(c, now, run)
	}
}

// fixedWeights divides the load by known mean speeds.
func fixedWeights() chooser {
	weights := map[string]float64{}
	for i, r := range replayRecords() {
		weights[r.ID] = []float64{0.7, 0.7, 1.7}[i%3]
	}
	return newByCost(func(c *byCost, _ time.Time, id string) float64 {
		return float64(c.inFlight[id]+1)/weights[id] + queueCost(c.inFlight[id])
	}, nil)
}

// queueCost makes a full target the last choice.
func queueCost(inFlight int) float64 {
	if inFlight >= replaySlots {
		return 1000
	}
	return 0
}

// peakSensitive is a moving average of durations that rises at once and falls slowly,
// times the requests in flight.
func peakSensitive() chooser {
	const decay = 600 * time.Millisecond
	return newByCost(func(c *byCost, _ time.Time, id string) float64 {
		return c.average[id]/600*float64(c.inFlight[id]+1) + queueCost(c.inFlight[id])
	}, func(c *byCost, now time.Time, run *replayRun) {
		took := float64(run.finished - run.at)
		if took > c.average[run.id] {
			c.average[run.id] = took
		} else {
			weight := math.Exp(-float64(now.Sub(c.at[run.id])) / float64(decay))
			c.average[run.id] = weight*c.average[run.id] + (1-weight)*took
		}
		c.at[run.id] = now
	})
}

// gradientLimit adapts a concurrency limit for each target by the ratio of its mean
// to its newest duration, and chooses by the share of the limit in use.
func gradientLimit() chooser {
	return newByCost(func(c *byCost, _ time.Time, id string) float64 {
		return float64(c.inFlight[id]+1)/c.limit[id] + queueCost(c.inFlight[id])
	}, func(c *byCost, _ time.Time, run *replayRun) {
		took := float64(run.finished - run.at)
		c.average[run.id] += 0.02 * (took - c.average[run.id])
		gradient := min(1, max(0.5, 1.2*c.average[run.id]/took))
		c.limit[run.id] = min(replaySlots, max(1, 0.8*c.limit[run.id]+0.2*(gradient*c.limit[run.id]+1)))
	})
}

// TestReplayOfTargetsThatDiffer guards against a choice that lets slow targets delay
// requests while faster ones have free slots.
func TestReplayOfTargetsThatDiffer(t *testing.T) {
	for _, s := range []replayScenario{
		{name: "as asked", mean: 200, withPace: true, short: true},
		{name: "as asked, no pace", mean: 200, short: true},
		{name: "knees", mean: 200, knees: true, withPace: true, short: true},
		{name: "heavier", mean: 260, withPace: true},
		{name: "heavier, no pace", mean: 260},
		{name: "overload", mean: 310, withPace: true, short: true},
		{name: "overload knees", mean: 230, withPace: true, knees: true},
	} {
		if !s.short && !testing.Verbose() {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			present := replay(s, newByTargets(false), replayRecords(), 7)
			chosen := replay(s, newByTargets(true), replayRecords(), 7)
			t.Log("present ", present)
			t.Log("chosen  ", chosen)
			if testing.Verbose() { // the figures of docs/design/0018
				t.Log("fixed   ", replay(s, fixedWeights(), replayRecords(), 7))
				t.Log("peak    ", replay(s, peakSensitive(), replayRecords(), 7))
				t.Log("gradient", replay(s, gradientLimit(), replayRecords(), 7))
			}
			assert.Less(t, chosen.p50, 0.95*present.p50)
			assert.Less(t, chosen.p99, present.p99)
			assert.GreaterOrEqual(t, chosen.inTime, present.inTime)
		})
	}
}
