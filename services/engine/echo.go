package engine

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"banyanwalk/infra/pause"
)

// Echo is the answer of a plain service: what it received.
type Echo struct {
	RequestID string      `json:"request_id"`
	Method    string      `json:"method"`
	Path      string      `json:"path"` // with the query
	Headers   http.Header `json:"headers"`
	Body      string      `json:"body"`
	Runs      int         `json:"runs"` // how often this service received the request id
}

// serveEcho answers as a plain service. A crossed answer carries the other
// request's id in header and body.
func (e *Engine) serveEcho(c *call, w http.ResponseWriter, r *http.Request) {
	own := identity{id: c.id, gen: generation{seed: xxhash.Sum64(c.body)}}
	shown := e.faults.swap(c.ctx, own)
	pause.For(c.ctx, e.cfg.Prefill)
	e.faults.beforeHead(c.ctx)
	if c.ctx.Err() != nil {
		return
	}
	w.Header().Set(requestIDHeader, shown.id)
	echo := Echo{
		RequestID: shown.id,
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Headers:   r.Header,
		Body:      string(c.body),
		Runs:      e.record.received(c.id),
	}
	e.leave(c, true)
	writeJSON(w, http.StatusOK, echo)
}
