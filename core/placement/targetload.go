package placement

import (
	"math"
	"time"

	"banyanwalk/core/roster"
)

const (
	// minPace and maxPace bound the pace that is believed, relative to the usual one.
	minPace, maxPace = 0.5, 10
	// paceMemory is the time constant with which a reading loses its weight. Slow
	// periods last about 600 ms.
	paceMemory = 400 * time.Millisecond
	// meanPaceWeight is the weight of one run in the mean pace.
	meanPaceWeight = 0.05
	// paceRetention is how long a service counts as one whose targets name their pace.
	paceRetention = time.Minute
	// paceChange is the factor between the expected pace and the one read from which
	// the reading is passed on at once.
	paceChange = 1.2
	percent    = 100
)

// TargetLoad is what a target says of its load in a response.
type TargetLoad struct {
	Running     int `msgpack:"r,omitempty"`
	Waiting     int `msgpack:"w,omitempty"`
	Slots       int `msgpack:"s,omitempty"`
	PacePercent int `msgpack:"p,omitempty"` // how long work takes now, in percent of the usual; 0: it names none
}

// Plausible reports whether the figures can be true for a target.
func (l TargetLoad) Plausible(r *roster.Record) bool {
	pace := float64(l.PacePercent) / percent
	return l.Slots <= 10*slotsOf(r) && (l.PacePercent == 0 || pace >= minPace && pace <= maxPace)
}

// LoadReport passes on a TargetLoad to another process.
type LoadReport struct {
	Target      string     `msgpack:"t"`
	Incarnation int64      `msgpack:"i"`           // of the target
	AgeMS       int64      `msgpack:"a,omitempty"` // milliseconds since the response
	Load        TargetLoad `msgpack:"l"`
}

// PaceChanged reports whether a pace that a target has named is worth telling a process
// that expects another one. Both are in percent; 0 means that there is none.
func PaceChanged(expected, read int) bool {
	if read == 0 || expected == 0 {
		return read > 0
	}
	return math.Abs(math.Log(float64(read)/float64(expected))) > math.Log(paceChange)
}

// ObserveLoad records what a target said of its load in a response. Readings of another
// incarnation have no effect, and implausible figures a bounded one.
func (t *Targets) ObserveLoad(now time.Time, target *roster.Record, load TargetLoad) {
	t.ApplyLoad(now, LoadReport{Target: target.ID, Incarnation: target.Incarnation, Load: load})
}

// ApplyLoad merges a reading of another process that arrived at now.
func (t *Targets) ApplyLoad(now time.Time, report LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, load := t.byID[report.Target], report.Load
	if r == nil || r.Incarnation != report.Incarnation || report.AgeMS < 0 {
		return
	}
	s := t.speedOf(now, r)
	if load.Slots > 0 {
		s.namedSlots = load.Slots
	}
	if load.Waiting > 0 && load.Running > 0 {
		s.limit.lower(load.Running)
	}
	readAt := now.Add(-time.Duration(report.AgeMS) * time.Millisecond)
	if load.PacePercent <= 0 || !readAt.After(s.paceAt) {
		return
	}
	s.takePace(readAt, believedPace(load.PacePercent))
	t.serviceSpeedOf(r.Service).pacedAt = now
}

// ExpectedPace returns the pace that a target is expected to have, in percent, or 0 if
// it has named none.
func (t *Targets) ExpectedPace(now time.Time, id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.speeds[id]
	if s == nil || s.pace == 0 {
		return 0
	}
	return int(math.Round(percent * s.paceNow(now)))
}

// takePace records a named pace. The first one also starts the mean.
func (s *speed) takePace(readAt time.Time, pace float64) {
	if s.pace == 0 {
		s.meanPace = pace
	}
	s.pace, s.paceAt = pace, readAt
}

// believedPace returns a pace in percent as a factor within its bounds.
func believedPace(inPercent int) float64 {
	return min(maxPace, max(minPace, float64(inPercent)/percent))
}

// paceNow returns the expected pace: the last one that the target named, and with its
// age more and more the mean of those before. Where none was named, it is what the
// newest runs showed.
func (s *speed) paceNow(now time.Time) float64 {
	if s.pace > 0 {
		return blend(s.pace, s.meanPace, now.Sub(s.paceAt), paceMemory)
	}
	return blend(s.recent, 1, now.Sub(s.recentAt), recentMemory)
}

// paceDuring returns the pace that the target is believed to have had during a run.
func (s *speed) paceDuring(end time.Time, ranMS int64) float64 {
	if s.pace == 0 {
		return max(1, s.recent)
	}
	if age := end.Sub(s.paceAt); age > time.Duration(ranMS)*time.Millisecond {
		return s.meanPace
	}
	return max(s.pace, s.meanPace)
}

// blend returns a value that goes from near to far with its age.
func blend(near, far float64, age, memory time.Duration) float64 {
	weight := math.Exp(-float64(max(0, age)) / float64(memory))
	return weight*near + (1-weight)*far
}
