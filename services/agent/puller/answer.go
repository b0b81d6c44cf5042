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

// attemptResult is the result of one attempt and its payload, as they are
// committed to control.
type attemptResult struct {
	itemResult batch.ItemResult
	payload    []byte
}

// untilDue returns the time left until the item's job is due.
func (it *item) untilDue(now time.Time) time.Duration {
	lease := &it.pulled.Lease
	if lease.RemainingMS == 0 {
		return time.Duration(lease.DueMS-now.UnixMilli()) * time.Millisecond
	}
	return time.Duration(lease.RemainingMS)*time.Millisecond - now.Sub(it.receivedAt)
}

// executeRequest builds the request that runs the item on a target.
func (it *item) executeRequest(t fleet.Target, now time.Time) (rpc.ExecuteOpen, error) {
	lease := &it.pulled.Lease
	if it.call == nil {
		call, err := newModelCall(it, t)
		if err != nil {
			return rpc.ExecuteOpen{}, err
		}
		it.call = call
	}
	timeout := min(lease.Template.TimeoutMS, it.untilDue(now).Milliseconds())
	if timeout <= 0 {
		return rpc.ExecuteOpen{}, outcome.New(outcome.JobExpired, outcome.NotRun, "the batch is past its completion window")
	}
	body := it.call.body
	return rpc.ExecuteOpen{
		ID:         rpc.AttemptID{RequestID: batch.RequestID(lease.ID.Job, lease.ID.Item), Attempt: it.nextAttemptNumber(), Target: t.ID},
		Workspace:  lease.Workspace,
		Model:      lease.Template.Model,
		Class:      rpc.ClassBatch,
		Idempotent: lease.Template.Idempotent,
		Suspect:    lease.LastFailure.IsTargetFailure(),
		Digest:     auth.RequestDigest(lease.Workspace, lease.Template.Path, it.call.original),
		HTTPMethod: lease.Template.Method,
		Path:       lease.Template.Path,
		Headers:    []rpc.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:       body,
		TimeoutMS:  timeout,
	}, nil
}

// nextAttemptNumber returns the attempt number of the item's next run. The agent
// accepts each number only once, and a refused item runs again under the same
// lease, so the number combines the lease's attempt with a run counter.
func (it *item) nextAttemptNumber() int {
	it.runs++
	return int(it.pulled.Lease.ID.Attempt)*maxRunsPerLease + it.runs
}

// completedResult turns a complete response of the target into a result.
func completedResult(it *item, response agent.Response) attemptResult {
	status := response.Status
	succeeded := status >= http.StatusOK && status < http.StatusMultipleChoices
	retryable := status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
	if retryable && it.pulled.Lease.Template.Idempotent {
		return attemptResult{itemResult: batch.ItemResult{Status: batch.ResultRetry, Code: outcome.TargetFailed, Outcome: outcome.Ran}}
	}
	body := response.Body
	if succeeded {
		var err error
		if body, err = it.call.completionBody(response); err != nil {
			return failedResult(it, outcome.New(outcome.BadTargetResponse, outcome.MayHaveRun, "%v", err))
		}
	}
	line := it.newResultLine()
	line.Response = &batch.ResultResponse{StatusCode: status, RequestID: line.ID, Body: asJSON(body)}
	r := attemptResult{itemResult: batch.ItemResult{Status: batch.ResultFailed, Outcome: outcome.Ran}}
	if succeeded {
		r.itemResult.Status = batch.ResultSucceeded
	}
	return r.withLine(it, line)
}

// asJSON returns body unchanged if it is valid JSON, otherwise encoded as a JSON
// string.
func asJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	text, _ := json.Marshal(string(body)) // encoding a string cannot fail
	return text
}

// failedResult turns a failed attempt into a result. Control retries idempotent
// items unless the error is final; other items fail with the error of the
// attempt.
func failedResult(it *item, e *outcome.Error) attemptResult {
	final := e.Code == outcome.Quarantined || e.Code == outcome.BadRequest || e.Code == outcome.BodyTooLarge
	if !final && it.pulled.Lease.Template.Idempotent {
		return attemptResult{itemResult: batch.ItemResult{Status: batch.ResultRetry, Code: e.Code, Outcome: e.Outcome}}
	}
	line := it.newResultLine()
	line.Error = &batch.ResultError{Code: strconv.Itoa(int(e.Code)), Message: e.Code.Name() + ": " + e.Message, Outcome: e.Outcome.String()}
	r := attemptResult{itemResult: batch.ItemResult{Status: batch.ResultFailed, Code: e.Code, Outcome: e.Outcome}}
	return r.withLine(it, line)
}

// interruptedResult turns a preempted or cancelled attempt into a result. The
// item is returned to control's queue with its progress. If it isn't idempotent
// and may have run, it fails instead.
func interruptedResult(it *item, response agent.Response, e *outcome.Error) attemptResult {
	if e.Outcome != outcome.NotRun && !it.pulled.Lease.Template.Idempotent {
		return failedResult(it, e)
	}
	r := attemptResult{itemResult: batch.ItemResult{Status: batch.ResultReturned, Code: e.Code, Outcome: e.Outcome}}
	if e.Outcome != outcome.NotRun {
		r.payload = it.call.encodeProgress(response) // without a payload, control keeps the previous progress
	}
	return r
}

// newResultLine returns an output line that has only the item's ids set.
func (it *item) newResultLine() *batch.ResultLine {
	id := it.pulled.Lease.ID
	line := &batch.ResultLine{ID: batch.RequestID(id.Job, id.Item)}
	var input batch.InputLine
	if json.Unmarshal(it.pulled.Input, &input) == nil {
		line.CustomID = input.CustomID
	}
	return line
}

// withLine adds the encoded output line. If the line exceeds maxResultBytes, the
// item fails with BodyTooLarge instead.
func (r attemptResult) withLine(it *item, line *batch.ResultLine) attemptResult {
	encoded, err := line.Encode()
	if err == nil && len(encoded) <= maxResultBytes {
		r.payload = encoded
		return r
	}
	r.itemResult.Status, r.itemResult.Code = batch.ResultFailed, outcome.BodyTooLarge
	errorLine := it.newResultLine()
	errorLine.Error = &batch.ResultError{
		Code: strconv.Itoa(int(outcome.BodyTooLarge)), Outcome: r.itemResult.Outcome.String(),
		Message: outcome.BodyTooLarge.Name() + ": the answer exceeds its size limit",
	}
	r.payload, _ = errorLine.Encode() // encoding plain strings cannot fail
	return r
}
