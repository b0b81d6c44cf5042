package catalog

import (
	"cmp"
	"maps"
	"slices"

	"banyanwalk/core/roster"
)

// leavingRetentionMS is how long it is remembered that a process of a target leaves,
// milliseconds. Its reports may be late, and it may go on running for a while.
const leavingRetentionMS = 10 * 60 * 1000

// MarkLeaving records that processes of targets take no more requests, by their own
// account.
type MarkLeaving struct {
	AtMS      int64            `msgpack:"a"` // time of the proposer's group clock, milliseconds since 1970
	Processes []roster.Leaving `msgpack:"l"`
}

// LeavingProcess is a process of a target that takes no more requests.
type LeavingProcess struct {
	roster.Leaving `msgpack:",inline"`
	AtMS           int64  `msgpack:"a"` // when that was recorded
	Revision       uint64 `msgpack:"r"` // log index at which it was recorded
}

// leavingProcesses holds the processes that are known to leave. A later process of a
// target does not replace a former one, as incarnations follow the target's clock, which
// may be set back.
type leavingProcesses map[roster.Leaving]LeavingProcess

// mark records processes and drops those that were recorded too long ago. It reports
// whether any is new.
func (l leavingProcesses) mark(index uint64, c *MarkLeaving) bool {
	maps.DeleteFunc(l, func(_ roster.Leaving, known LeavingProcess) bool {
		return c.AtMS-known.AtMS > leavingRetentionMS
	})
	changed := false
	for _, process := range c.Processes {
		if l.has(process) {
			continue
		}
		l[process] = LeavingProcess{Leaving: process, AtMS: c.AtMS, Revision: index}
		changed = true
	}
	return changed
}

// has reports whether a process is known to leave.
func (l leavingProcesses) has(process roster.Leaving) bool {
	_, found := l[process]
	return found
}

// since returns the processes recorded after a log index, sorted by target and incarnation.
func (l leavingProcesses) since(index uint64) []LeavingProcess {
	var found []LeavingProcess
	for _, process := range l {
		if process.Revision > index {
			found = append(found, process)
		}
	}
	slices.SortFunc(found, func(a, b LeavingProcess) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return found
}

// IsLeaving reports whether a process of a target is recorded to take no more requests.
func (m *Machine) IsLeaving(process roster.Leaving) bool { return m.leaving.has(process) }

// LeavingSince returns the processes of targets of which it was recorded after a log
// index that they leave, and the highest index at which any was.
func (m *Machine) LeavingSince(index uint64) (processes []roster.Leaving, upTo uint64) {
	upTo = index
	for _, process := range m.leaving.since(index) {
		processes = append(processes, process.Leaving)
		upTo = max(upTo, process.Revision)
	}
	return processes, upTo
}
