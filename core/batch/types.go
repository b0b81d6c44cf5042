package batch

import (
	"encoding/hex"

	"banyanwalk/core/outcome"
)

// Digest is the SHA-256 of a payload record.
type Digest [32]byte

// String returns the digest in lower-case hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Ref identifies one payload record by its contents.
type Ref struct {
	Digest Digest `msgpack:"d"`
	Length uint32 `msgpack:"l"` // bytes
}

// Slice is a byte range of a payload record.
type Slice struct {
	Record Ref    `msgpack:"r"`
	Offset uint32 `msgpack:"o"` // bytes
	Length uint32 `msgpack:"l"` // bytes
}

// File is an uploaded file or the output of a job.
type File struct {
	ID        string `msgpack:"i"`
	Workspace string `msgpack:"w"`
	Name      string `msgpack:"n"`
	Purpose   string `msgpack:"p"`
	Bytes     int64  `msgpack:"b"`
	CreatedMS int64  `msgpack:"c"` // Unix milliseconds
	Chunks    []Ref  `msgpack:"k"` // payload records of the contents, in order
	Seq       uint64 `msgpack:"s"` // order of creation in the group
}

// JobStatus is the state of a job in its life cycle.
type JobStatus uint8

// The states of a job. The last three are final.
const (
	JobInProgress JobStatus = iota + 1
	JobCancelling           // no new leases; running attempts are being stopped
	JobExpiring             // past the due time; running attempts are being stopped
	JobCompleted
	JobCancelled
	JobExpired
)

// Ended reports whether the state is final.
func (s JobStatus) Ended() bool { return s >= JobCompleted }

// String returns the name of the state in the HTTP API.
func (s JobStatus) String() string {
	switch s {
	case JobInProgress:
		return "in_progress"
	case JobCancelling:
		return "cancelling"
	case JobExpiring:
		return "finalizing"
	case JobCompleted:
		return "completed"
	case JobCancelled:
		return "cancelled"
	case JobExpired:
		return "expired"
	default:
		return "failed"
	}
}

// ItemState is the state of one item of a job.
type ItemState uint8

// The states of an item. The last four are final.
const (
	ItemQueued ItemState = iota
	ItemLeased
	ItemSucceeded
	ItemFailed
	ItemCancelled
	ItemExpired
)

// Template holds the request properties that many items of a job share.
type Template struct {
	Model      string `msgpack:"m"` // model or service that runs the item
	Path       string `msgpack:"p"` // path at the target
	Method     string `msgpack:"h"` // HTTP method
	Idempotent bool   `msgpack:"i"` // repeated execution is safe
	TimeoutMS  int64  `msgpack:"t"` // timeout of one attempt, milliseconds
}

// Counts holds the number of a job's items by state.
type Counts struct {
	Total     int `msgpack:"t"`
	Queued    int `msgpack:"q"`
	Leased    int `msgpack:"l"` // includes attempts being stopped
	Succeeded int `msgpack:"s"`
	Failed    int `msgpack:"f"`
	Cancelled int `msgpack:"c"`
	Expired   int `msgpack:"e"`
}

// Job is the state of a job that clients can read.
type Job struct {
	ID           string            `msgpack:"i"`
	Workspace    string            `msgpack:"w"`
	InputFile    string            `msgpack:"f"`
	Endpoint     string            `msgpack:"e"`
	Window       string            `msgpack:"o"` // completion window as the caller wrote it
	Metadata     map[string]string `msgpack:"m"` // set by the caller, not interpreted
	Status       JobStatus         `msgpack:"s"`
	CreatedMS    int64             `msgpack:"c"` // Unix milliseconds, like all times here
	DueMS        int64             `msgpack:"d"`
	CancellingMS int64             `msgpack:"x"`
	SettledMS    int64             `msgpack:"z"` // when the last item ended and the output files can be built; 0: items are open
	EndedMS      int64             `msgpack:"n"`
	OutputFile   string            `msgpack:"u"` // lines of succeeded items; "": none
	ErrorFile    string            `msgpack:"r"` // lines of all other items; "": none
	Counts       Counts            `msgpack:"k"`
	Seq          uint64            `msgpack:"q"` // order of creation in the group
}

// StatusName returns the state as shown by the HTTP API, where a settled job
// whose output files are being built is "finalizing".
func (j *Job) StatusName() string {
	if j.Status == JobInProgress && j.SettledMS > 0 {
		return "finalizing"
	}
	return j.Status.String()
}

// ItemID identifies one attempt at one item.
type ItemID struct {
	Job     string `msgpack:"j"`
	Item    uint32 `msgpack:"i"` // line of the input file, from 0
	Attempt uint32 `msgpack:"a"` // from 1
}

// Lease grants one attempt at an item to an agent until DeadlineMS.
type Lease struct {
	ID         ItemID   `msgpack:"i"`
	Workspace  string   `msgpack:"w"`
	Template   Template `msgpack:"t"`
	Input      []Slice  `msgpack:"n"` // the item's line of the input file
	Progress   *Slice   `msgpack:"p"` // partial output of a preempted attempt; nil: none
	DeadlineMS int64    `msgpack:"d"` // Unix milliseconds
	// RemainingMS is the time left until the job is due when the lease was granted.
	// Earlier builds don't send it.
	RemainingMS int64 `msgpack:"m,omitempty"`
	// DueMS is the due time of the job, Unix milliseconds, for agents of earlier
	// builds, which compare it with their time of day.
	DueMS int64 `msgpack:"u"`

	// LastFailure is the code of the latest counted attempt that failed; 0: none.
	// After a failure of the target the item itself may have crashed the target.
	LastFailure outcome.Code `msgpack:"f"`
}

// ResultStatus is the way in which an attempt ended.
type ResultStatus uint8

// The ways in which an attempt can end.
const (
	// ResultSucceeded completes the item; its slice is a line of the output file.
	ResultSucceeded ResultStatus = iota + 1
	// ResultFailed fails the item for good; its slice is a line of the error file.
	ResultFailed
	// ResultRetry counts as a failed attempt. The item is queued again if it has
	// attempts left and the outcome permits another run.
	ResultRetry
	// ResultReturned gives the item back without counting the attempt, for
	// example after a preemption. Its slice is the partial output.
	ResultReturned
)

// ItemResult reports the end of one attempt.
type ItemResult struct {
	ID      ItemID          `msgpack:"i"`
	Status  ResultStatus    `msgpack:"s"`
	Offset  uint32          `msgpack:"o"` // of the payload in Commit.Record
	Length  uint32          `msgpack:"l"` // 0: no payload
	Code    outcome.Code    `msgpack:"c"`
	Outcome outcome.Outcome `msgpack:"u"`
}
