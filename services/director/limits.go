package director

import (
	"time"

	"banyanwalk/core/placement"
)

// targetLimit is a reading of the limit that a target names.
type targetLimit struct {
	report placement.LimitReport
	readAt time.Time
}

// mergeLimits takes the limits of targets that a member has read since its previous
// report. The caller holds the lock.
func (r *registry) mergeLimits(now time.Time, member *memberRecord) {
	newest := member.limitSequence
	for _, report := range member.load.Limits {
		if report.Sequence <= member.limitSequence {
			continue
		}
		newest = max(newest, report.Sequence)
		next := targetLimit{report: report, readAt: now.Add(-time.Duration(report.AgeMS) * time.Millisecond)}
		known, found := r.limits[report.Target]
		if found && (known.report.Incarnation > report.Incarnation || known.report.Incarnation == report.Incarnation && !next.readAt.After(known.readAt)) {
			continue
		}
		r.limits[report.Target] = next
		if !found || known.report.Incarnation != report.Incarnation || known.report.PerSecond != report.PerSecond {
			r.revision++
			r.targetRevisions[report.Target] = r.revision
		}
	}
	member.limitSequence = newest
}
