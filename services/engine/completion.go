package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"banyanwalk/infra/pause"
)

// apiFormat holds the differences between the chat and the text completion API.
type apiFormat struct {
	idPrefix    string
	object      string // object name of a non-streamed response
	chunkObject string // object name of a streamed event
	chat        bool
}

var (
	chatFormat = apiFormat{idPrefix: "chatcmpl-", object: "chat.completion", chunkObject: "chat.completion.chunk", chat: true}
	textFormat = apiFormat{idPrefix: "cmpl-", object: "text_completion", chunkObject: "text_completion"}
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

func (e *Engine) serveChat(c *admittedRequest, w http.ResponseWriter, _ *http.Request) {
	e.respondCompletion(c, w, chatFormat)
}

func (e *Engine) serveCompletion(c *admittedRequest, w http.ResponseWriter, _ *http.Request) {
	e.respondCompletion(c, w, textFormat)
}

// generationResponse writes one generation as an HTTP response.
type generationResponse struct {
	engine   *Engine
	admitted *admittedRequest
	w        http.ResponseWriter
	format   apiFormat
	request  *Request
	id       string
	gen      generation
	cutAfter int // tokens after which to break the connection; -1 for never
}

// respondCompletion parses the request and answers it, streamed or as one JSON
// document. Under a swap fault it answers with another request's generation.
func (e *Engine) respondCompletion(c *admittedRequest, w http.ResponseWriter, format apiFormat) {
	request, err := ParseRequest(c.body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	requested := responseIdentity{id: c.id, gen: newGeneration(request, e.cfg.Seed)}
	identity := e.faults.responseIdentity(c.ctx, requested)
	g := &generationResponse{engine: e, admitted: c, w: w, format: format, request: request, id: format.idPrefix + identity.id, gen: identity.gen}
	g.cutAfter = e.faults.takeCutLimit()
	pause.For(c.ctx, e.cfg.PrefillTime)
	e.faults.delayHeader(c.ctx)
	if request.Stream {
		g.stream()
		return
	}
	g.respond()
}

// generate passes the tokens to emit, paced by the token time and the current
// slowdown. It reports false if, before the end, the caller disconnected, the
// engine crashed or began to fail, or emit returned false. A cut fault aborts the
// connection by a panic with http.ErrAbortHandler.
func (g *generationResponse) generate(emit func(token string) bool) bool {
	nextTokenAt := time.Now()
	for i := g.gen.firstIndex; i < g.gen.length; i++ {
		if i-g.gen.firstIndex == g.cutAfter {
			panic(http.ErrAbortHandler)
		}
		slowdown := g.engine.recorder.countToken()
		nextTokenAt = nextTokenAt.Add(time.Duration(float64(g.engine.cfg.TokenTime) * slowdown))
		pause.For(g.admitted.ctx, time.Until(nextTokenAt))
		g.engine.faults.waitWhileFrozen(g.admitted.ctx)
		if g.admitted.ctx.Err() != nil || g.engine.recorder.failing(time.Now()) {
			return false
		}
		if !emit(g.gen.token(i)) {
			return false
		}
	}
	return g.admitted.ctx.Err() == nil
}

func (g *generationResponse) tokenUsage() *usage {
	prompt, generated := g.request.promptTokens(), max(0, g.gen.length-g.gen.firstIndex)
	return &usage{PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + generated}
}

func (g *generationResponse) newCompletion(object string, choices ...choice) completion {
	return completion{ID: g.id, Object: object, Created: time.Now().Unix(), Model: g.request.Model, Choices: choices}
}

func (g *generationResponse) newChoice(text string, streamed bool, finishReason *string) choice {
	switch {
	case !g.format.chat:
		return choice{Text: &text, FinishReason: finishReason}
	case streamed:
		return choice{Delta: &message{Content: text}, FinishReason: finishReason}
	default:
		return choice{Message: &message{Role: "assistant", Content: text}, FinishReason: finishReason}
	}
}

// respond writes the complete generation as one JSON document.
func (g *generationResponse) respond() {
	if !g.generate(func(string) bool { return true }) {
		if g.admitted.ctx.Err() == nil {
			writeError(g.w, http.StatusInternalServerError, "overloaded while cold")
		}
		return
	}
	finishReason := "length"
	body := g.newCompletion(g.format.object, g.newChoice(g.gen.text(), false, &finishReason))
	body.Usage = g.tokenUsage()
	g.engine.endRequest(g.admitted, true)
	writeJSON(g.w, http.StatusOK, body)
}

// stream writes one server-sent event per token. It aborts the connection when
// the generation ends early, so that the client sees a truncated stream.
func (g *generationResponse) stream() {
	g.w.Header().Set("Content-Type", "text/event-stream")
	g.w.WriteHeader(http.StatusOK)
	g.flush()
	completed := g.generate(func(token string) bool {
		return g.writeEvent(g.newCompletion(g.format.chunkObject, g.newChoice(token, true, nil)))
	})
	if !completed {
		panic(http.ErrAbortHandler)
	}
	finishReason := "length"
	if !g.writeEvent(g.newCompletion(g.format.chunkObject, g.newChoice("", true, &finishReason))) {
		return
	}
	if g.request.StreamOptions.IncludeUsage {
		usageEvent := g.newCompletion(g.format.chunkObject)
		usageEvent.Choices = []choice{}
		usageEvent.Usage = g.tokenUsage()
		g.writeEvent(usageEvent)
	}
	g.engine.endRequest(g.admitted, true)
	_, _ = g.w.Write([]byte("data: [DONE]\n\n"))
	g.flush()
}

// writeEvent sends one server-sent event and reports whether it was written.
func (g *generationResponse) writeEvent(body completion) bool {
	encoded, err := json.Marshal(body)
	if err != nil {
		return false
	}
	line := append([]byte("data: "), encoded...)
	if _, err := g.w.Write(append(line, '\n', '\n')); err != nil {
		return false
	}
	g.flush()
	return true
}

func (g *generationResponse) flush() {
	if f, ok := g.w.(http.Flusher); ok {
		f.Flush()
	}
}
