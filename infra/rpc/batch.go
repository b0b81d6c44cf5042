package rpc

import (
	"banyanwalk/core/batch"
	"banyanwalk/infra/wire"
)

// Methods between control replicas for batch work. Each runs on the leader of
// the work group that its request names.
const (
	MethodGroupWait   wire.Method = 80 // unary: GroupWait -> GroupWaited
	MethodGroupPull   wire.Method = 81 // unary: ItemsPull -> ItemsPulled
	MethodGroupCommit wire.Method = 82 // unary: FileCommit -> batch.File
)

// FileChunkBytes is the largest part of a file in one message, and the size
// of the payload records that files are kept in.
const FileChunkBytes = 1 << 20

// PayloadPut stores a payload record. The answer follows its sync to disk.
type PayloadPut struct {
	Data []byte `msgpack:"d"`
}

// PayloadGet asks for a payload record.
type PayloadGet struct {
	Ref batch.Ref `msgpack:"r"`
}

// PayloadData is a payload record.
type PayloadData struct {
	Data []byte `msgpack:"d"`
}

// FilePutOpen starts an upload on MethodFilePut. FileChunks follow; the end
// of the caller's direction completes the file, and batch.File is the answer.
// A resent upload with the same id gets the first file.
type FilePutOpen struct {
	ID        string `msgpack:"i"` // drawn by the caller
	Workspace string `msgpack:"w"`
	Name      string `msgpack:"n"`
	Purpose   string `msgpack:"p"`
}

// FileChunk is a part of a file, in order, at most FileChunkBytes.
type FileChunk struct {
	Data []byte `msgpack:"d"`
}

// FileCommit records an uploaded file whose chunks a quorum has synced.
type FileCommit struct {
	File batch.File `msgpack:"f"`
}

// FileRef names a file. On MethodFileGet the answer is FileChunks.
type FileRef struct {
	Workspace string `msgpack:"w"`
	ID        string `msgpack:"i"`
}

// JobRef names a job.
type JobRef struct {
	Workspace string `msgpack:"w"`
	ID        string `msgpack:"i"`
}

// ListRequest asks for a page of files or jobs, newest first.
type ListRequest struct {
	Workspace string `msgpack:"w"`
	After     string `msgpack:"a"` // id of the last one seen; "" starts with the newest
	Limit     int    `msgpack:"l"`
}

// FileList is a page of files.
type FileList struct {
	Files []*batch.File `msgpack:"f"`
	More  bool          `msgpack:"m"`
}

// JobList is a page of jobs.
type JobList struct {
	Jobs []*batch.Job `msgpack:"j"`
	More bool         `msgpack:"m"`
}

// ItemsPull asks for items. Without any it is answered after WaitMS. A resent
// request with the same number gets the same items.
type ItemsPull struct {
	Group       uint32       `msgpack:"g"` // 0: any
	Agent       string       `msgpack:"a"`
	Incarnation uint64       `msgpack:"i"`
	Request     uint64       `msgpack:"r"` // from 1, rises with each new request
	Wants       []batch.Want `msgpack:"w"`
	LeaseMS     int64        `msgpack:"l"` // milliseconds
	WaitMS      int64        `msgpack:"t"` // milliseconds
}

// PulledItem is a leased item with its contents.
type PulledItem struct {
	Group    uint32      `msgpack:"g"` // that the result goes to
	Lease    batch.Lease `msgpack:"l"`
	Input    []byte      `msgpack:"n"` // the line of the input file
	Progress []byte      `msgpack:"p"` // as the preempted attempt left it
}

// ItemsPulled answers ItemsPull.
type ItemsPulled struct {
	Items    []PulledItem `msgpack:"i"`
	WaitedMS int64        `msgpack:"w"` // for items to be queued, milliseconds
}

// GroupWait asks when an item of one of the models is queued in a group.
type GroupWait struct {
	Group  uint32   `msgpack:"g"`
	Models []string `msgpack:"m"`
	WaitMS int64    `msgpack:"t"` // milliseconds
}

// GroupWaited answers GroupWait.
type GroupWaited struct {
	Queued bool `msgpack:"q"`
}

// ItemsCommit reports the end of attempts. Results point into Payload. It may
// be sent any number of times.
type ItemsCommit struct {
	Group   uint32             `msgpack:"g"`
	Agent   string             `msgpack:"a"`
	Results []batch.ItemResult `msgpack:"r"`
	Payload []byte             `msgpack:"p"`
}

// ItemsCommitted answers ItemsCommit, one verdict per result.
type ItemsCommitted struct {
	Verdicts []batch.ItemAck `msgpack:"v"`
}

// ItemsRenew extends the leases of an agent.
type ItemsRenew struct {
	Group       uint32         `msgpack:"g"`
	Agent       string         `msgpack:"a"`
	Incarnation uint64         `msgpack:"i"`
	Items       []batch.ItemID `msgpack:"t"`
	LeaseMS     int64          `msgpack:"l"` // milliseconds
}

// ItemsRenewed names the attempts that must stop.
type ItemsRenewed struct {
	Stopped []batch.StoppedItem `msgpack:"s"`
}
