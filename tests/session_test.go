package tests

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	sessionItems        = 200
	sessionInvalidItems = 3
)

// transcript collects what a caller saw, for the golden file. Generated ids are
// masked.
type transcript struct {
	strings.Builder
}

// generatedID matches the ids of files and batches, which differ in every run.
var generatedID = regexp.MustCompile(`(file-|batch_)[0-9a-f]{32}`)

func (s *transcript) addLine(format string, args ...any) {
	s.WriteString(generatedID.ReplaceAllString(fmt.Sprintf(format, args...), "${1}*") + "\n")
}

// A caller's session from listing the models to the withdrawal of a key, compared
// with a golden file. To rewrite the file: go test ./tests -run Session -update
func TestSession(t *testing.T) {
	f := startFleet(t)
	s := &transcript{}
	client := f.openAIClient(0, f.env["KEY_A"])
	listModels(t, s, client)
	completeChat(t, s, client, f.env["MODEL"])
	streamChat(t, s, client, f.env["MODEL"])
	runBatch(t, s, f, client)
	cancelBatch(t, s, f, client)
	sendRejectedRequests(s, f)
	submitInvalidLine(t, s, f)
	echoAtTarget(s, f)
	withdrawKeyB(t, s, f)
	goldie.New(t).Assert(t, "session", []byte(s.String()))
}

func listModels(t *testing.T, s *transcript, client openai.Client) {
	page, err := client.Models.List(t.Context())
	require.NoError(t, err)
	for _, m := range page.Data {
		s.addLine("model %s", m.ID)
	}
}

func chatParams(model, text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(12),
	}
}

func completeChat(t *testing.T, s *transcript, client openai.Client, model string) {
	completion, err := client.Chat.Completions.New(t.Context(), chatParams(model, "how deep"))
	require.NoError(t, err)
	s.addLine("whole %q finish %s tokens %d", completion.Choices[0].Message.Content, completion.Choices[0].FinishReason, completion.Usage.CompletionTokens)
}

func streamChat(t *testing.T, s *transcript, client openai.Client, model string) {
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams(model, "how wide"))
	defer func() { require.NoError(t, stream.Close()) }()
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			s.addLine("streamed %q finish %q", choice.Delta.Content, choice.FinishReason)
		}
	}
	require.NoError(t, stream.Err())
	s.addLine("stream ended")
}

// batchFile returns a batch input file of items lines. The first invalid ones have
// a negative max_tokens, which every engine rejects.
func batchFile(model string, items, invalid, maxTokens int) string {
	var b strings.Builder
	for i := range items {
		tokens := maxTokens
		if i < invalid {
			tokens = -1
		}
		fmt.Fprintf(&b, `{"custom_id":"item-%03d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"messages":[{"role":"user","content":"parcel %d"}],"max_tokens":%d}}`+"\n", i, model, i, tokens)
	}
	return b.String()
}

