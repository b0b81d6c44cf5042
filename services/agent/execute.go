package agent

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/admission"
	"banyanwalk/core/dedupe"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const (
	maxBodyBytes = 15 << 20 // leaves room for the other fields in a wire frame
	maxHeaders   = 64
	// maxTimeout caps the timeout of every request and applies to requests that
	// bring none.
	maxTimeout = 30 * time.Minute
	// errorFrameTimeout bounds how long sending the final error to a slow gateway
	// may take.
	errorFrameTimeout = time.Second
)

// deniedHeaders must not come from a gateway: they carry credentials, or the
// agent or its HTTP client sets them itself.
var deniedHeaders = map[string]bool{
	"Authorization":       true,
	"Proxy-Authorization": true,
	"X-Api-Key":           true,
	"Api-Key":             true,
	"Cookie":              true,
	"Connection":          true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Host":                true,
	"Expect":              true,
	requestIDHeader:       true,
	workspaceHeader:       true,
}

// sink receives the parts of a response in order. An error means that the caller
// no longer reads the response.
type sink interface {
	sent() error
	head(status int, headers []rpc.Header) error
	data(data []byte, tokens int) error // tokens: number of streamed events with content in data
	end() error
	// abort unblocks pending calls of the methods above, which then fail.
	abort()
}

// streamSink sends a response as numbered events over a wire stream.
type streamSink struct {
	stream *wire.Stream
	id     rpc.AttemptID
	seq    uint64
}

func (s *streamSink) send(event rpc.ExecuteEvent) error {
	event.ID, event.Seq = s.id, s.seq
	s.seq++
	return s.stream.Send(&event)
}

func (s *streamSink) sent() error { return s.send(rpc.ExecuteEvent{Kind: rpc.EventSent}) }

func (s *streamSink) head(status int, headers []rpc.Header) error {
	return s.send(rpc.ExecuteEvent{Kind: rpc.EventHead, Status: status, Headers: headers})
}

func (s *streamSink) data(data []byte, _ int) error {
	return s.send(rpc.ExecuteEvent{Kind: rpc.EventData, Data: data})
}

func (s *streamSink) end() error { return s.send(rpc.ExecuteEvent{Kind: rpc.EventEnd}) }

func (s *streamSink) abort() { _ = s.stream.SetDeadline(time.Unix(1, 0)) }

// handleExecute serves one request attempt that a gateway sends.
func (a *Agent) handleExecute(ctx context.Context, stream *wire.Stream) error {
	var open rpc.ExecuteOpen
	if err := stream.Recv(&open); err != nil {
		return outcome.New(outcome.BadFrame, outcome.NotRun, "read request: %v", err)
	}
	if open.Class != rpc.ClassOnline {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "gateways run online requests only")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.background.Go(func() {
		defer cancel()
		waitForStreamClose(stream)
	})
	err := a.execute(ctx, &open, &streamSink{stream: stream, id: open.ID})
	if err != nil {
		_ = stream.SetDeadline(time.Now().Add(errorFrameTimeout)) // abort may have set a deadline in the past
	}
	return err
}

// waitForStreamClose returns when the peer has closed the stream. io.EOF only
// means that the peer sends nothing more; it still waits for the response.
func waitForStreamClose(stream *wire.Stream) {
	for {
		var ack rpc.Ack
		if err := stream.Recv(&ack); err != nil && !errors.Is(err, io.EOF) {
			return
		}
	}
}

