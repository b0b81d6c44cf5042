package rollout

// settleMS is the time after the start of a ledger in which counts only set the
// baseline. A report that was sent before the order and arrives after it must not make
// earlier requests count.
const settleMS = 500

// Ledger holds the evidence of all processes on one rollout, as the leader received it.
// Reports are cumulative, so lost, repeated and reordered ones do no harm. It is not
// safe for concurrent use.
type Ledger struct {
	sinceMS   int64
	start     Rollout // record when the ledger was started
	processes map[uint64]*process
	granted   map[uint64]*processGrants
}

type evidenceKey struct {
	version, route string
}

// process is the evidence of one process incarnation.
type process struct {
	baseline, latest map[evidenceKey]Counts
}

// processGrants counts the requests granted to one process incarnation.
type processGrants struct {
	requests  uint64 // since the baseline
	placed    uint64 // requests at the new version when the first grant was given
	expiresMS int64  // of the last grant
}

// NewLedger returns an empty ledger for a rollout, started at the given time.
func NewLedger(nowMS int64, r Rollout) *Ledger {
	return &Ledger{sinceMS: nowMS, start: r, processes: make(map[uint64]*process), granted: make(map[uint64]*processGrants)}
}

// Serves reports whether the ledger belongs to the rollout.
func (l *Ledger) Serves(r *Rollout) bool {
	return l.start.Service == r.Service && l.start.StartedMS == r.StartedMS
}

// AgeMS returns the time since the start of the ledger, in milliseconds.
func (l *Ledger) AgeMS(nowMS int64) int64 { return nowMS - l.sinceMS }

// Report takes one process's report.
func (l *Ledger) Report(nowMS int64, incarnation uint64, evidence []Evidence) {
	p, known := l.processes[incarnation]
	if !known {
		p = &process{baseline: make(map[evidenceKey]Counts), latest: make(map[evidenceKey]Counts)}
		l.processes[incarnation] = p
	}
	for i := range evidence {
		e := &evidence[i]
		if e.Service != l.start.Service {
			continue
		}
		key := evidenceKey{e.Version, e.Route}
		counts := Counts{Requests: e.Requests, Answers: e.Answers, Failed: min(e.Failed, e.Answers), Slow: min(e.Slow, e.Answers)}
		p.latest[key] = p.latest[key].max(counts)
		if !known || nowMS < l.sinceMS+settleMS {
			p.baseline[key] = p.latest[key]
		}
	}
}

// Sum is the evidence of all processes together.
type Sum struct {
	Requests uint64 // provably reached the service since the start
	New, Old Counts // over all routes
	Routes   map[string]RouteSum
}

// RouteSum is the evidence on one route.
type RouteSum struct{ New, Old Counts }

// Sum adds the evidence up. Requests and the counts of the other versions begin with
// the first reports to this ledger and are added to those of the record. The counts of
// the new version are whole, so that a new leader sees its bad responses from before.
// They begin with the first reports too if the service had a rollout before, as processes
// may have counted responses of the version then.
func (l *Ledger) Sum() Sum {
	s := Sum{Requests: l.start.Requests, Old: l.start.Old, Routes: make(map[string]RouteSum)}
	if l.start.Again {
		s.New = l.start.New
	}
	for _, p := range l.processes {
		for key, latest := range p.latest {
			added := latest.since(p.baseline[key])
			s.Requests += added.Answers
			route := s.Routes[key.route]
			switch {
			case key.version != l.start.Version:
				s.Old.add(added)
				route.Old.add(added)
			case l.start.Again:
				s.New.add(added)
				route.New.add(added)
			default:
				s.New.add(latest)
				route.New.add(latest)
			}
			s.Routes[key.route] = route
		}
	}
	return s
}

// Totals returns what the record keeps of a sum.
func (s *Sum) Totals() Totals { return Totals{Requests: s.Requests, New: s.New, Old: s.Old} }

// Granted notes requests handed out to a process.
func (l *Ledger) Granted(incarnation uint64, requests int, expiresMS int64) {
	g := l.granted[incarnation]
	if g == nil {
		g = &processGrants{placed: l.placedAtNew(incarnation)}
		l.granted[incarnation] = g
	}
	g.requests += uint64(requests)
	g.expiresMS = max(g.expiresMS, expiresMS)
}

// Unspent returns how many of the requests granted to a process have expired unspent,
// and forgets them. It must be called right after a report of that process, which
// counts all requests that it placed. Nothing is returned before all its grants have
// expired for certain.
func (l *Ledger) Unspent(nowMS int64, incarnation uint64) uint64 {
	g := l.granted[incarnation]
	if g == nil || nowMS <= g.expiresMS+expiryMarginMS {
		return 0
	}
	spent := l.placedAtNew(incarnation) - g.placed
	delete(l.granted, incarnation)
	return g.requests - min(g.requests, spent)
}

// placedAtNew returns the requests that a process has placed at the new version.
func (l *Ledger) placedAtNew(incarnation uint64) uint64 {
	var placed uint64
	if p := l.processes[incarnation]; p != nil {
		for key, latest := range p.latest {
			if key.version == l.start.Version {
				placed += latest.Requests
			}
		}
	}
	return placed
}
