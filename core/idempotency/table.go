// Package idempotency is the replicated state machine behind the
// Idempotency-Key header. The first request with a key claims its record and
// runs; others wait or read the stored response. The table is deterministic and
// reads no clock: the proposer passes the time with each command.
package idempotency

import (
	"cmp"
	"maps"
	"slices"

	"github.com/google/btree"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
)

const (
	// RetentionMS is how long a record is kept after its last change or the end
	// of its lease, whichever is later, in milliseconds.
	RetentionMS = 24 * 3600 * 1000
	btreeDegree = 32
)

// Status is the result of Begin: what the caller must do with its request.
type Status uint8

// The results of Begin.
const (
	Claimed  Status = iota + 1 // the caller holds the claim: run the request, then End or Abandon
	Pending                    // another claim is in force and its request runs; retry later
	Done                       // the response is stored
	Mismatch                   // the key was used with another request
	Lost                       // the lease of the claim expired and the request is not idempotent
)

// Key identifies a record.
type Key struct {
	Workspace string `msgpack:"w"`
	Name      string `msgpack:"n"` // value of the Idempotency-Key header
}

// Begin claims the record of a request. Sending Begin again with the same ClaimID
// renews the lease.
type Begin struct {
	Key        Key          `msgpack:"k"`
	Digest     batch.Digest `msgpack:"d"` // of the request
	ClaimID    string       `msgpack:"o"` // unique for each run of a request
	Idempotent bool         `msgpack:"i"` // may run again after the lease of its claim expired
	LeaseMS    int64        `msgpack:"l"` // duration of the lease in milliseconds
}

// End stores the response and completes the record.
type End struct {
	Key      Key       `msgpack:"k"`
	ClaimID  string    `msgpack:"o"`
	Response batch.Ref `msgpack:"r"` // payload record of the response
}

// Abandon deletes the record, since no target ran the request.
type Abandon struct {
	Key     Key    `msgpack:"k"`
	ClaimID string `msgpack:"o"`
}

// Command is one entry of the log. At most one field is set; without any, it
// only removes expired records, as every command does.
type Command struct {
	Begin   *Begin   `msgpack:"b,omitempty"`
	End     *End     `msgpack:"e,omitempty"`
	Abandon *Abandon `msgpack:"a,omitempty"`
}

// Result is the result of a command.
type Result struct {
	Err         *outcome.Error
	Status      Status    // Begin
	Response    batch.Ref // Begin with Done
	RemainingMS int64     // Begin with Pending: milliseconds until the lease of the claim ends
}

// Record is the state of one key.
type Record struct {
	Key        Key          `msgpack:"k"`
	Digest     batch.Digest `msgpack:"d"`
	ClaimID    string       `msgpack:"o"`
	LeaseEndMS int64        `msgpack:"l"` // end of the claim's lease, Unix milliseconds
	Done       bool         `msgpack:"f"`
	Response   batch.Ref    `msgpack:"r"`
	ExpiresMS  int64        `msgpack:"e"` // Unix milliseconds
}

// Table holds the records. It is not safe for concurrent use.
type Table struct {
	now     int64
	records map[Key]*Record
	expiry  *btree.BTreeG[*Record]
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	t.reset()
	return t
}

func (t *Table) reset() {
	t.now = 0
	t.records = make(map[Key]*Record)
	t.expiry = btree.NewG(btreeDegree, func(a, b *Record) bool {
		return cmp.Or(cmp.Compare(a.ExpiresMS, b.ExpiresMS), compareKeys(a.Key, b.Key)) < 0
	})
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Name, b.Name))
}

// Apply executes one command at nowMS, the time of the proposer's group clock
// in Unix milliseconds. A time earlier than that of a previous command counts as the
// previous one.
func (t *Table) Apply(nowMS int64, c *Command) Result {
	t.now = max(t.now, nowMS)
	t.removeExpired()
	switch {
	case c.Begin != nil:
		return t.begin(c.Begin)
	case c.End != nil:
		return t.end(c.End)
	case c.Abandon != nil:
		return t.abandon(c.Abandon)
	}
	return Result{}
}

