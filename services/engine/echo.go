package engine

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"banyanwalk/infra/pause"
)

// Echo is the response body of a plain service: the request as received.
type Echo struct {
	RequestID     string      `json:"request_id"`
	Method        string      `json:"method"`
	Path          string      `json:"path"` // with the query string
	Headers       http.Header `json:"headers"`
	Body          string      `json:"body"`
	TimesReceived int         `json:"runs"` // requests received so far with this request id
}

// serveEcho answers as a plain service. Under a swap fault the response carries
// the id of another request in its header and body.
func (e *Engine) serveEcho(c *admittedRequest, w http.ResponseWriter, r *http.Request) {
	requested := responseIdentity{id: c.id, gen: generation{seed: xxhash.Sum64(c.body)}}
	identity := e.faults.responseIdentity(c.ctx, requested)
	pause.For(c.ctx, e.cfg.PrefillTime)
	e.faults.delayHeader(c.ctx)
	if c.ctx.Err() != nil {
		return
	}
	w.Header().Set(requestIDHeader, identity.id)
	echo := Echo{
		RequestID:     identity.id,
		Method:        r.Method,
		Path:          r.URL.RequestURI(),
		Headers:       r.Header,
		Body:          string(c.body),
		TimesReceived: e.recorder.receivedCount(c.id),
	}
	e.endRequest(c, true)
	writeJSON(w, http.StatusOK, echo)
}
