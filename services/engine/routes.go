package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"banyanwalk/core/bundle"
	"banyanwalk/services/agent/announce"
)

const requestIDHeader = "X-Request-Id"

// routes returns the handler of one incarnation. A handler may still run
// shortly after its incarnation has ended.
func (e *Engine) routes(process *processRun) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", e.getLoad)
	mux.HandleFunc("POST /orders", e.postOrder)
	mux.HandleFunc("GET /debug/runs", e.getRuns)
	mux.HandleFunc("POST /debug/faults", e.postFaults)
	if e.cfg.Kind == bundle.KindService {
		mux.HandleFunc("/", e.withAdmission(process, e.serveEcho))
		return mux
	}
	mux.HandleFunc("POST /v1/chat/completions", e.withAdmission(process, e.serveChat))
	mux.HandleFunc("POST /v1/completions", e.withAdmission(process, e.serveCompletion))
	return mux
}

// admittedRequest is a request of one incarnation that is counted as running.
type admittedRequest struct {
	ctx         context.Context // ends when the caller disconnects or the engine crashes
	id          string
	incarnation uint64
	body        []byte
	ended       bool
}

// withAdmission wraps a completion or echo handler. It counts the request,
// accepts any load and, if that overloads a cold engine, reacts as configured
// by Config.Overload. It also applies read delays and the poison marker.
func (e *Engine) withAdmission(process *processRun, serve func(admitted *admittedRequest, w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		stop := context.AfterFunc(process.ctx, cancel)
		defer stop()
		c := &admittedRequest{ctx: ctx, id: r.Header.Get(requestIDHeader), incarnation: process.incarnation}
		overloaded, failing := e.recorder.beginRequest(c.id, c.incarnation, time.Now())
		defer e.endRequest(c, false)
		if overloaded && e.cfg.Overload == OverloadExit {
			e.crash("overload while cold")
			panic(http.ErrAbortHandler)
		}
		if failing {
			writeError(w, http.StatusInternalServerError, "overloaded while cold")
			return
		}
		e.faults.delayRead(ctx)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		if e.cfg.PoisonMarker != "-" && bytes.Contains(body, []byte(e.cfg.PoisonMarker)) {
			e.crash("poisoned request")
			panic(http.ErrAbortHandler)
		}
		c.body = body
		w.Header().Set(requestIDHeader, c.id)
		serve(c, w, r)
		if process.ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// endRequest counts the end of a request; further calls have no effect.
func (e *Engine) endRequest(c *admittedRequest, completed bool) {
	if !c.ended {
		c.ended = true
		e.recorder.endRequest(c.id, c.incarnation, completed)
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, r *http.Request) {
	e.faults.waitWhileFrozen(r.Context())
	writeJSON(w, http.StatusOK, announce.Load{Running: e.recorder.reportedLoad()})
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order announce.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.recorder.recordOrder(OrderRecord(order)) {
		writeError(w, http.StatusConflict, "fencing number is old")
		return
	}
	writeJSON(w, http.StatusOK, order)
}

func (e *Engine) getRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Stats())
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.Inject(f)
	writeJSON(w, http.StatusOK, f)
}

// errorBody is the error document of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Message: message, Type: "engine_error"}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
