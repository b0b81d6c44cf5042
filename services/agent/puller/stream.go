package puller

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/batch"
	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/services/agent"
)

// modelCall is the request of an item as it is sent to the target. A generation
// of a single text is streamed, so that it can resume after a preemption from the
// tokens generated so far. The stream is then assembled into the response body
// that the caller asked for.
type modelCall struct {
	original []byte // the caller's body
	body     []byte // as sent
	streamed bool
	chat     bool
	prior    progress // progress of earlier attempts
}

// progress is the output that preempted attempts have generated so far.
type progress struct {
	Tokens  int    `json:"tokens"`
	Text    string `json:"text"`
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Role    string `json:"role,omitempty"`
}

const (
	chatPathSuffix        = "/chat/completions"
	completionsPathSuffix = "/completions"
	dataPrefix            = "data:"
	doneMarker            = "[DONE]"
)

// streamableFields are the request fields that leave the response a single text.
// A request with any other field is sent to the target unchanged.
var streamableFields = []string{
	"model", "messages", "prompt", "max_tokens", "max_completion_tokens", "temperature", "top_p", "top_k", "min_p",
	"stop", "seed", "user", "presence_penalty", "frequency_penalty", "n", "stream",
}

func newModelCall(it *item, t fleet.Target) (*modelCall, error) {
	var input batch.InputLine
	if err := json.Unmarshal(it.pulled.Input, &input); err != nil {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "input line: %v", err)
	}
	call := &modelCall{original: input.Body, body: input.Body}
	path := it.pulled.Lease.Template.Path
	call.chat = strings.HasSuffix(path, chatPathSuffix)
	if t.Kind != bundle.KindModel || !it.pulled.Lease.Template.Idempotent || !strings.HasSuffix(path, completionsPathSuffix) {
		return call, nil
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(input.Body, &fields) != nil || !isStreamable(fields) {
		return call, nil
	}
	if len(it.pulled.Progress) > 0 && json.Unmarshal(it.pulled.Progress, &call.prior) != nil {
		call.prior = progress{}
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if call.prior.Tokens > 0 {
		fields["resume_from_tokens"] = json.RawMessage(strconv.Itoa(call.prior.Tokens))
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "body: %v", err)
	}
	call.body, call.streamed = body, true
	return call, nil
}

// isStreamable reports whether the response to a request is a single text.
func isStreamable(fields map[string]json.RawMessage) bool {
	for name := range fields {
		if !slices.Contains(streamableFields, name) {
			return false
		}
	}
	if n, ok := fields["n"]; ok && string(n) != "1" && string(n) != "null" {
		return false
	}
	prompt := bytes.TrimSpace(fields["prompt"])
	return len(prompt) == 0 || prompt[0] == '"'
}

// streamEvent is one server-sent event of a streamed completion.
type streamEvent struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"delta"`
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *tokenUsage `json:"usage"`
}

type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// generation accumulates the events of a streamed response.
type generation struct {
	progress
	model        string
	finishReason *string
	usage        *tokenUsage
	done         bool
}

// assemble appends the events of a response to the progress of earlier attempts.
func (c *modelCall) assemble(response agent.Response) (*generation, error) {
	g := &generation{progress: c.prior}
	g.Tokens += response.Tokens
	var text strings.Builder
	text.WriteString(c.prior.Text)
	for raw := range bytes.Lines(response.Body) {
		data, isEvent := bytes.CutPrefix(bytes.TrimSpace(raw), []byte(dataPrefix))
		data = bytes.TrimSpace(data)
		if !isEvent {
			continue
		}
		if string(data) == doneMarker {
			g.done = true
			continue
		}
		var e streamEvent
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, errors.Wrap(err, "streamed event")
		}
		g.addEvent(&e, &text)
	}
	g.Text = text.String()
	return g, nil
}

func (g *generation) addEvent(e *streamEvent, text *strings.Builder) {
	if g.ID == "" {
		g.ID, g.Created = e.ID, e.Created
	}
	g.model = e.Model
	if e.Usage != nil {
		g.usage = e.Usage
	}
	for i := range e.Choices {
		choice := &e.Choices[i]
		text.WriteString(choice.Delta.Content)
		text.WriteString(choice.Text)
		if choice.Delta.Role != "" {
			g.Role = choice.Delta.Role
		}
		if choice.FinishReason != nil {
			g.finishReason = choice.FinishReason
		}
	}
}

// encodeProgress returns the progress to store for an interrupted response, or
// nil if the generation can't be resumed.
func (c *modelCall) encodeProgress(response agent.Response) []byte {
	if !c.streamed {
		return nil
	}
	g, err := c.assemble(response)
	if err != nil || g.Tokens == 0 {
		return nil
	}
	encoded, err := json.Marshal(&g.progress)
	if err != nil {
		return nil
	}
	return encoded
}

// completion is the body of a completion that isn't streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *tokenUsage        `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	FinishReason *string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionBody returns the response body in the form that the caller asked for.
func (c *modelCall) completionBody(response agent.Response) ([]byte, error) {
	if !c.streamed || json.Valid(response.Body) {
		return response.Body, nil
	}
	g, err := c.assemble(response)
	if err != nil {
		return nil, err
	}
	if !g.done {
		return nil, errors.New("the stream has no end mark")
	}
	body := completion{ID: g.ID, Created: g.Created, Model: g.model, Usage: g.totalUsage(c.prior.Tokens)}
	choice := completionChoice{FinishReason: g.finishReason}
	if c.chat {
		body.Object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: g.Text}
		if g.Role != "" {
			choice.Message.Role = g.Role
		}
	} else {
		body.Object = "text_completion"
		choice.Text = &g.Text
	}
	body.Choices = []completionChoice{choice}
	return json.Marshal(&body)
}

// totalUsage returns the token usage including the tokens of earlier attempts.
func (g *generation) totalUsage(priorTokens int) *tokenUsage {
	if g.usage == nil {
		return nil
	}
	u := *g.usage
	u.CompletionTokens += priorTokens
	u.TotalTokens += priorTokens
	return &u
}