func submitBatch(t *testing.T, client openai.Client, content string) *openai.Batch {
	t.Helper()
	file, err := client.Files.New(t.Context(), openai.FileNewParams{
		File:    openai.File(strings.NewReader(content), "items.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	require.NoError(t, err)
	batch, err := client.Batches.New(t.Context(), openai.BatchNewParams{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	require.NoError(t, err)
	return batch
}

// awaitBatch waits until a batch has one of the statuses.
func awaitBatch(t *testing.T, f *fleet, client openai.Client, id string, statuses ...openai.BatchStatus) *openai.Batch {
	t.Helper()
	var batch *openai.Batch
	f.eventually("the batch has one of the wanted statuses", func() bool {
		current, err := client.Batches.Get(context.Background(), id)
		if err != nil {
			return false
		}
		batch = current
		for _, status := range statuses {
			if batch.Status == status {
				return true
			}
		}
		return false
	})
	return batch
}

func fileLines(t *testing.T, client openai.Client, id string) []string {
	t.Helper()
	response, err := client.Files.Content(t.Context(), id)
	require.NoError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return strings.Split(strings.TrimSpace(string(content)), "\n")
}

var customID = regexp.MustCompile(`"custom_id":\s*"([^"]+)"`)

// countItems returns the number of lines and of distinct custom ids.
func countItems(lines []string) (total, distinct int) {
	seen := make(map[string]bool)
	for _, line := range lines {
		if match := customID.FindStringSubmatch(line); match != nil {
			seen[match[1]] = true
		}
	}
	return len(lines), len(seen)
}

func runBatch(t *testing.T, s *transcript, f *fleet, client openai.Client) {
	submitted := submitBatch(t, client, batchFile(f.env["MODEL"], sessionItems, sessionInvalidItems, 4))
	done := awaitBatch(t, f, client, submitted.ID, openai.BatchStatusCompleted)
	s.addLine("batch %s total %d completed %d failed %d", done.Status, done.RequestCounts.Total, done.RequestCounts.Completed, done.RequestCounts.Failed)
	total, distinct := countItems(fileLines(t, client, done.OutputFileID))
	s.addLine("output lines %d distinct %d", total, distinct)
	total, distinct = countItems(fileLines(t, client, done.ErrorFileID))
	s.addLine("error lines %d distinct %d", total, distinct)
}

func cancelBatch(t *testing.T, s *transcript, f *fleet, client openai.Client) {
	submitted := submitBatch(t, client, batchFile(f.env["MODEL"], 2000, 0, 64))
	_, err := client.Batches.Cancel(t.Context(), submitted.ID)
	require.NoError(t, err)
	done := awaitBatch(t, f, client, submitted.ID, openai.BatchStatusCancelled)
	s.addLine("batch %s", done.Status)
	assert.Less(t, done.RequestCounts.Completed, int64(2000))
}

// sendRejectedRequests records the error response to each kind of bad request.
func sendRejectedRequests(s *transcript, f *fleet) {
	url := f.gatewayURL(1) + "/v1/chat/completions"
	validBody := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"x"}],"max_tokens":2}`, f.env["MODEL"])
	cases := []struct{ name, key, body string }{
		{"no key", "", validBody},
		{"unknown key", "nonsense", validBody},
		{"unknown model", f.env["KEY_A"], `{"model":"none","messages":[{"role":"user","content":"x"}]}`},
		{"broken JSON", f.env["KEY_A"], `{"model":`},
		{"body of 50 MB", f.env["KEY_A"], strings.Repeat("a", 50<<20)},
	}
	for _, c := range cases {
		status, body := post(url, c.key, c.body)
		s.addLine("%s: %d %s", c.name, status, withoutRequestID(body))
	}
}

// submitInvalidLine submits a batch with one line that is not JSON.
func submitInvalidLine(t *testing.T, s *transcript, f *fleet) {
	client := f.openAIClient(0, f.env["KEY_A"])
	content := batchFile(f.env["MODEL"], 2, 0, 4) + "nonsense\n"
	file, err := client.Files.New(t.Context(), openai.FileNewParams{
		File:    openai.File(strings.NewReader(content), "items.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	require.NoError(t, err)
	createRequest := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file.ID)
	status, body := post(f.gatewayURL(0)+"/v1/batches", f.env["KEY_A"], createRequest)
	s.addLine("wrong line: %d %s", status, withoutRequestID(body))
}

// echoAtTarget sends headers and parameters that must not reach a target to a
// simulated service, which responds with what reached it.
func echoAtTarget(s *transcript, f *fleet) {
	key := f.env["KEY_A"]
	url := f.gatewayURL(0) + "/v1/services/" + f.env["SERVICE"] + "/echo?api_key=" + key + "&q=1"
	_, body := post(url, key, "{}", "X-Workspace", "riga-water", "X-Api-Key", key, "Cookie", key)
	s.addLine("at the target: %s", withoutRequestID(quotedUUID.ReplaceAllString(body, `"*"`)))
}

var quotedUUID = regexp.MustCompile(`"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}"`)

var requestID = regexp.MustCompile(`,?"request_id":"[^"]*"`)

func withoutRequestID(body string) string {
	return strings.TrimSpace(requestID.ReplaceAllString(body, ""))
}

// withdrawKeyB withdraws KEY_B and waits until every gateway rejects it; KEY_A
// must still be accepted.
func withdrawKeyB(t *testing.T, s *transcript, f *fleet) {
	source, err := os.ReadFile("../examples/latvia.yaml")
	require.NoError(t, err)
	f.rollBundle(withWithdrawnKey(t, string(source), f.env["KEY_B"]))
	for i := range 3 {
		client := f.openAIClient(i, f.env["KEY_B"])
		f.eventually("every gateway rejects the withdrawn key", func() bool {
			_, err := client.Chat.Completions.New(context.Background(), chatParams(f.env["MODEL"], "still there"))
			var apiError *openai.Error
			return errors.As(err, &apiError) && apiError.Code == "201"
		})
	}
	s.addLine("withdrawn key refused at every gateway")
	remaining := f.openAIClient(0, f.env["KEY_A"])
	_, err = remaining.Chat.Completions.New(t.Context(), chatParams(f.env["MODEL"], "others go on"))
	s.addLine("other key error %v", err)
}
