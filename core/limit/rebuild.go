package limit

import "slices"

// rebuild is the state of a new owner while it collects the gateways' reports.
type rebuild struct {
	endsAt      int64
	preexisting map[string]struct{} // workspaces that earlier owners may have granted tokens for
	reports     map[GatewayID]receivedReport
}

type receivedReport struct {
	request    *Request
	receivedAt int64
}

func newRebuild(now int64, rates map[string]Rate) *rebuild {
	r := &rebuild{
		endsAt:      now + int64(RebuildTimeout),
		preexisting: make(map[string]struct{}, len(rates)),
		reports:     make(map[GatewayID]receivedReport),
	}
	for name := range rates {
		r.preexisting[name] = struct{}{}
	}
	return r
}

// Rebuilding reports whether the owner still waits for reports and grants no
// tokens.
func (o *Owner) Rebuilding() bool { return o.rebuild != nil }

// collectReport stores a report and opens the buckets once all gateways have
// reported or the rebuild has timed out.
func (o *Owner) collectReport(now int64, r *Request) Status {
	if r.Report == nil {
		if now >= o.rebuild.endsAt {
			o.openBuckets(now)
		}
		return StatusReport
	}
	if known, ok := o.rebuild.reports[r.Gateway]; !ok || known.request.Seq < r.Seq {
		o.rebuild.reports[r.Gateway] = receivedReport{request: r, receivedAt: now}
	}
	base := o.rebuild.latestReport()
	if now < o.rebuild.endsAt && !o.rebuild.complete(base) {
		return StatusRebuilding
	}
	o.openBuckets(now)
	return StatusOK
}

// latestReport returns the report with the latest checkpoint, or nil if none has
// one.
func (r *rebuild) latestReport() *receivedReport {
	var best *receivedReport
	for _, candidate := range r.reports {
		c := candidate.request.Report.Checkpoint
		if c != nil && (best == nil || c.newerThan(best.request.Report.Checkpoint)) {
			best = &candidate
		}
	}
	return best
}

// complete reports whether every gateway that may have held tokens after the
// base checkpoint has reported.
func (r *rebuild) complete(base *receivedReport) bool {
	if base == nil {
		return false
	}
	for _, m := range base.request.Report.Checkpoint.Members {
		if _, reported := r.reports[m.Gateway]; !reported {
			return false
		}
	}
	return true
}

// openBuckets sets the buckets to the base checkpoint plus all later spending. If
// a gateway's spending is unknown, the buckets of all preexisting workspaces are
// emptied.
func (o *Owner) openBuckets(now int64) {
	r := o.rebuild
	o.rebuild = nil
	base := r.latestReport()
	if base != nil {
		o.restoreCheckpoint(base)
		o.replayEntries(r, base.request.Report.Checkpoint)
		o.extendWaits(now, base.receivedAt-max(0, base.request.Report.Age))
	} else {
		o.extendWaits(now, r.endsAt-int64(RebuildTimeout))
	}
	if !r.complete(base) {
		for name := range r.preexisting {
			o.buckets[name].drain(now)
		}
	}
	o.addReporters(now, r)
}

func (o *Owner) restoreCheckpoint(base *receivedReport) {
	at := base.receivedAt - max(0, base.request.Report.Age)
	for _, debt := range base.request.Report.Checkpoint.Debts {
		if b, known := o.buckets[debt.Workspace]; known {
			b.fullAt = max(b.fullAt, at+debt.UntilFull)
			b.handoverDelay = debt.HandoverDelay
		}
	}
}

// extendWaits lets the requests that waited through the change of owner, and
// those queued behind them, wait longer. since is the time of the last known
// response of the previous owner.
func (o *Owner) extendWaits(now, since int64) {
	for _, b := range o.buckets {
		b.handoverDelay = min(int64(MaxWait), b.handoverDelay+now-since)
		b.handoverDelayUntil = now + int64(handoverDelayDuration)
	}
}

// replayEntries applies the entries that the base checkpoint does not cover, in
// order of time.
func (o *Owner) replayEntries(r *rebuild, base *Checkpoint) {
	var uncovered []UsageEntry
	for id, rep := range r.reports {
		covered := base.seqOf(id)
		for _, e := range rep.request.Entries {
			if e.Seq > covered && e.Spent > 0 {
				e.spentAt = rep.receivedAt - max(0, e.Age)
				uncovered = append(uncovered, e)
			}
		}
	}
	slices.SortFunc(uncovered, func(a, b UsageEntry) int { return int(a.spentAt - b.spentAt) })
	for _, e := range uncovered {
		if b, known := o.buckets[e.Workspace]; known {
			b.spend(e.spentAt, e.Spent)
		}
	}
}

// addReporters creates a session for each gateway that reported. A gateway that
// all the others know of may get tokens at once.
func (o *Owner) addReporters(now int64, r *rebuild) {
	for id, rep := range r.reports {
		s := &session{id: id, seq: rep.request.Seq, expires: now + int64(Lease), holdings: make(map[string]*holding)}
		if !r.knownToAll(id) {
			o.memberVersion++
			s.joinedVersion = o.memberVersion
		}
		o.sessions[id] = s
	}
}

func (r *rebuild) knownToAll(id GatewayID) bool {
	for other, rep := range r.reports {
		c := rep.request.Report.Checkpoint
		if other != id && (c == nil || !c.hasMember(id)) {
			return false
		}
	}
	return true
}
