package batch

import "banyanwalk/core/outcome"

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	FilePut    *FilePut    `msgpack:"fp,omitempty"`
	FileDelete *FileDelete `msgpack:"fd,omitempty"`
	JobCreate  *JobCreate  `msgpack:"jc,omitempty"`
	JobCancel  *JobCancel  `msgpack:"jx,omitempty"`
	JobFinish  *JobFinish  `msgpack:"jf,omitempty"`
	Lease      *LeaseItems `msgpack:"il,omitempty"`
	Renew      *RenewItems `msgpack:"ir,omitempty"`
	Commit     *Commit     `msgpack:"ic,omitempty"`
	SetWeights *SetWeights `msgpack:"sw,omitempty"`
	Tick       *Tick       `msgpack:"tk,omitempty"`
}

// FilePut adds an uploaded file whose chunks are durable on a quorum. A resend
// with the same id returns the file that was added first.
type FilePut struct {
	File File `msgpack:"f"` // CreatedMS and Seq are set by the machine
}

// FileDelete deletes a file. Jobs that read it keep references to its contents
// until they end.
type FileDelete struct {
	Workspace string `msgpack:"w"`
	ID        string `msgpack:"i"`
}

// JobCreate creates a job. A resend with the same id, or with the same key in
// the same workspace, returns the job that was created first.
type JobCreate struct {
	ID            string            `msgpack:"i"`
	Workspace     string            `msgpack:"w"`
	Key           string            `msgpack:"k"` // Idempotency-Key of the caller, may be empty
	RequestDigest Digest            `msgpack:"g"` // of the request, to detect a different request with the same key
	InputFile     string            `msgpack:"f"`
	Endpoint      string            `msgpack:"e"`
	Window        string            `msgpack:"o"`
	WindowMS      int64             `msgpack:"n"` // milliseconds
	Metadata      map[string]string `msgpack:"m"`
	Templates     []Template        `msgpack:"t"` // at most MaxTemplates
	Index         []byte            `msgpack:"x"` // built by IndexBuilder
	MaxAttempts   int               `msgpack:"a"` // maximum number of counted attempts per item
	MaxQueued     int               `msgpack:"q"` // maximum number of queued items of the workspace; 0: no limit
	Weight        int               `msgpack:"h"` // of the workspace, at least 1
}

// JobCancel stops a job. None of its items is leased afterwards.
type JobCancel struct {
	Workspace string `msgpack:"w"`
	ID        string `msgpack:"i"`
}

// JobFinish ends a settled job with its output files, whose contents are durable
// on a quorum. Item states and references to result records are dropped.
type JobFinish struct {
	ID     string `msgpack:"i"`
	Output Output `msgpack:"o"`
	Errors Output `msgpack:"e"`
}

// Output is the contents of an output file. Without chunks no file is created.
type Output struct {
	Chunks []Ref `msgpack:"k"`
	Bytes  int64 `msgpack:"b"`
}

// Want requests up to Max items for one model.
type Want struct {
	Model string `msgpack:"m"`
	Max   int    `msgpack:"n"`
}

// LeaseItems leases items to an agent. A resend with the same request number
// returns those of the same leases that still hold. A new incarnation revokes
// all leases of the old one.
type LeaseItems struct {
	Agent       string `msgpack:"a"`
	Incarnation uint64 `msgpack:"i"`
	Request     uint64 `msgpack:"r"` // increases with each new request of the incarnation
	Wants       []Want `msgpack:"w"`
	LeaseMS     int64  `msgpack:"l"` // milliseconds
	MaxBytes    int64  `msgpack:"b"` // total payload size after which no further item is leased; 0: no limit
}

// RenewItems extends leases. The result lists those that no longer hold.
type RenewItems struct {
	Agent       string   `msgpack:"a"`
	Incarnation uint64   `msgpack:"i"`
	Items       []ItemID `msgpack:"t"`
	LeaseMS     int64    `msgpack:"l"` // milliseconds
}

// Commit reports the ends of attempts. Record holds the payloads of all results.
type Commit struct {
	Agent   string       `msgpack:"a"`
	Record  Ref          `msgpack:"r"` // zero length: no payloads
	Results []ItemResult `msgpack:"t"`
}

// WorkspaceWeight is a workspace's share of batch capacity.
type WorkspaceWeight struct {
	Workspace string `msgpack:"w"`
	Weight    int    `msgpack:"h"`
}

// SetWeights sets workspace weights from the active configuration bundle.
type SetWeights struct {
	Weights []WorkspaceWeight `msgpack:"w"`
}

// Tick expires overdue leases and jobs and deletes jobs and files past their
// retention. With HoldLeases no lease expires: a new leader sets it to give
// agents time to renew.
type Tick struct {
	HoldLeases bool `msgpack:"h"`
}

// Result is the result of a command. Fields that the command does not use are
// empty.
type Result struct {
	Err     *outcome.Error
	File    *File
	Job     *Job
	Leases  []Lease
	Stopped []StoppedItem // Renew: attempts that must stop
	Items   []ItemAck     // Commit: one per result, in order
}

// StoppedItem is a lease that no longer holds.
type StoppedItem struct {
	ID   ItemID       `msgpack:"i"`
	Code outcome.Code `msgpack:"c"` // JobCancelled, JobExpired or ItemSuperseded
}

// ItemAck acknowledges one result of a Commit. Code zero means accepted, also
// for a resend of a result that was accepted before.
type ItemAck struct {
	ID   ItemID       `msgpack:"i"`
	Code outcome.Code `msgpack:"c"`
}
