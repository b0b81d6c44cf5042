package fleet

import (
	"maps"
	"slices"

	"banyanwalk/core/bundle"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
)

// Bounds on the state, so that it does not grow with the age of the fleet.
const (
	maxCompletedRequests = 4096 // results kept to answer resends
	maxTombstones        = 4096 // of removed targets
	maxHistory           = 256  // history entries of bundles, without their sources
)

// HistoryEntry describes one bundle that was put in force.
type HistoryEntry struct {
	Version  uint64 `msgpack:"v" json:"version"`
	Digest   string `msgpack:"d" json:"digest"`
	Operator string `msgpack:"o" json:"operator"`
	Revision uint64 `msgpack:"r" json:"revision"`
	AtMS     int64  `msgpack:"a" json:"at_ms"` // milliseconds since 1970
}

// Machine is the replicated state machine of the configuration group. It is
// deterministic: equal sequences of commands lead to equal states. It is not
// safe for concurrent use.
type Machine struct {
	revision         uint64 // log index of the last change visible to subscribers
	minDeltaRevision uint64 // subscribers below it need a full update
	signed           *bundle.Signed
	bundleRevision   uint64
	history          []HistoryEntry // oldest first
	marksRevision    uint64
	dataCentresOut   map[string]struct{}
	targetsOut       map[TargetID]struct{}
	targets          map[TargetID]Target
	agents           map[string]agentRecord
	removed          []tombstone // oldest first
	requests         requestTable
	verdicts         *quarantine.Verdicts
}

type agentRecord struct {
	Incarnation uint64     `msgpack:"i"`
	Targets     []TargetID `msgpack:"t"` // sorted
}

// tombstone records the removal of a target for delta updates.
type tombstone struct {
	Target   TargetID `msgpack:"t"`
	Revision uint64   `msgpack:"r"`
}

// NewMachine returns an empty machine.
func NewMachine() *Machine {
	return &Machine{
		dataCentresOut: make(map[string]struct{}),
		targetsOut:     make(map[TargetID]struct{}),
		targets:        make(map[TargetID]Target),
		agents:         make(map[string]agentRecord),
		requests:       newRequestTable(),
		verdicts:       quarantine.NewVerdicts(),
	}
}

// Revision returns the log index of the last change visible to subscribers.
func (m *Machine) Revision() uint64 { return m.revision }

// Apply executes the command at a log index. Indexes must increase from call to
// call. A command whose request id was already answered is not run again.
func (m *Machine) Apply(index uint64, c Command) Result {
	if c.RequestID == "" {
		return m.execute(index, &c)
	}
	key := requestID{Client: c.Client, ID: c.RequestID}
	fingerprint := c.fingerprint()
	if first, found := m.requests.lookup(key); found {
		if first.Fingerprint != fingerprint {
			return Result{Error: outcome.New(outcome.IdempotencyMismatch, outcome.NotRun, "request id %q was used for another command", c.RequestID)}
		}
		return first.Result
	}
	result := m.execute(index, &c)
	m.requests.record(completedRequest{Key: key, Fingerprint: fingerprint, Result: result})
	return result
}

func (m *Machine) execute(index uint64, c *Command) Result {
	switch {
	case c.Roll != nil:
		return m.roll(index, c.Roll, c.AtMS)
	case c.Mark != nil:
		return m.mark(index, c.Mark)
	case c.Register != nil:
		return m.register(index, c.Register)
	case c.Expire != nil:
		return m.expire(index, c.Expire)
	case c.Crash != nil:
		return m.crash(index, c.Crash, c.AtMS)
	case c.Fence != nil:
		return Result{Revision: m.revision, Fence: index}
	case c.ExpireVerdicts != nil:
		return m.recordChange(index, m.verdicts.Expire(index, c.AtMS))
	default:
		return Result{Error: outcome.New(outcome.BadRequest, outcome.NotRun, "empty command")}
	}
}

