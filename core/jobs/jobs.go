// Package jobs implements the replicated state machine for jobs that clients
// submit directly, without an input file. A job is accepted once, each result
// gets a position that never changes, and an item stays open until it is
// completed, abandoned or its job is ended. The machine also keeps where callers'
// streams began. It is deterministic: it reads no clock and knows nothing about
// targets.
package jobs

import (
	"banyanwalk/core/outcome"
	"banyanwalk/core/streams"
)

// Header is one HTTP header of an item's request.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Item is one request of a job.
type Item struct {
	ID      string   `msgpack:"i"`
	Path    string   `msgpack:"p"` // path and query of the request
	Headers []Header `msgpack:"h"` // nil once the item has a result
	Body    []byte   `msgpack:"b"` // nil once the item has a result or its job was ended
	Tokens  int64    `msgpack:"t"` // prompt tokens plus the maximum of completion tokens
}

// Spec is a job as its caller submits it.
type Spec struct {
	ID           string `msgpack:"i"` // chosen by the caller; a resend with the same id is the same job
	Workspace    string `msgpack:"w"`
	Route        string `msgpack:"r"` // name of the route whose quota is charged
	Host         string `msgpack:"h"` // host of the route, sent with the items' requests
	Items        []Item `msgpack:"t"`
	CompletionMS int64  `msgpack:"c"` // time from submission until all results are due
	MaxWaitMS    int64  `msgpack:"m"` // time from submission after which an item may be abandoned
	MaxAttempts  int    `msgpack:"a"` // failed attempts after which an item may be abandoned
	MaxQueued    int64  `msgpack:"q"` // limit on the workspace's open tokens on the route; 0: no limit
	// Document is the version of the routing document by which the job was accepted. An
	// older one does not decide on its items. 0: accepted by a build that did not store it.
	Document uint64 `msgpack:"d,omitempty"`
}

// State is the final state of an item.
type State uint8

// The final states of an item.
const (
	Completed State = iota + 1
	Abandoned
)

// Result is the result of one item.
type Result struct {
	Item  int    `msgpack:"i"` // index of the item in its job
	State State  `msgpack:"s"`
	Text  string `msgpack:"t"` // data of all response events, in order
}

// Job is an accepted job.
type Job struct {
	Spec
	Results   []Result `msgpack:"x"` // in the order in which items finished; positions never change
	Ended     bool     `msgpack:"e"` // ended by its workspace; open items get no result
	HasResult []bool   `msgpack:"l"` // by item: whether it has a result
	Failures  []int    `msgpack:"f"` // by item: number of failed attempts

	Partial map[int]Partial `msgpack:"p,omitempty"` // by item: saved output of open items that have started

	// Archived reports that the host stores the result texts outside the machine;
	// here they are empty. Each host archives on its own, so replicas may differ.
	Archived bool `msgpack:"k,omitempty"`
}

// Partial is the saved output of an unfinished item. A new leader continues
// from it instead of running the item from the start.
type Partial struct {
	Text string `msgpack:"t"`
	Last int64  `msgpack:"l"` // id of the last event in Text
	// Origin is where the text began. It goes on only there.
	Origin streams.Origin `msgpack:"o,omitempty"`
	// Writer identifies the progress in memory that the text comes from. Another one
	// may hold other events under the same ids.
	Writer uint64 `msgpack:"w,omitempty"`
}

// IsOpenTo reports whether a workspace may read and end the job. One that was handed in
// without a key, or before there were workspaces, is open to all.
func (j *Job) IsOpenTo(workspace string) bool { return j.Workspace == "" || j.Workspace == workspace }

// Open reports whether an item still needs a result.
func (j *Job) Open(item int) bool { return !j.Ended && !j.HasResult[item] }

// Unfinished reports whether any item still needs a result.
func (j *Job) Unfinished() bool { return !j.Ended && len(j.Results) < len(j.Items) }

// Texts returns the texts of the results, in the order of their positions.
func (j *Job) Texts() []string {
	texts := make([]string, 0, len(j.Results))
	for i := range j.Results {
		texts = append(texts, j.Results[i].Text)
	}
	return texts
}

// openTokens returns the total tokens of the open items.
func (j *Job) openTokens() int64 {
	if j.Ended {
		return 0
	}
	sum := int64(0)
	for i := range j.Items {
		if !j.HasResult[i] {
			sum += j.Items[i].Tokens
		}
	}
	return sum
}

// Command is one entry of the job group's replicated log. Exactly one field is
// set.
type Command struct {
	Submit *Spec      `msgpack:"s,omitempty"`
	Finish []Finished `msgpack:"f,omitempty"`
	Failed []ItemRef  `msgpack:"x,omitempty"`
	Save   []Progress `msgpack:"p,omitempty"`
	End    *EndJob    `msgpack:"e,omitempty"`
	Drop   []string   `msgpack:"d,omitempty"` // ids of jobs to delete

	Streams *streams.Update `msgpack:"o,omitempty"` // streams of callers that have begun
}

// ItemRef identifies an item by its job and its index in the job.
type ItemRef struct {
	Job  string `msgpack:"j"`
	Item int    `msgpack:"i"`
}

// Finished reports the final state of one item.
type Finished struct {
	ItemRef
	State State  `msgpack:"s"`
	Text  string `msgpack:"t"`
}

// Progress is the output that an item has produced since event From.
type Progress struct {
	ItemRef
	From   int64          `msgpack:"a"` // id of the event just before Text; 0: Text is the start
	Last   int64          `msgpack:"l"` // id of the last event in Text
	Text   string         `msgpack:"t"` // starts with a line feed, unless From is 0
	Origin streams.Origin `msgpack:"o,omitempty"`
	Writer uint64         `msgpack:"w,omitempty"` // as in Partial
	// Former is the writer of the saved output that Writer went on from.
	Former uint64 `msgpack:"b,omitempty"`
}

// EndJob ends a job at the request of its workspace.
type EndJob struct {
	Job       string `msgpack:"j"`
	Workspace string `msgpack:"w"`
}

// ApplyResult is the result of a command.
type ApplyResult struct {
	Error *outcome.Error `msgpack:"e"` // set when the command was refused
	New   *Job           `msgpack:"-"` // the accepted job; nil after a resend or another command
}
