package control

import (
	"context"

	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

// operatorCalls holds the operators' commands. They can be called on any host
// and run on the leader.
type operatorCalls struct {
	roll   Call[rpc.RollRequest, fleet.Result]
	mark   Call[rpc.MarkRequest, fleet.Result]
	order  Call[rpc.FencedOrderRequest, rpc.FencedOrderResponse]
	leases Call[rpc.LeasesRequest, rpc.LeasesResponse]
}

func validateRequestKey(key rpc.RequestKey) error {
	if key.Client == "" || key.RequestID == "" || len(key.RequestID) > maxRequestIDBytes {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the request id must have 1 to %d bytes", maxRequestIDBytes)
	}
	return nil
}

// rollBundle verifies a bundle and makes it the active one.
func (s *Server) rollBundle(ctx context.Context, request *rpc.RollRequest) (*fleet.Result, error) {
	if err := validateRequestKey(request.Key); err != nil {
		return nil, err
	}
	if !s.cfg.AllowUnsignedBundles || len(request.Signed.Signature) > 0 {
		if err := s.cfg.TrustedOperators.Verify(request.Signed); err != nil {
			return nil, err
		}
	}
	index, err := bundle.Load(request.Signed.Source)
	if err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, fleet.Command{
		Client:    request.Key.Client,
		RequestID: request.Key.RequestID,
		Roll:      &fleet.RollBundle{Version: index.Version(), Signed: request.Signed},
	})
	s.logCommand("bundle_rolled", request.Key, result, err, "version", index.Version(), "digest", index.Digest())
	return result, err
}

// setMark takes a data centre or target out of service, or brings it back.
func (s *Server) setMark(ctx context.Context, request *rpc.MarkRequest) (*fleet.Result, error) {
	if err := validateRequestKey(request.Key); err != nil {
		return nil, err
	}
	view, err := s.ConfirmedView(ctx)
	if err != nil {
		return nil, err
	}
	if err := validateMark(view, &request.Mark); err != nil {
		return nil, err
	}
	mark := request.Mark
	result, err := s.propose(ctx, fleet.Command{Client: request.Key.Client, RequestID: request.Key.RequestID, Mark: &mark})
	s.logCommand("mark_set", request.Key, result, err,
		"marked_data_centre", mark.DataCentre, "target", mark.Target, "out", mark.Out)
	return result, err
}

// validateMark rejects names that are neither known nor marked out of service.
func validateMark(view *fleet.View, mark *fleet.SetMark) error {
	if mark.DataCentre != "" {
		_, known := view.Bundle().DataCentre(mark.DataCentre)
		if !known && !view.DataCentreOut(mark.DataCentre) {
			return outcome.New(outcome.UnknownName, outcome.NotRun, "no data centre %q in the bundle in force", mark.DataCentre)
		}
		return nil
	}
	_, known := view.Target(mark.Target)
	if !known && !view.TargetOut(mark.Target) {
		return outcome.New(outcome.UnknownName, outcome.NotRun, "no target %q", mark.Target)
	}
	return nil
}

// fencedOrder obtains a fencing token from the replicated log and sends the
// order with it to the target's agent.
func (s *Server) fencedOrder(ctx context.Context, request *rpc.FencedOrderRequest) (*rpc.FencedOrderResponse, error) {
	if err := validateRequestKey(request.Key); err != nil {
		return nil, err
	}
	if request.Kind != rpc.OrderLoad && request.Kind != rpc.OrderRole {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "order kind %q is neither %q nor %q", request.Kind, rpc.OrderLoad, rpc.OrderRole)
	}
	target, known := s.View().Target(request.Target)
	if !known {
		return nil, outcome.New(outcome.UnknownName, outcome.NotRun, "no target %q", request.Target)
	}
	result, err := s.propose(ctx, fleet.Command{
		Client:    request.Key.Client,
		RequestID: request.Key.RequestID,
		Fence:     &fleet.IssueFence{Target: request.Target, Order: string(request.Kind) + " " + request.Value},
	})
	s.logCommand("order_fenced", request.Key, result, err, "target", request.Target, "kind", request.Kind)
	if err != nil {
		return nil, err
	}
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := rpc.OrderRequest{Target: request.Target, Kind: request.Kind, Fence: result.Fence, Value: request.Value}
	var response rpc.OrderResponse
	if err := s.pool.Call(orderCtx, target.AgentAddr, rpc.MethodOrder, &order, &response); err != nil {
		return &rpc.FencedOrderResponse{Fence: result.Fence, Error: outcome.From(err)}, nil
	}
	return &rpc.FencedOrderResponse{Fence: result.Fence, Error: response.Error}, nil
}

// logCommand logs an operator's command and its result.
func (s *Server) logCommand(event string, key rpc.RequestKey, result *fleet.Result, err error, keyValues ...any) {
	keyValues = append(keyValues, "request", key.RequestID, "operator", key.Client)
	if err != nil {
		s.log.Warn(event, append(keyValues, "error", err)...)
		return
	}
	s.log.Info(event, append(keyValues, "revision", result.Revision)...)
}
