package placement

import (
	"math"
	"time"
)

const (
	// reportedSpeedChange is the factor between two reported speeds of a target.
	reportedSpeedChange = 1.25
	// reportedSpeedInterval is the time between them.
	reportedSpeedInterval = 10 * time.Second
)

// SpeedChange tells what was learned of a target that is chosen by its speed.
type SpeedChange struct {
	Target      string
	Service     string
	TimePercent int     // learned time for a request in percent of the mean of the service, without slow periods
	PacePercent int     // mean of the pace that the target names; 0: it names none
	Limit       float64 // requests that it runs at once without slowing down
	Slots       int
	Runs        int // that the speed was learned from
}

// SpeedChanges returns the targets whose learned speed has changed by much since they
// were last returned, and the services whose targets are or are not any more chosen by
// their speed.
func (t *Targets) SpeedChanges(now time.Time) (targets []SpeedChange, services map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services = make(map[string]bool)
	for service, d := range t.serviceSpeeds {
		bySpeed := t.choosesBySpeed(now, service)
		if bySpeed != d.reported {
			d.reported = bySpeed
			services[service] = bySpeed
		}
		if !bySpeed {
			continue
		}
		for _, r := range t.services[service] {
			s := t.speeds[r.ID]
			if s == nil || s.runs < minRuns || s.incarnation != r.Incarnation || now.Sub(s.reportedAt) < reportedSpeedInterval {
				continue
			}
			relative := s.unit - d.meanUnit
			if math.Abs(relative-s.reported) < math.Log(reportedSpeedChange) {
				continue
			}
			s.reported, s.reportedAt = relative, now
			targets = append(targets, SpeedChange{Target: r.ID, Service: service, TimePercent: int(math.Round(percent * math.Exp(relative))),
				PacePercent: int(math.Round(percent * s.meanPace)), Limit: t.limitOfSlots(r), Slots: slotsOf(r), Runs: s.runs})
		}
	}
	return targets, services
}
