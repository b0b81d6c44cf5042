package placement

import (
	"math"
	"time"

	"banyanwalk/core/roster"
)

const (
	// speedWeight is the weight of the newest run in the moving average of a target's
	// speed, once there have been 1 / speedWeight runs.
	speedWeight = 0.05
	// maxSpeedStep bounds how far one run may differ from the average, as a factor.
	maxSpeedStep = 4
	// speedMemory is the time constant with which the expected completion at a target
	// falls that has been given no requests for idleAfter.
	speedMemory = 5 * time.Second
	idleAfter   = 2 * time.Second
	// busyRunsAfter is how long the speed is learned only from runs at a target that
	// is at most half full, since targets may slow down with their load.
	busyRunsAfter = time.Second
	// recentMemory is the time constant of the newest runs' pace where a target names
	// none, and recentWeight the weight of one run in it.
	recentMemory = 500 * time.Millisecond
	recentWeight = 0.5
	// firstTolerance is the factor by which the time to the first event may exceed its
	// mean, beyond what the time between events may: it differs between requests.
	firstTolerance = 2
	// minRuns is how many runs of a target that is at most half full are needed before
	// its speed counts as evidence that the targets of a service differ. It counts only
	// as far as it differs by more than spreadErrors standard errors.
	minRuns      = 15
	spreadErrors = 3
	// spreadOn is the ratio of the speeds of two targets from which the targets of a
	// service count as different, and spreadOff the one below which they no longer do.
	spreadOn, spreadOff = 4.0 / 3, 1.2
	// spreadInterval is the time between two comparisons of a service's targets.
	spreadInterval = 500 * time.Millisecond
)

// RunReport is what a process saw of one request that ran to its end.
type RunReport struct {
	Target      string `msgpack:"t"`
	Incarnation int64  `msgpack:"i"`           // of the target
	Fill        int    `msgpack:"f,omitempty"` // requests at the target when it was chosen, including this one
	FirstMS     int64  `msgpack:"s,omitempty"` // milliseconds from the sending to the first event or the header
	EventUS     int64  `msgpack:"e,omitempty"` // mean microseconds between two events; 0: a plain response
	RanMS       int64  `msgpack:"d,omitempty"` // milliseconds from the sending to the end
	PacePercent int    `msgpack:"p,omitempty"` // that the response named; 0: none
}

// speed is what is known of how fast one process of a target works.
type speed struct {
	incarnation int64
	learned     bool    // unit is known
	runs        int     // at most half full
	unit        float64 // logarithm of the time per unit of work at usual pace
	variance    float64 // of the runs' logarithms around unit
	unitAt      time.Time
	first       float64   // logarithm of the time to the first event; 0: unknown
	askedAt     time.Time // when a request was last placed here, or the first thing was learned
	pace        float64   // that the target named last; 0: none
	paceAt      time.Time
	meanPace    float64 // moving average of the pace that responses to runs have named; starts with the first reading
	recent      float64 // time per unit of the newest runs, relative to unit
	recentAt    time.Time
	limit       concurrencyLimit
	namedSlots  int       // that the target named; 0: none
	reported    float64   // logarithm of the relative time that SpeedChanges last returned
	reportedAt  time.Time // when it did
}

// serviceSpeed is what is known of the speeds of a service's targets together. It decides
// whether they are chosen by their speed.
type serviceSpeed struct {
	pacedAt   time.Time // when one of them last named a pace
	spread    bool      // their learned speeds differ
	checkedAt time.Time
	meanUnit  float64 // of their learned speeds
	streams   bool    // it serves streams, so that plain responses tell nothing
	reported  bool    // what SpeedChanges last returned
}

// speedOf returns what is known of a target's current process, and creates it if there
// is nothing. The caller holds the lock.
func (t *Targets) speedOf(now time.Time, r *roster.Record) *speed {
	s := t.speeds[r.ID]
	if s == nil || s.incarnation != r.Incarnation {
		s = &speed{incarnation: r.Incarnation, askedAt: now, recent: 1, limit: newConcurrencyLimit(slotsOf(r))}
		t.speeds[r.ID] = s
	}
	return s
}

// serviceSpeedOf returns the state of a service, and creates it if there is none. The
// caller holds the lock.
func (t *Targets) serviceSpeedOf(service string) *serviceSpeed {
	d := t.serviceSpeeds[service]
	if d == nil {
		d = &serviceSpeed{}
		t.serviceSpeeds[service] = d
	}
	return d
}

