package puller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"banyanwalk/core/auth"
	"banyanwalk/core/batch"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/agent"
)

// interruption is the end of an attempt, as it will be committed.
type interruption struct {
	result  batch.ItemResult
	payload []byte
}

// open builds the request of an item to a target.
func (it *item) open(t fleet.Target, now time.Time) (rpc.ExecuteOpen, error) {
	l := &it.pulled.Lease
	if it.call == nil {
		call, err := newModelCall(it, t)
		if err != nil {
			return rpc.ExecuteOpen{}, err
		}
		it.call = call
	}
	timeout := min(l.Template.TimeoutMS, l.DueMS-now.UnixMilli())
	if timeout <= 0 {
		return rpc.ExecuteOpen{}, outcome.New(outcome.JobExpired, outcome.NotRun, "the batch is past its completion window")
	}
	body := it.call.body
	return rpc.ExecuteOpen{
		ID:         rpc.AttemptID{RequestID: batch.RequestID(l.ID.Job, l.ID.Item), Attempt: it.nextAttempt(), Target: t.ID},
		Workspace:  l.Workspace,
		Model:      l.Template.Model,
		Class:      rpc.ClassBatch,
		Idempotent: l.Template.Idempotent,
		Suspect:    l.LastFailure == outcome.TargetFailed,
		Digest:     auth.RequestDigest(l.Workspace, l.Template.Path, it.call.original),
		HTTPMethod: l.Template.Method,
		Path:       l.Template.Path,
		Headers:    []rpc.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:       body,
		TimeoutMS:  timeout,
	}, nil
}

// nextAttempt numbers the runs of an item at the agent, which takes each number
// once. A refused run is followed by another under the same lease.
func (it *item) nextAttempt() int {
	it.runs++
	return int(it.pulled.Lease.ID.Attempt)*maxRuns + it.runs
}

// whole turns a complete answer into a result.
func whole(it *item, answer agent.Answer) interruption {
	status := answer.Status
	succeeded := status >= http.StatusOK && status < http.StatusMultipleChoices
	retried := status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
	if retried && it.pulled.Lease.Template.Idempotent {
		return interruption{result: batch.ItemResult{Status: batch.ResultRetry, Code: outcome.TargetFailed, Outcome: outcome.Ran}}
	}
	body := answer.Body
	if succeeded {
		var err error
		if body, err = it.call.document(answer); err != nil {
			return failure(it, outcome.New(outcome.BadTargetAnswer, outcome.MayHaveRun, "%v", err))
		}
	}
	line := it.line()
	line.Response = &batch.ResultResponse{StatusCode: status, RequestID: line.ID, Body: asJSON(body)}
	in := interruption{result: batch.ItemResult{Status: batch.ResultFailed, Outcome: outcome.Ran}}
	if succeeded {
		in.result.Status = batch.ResultSucceeded
	}
	return in.with(it, line)
}

// asJSON returns body if it is JSON, else as a JSON string.
func asJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	text, _ := json.Marshal(string(body)) // strings always encode
	return text
}

// failure turns a failed attempt into a result. Idempotent items are tried
// again by control; others fail with what is known of them.
func failure(it *item, e *outcome.Error) interruption {
	final := e.Code == outcome.Quarantined || e.Code == outcome.BadRequest || e.Code == outcome.BodyTooLarge
	if !final && it.pulled.Lease.Template.Idempotent {
		return interruption{result: batch.ItemResult{Status: batch.ResultRetry, Code: e.Code, Outcome: e.Outcome}}
	}
	line := it.line()
	line.Error = &batch.ResultError{Code: strconv.Itoa(int(e.Code)), Message: e.Code.Name() + ": " + e.Message, Outcome: e.Outcome.String()}
	in := interruption{result: batch.ItemResult{Status: batch.ResultFailed, Code: e.Code, Outcome: e.Outcome}}
	return in.with(it, line)
}

// interrupted turns an attempt that was stopped from outside into a result. An
// idempotent item goes back with its progress.
func interrupted(it *item, answer agent.Answer, e *outcome.Error) interruption {
	if e.Outcome != outcome.NotRun && !it.pulled.Lease.Template.Idempotent {
		return failure(it, e)
	}
	in := interruption{result: batch.ItemResult{Status: batch.ResultReturned, Code: e.Code, Outcome: e.Outcome}}
	if e.Outcome != outcome.NotRun {
		in.payload = it.call.progress(answer) // control keeps older progress if there is none
	}
	return in
}

// line starts the output line of an item.
func (it *item) line() *batch.ResultLine {
	id := it.pulled.Lease.ID
	line := &batch.ResultLine{ID: batch.RequestID(id.Job, id.Item)}
	var in batch.InputLine
	if json.Unmarshal(it.pulled.Input, &in) == nil {
		line.CustomID = in.CustomID
	}
	return line
}

// with adds the output line. An answer that is too large to keep fails.
func (in interruption) with(it *item, line *batch.ResultLine) interruption {
	encoded, err := line.Encode()
	if err == nil && len(encoded) <= maxResultBytes {
		in.payload = encoded
		return in
	}
	in.result.Status, in.result.Code = batch.ResultFailed, outcome.BodyTooLarge
	short := it.line()
	short.Error = &batch.ResultError{
		Code: strconv.Itoa(int(outcome.BodyTooLarge)), Outcome: in.result.Outcome.String(),
		Message: outcome.BodyTooLarge.Name() + ": the answer exceeds its size limit",
	}
	in.payload, _ = short.Encode() // plain strings always encode
	return in
}
