package batch

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
)

const (
	lineBytes   = 100
	testLeaseMS = 5_000
	hourMS      = 3600 * 1000
)

func refOf(content string, length int) Ref {
	return Ref{Digest: sha256.Sum256([]byte(content)), Length: uint32(length)}
}

var (
	chatTemplate          = Template{Model: "bell-lm", Path: "/v1/chat/completions", Method: "POST", Idempotent: true}
	nonIdempotentTemplate = Template{Model: "dispatch", Path: "/v1/services/dispatch", Method: "POST"}
)

// putFile adds a file of n lines, each of lineBytes and a newline.
func putFile(m *Machine, now int64, workspaceName, id string, n int) Result {
	size := n * (lineBytes + 1)
	return m.Apply(now, &Command{FilePut: &FilePut{File: File{
		ID: id, Workspace: workspaceName, Name: id + ".jsonl", Purpose: "batch", Bytes: int64(size), Chunks: []Ref{refOf(id, size)},
	}}})
}

// jobOf returns a command for a job over the lines of a file. Item i uses
// template i modulo the number of templates.
func jobOf(workspaceName, id, file string, n int, templates ...Template) *JobCreate {
	var index IndexBuilder
	for i := range n {
		index.Add(uint32(i*(lineBytes+1)), lineBytes, uint8(i%len(templates)))
	}
	return &JobCreate{
		ID: id, Workspace: workspaceName, InputFile: file, Endpoint: templates[0].Path, Window: "24h", WindowMS: 24 * hourMS,
		Templates: templates, Index: index.Bytes(), Weight: 1,
	}
}

func mustCreate(t testing.TB, m *Machine, now int64, c *JobCreate, n int) {
	t.Helper()
	require.Nil(t, putFile(m, now, c.Workspace, c.InputFile, n).Err)
	require.Nil(t, m.Apply(now, &Command{JobCreate: c}).Err)
}

// testAgent sends the commands of an agent and numbers its requests.
type testAgent struct {
	name        string
	incarnation uint64
	request     uint64
}

func (a *testAgent) lease(m *Machine, now int64, maxItems int, models ...string) Result {
	a.request++
	return a.resend(m, now, maxItems, models...)
}

func (a *testAgent) resend(m *Machine, now int64, maxItems int, models ...string) Result {
	c := &LeaseItems{Agent: a.name, Incarnation: a.incarnation, Request: a.request, LeaseMS: testLeaseMS}
	for _, model := range models {
		c.Wants = append(c.Wants, Want{Model: model, Max: maxItems})
	}
	return m.Apply(now, &Command{Lease: c})
}

func (a *testAgent) commit(m *Machine, now int64, status ResultStatus, result outcome.Outcome, ids ...ItemID) []ItemAck {
	const resultBytes = 10
	c := &Commit{Agent: a.name, Record: refOf(fmt.Sprint(a.name, ids, status), resultBytes*len(ids))}
	for i, id := range ids {
		r := ItemResult{ID: id, Status: status, Outcome: result, Offset: uint32(i * resultBytes), Length: resultBytes}
		if status == ResultFailed || status == ResultRetry {
			r.Code = outcome.TargetFailed
		}
		c.Results = append(c.Results, r)
	}
	return m.Apply(now, &Command{Commit: c}).Items
}

func idsOf(leases []Lease) []ItemID {
	var ids []ItemID
	for _, l := range leases {
		ids = append(ids, l.ID)
	}
	return ids
}

// jobState returns a job of the workspace "lab".
func jobState(t testing.TB, m *Machine, id string) *Job {
	t.Helper()
	j, err := m.Job("lab", id)
	require.NoError(t, err)
	return j
}

// settledLines returns the lines of both output files of a settled job.
func settledLines(t require.TestingT, m *Machine, id string) (results, failures []OutputLine) {
	const page = 5
	for _, kind := range []OutputKind{OutputResults, OutputErrors} {
		for from, more := uint32(0), true; more; {
			var lines []OutputLine
			var err error
			lines, from, more, err = m.OutputLines(id, kind, from, page)
			require.NoError(t, err)
			if kind == OutputResults {
				results = append(results, lines...)
			} else {
				failures = append(failures, lines...)
			}
		}
	}
	return results, failures
}

// finish ends a settled job with a one-chunk output file for each kind that has
// lines.
func finish(t require.TestingT, m *Machine, now int64, id string) Result {
	results, failures := settledLines(t, m, id)
	c := &JobFinish{ID: id}
	if len(results) > 0 {
		c.Output = Output{Chunks: []Ref{refOf(id+"o", len(results))}, Bytes: int64(len(results))}
	}
	if len(failures) > 0 {
		c.Errors = Output{Chunks: []Ref{refOf(id+"e", len(failures))}, Bytes: int64(len(failures))}
	}
	return m.Apply(now, &Command{JobFinish: c})
}

// clone encodes and decodes a state, so that the copy shares no memory with it.
func clone(t require.TestingT, s State) State {
	encoded, err := json.Marshal(s)
	require.NoError(t, err)
	var out State
	require.NoError(t, json.Unmarshal(encoded, &out))
	return out
}