// ObserveRun records how long a request took that ran to its end.
func (t *Targets) ObserveRun(now time.Time, run RunReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[run.Target]
	if r == nil || r.Incarnation != run.Incarnation || run.FirstMS < 0 || run.EventUS < 0 || run.RanMS < 0 {
		return
	}
	d := t.serviceSpeedOf(r.Service)
	if run.EventUS > 0 && !d.streams {
		d.streams = true
		t.forgetUnits(r.Service)
	}
	took := float64(run.EventUS)
	if !d.streams {
		took = float64(run.FirstMS) * 1000
	}
	if took <= 0 {
		return
	}
	s := t.speedOf(now, r)
	pace := 1.0
	if run.PacePercent > 0 {
		pace = believedPace(run.PacePercent)
		s.meanPace += meanPaceWeight * (pace - s.meanPace)
	}
	unit := math.Log(took / pace)
	if !s.learned {
		s.learned, s.unit, s.unitAt, s.recentAt = true, unit, now, now
	}
	step := min(math.Log(maxSpeedStep), max(-math.Log(maxSpeedStep), unit-s.unit))
	slow := math.Exp(step) * pace / max(pace, s.paceDuring(now, run.RanMS))
	s.observeRecent(now, math.Exp(step))
	if d.streams && run.Fill <= slotsOf(r) {
		slow = max(slow, s.observeFirst(run.FirstMS)/firstTolerance)
	}
	s.limit.observe(run.Fill, slotsOf(r), slow)
	s.observeUnit(now, step, run.Fill <= max(1, slotsOf(r)/2))
	t.compareTargets(now, r.Service, d)
}

// observeRecent updates the pace of the newest runs, which stands in for a named one.
func (s *speed) observeRecent(now time.Time, ratio float64) {
	s.recent = blend(s.recent, 1, now.Sub(s.recentAt), recentMemory)
	s.recent += recentWeight * (ratio - s.recent)
	s.recentAt = now
}

// observeFirst returns the time to the first event relative to its mean.
func (s *speed) observeFirst(firstMS int64) float64 {
	first := math.Log(float64(max(1, firstMS)) + 1)
	if s.first == 0 {
		s.first = first
	}
	step := first - s.first
	s.first += speedWeight * min(math.Log(maxSpeedStep), step)
	return math.Exp(step)
}

// observeUnit adapts the learned speed by a run that differed from it by step.
func (s *speed) observeUnit(now time.Time, step float64, halfFull bool) {
	if !halfFull && now.Sub(s.unitAt) < busyRunsAfter {
		return
	}
	if halfFull {
		s.runs++
	}
	weight := max(speedWeight, 1/float64(s.runs+1))
	s.variance += weight * (step*step - s.variance)
	s.unit += weight * step
	s.unitAt = now
}

// forgetUnits drops what was learned from plain responses. The caller holds the lock.
func (t *Targets) forgetUnits(service string) {
	for _, r := range t.services[service] {
		if s := t.speeds[r.ID]; s != nil {
			s.learned, s.runs, s.recent = false, 0, 1
		}
	}
}

// compareTargets determines, every spreadInterval, whether the speeds of a service's
// targets differ. The caller holds the lock.
func (t *Targets) compareTargets(now time.Time, service string, d *serviceSpeed) {
	if now.Sub(d.checkedAt) < spreadInterval {
		return
	}
	d.checkedAt = now
	lowest, highest, sum, count := math.Inf(1), math.Inf(-1), 0.0, 0
	for _, r := range t.services[service] {
		s := t.speeds[r.ID]
		if s == nil || s.incarnation != r.Incarnation || !s.learned {
			continue
		}
		sum += s.unit
		count++
		if s.runs >= minRuns {
			margin := spreadErrors * math.Sqrt(s.variance*max(speedWeight, 1/float64(s.runs)))
			lowest, highest = min(lowest, s.unit+margin), max(highest, s.unit-margin)
		}
	}
	if count > 0 {
		d.meanUnit = sum / float64(count)
	}
	threshold := spreadOn
	if d.spread {
		threshold = spreadOff
	}
	d.spread = highest-lowest > math.Log(threshold)
}

// choosesBySpeed reports whether a service's targets are chosen by their speed. The
// caller holds the lock.
func (t *Targets) choosesBySpeed(now time.Time, service string) bool {
	d := t.serviceSpeeds[service]
	return d != nil && (d.spread || !d.pacedAt.IsZero() && now.Sub(d.pacedAt) < paceRetention)
}
