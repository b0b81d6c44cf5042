package control

import (
	"context"

	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

// operatorCalls are the operators' commands as any host can make them; they
// run on the leader.
type operatorCalls struct {
	roll   Call[rpc.RollRequest, fleet.Result]
	mark   Call[rpc.MarkRequest, fleet.Result]
	order  Call[rpc.FencedOrderRequest, rpc.FencedOrderResponse]
	leases Call[rpc.LeasesRequest, rpc.LeasesResponse]
}

func checkKey(key rpc.RequestKey) error {
	if key.Client == "" || key.RequestID == "" || len(key.RequestID) > maxRequestIDBytes {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the request id must have 1 to %d bytes", maxRequestIDBytes)
	}
	return nil
}

// rollBundle checks a bundle and puts it in force.
func (s *Server) rollBundle(ctx context.Context, request *rpc.RollRequest) (*fleet.Result, error) {
	if err := checkKey(request.Key); err != nil {
		return nil, err
	}
	if !s.cfg.UnsignedBundles || len(request.Signed.Signature) > 0 {
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

// setMark takes a data centre or target out of service or brings it back.
func (s *Server) setMark(ctx context.Context, request *rpc.MarkRequest) (*fleet.Result, error) {
	if err := checkKey(request.Key); err != nil {
		return nil, err
	}
	view, err := s.ConfirmedView(ctx)
	if err != nil {
		return nil, err
	}
	if err := checkMark(view, &request.Mark); err != nil {
		return nil, err
	}
	mark := request.Mark
	result, err := s.propose(ctx, fleet.Command{Client: request.Key.Client, RequestID: request.Key.RequestID, Mark: &mark})
	s.logCommand("mark_set", request.Key, result, err,
		"marked_data_centre", mark.DataCentre, "target", mark.Target, "out", mark.Out)
	return result, err
}

// checkMark refuses names that are neither known nor marked.
func checkMark(view *fleet.View, mark *fleet.SetMark) error {
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

// fencedOrder draws a fence from the log and passes the order to the target's
// agent under it.
func (s *Server) fencedOrder(ctx context.Context, request *rpc.FencedOrderRequest) (*rpc.FencedOrderResponse, error) {
	if err := checkKey(request.Key); err != nil {
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
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := rpc.OrderRequest{Target: request.Target, Kind: request.Kind, Fence: result.Fence, Value: request.Value}
	var answer rpc.OrderResponse
	if err := s.pool.Call(bounded, target.AgentAddr, rpc.MethodOrder, &order, &answer); err != nil {
		return &rpc.FencedOrderResponse{Fence: result.Fence, Error: outcome.From(err)}, nil
	}
	return &rpc.FencedOrderResponse{Fence: result.Fence, Error: answer.Error}, nil
}

// logCommand records an operator's command and its result.
func (s *Server) logCommand(event string, key rpc.RequestKey, result *fleet.Result, err error, keyValues ...any) {
	keyValues = append(keyValues, "request", key.RequestID, "operator", key.Client)
	if err != nil {
		s.log.Warn(event, append(keyValues, "error", err)...)
		return
	}
	s.log.Info(event, append(keyValues, "revision", result.Revision)...)
}
