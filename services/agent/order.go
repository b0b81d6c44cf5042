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

// fence is the highest fencing number seen for one target.
type fence struct {
	mu      sync.Mutex // held while an order is passed on, so that orders arrive in their order
	highest uint64
	kind    rpc.OrderKind
	value   string
}

// pass reports whether an order may go on. An order with the number of the
// last one must be that order again.
func (f *fence) pass(r *rpc.OrderRequest) bool {
	if r.Fence < f.highest {
		return false
	}
	if r.Fence == f.highest && f.kind != "" && (r.Kind != f.kind || r.Value != f.value) {
		return false
	}
	f.highest, f.kind, f.value = r.Fence, r.Kind, r.Value
	return true
}

// handleOrder passes a fenced order to a target, since some targets don't
// check fencing numbers themselves.
func (a *Agent) handleOrder(ctx context.Context, r *rpc.OrderRequest) (*rpc.OrderResponse, error) {
	if err := a.order(ctx, r); err != nil {
		a.cfg.Log.Warn("order_failed", "target", r.Target, "kind", r.Kind, "fence", r.Fence, "error", err)
		return &rpc.OrderResponse{Error: outcome.From(err)}, nil
	}
	a.cfg.Log.Info("order_passed", "target", r.Target, "kind", r.Kind, "fence", r.Fence)
	return &rpc.OrderResponse{}, nil
}

func (a *Agent) order(ctx context.Context, r *rpc.OrderRequest) error {
	f, err := a.fenceFor(r.Target)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.pass(r) {
		return outcome.New(outcome.FencedOrder, outcome.NotRun, "fence %d is below or in conflict with %d", r.Fence, f.highest)
	}
	return a.passOrder(ctx, r)
}

// fenceFor returns the fence of a target. After a restart of the agent it
// starts at the log entry by which control registered the target under this
// incarnation: orders from before it are older.
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

// passOrder posts an order to the target with its fencing number.
func (a *Agent) passOrder(ctx context.Context, r *rpc.OrderRequest) error {
	t, found := a.target(r.Target)
	if !found {
		return outcome.New(outcome.NoTarget, outcome.NotRun, "no target %q here", r.Target)
	}
	if !t.announced().TakesOrders {
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
