package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/agent/announce"
)

const (
	orderTimeout = 10 * time.Second
	orderPath    = "/orders"
)

// fence holds the highest fencing token seen for one target, and its order.
type fence struct {
	mu        sync.Mutex // held while an order is forwarded, so that orders arrive in sequence
	highest   uint64
	lastKind  rpc.OrderKind
	lastValue string
}

// accept reports whether an order may be forwarded, and records it if so. An order
// with the fencing token of the previous one is accepted only as a repetition of
// it.
func (f *fence) accept(r *rpc.OrderRequest) bool {
	if r.Fence < f.highest {
		return false
	}
	if r.Fence == f.highest && f.lastKind != "" && (r.Kind != f.lastKind || r.Value != f.lastValue) {
		return false
	}
	f.highest, f.lastKind, f.lastValue = r.Fence, r.Kind, r.Value
	return true
}

// handleOrder checks the fencing token of an order and forwards the order to its
// target. The agent checks it because some targets don't.
func (a *Agent) handleOrder(ctx context.Context, r *rpc.OrderRequest) (*rpc.OrderResponse, error) {
	if err := a.executeOrder(ctx, r); err != nil {
		a.cfg.Log.Warn("order_failed", "target", r.Target, "kind", r.Kind, "fence", r.Fence, "error", err)
		return &rpc.OrderResponse{Error: outcome.From(err)}, nil
	}
	a.cfg.Log.Info("order_passed", "target", r.Target, "kind", r.Kind, "fence", r.Fence)
	return &rpc.OrderResponse{}, nil
}

func (a *Agent) executeOrder(ctx context.Context, r *rpc.OrderRequest) error {
	f, err := a.fenceFor(r.Target)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.accept(r) {
		return outcome.New(outcome.FencedOrder, outcome.NotRun, "fence %d is below or in conflict with %d", r.Fence, f.highest)
	}
	return a.forwardOrder(ctx, r)
}

// fenceFor returns the fence of a target. After a restart of the agent the fence
// starts at the revision at which control registered the target under this
// incarnation: orders issued before that have lower fencing tokens.
func (a *Agent) fenceFor(id fleet.TargetID) (*fence, error) {
	if a.draining.Load() {
		return nil, outcome.New(outcome.TargetLeaving, outcome.NotRun, "agent is draining")
	}
	if !a.Fresh() {
		return nil, outcome.New(outcome.StateStale, outcome.NotRun, "no confirmed state")
	}
	registered, found := a.cfg.Control.View().Target(id)
	if !found || registered.AgentIncarnation != a.incarnation {
		return nil, outcome.New(outcome.NoTarget, outcome.NotRun, "target %q is not registered here", id)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f, found := a.fences[id]
	if !found {
		f = &fence{highest: registered.Revision}
		a.fences[id] = f
	}
	return f, nil
}

// forwardOrder posts an order with its fencing token to the target.
func (a *Agent) forwardOrder(ctx context.Context, r *rpc.OrderRequest) error {
	t, found := a.findTarget(r.Target)
	if !found {
		return outcome.New(outcome.NoTarget, outcome.NotRun, "no target %q here", r.Target)
	}
	if !t.announcement().TakesOrders {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "target %q takes no orders", r.Target)
	}
	body, err := json.Marshal(announce.Order{Kind: string(r.Kind), Value: r.Value, Fence: r.Fence})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.pool.Address()+orderPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "order")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "order: %v", err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxEventBytes))
	switch {
	case response.StatusCode == http.StatusConflict:
		return outcome.New(outcome.FencedOrder, outcome.NotRun, "the target refused fence %d", r.Fence)
	case response.StatusCode >= http.StatusBadRequest:
		return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "the target answered %s", response.Status)
	}
	return nil
}
