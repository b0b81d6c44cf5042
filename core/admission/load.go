package admission

import "time"

// loadReportLag is the greatest age of a target's load report.
const loadReportLag = 2 * time.Second

// load estimates the load that other callers put on the target: the part of its
// lagging load report that exceeds the gate's own recent peak.
type load struct {
	previous, current int // peak of the gate's own in-flight requests in the last two periods
	periodStart       Time
	foreignRequests   int
}

// recordOwn records the gate's own number of in-flight requests.
func (l *load) recordOwn(now Time, running int) {
	if now-l.periodStart >= loadReportLag {
		l.previous, l.current, l.periodStart = l.current, 0, now
	}
	l.current = max(l.current, running)
}

func (l *load) report(running int) {
	l.foreignRequests = max(0, running-max(l.previous, l.current))
}

// foreign returns the estimated number of requests that other callers run at
// the target.
func (l *load) foreign() int { return l.foreignRequests }

// ReportLoad records the number of running requests that the target reports,
// which lags by up to two seconds.
func (g *Gate) ReportLoad(now Time, running int) {
	g.load.recordOwn(now, len(g.running))
	g.load.report(running)
}
