package batch

import "banyanwalk/core/outcome"

// OutputKind selects one of the two output files of a job.
type OutputKind uint8

// The output files of a job.
const (
	OutputResults OutputKind = iota // lines of succeeded items
	OutputErrors                    // lines of all other items
)

// fileID returns the id of the output file of a job.
func (k OutputKind) fileID(jobID string) string {
	if k == OutputResults {
		return jobID + "-output"
	}
	return jobID + "-errors"
}

// OutputLine is the source of one line of an output file.
type OutputLine struct {
	Item    uint32
	Result  *Slice          // the line itself; nil: no result was committed
	Input   []Slice         // only without Result: the line of the input file
	Code    outcome.Code    // only without Result: why there is none
	Outcome outcome.Outcome // only without Result
}

// matches reports whether the line of an item in state s belongs to the file.
func (k OutputKind) matches(s ItemState) bool {
	return (s == ItemSucceeded) == (k == OutputResults)
}

// outputLine returns the source of the output line of an ended item.
func (j *job) outputLine(i uint32) OutputLine {
	it := &j.items[i]
	line := OutputLine{Item: i, Code: outcome.Code(it.code), Outcome: outcome.Outcome(it.outcome)}
	if it.record != 0 {
		line.Result = &Slice{Record: j.records[it.record-1], Offset: it.resultOffset, Length: it.resultLength}
		return line
	}
	line.Input = j.inputSlices(i)
	switch it.state {
	case ItemCancelled:
		line.Code = outcome.JobCancelled
	case ItemExpired:
		line.Code = outcome.JobExpired
	}
	if it.attempt > 0 && it.state != ItemFailed {
		line.Outcome = outcome.MayHaveRun
	}
	return line
}

// Settled calls yield with the jobs whose output files are to be built, oldest
// first, until yield returns false.
func (m *Machine) Settled(yield func(*Job) bool) {
	m.settled.Ascend(func(j *job) bool { return yield(j.snapshot()) })
}

// OutputLines returns up to limit lines of an output file of a settled job,
// starting at item number from, and the item number at which the next call
// continues. more is false after the last item.
func (m *Machine) OutputLines(jobID string, kind OutputKind, from uint32, limit int) (lines []OutputLine, next uint32, more bool, err error) {
	j, ok := m.jobs[jobID]
	if !ok || j.SettledMS == 0 || j.Status.Ended() {
		return nil, 0, false, jobNotFound(jobID)
	}
	for i := from; int(i) < len(j.items); i++ {
		if len(lines) == limit {
			return lines, i, true, nil
		}
		if kind.matches(j.items[i].state) {
			lines = append(lines, j.outputLine(i))
		}
	}
	return lines, uint32(len(j.items)), false, nil
}