// execute runs one attempt until it ends and logs its failure, if any.
func (a *Agent) execute(parent context.Context, open *rpc.ExecuteOpen, out sink) error {
	a.addActive(1)
	defer a.addActive(-1)
	timeout := maxTimeout
	if open.TimeoutMS > 0 {
		timeout = min(timeout, time.Duration(open.TimeoutMS)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	x, err := a.prepare(open)
	if err == nil {
		err = x.run(ctx, out)
	}
	if err != nil {
		a.logFailure(open, outcome.From(err))
	}
	return err
}

// prepare runs the checks that need no slot. Its errors have outcome NotRun,
// except for attempts that were seen before: those may have run.
func (a *Agent) prepare(open *rpc.ExecuteOpen) (*execution, error) {
	if err := a.checkAdmissible(open.ID); err != nil {
		return nil, err
	}
	if err := validateRequest(open); err != nil {
		return nil, err
	}
	t, found := a.findTarget(open.ID.Target)
	if !found {
		return nil, outcome.New(outcome.NoTarget, outcome.NotRun, "no target %q here", open.ID.Target)
	}
	x := &execution{agent: a, target: t, open: open, info: t.announcement()}
	if open.Model != x.info.Model {
		return nil, outcome.New(outcome.NoTarget, outcome.NotRun, "target %q serves %q", t.id, x.info.Model)
	}
	x.ref = quarantine.Ref{Workspace: open.Workspace, Digest: open.Digest}
	if err := x.checkQuarantine(); err != nil {
		return nil, err
	}
	return x, a.checkAttempt(open)
}

// checkAdmissible runs the checks whose result may change while a request waits
// for a slot, so they run again before it is sent.
func (a *Agent) checkAdmissible(id rpc.AttemptID) error {
	switch {
	case a.draining.Load():
		return outcome.New(outcome.TargetLeaving, outcome.NotRun, "agent is draining")
	case !a.Fresh():
		return outcome.New(outcome.StateStale, outcome.NotRun, "agent %s has no confirmed state", a.cfg.Name)
	case id.AgentIncarnation != a.incarnation:
		return outcome.New(outcome.TargetLeaving, outcome.NotRun, "the attempt is for another life of agent %s", a.cfg.Name)
	default:
		return a.checkInService(id.Target)
	}
}

// Fresh reports whether the agent's view of the fleet is recent enough to admit
// work.
func (a *Agent) Fresh() bool { return a.cfg.Control.Fresh(time.Now()) }

// checkInService refuses targets that operators have taken out of service. A
// target that the view does not know yet passes, since the agent learns of its
// own targets before control does.
func (a *Agent) checkInService(id fleet.TargetID) error {
	view := a.cfg.Control.View()
	if view.DataCentreOut(a.cfg.DataCentre) {
		return outcome.New(outcome.TargetLeaving, outcome.NotRun, "data centre %s is out of service", a.cfg.DataCentre)
	}
	if _, known := view.Target(id); known && !view.InService(id) {
		return outcome.New(outcome.TargetLeaving, outcome.NotRun, "target %s is out of service", id)
	}
	return nil
}

func validateRequest(open *rpc.ExecuteOpen) error {
	if open.ID.RequestID == "" || open.ID.Attempt < 1 {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "attempt without an id")
	}
	if len(open.Body) > maxBodyBytes {
		return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "body of %d bytes exceeds %d", len(open.Body), maxBodyBytes)
	}
	if len(open.Headers) > maxHeaders {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "%d headers", len(open.Headers))
	}
	for _, h := range open.Headers {
		name := http.CanonicalHeaderKey(h.Name)
		if deniedHeaders[name] || strings.ContainsAny(h.Name+h.Value, "\r\n") {
			return outcome.New(outcome.BadRequest, outcome.NotRun, "header %q must not reach a target", name)
		}
	}
	if !strings.HasPrefix(open.Path, "/") {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "path does not start with a slash")
	}
	if open.HTTPMethod == "" || strings.Trim(open.HTTPMethod, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "method %q", open.HTTPMethod)
	}
	return nil
}

// checkAttempt registers the attempt and refuses it if the request has run or may
// be running already.
func (a *Agent) checkAttempt(open *rpc.ExecuteOpen) error {
	a.mu.Lock()
	attemptState := a.attempts.Begin(a.now(), open.ID.RequestID, open.ID.Attempt, open.Idempotent)
	a.mu.Unlock()
	switch attemptState {
	case dedupe.Duplicate:
		return outcome.New(outcome.AlreadyAttempted, outcome.MayHaveRun, "attempt %d came twice", open.ID.Attempt)
	case dedupe.Repeated:
		return outcome.New(outcome.AlreadyAttempted, outcome.MayHaveRun, "an earlier attempt may have run")
	case dedupe.Full:
		return outcome.New(outcome.Overloaded, outcome.NotRun, "too many attempts to remember").WithRetryAfter(time.Second)
	default:
		return nil
	}
}

// markSent records that the attempt is about to be sent to the target. It returns
// false if it must not be sent because another attempt of a request that is not
// idempotent was sent first, or because the request is no longer recorded.
func (a *Agent) markSent(open *rpc.ExecuteOpen) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempts.MarkSent(open.ID.RequestID, open.Idempotent)
}

func (a *Agent) logFailure(open *rpc.ExecuteOpen, e *outcome.Error) {
	if e.Outcome == outcome.NotRun {
		a.counters.refused.Inc(1)
	} else {
		a.counters.failed.Inc(1)
	}
	a.cfg.Log.Info("request_failed", "request", open.ID.RequestID, "attempt", open.ID.Attempt, "target", open.ID.Target,
		"workspace", open.Workspace, "code", e.Code.Name(), "outcome", e.Outcome, "error", e.Message)
}

// admissionClass converts the class of a request to that of package admission.
func admissionClass(c rpc.Class) admission.Class {
	if c == rpc.ClassBatch {
		return admission.Batch
	}
	return admission.Online
}
