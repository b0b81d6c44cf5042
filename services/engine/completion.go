package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"banyanwalk/infra/pause"
)

// shape tells the two completion interfaces apart.
type shape struct {
	idPrefix string
	whole    string // object name of a whole answer
	chunk    string // object name of a streamed event
	chat     bool
}

var (
	chatShape = shape{idPrefix: "chatcmpl-", whole: "chat.completion", chunk: "chat.completion.chunk", chat: true}
	textShape = shape{idPrefix: "cmpl-", whole: "text_completion", chunk: "text_completion"}
)

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (e *Engine) serveChat(c *call, w http.ResponseWriter, _ *http.Request) {
	e.complete(c, w, chatShape)
}

func (e *Engine) serveCompletion(c *call, w http.ResponseWriter, _ *http.Request) {
	e.complete(c, w, textShape)
}

// answer is one generation on its way to the caller.
type answer struct {
	engine  *Engine
	call    *call
	w       http.ResponseWriter
	shape   shape
	request *Request
	id      string
	gen     generation
	cut     int // tokens until the connection breaks, or -1
}

func (e *Engine) complete(c *call, w http.ResponseWriter, s shape) {
	request, err := ParseRequest(c.body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	own := identity{id: c.id, gen: newGeneration(request, e.cfg.Seed)}
	shown := e.faults.swap(c.ctx, own)
	a := &answer{engine: e, call: c, w: w, shape: s, request: request, id: s.idPrefix + shown.id, gen: shown.gen}
	a.cut = e.faults.cutAfter()
	pause.For(c.ctx, e.cfg.Prefill)
	e.faults.beforeHead(c.ctx)
	if request.Stream {
		a.stream()
		return
	}
	a.whole()
}

// generate produces the tokens in their time; each receives a token and its
// index. It reports false when the call ended first.
func (a *answer) generate(each func(token string) bool) bool {
	next := time.Now()
	for i := a.gen.first; i < a.gen.length; i++ {
		if i-a.gen.first == a.cut {
			panic(http.ErrAbortHandler)
		}
		slowdown := a.engine.record.slowdown()
		next = next.Add(time.Duration(float64(a.engine.cfg.TokenTime) * slowdown))
		pause.For(a.call.ctx, time.Until(next))
		a.engine.faults.thaw(a.call.ctx)
		if a.call.ctx.Err() != nil || a.engine.record.failing(time.Now()) {
			return false
		}
		if !each(a.gen.token(i)) {
			return false
		}
	}
	return a.call.ctx.Err() == nil
}

func (a *answer) usage() *usage {
	prompt, generated := a.request.promptTokens(), max(0, a.gen.length-a.gen.first)
	return &usage{PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + generated}
}

func (a *answer) body(object string, choices ...choice) completion {
	return completion{ID: a.id, Object: object, Created: time.Now().Unix(), Model: a.request.Model, Choices: choices}
}

func (a *answer) choice(text string, streamed bool, finish *string) choice {
	switch {
	case !a.shape.chat:
		return choice{Text: &text, FinishReason: finish}
	case streamed:
		return choice{Delta: &message{Content: text}, FinishReason: finish}
	default:
		return choice{Message: &message{Role: "assistant", Content: text}, FinishReason: finish}
	}
}

// whole answers with one JSON document.
func (a *answer) whole() {
	if !a.generate(func(string) bool { return true }) {
		if a.call.ctx.Err() == nil {
			writeError(a.w, http.StatusInternalServerError, "overloaded while cold")
		}
		return
	}
	finish := "length"
	body := a.body(a.shape.whole, a.choice(a.gen.text(), false, &finish))
	body.Usage = a.usage()
	a.engine.leave(a.call, true)
	writeJSON(a.w, http.StatusOK, body)
}

// stream answers with one server-sent event per token.
func (a *answer) stream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	done := a.generate(func(token string) bool {
		return a.event(a.body(a.shape.chunk, a.choice(token, true, nil)))
	})
	if !done {
		panic(http.ErrAbortHandler)
	}
	finish := "length"
	if !a.event(a.body(a.shape.chunk, a.choice("", true, &finish))) {
		return
	}
	if a.request.StreamOptions.IncludeUsage {
		last := a.body(a.shape.chunk)
		last.Choices = []choice{}
		last.Usage = a.usage()
		a.event(last)
	}
	a.engine.leave(a.call, true)
	_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
	a.flush()
}

func (a *answer) event(body completion) bool {
	encoded, err := json.Marshal(body)
	if err != nil {
		return false
	}
	line := append([]byte("data: "), encoded...)
	if _, err := a.w.Write(append(line, '\n', '\n')); err != nil {
		return false
	}
	a.flush()
	return true
}

func (a *answer) flush() {
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
}