func (m *Machine) crash(index uint64, r *ReportCrash, atMS int64) Result {
	expired := m.verdicts.Expire(index, atMS)
	crash := quarantine.Crash{Target: string(r.Target), Incarnation: r.Incarnation}
	recorded := m.verdicts.RecordCrash(index, crash, r.Requests, r.Isolated, atMS)
	return m.recordChange(index, expired || recorded)
}

// Verdicts returns all verdicts in force, sorted by request.
func (m *Machine) Verdicts() []quarantine.Verdict { return m.verdicts.All() }

// LatestMS returns the latest time that the state holds, or 0, in milliseconds
// since 1970.
func (m *Machine) LatestMS() int64 {
	latest := m.verdicts.LatestMS()
	for i := range m.history {
		latest = max(latest, m.history[i].AtMS)
	}
	return latest
}

// HasExpiredVerdicts reports whether an ExpireVerdicts command at nowMS would
// change anything.
func (m *Machine) HasExpiredVerdicts(nowMS int64) bool { return m.verdicts.HasExpired(nowMS) }

// recordChange advances the revision to index if the command changed anything.
func (m *Machine) recordChange(index uint64, change bool) Result {
	if change {
		m.revision = index
	}
	m.minDeltaRevision = max(m.minDeltaRevision, m.verdicts.MinDeltaRevision())
	return Result{Revision: m.revision}
}

func (m *Machine) roll(index uint64, r *RollBundle, atMS int64) Result {
	digest := bundle.Digest(r.Signed.Source)
	if current, found := m.Current(); found {
		switch {
		case r.Version < current.Version:
			return Result{Error: outcome.New(outcome.BundleOutdated, outcome.NotRun,
				"version %d is in force with digest %s; version %d is outdated", current.Version, current.Digest, r.Version)}
		case r.Version == current.Version && digest != current.Digest:
			return Result{Error: outcome.New(outcome.BundleConflict, outcome.NotRun,
				"version %d is in force with digest %s", current.Version, current.Digest)}
		case r.Version == current.Version:
			return rollResult(current)
		}
	}
	entry := HistoryEntry{Version: r.Version, Digest: digest, Operator: r.Signed.Operator, Revision: index, AtMS: atMS}
	m.history = append(m.history, entry)
	m.history = m.history[max(0, len(m.history)-maxHistory):]
	signed := r.Signed
	m.signed, m.bundleRevision, m.revision = &signed, index, index
	return rollResult(entry)
}

func rollResult(e HistoryEntry) Result {
	return Result{Revision: e.Revision, Version: e.Version, Digest: e.Digest}
}

func (m *Machine) mark(index uint64, s *SetMark) Result {
	var change bool
	if s.DataCentre != "" {
		change = setMember(m.dataCentresOut, s.DataCentre, s.Out)
	} else {
		change = setMember(m.targetsOut, s.Target, s.Out)
	}
	if change {
		m.marksRevision = index
	}
	return m.recordChange(index, change)
}

// setMember adds k to a set or removes it and reports whether the set changed.
func setMember[K comparable](set map[K]struct{}, k K, in bool) bool {
	_, found := set[k]
	if found == in {
		return false
	}
	if in {
		set[k] = struct{}{}
	} else {
		delete(set, k)
	}
	return true
}

// Current returns the history entry of the bundle in force.
func (m *Machine) Current() (HistoryEntry, bool) {
	if len(m.history) == 0 {
		return HistoryEntry{}, false
	}
	return m.history[len(m.history)-1], true
}

// SignedBundle returns the bundle in force, or nil.
func (m *Machine) SignedBundle() *bundle.Signed { return m.signed }

// History returns the bundles that were put in force, oldest first.
func (m *Machine) History() []HistoryEntry { return slices.Clone(m.history) }

// Marks returns the out-of-service marks.
func (m *Machine) Marks() Marks {
	return Marks{
		DataCentresOut: slices.Sorted(maps.Keys(m.dataCentresOut)),
		TargetsOut:     slices.Sorted(maps.Keys(m.targetsOut)),
	}
}