func (t *Table) begin(c *Begin) Result {
	r, ok := t.records[c.Key]
	if !ok {
		r = &Record{Key: c.Key, Digest: c.Digest, ClaimID: c.ClaimID, LeaseEndMS: t.now + c.LeaseMS}
		t.records[c.Key] = r
		t.extendRetention(r)
		return Result{Status: Claimed}
	}
	switch {
	case r.Digest != c.Digest:
		return Result{Status: Mismatch}
	case r.Done:
		return Result{Status: Done, Response: r.Response}
	case r.ClaimID == c.ClaimID:
		r.LeaseEndMS = max(r.LeaseEndMS, t.now+c.LeaseMS)
		t.extendRetention(r)
		return Result{Status: Claimed}
	case t.now < r.LeaseEndMS:
		return Result{Status: Pending, RemainingMS: r.LeaseEndMS - t.now}
	case !c.Idempotent:
		return Result{Status: Lost}
	default:
		r.ClaimID, r.LeaseEndMS = c.ClaimID, t.now+c.LeaseMS
		t.extendRetention(r)
		return Result{Status: Claimed}
	}
}

// end accepts the response of the claim in force, even after its lease has
// expired, unless another claim has replaced it.
func (t *Table) end(c *End) Result {
	r, ok := t.records[c.Key]
	if !ok || r.ClaimID != c.ClaimID {
		return Result{Err: superseded(c.Key)}
	}
	if r.Done {
		return Result{Response: r.Response}
	}
	r.Done, r.Response = true, c.Response
	t.extendRetention(r)
	return Result{Response: r.Response}
}

func (t *Table) abandon(c *Abandon) Result {
	r, ok := t.records[c.Key]
	if !ok || r.ClaimID != c.ClaimID || r.Done {
		return Result{}
	}
	t.expiry.Delete(r)
	delete(t.records, c.Key)
	return Result{}
}

// extendRetention restarts the retention period of a record.
func (t *Table) extendRetention(r *Record) {
	t.expiry.Delete(r)
	r.ExpiresMS = max(t.now, r.LeaseEndMS) + RetentionMS
	t.expiry.ReplaceOrInsert(r)
}

func (t *Table) removeExpired() {
	for {
		r, ok := t.expiry.Min()
		if !ok || r.ExpiresMS > t.now {
			return
		}
		t.expiry.DeleteMin()
		delete(t.records, r.Key)
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Responses calls yield with the payload record of each stored response.
func (t *Table) Responses(yield func(batch.Ref)) {
	for _, r := range t.records {
		if r.Done {
			yield(r.Response)
		}
	}
}

// State is the encodable snapshot of a Table.
type State struct {
	NowMS   int64    `msgpack:"n"`
	Records []Record `msgpack:"r"` // sorted by key
}

// State returns a snapshot. Equal tables return equal snapshots.
func (t *Table) State() State {
	s := State{NowMS: t.now, Records: make([]Record, 0, len(t.records))}
	for _, k := range slices.SortedFunc(maps.Keys(t.records), compareKeys) {
		s.Records = append(s.Records, *t.records[k])
	}
	return s
}

// Restore replaces the contents of the table with a snapshot.
func (t *Table) Restore(s State) {
	t.reset()
	t.now = s.NowMS
	for i := range s.Records {
		r := s.Records[i]
		t.records[r.Key] = &r
		t.expiry.ReplaceOrInsert(&r)
	}
}

// superseded is the error for a claim that was replaced or removed.
func superseded(k Key) *outcome.Error {
	return outcome.New(outcome.ItemSuperseded, outcome.MayHaveRun, "another run took over the key %q", k.Name)
}
