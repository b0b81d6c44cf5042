package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"banyanwalk/infra/pause"
	"banyanwalk/services/engine"
)

// BatchResult is the outcome of one batch job.
type BatchResult struct {
	Workspace  string        `json:"workspace"`
	ID         string        `json:"id"`
	Status     string        `json:"status"`
	Items      int           `json:"items"`
	Completed  int           `json:"completed"`  // items with the correct response
	Duplicates int           `json:"duplicates"` // further responses to items already answered
	Wrong      int           `json:"wrong"`      // items with another item's response or a partial one
	Failed     int           `json:"failed"`     // items in the error file
	Missing    int           `json:"missing"`    // items in neither file
	Took       time.Duration `json:"took_ns"`    // from the acknowledgement until the job ended or the run's deadline passed
	Problem    string        `json:"fault,omitempty"`
}

type batchStatus struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// isTerminal reports whether the job's status can no longer change.
func (s *batchStatus) isTerminal() bool {
	switch s.Status {
	case "completed", "failed", "cancelled", "expired":
		return true
	default:
		return false
	}
}

// batchClient takes one batch job from the upload to the verified results.
type batchClient struct {
	client    *fasthttp.Client
	gateways  []string
	job       BatchJob
	seed      uint64 // seed of the simulated engines
	callCount int
}

// run submits the job, polls it until it or ctx ends, and verifies the results.
func (b *batchClient) run(ctx context.Context, nonce uint64, onProgress func(done int)) BatchResult {
	r := BatchResult{Workspace: b.job.Workspace, Items: b.job.Items}
	expected, file := b.buildInput(nonce)
	status, err := b.submit(ctx, file)
	if err != nil {
		r.Problem = err.Error()
		return r
	}
	acknowledged := time.Now()
	status, err = b.pollUntilTerminal(ctx, status, onProgress)
	r.Took, r.ID, r.Status = time.Since(acknowledged), status.ID, status.Status
	if err != nil {
		r.Problem = err.Error()
		return r
	}
	if err := b.verifyResults(ctx, &r, status, expected); err != nil {
		r.Problem = err.Error()
	}
	return r
}

