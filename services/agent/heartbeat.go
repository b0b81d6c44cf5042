package agent

import (
	"context"
	"time"

	"banyanwalk/core/fleet"
	"banyanwalk/infra/rpc"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = time.Second
	// minHeartbeatGap merges changes that come in quick succession.
	minHeartbeatGap = 20 * time.Millisecond
)

// heartbeats renews the membership lease each second, and at once when the
// list of targets changes.
func (a *Agent) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if err := a.sendHeartbeat(ctx); err != nil && ctx.Err() == nil {
			a.cfg.Log.Warn("heartbeat_failed", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minHeartbeatGap):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.beat:
		}
	}
}

func (a *Agent) sendHeartbeat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request := rpc.AgentHeartbeat{Agent: a.cfg.Name, Incarnation: a.incarnation, Leaving: a.draining.Load()}
	for _, t := range a.snapshot() {
		if described, up := t.describe(); up {
			request.Targets = append(request.Targets, described)
		}
	}
	sortTargets(request.Targets)
	return a.cfg.Control.CallAgain(ctx, rpc.MethodAgentHeartbeat, &request, &rpc.AgentHeartbeatAck{})
}

// Targets returns the targets behind this agent that are in service.
func (a *Agent) Targets() []fleet.Target {
	var list []fleet.Target
	for _, t := range a.snapshot() {
		described, up := t.describe()
		if up && a.checkService(described.ID) == nil {
			list = append(list, described)
		}
	}
	sortTargets(list)
	return list
}
