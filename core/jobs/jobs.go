// Package jobs is the replicated state of jobs that are handed in directly:
// each is accepted once, its results take positions that never change, and its
// open items are known until they are done, given up or ended. The machine is
// deterministic; it knows neither time nor targets.
package jobs

import (
	"banyanwalk/core/outcome"
)

// Header is one HTTP header of an item.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Item is one request of a job.
type Item struct {
	ID      string   `msgpack:"i"`
	Path    string   `msgpack:"p"` // path and query
	Headers []Header `msgpack:"h"` // nil once the item is listed
	Body    []byte   `msgpack:"b"` // nil once the item is listed
	Tokens  int64    `msgpack:"t"` // of the prompt and, at most, of the answer
}

// Spec is a job as it is handed in.
type Spec struct {
	ID           string `msgpack:"i"` // drawn by the caller; the same id is the same job
	Workspace    string `msgpack:"w"`
	Route        string `msgpack:"r"` // name of the route that the quota counts for
	Host         string `msgpack:"h"` // of the route, for the items' requests
	Items        []Item `msgpack:"t"`
	CompletionMS int64  `msgpack:"c"` // all results are due so long after the submission
	MaxWaitMS    int64  `msgpack:"m"` // an item may be given up so long after it
	MaxAttempts  int    `msgpack:"a"` // failed attempts after which an item may be given up
	MaxQueued    int64  `msgpack:"q"` // tokens of the workspace on the route; 0: no limit
}

// State is the final state of an item.
type State uint8

// The final states.
const (
	Completed State = iota + 1
	Abandoned
)

// Result is one listed result.
type Result struct {
	Item  int    `msgpack:"i"` // position of the item in its job
	State State  `msgpack:"s"`
	Text  string `msgpack:"t"` // data of all events, in order
}

// Job is an accepted job.
type Job struct {
	Spec
	Results  []Result `msgpack:"x"` // in the order of their end; positions never change
	Ended    bool     `msgpack:"e"` // by its caller: open items are dropped
	Listed   []bool   `msgpack:"l"` // by item
	Failures []int    `msgpack:"f"` // failed attempts by item

	Partial map[int]Partial `msgpack:"p,omitempty"` // of open items that have begun

	// Archived tells that the host keeps the texts of the results elsewhere; they
	// are empty here. Hosts differ in it.
	Archived bool `msgpack:"k,omitempty"`
}

// Partial is how far an item has come, so that a new leader need not run it
// from the start.
type Partial struct {
	Text string `msgpack:"t"`
	Last int64  `msgpack:"l"` // id of the last event in Text
}

// Open reports whether an item is still to be run.
func (j *Job) Open(item int) bool { return !j.Ended && !j.Listed[item] }

// Unfinished reports whether any item is still to be run.
func (j *Job) Unfinished() bool { return !j.Ended && len(j.Results) < len(j.Items) }

// Texts returns the texts of the results, in the order of their positions.
func (j *Job) Texts() []string {
	texts := make([]string, 0, len(j.Results))
	for i := range j.Results {
		texts = append(texts, j.Results[i].Text)
	}
	return texts
}

// waiting returns the tokens of the open items.
func (j *Job) waiting() int64 {
	if j.Ended {
		return 0
	}
	sum := int64(0)
	for i := range j.Items {
		if !j.Listed[i] {
			sum += j.Items[i].Tokens
		}
	}
	return sum
}

// Command is one entry of the job group's log. Exactly one field is set.
type Command struct {
	Submit *Spec      `msgpack:"s,omitempty"`
	Finish []Finished `msgpack:"f,omitempty"`
	Failed []ItemRef  `msgpack:"x,omitempty"`
	Save   []Progress `msgpack:"p,omitempty"`
	End    *EndJob    `msgpack:"e,omitempty"`
	Drop   []string   `msgpack:"d,omitempty"` // ids of jobs that need not be kept any more
}

// ItemRef names an item.
type ItemRef struct {
	Job  string `msgpack:"j"`
	Item int    `msgpack:"i"`
}

// Finished is the final state of one item.
type Finished struct {
	ItemRef
	State State  `msgpack:"s"`
	Text  string `msgpack:"t"`
}

// Progress is what an item has gained since an event.
type Progress struct {
	ItemRef
	From int64  `msgpack:"a"` // id of the event that Text follows; 0: the start
	Last int64  `msgpack:"l"` // id of the last event in Text
	Text string `msgpack:"t"` // with its leading line feed, unless From is 0
}

// EndJob ends a job on behalf of its workspace.
type EndJob struct {
	Job       string `msgpack:"j"`
	Workspace string `msgpack:"w"`
}

// Answer is the result of a command.
type Answer struct {
	Error *outcome.Error `msgpack:"e"` // the command was refused
	New   *Job           `msgpack:"-"` // by Submit, when the job was not known
}
