package control

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/codec"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// Call is a unary call that runs on the leader of a group, on whichever host
// that is.
type Call[Req, Resp any] func(ctx context.Context, request *Req) (*Resp, error)

// forwardHandler runs a call that a peer has forwarded to this host.
type forwardHandler func(ctx context.Context, group uint32, body []byte) ([]byte, error)

// HandleForwarded registers a unary handler that runs only on the leader of the
// configuration group; other hosts forward the call to it. It returns a
// function with which this host can make the same call. It must be called
// before Run.
func HandleForwarded[Req, Resp any](s *Server, method wire.Method, handler Call[Req, Resp]) Call[Req, Resp] {
	return HandleForwardedTo(s, method, func(*Req) (uint32, error) { return ConfigGroup, nil }, handler)
}

// HandleForwardedTo is like HandleForwarded for a handler that runs on the
// leader of the group that groupOf returns for the request.
func HandleForwardedTo[Req, Resp any](s *Server, method wire.Method, groupOf func(*Req) (uint32, error), handler Call[Req, Resp]) Call[Req, Resp] {
	s.forwardHandlers[method] = func(ctx context.Context, group uint32, body []byte) ([]byte, error) {
		request := new(Req)
		if err := codec.Unmarshal(body, request); err != nil {
			return nil, outcome.New(outcome.BadFrame, outcome.NotRun, "forwarded request: %v", err)
		}
		response, err := runAsLeader(ctx, s, group, request, handler)
		if err != nil {
			return nil, err
		}
		return msgpack.Marshal(response)
	}
	forwardingCall := func(ctx context.Context, request *Req) (*Resp, error) {
		if err := s.calls.begin(); err != nil {
			return nil, err
		}
		defer s.calls.end()
		group, err := groupOf(request)
		if err != nil {
			return nil, err
		}
		return callLeader(ctx, s, method, group, request, handler)
	}
	wire.HandleUnary(s.wire, method, forwardingCall)
	return forwardingCall
}

// callLeader runs the handler on the leader, which may be this host. While no
// leader can be reached, it retries until the deadline, as long as no attempt
// may have run.
func callLeader[Req, Resp any](ctx context.Context, s *Server, method wire.Method, group uint32, request *Req, handler Call[Req, Resp]) (*Resp, error) {
	if _, found := ctx.Deadline(); !found {
		timeoutCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		ctx = timeoutCtx
	}
	for {
		response, err := callLeaderOnce(ctx, s, method, group, request, handler)
		if err == nil || !isRetryable(err) {
			return response, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(forwardRetryInterval):
		}
	}
}

// isRetryable reports whether a call did not reach the leader, so that it
// certainly did not run.
func isRetryable(err error) bool {
	e := outcome.From(err)
	return e.Outcome == outcome.NotRun && (e.Code == outcome.NotLeader || e.Code == outcome.Unreachable || e.Code == outcome.Draining)
}

// callLeaderOnce makes one attempt of callLeader.
func callLeaderOnce[Req, Resp any](ctx context.Context, s *Server, method wire.Method, group uint32, request *Req, handler Call[Req, Resp]) (*Resp, error) {
	r, err := s.Group(group)
	if err != nil {
		return nil, err
	}
	if r.Status().IsLeader {
		return runAsLeader(ctx, s, group, request, handler)
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return nil, outcome.New(outcome.Internal, outcome.NotRun, "encode request: %v", err)
	}
	forwardResponse, err := s.forward(ctx, rpc.ForwardRequest{Method: method, Group: group, Body: body})
	if err != nil {
		return nil, err
	}
	response := new(Resp)
	if err := codec.Unmarshal(forwardResponse.Body, response); err != nil {
		return nil, outcome.New(outcome.BadFrame, outcome.MayHaveRun, "forwarded answer: %v", err)
	}
	return response, nil
}

// forward sends a call to the leader. It abandons the call if the leader
// changes, since an old leader that is frozen or partitioned would never
// respond.
func (s *Server) forward(ctx context.Context, request rpc.ForwardRequest) (*rpc.ForwardResponse, error) {
	leader := s.knownLeaders[request.Group].Load()
	addr, found := s.cfg.Peers[leader.id]
	if !found || leader.id == s.cfg.ID {
		return nil, outcome.New(outcome.NotLeader, outcome.NotRun, "no leader of group %d is known", request.Group)
	}
	s.forwards.Mark(1)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(leader.ctx, cancel)()
	response := new(rpc.ForwardResponse)
	err := s.pool.Call(callCtx, addr, rpc.MethodForward, &request, response)
	if err != nil && ctx.Err() == nil && leader.ctx.Err() != nil {
		return nil, leaderChangedError(request.Group, outcome.From(err).Outcome)
	}
	return response, err
}

// leaderChangedError is the error of a call that was abandoned because the
// leader changed.
func leaderChangedError(group uint32, o outcome.Outcome) error {
	code := outcome.NoQuorum
	if o == outcome.NotRun {
		code = outcome.NotLeader
	}
	return outcome.New(code, o, "the leader of group %d changed during the call", group)
}

// runAsLeader runs a handler if this host holds the leader lease. It checks the
// lease again before it returns the response, since the process may have been
// frozen in the meantime.
func runAsLeader[Req, Resp any](ctx context.Context, s *Server, group uint32, request *Req, handler Call[Req, Resp]) (*Resp, error) {
	if !s.Leads(group) {
		return nil, outcome.New(outcome.NotLeader, outcome.NotRun, "host %d does not lead group %d", s.cfg.ID, group)
	}
	response, err := handler(ctx, request)
	if err != nil {
		return nil, err
	}
	if !s.Leads(group) {
		return nil, outcome.New(outcome.NoQuorum, outcome.MayHaveRun, "leadership of group %d was lost", group)
	}
	return response, nil
}

// serveForwarded runs a call that a peer has forwarded, if this host leads the
// group.
func (s *Server) serveForwarded(ctx context.Context, request *rpc.ForwardRequest) (*rpc.ForwardResponse, error) {
	handler, found := s.forwardHandlers[request.Method]
	if !found {
		return nil, outcome.New(outcome.UnknownRoute, outcome.NotRun, "no method %d", request.Method)
	}
	if err := s.calls.begin(); err != nil {
		return nil, err
	}
	defer s.calls.end()
	body, err := handler(ctx, request.Group, request.Body)
	if err != nil {
		return nil, err
	}
	return &rpc.ForwardResponse{Body: body}, nil
}