// buildInput returns the expected texts by custom id and the JSONL input file.
func (b *batchClient) buildInput(nonce uint64) (map[string]string, []byte) {
	expected := make(map[string]string, b.job.Items)
	var file bytes.Buffer
	for i := range b.job.Items {
		id := fmt.Sprintf("item-%d", i)
		body := chatBody(b.job.Model, nonce+uint64(i), b.job.MaxTokens, false)
		expected[id], _ = engine.ExpectedText(body, b.seed)
		fmt.Fprintf(&file, `{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", id, body)
	}
	return expected, file.Bytes()
}

// submit uploads the input file and creates the batch.
func (b *batchClient) submit(ctx context.Context, file []byte) (batchStatus, error) {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	_ = writer.WriteField("purpose", "batch")
	part, err := writer.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return batchStatus{}, err
	}
	_, _ = part.Write(file)
	_ = writer.Close()
	var uploaded struct {
		ID string `json:"id"`
	}
	if err := b.callWithRetry(ctx, fasthttp.MethodPost, "/v1/files", writer.FormDataContentType(), form.Bytes(), &uploaded); err != nil {
		return batchStatus{}, errors.Wrap(err, "upload")
	}
	createRequest, _ := json.Marshal(struct {
		InputFileID      string `json:"input_file_id"`
		Endpoint         string `json:"endpoint"`
		CompletionWindow string `json:"completion_window"`
	}{uploaded.ID, "/v1/chat/completions", b.job.Window})
	var status batchStatus
	err = b.callWithRetry(ctx, fasthttp.MethodPost, "/v1/batches", "application/json", createRequest, &status)
	return status, errors.Wrap(err, "create batch")
}

// pollUntilTerminal polls the job until it has ended. It fails when ctx ends
// first.
func (b *batchClient) pollUntilTerminal(ctx context.Context, status batchStatus, onProgress func(int)) (batchStatus, error) {
	for !status.isTerminal() {
		pause.For(ctx, batchPollInterval)
		if ctx.Err() != nil {
			return status, errors.Newf("batch not finished before the deadline: %d of %d items done", status.RequestCounts.Completed, b.job.Items)
		}
		if err := b.callWithRetry(ctx, fasthttp.MethodGet, "/v1/batches/"+status.ID, "", nil, &status); err != nil && ctx.Err() != nil {
			return status, err
		}
		onProgress(status.RequestCounts.Completed + status.RequestCounts.Failed)
	}
	return status, nil
}

// verifyResults reads the output and error files and counts the items by result.
func (b *batchClient) verifyResults(ctx context.Context, r *BatchResult, status batchStatus, expected map[string]string) error {
	answered := make(map[string]bool, len(expected))
	if status.OutputFileID != "" {
		output, err := b.fileContent(ctx, status.OutputFileID)
		if err != nil {
			return errors.Wrap(err, "read output file")
		}
		verifyOutput(r, output, expected, answered)
	}
	if status.ErrorFileID != "" {
		failures, err := b.fileContent(ctx, status.ErrorFileID)
		if err != nil {
			return errors.Wrap(err, "read error file")
		}
		for line := range bytes.Lines(failures) {
			var item struct {
				CustomID string `json:"custom_id"`
			}
			if json.Unmarshal(line, &item) == nil {
				answered[item.CustomID] = true
				r.Failed++
			}
		}
	}
	r.Missing = len(expected) - len(answered)
	return nil
}

func verifyOutput(r *BatchResult, output []byte, expected map[string]string, answered map[string]bool) {
	for line := range bytes.Lines(output) {
		var item struct {
			CustomID string `json:"custom_id"`
			Response struct {
				Body struct {
					Choices []struct {
						Message struct {
							Content string `json:"content"`
						} `json:"message"`
					} `json:"choices"`
				} `json:"body"`
			} `json:"response"`
		}
		if err := json.Unmarshal(line, &item); err != nil {
			r.Wrong++
			continue
		}
		choices := item.Response.Body.Choices
		switch {
		case answered[item.CustomID]:
			r.Duplicates++
		case len(choices) != 1 || choices[0].Message.Content != expected[item.CustomID]:
			r.Wrong++
		default:
			r.Completed++
		}
		answered[item.CustomID] = true
	}
}

func (b *batchClient) fileContent(ctx context.Context, id string) ([]byte, error) {
	var raw []byte
	err := b.callWithRetry(ctx, fasthttp.MethodGet, "/v1/files/"+id+"/content", "", nil, &raw)
	return raw, err
}

// callWithRetry makes one API call. While there is no response, or a 5xx or 429
// one, it retries at the next gateway with the same Idempotency-Key.
func (b *batchClient) callWithRetry(ctx context.Context, method, path, contentType string, body []byte, out any) error {
	b.callCount++
	key := fmt.Sprintf("%s-%p-%d", b.job.Workspace, b, b.callCount)
	for {
		err := b.attempt(ctx, method, path, contentType, key, body, out)
		var permanent *permanentError
		if err == nil || errors.As(err, &permanent) || ctx.Err() != nil {
			return err
		}
		b.gateways = append(b.gateways[1:], b.gateways[0])
		pause.For(ctx, retryDelay)
	}
}

// permanentError is an error response that a retry would not change.
type permanentError struct {
	status int
	body   string
}

func (e *permanentError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

func (b *batchClient) attempt(ctx context.Context, method, path, contentType, key string, body []byte, out any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(b.gateways[0] + path)
	request.Header.SetMethod(method)
	request.Header.Set("Authorization", "Bearer "+b.job.Key)
	if method == fasthttp.MethodPost {
		request.Header.Set("Idempotency-Key", key)
		request.Header.SetContentType(contentType)
		request.SetBody(body)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(requestTimeout)
	}
	if err := b.client.DoDeadline(request, response, deadline); err != nil {
		return err
	}
	responseBody := response.Body()
	status := response.StatusCode()
	if status >= 500 || status == fasthttp.StatusTooManyRequests {
		return errors.Newf("status %d: %s", status, responseBody)
	}
	if status >= 300 {
		return &permanentError{status: status, body: string(responseBody)}
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = bytes.Clone(responseBody)
		return nil
	}
	return errors.Wrap(json.Unmarshal(responseBody, out), "decode response")
}
