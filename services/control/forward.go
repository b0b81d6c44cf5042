package control

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// Call is a unary call that runs on the leader, wherever it is.
type Call[Req, Resp any] func(ctx context.Context, request *Req) (*Resp, error)

// forwardedHandler runs a call that a peer has forwarded to this host.
type forwardedHandler func(ctx context.Context, group uint32, body []byte) ([]byte, error)

// HandleForwarded registers a unary handler that runs on the leader of the
// configuration group only; other hosts forward to it. It returns the call as
// other parts of this host can make it. It must be called before Run.
func HandleForwarded[Req, Resp any](s *Server, method wire.Method, h Call[Req, Resp]) Call[Req, Resp] {
	return HandleForwardedTo(s, method, func(*Req) (uint32, error) { return ConfigGroup, nil }, h)
}

// HandleForwardedTo is HandleForwarded for a handler that runs on the leader of
// the group which groupOf derives from the request.
func HandleForwardedTo[Req, Resp any](s *Server, method wire.Method, groupOf func(*Req) (uint32, error), h Call[Req, Resp]) Call[Req, Resp] {
	s.forwarded[method] = func(ctx context.Context, group uint32, body []byte) ([]byte, error) {
		request := new(Req)
		if err := msgpack.Unmarshal(body, request); err != nil {
			return nil, outcome.New(outcome.BadFrame, outcome.NotRun, "forwarded request: %v", err)
		}
		response, err := runLeading(ctx, s, group, request, h)
		if err != nil {
			return nil, err
		}
		return msgpack.Marshal(response)
	}
	call := func(ctx context.Context, request *Req) (*Resp, error) {
		if err := s.calls.enter(); err != nil {
			return nil, err
		}
		defer s.calls.leave()
		group, err := groupOf(request)
		if err != nil {
			return nil, err
		}
		return callLeader(ctx, s, method, group, request, h)
	}
	wire.HandleUnary(s.wire, method, call)
	return call
}

// callLeader runs the handler here or on the leader. While there is no leader,
// and no attempt may have run, it tries again until the deadline.
func callLeader[Req, Resp any](ctx context.Context, s *Server, method wire.Method, group uint32, request *Req, h Call[Req, Resp]) (*Resp, error) {
	if _, found := ctx.Deadline(); !found {
		bounded, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		ctx = bounded
	}
	for {
		response, err := callLeaderOnce(ctx, s, method, group, request, h)
		if err == nil || !isLeaderSought(err) {
			return response, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(forwardRetryPause):
		}
	}
}

// isLeaderSought reports whether a call certainly did not run since it did not
// reach the leader.
func isLeaderSought(err error) bool {
	e := outcome.From(err)
	return e.Outcome == outcome.NotRun && (e.Code == outcome.NotLeader || e.Code == outcome.Unreachable || e.Code == outcome.Draining)
}

func callLeaderOnce[Req, Resp any](ctx context.Context, s *Server, method wire.Method, group uint32, request *Req, h Call[Req, Resp]) (*Resp, error) {
	r, err := s.Group(group)
	if err != nil {
		return nil, err
	}
	if r.Status().IsLeader {
		return runLeading(ctx, s, group, request, h)
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return nil, outcome.New(outcome.Internal, outcome.NotRun, "encode request: %v", err)
	}
	answer, err := s.forward(ctx, rpc.ForwardRequest{Method: method, Group: group, Body: body})
	if err != nil {
		return nil, err
	}
	response := new(Resp)
	if err := msgpack.Unmarshal(answer.Body, response); err != nil {
		return nil, outcome.New(outcome.BadFrame, outcome.MayHaveRun, "forwarded answer: %v", err)
	}
	return response, nil
}

// forward sends a call to the leader. It gives the call up when the leader
// changes, since a leader that is frozen or cut off would not answer.
func (s *Server) forward(ctx context.Context, request rpc.ForwardRequest) (*rpc.ForwardResponse, error) {
	leader := s.leaders[request.Group].Load()
	addr, found := s.cfg.Peers[leader.id]
	if !found || leader.id == s.cfg.ID {
		return nil, outcome.New(outcome.NotLeader, outcome.NotRun, "no leader of group %d is known", request.Group)
	}
	s.forwards.Mark(1)
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(leader.ctx, cancel)()
	answer := new(rpc.ForwardResponse)
	err := s.pool.Call(bounded, addr, rpc.MethodForward, &request, answer)
	if err != nil && ctx.Err() == nil && leader.ctx.Err() != nil {
		return nil, leaderChanged(request.Group, outcome.From(err).Outcome)
	}
	return answer, err
}

// leaderChanged is the failure of a call that was given up for a new leader.
func leaderChanged(group uint32, o outcome.Outcome) error {
	code := outcome.NoQuorum
	if o == outcome.NotRun {
		code = outcome.NotLeader
	}
	return outcome.New(code, o, "the leader of group %d changed during the call", group)
}

// runLeading runs a handler under the leader's lease. The lease is checked
// again before the answer, since the process may have been frozen.
func runLeading[Req, Resp any](ctx context.Context, s *Server, group uint32, request *Req, h Call[Req, Resp]) (*Resp, error) {
	if !s.Leads(group) {
		return nil, outcome.New(outcome.NotLeader, outcome.NotRun, "host %d does not lead group %d", s.cfg.ID, group)
	}
	response, err := h(ctx, request)
	if err != nil {
		return nil, err
	}
	if !s.Leads(group) {
		return nil, outcome.New(outcome.NoQuorum, outcome.MayHaveRun, "leadership of group %d was lost", group)
	}
	return response, nil
}

// serveForwarded runs a call for a peer, if this host leads the group.
func (s *Server) serveForwarded(ctx context.Context, request *rpc.ForwardRequest) (*rpc.ForwardResponse, error) {
	h, found := s.forwarded[request.Method]
	if !found {
		return nil, outcome.New(outcome.UnknownRoute, outcome.NotRun, "no method %d", request.Method)
	}
	if err := s.calls.enter(); err != nil {
		return nil, err
	}
	defer s.calls.leave()
	body, err := h(ctx, request.Group, request.Body)
	if err != nil {
		return nil, err
	}
	return &rpc.ForwardResponse{Body: body}, nil
}
