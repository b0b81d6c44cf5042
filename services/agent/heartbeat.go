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
	// minHeartbeatInterval merges changes in quick succession into one heartbeat.
	minHeartbeatInterval = 20 * time.Millisecond
)

// heartbeatLoop renews the agent's membership lease every heartbeatInterval, and
// at once when the list of targets changes.
func (a *Agent) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if err := a.sendHeartbeat(ctx); err != nil && ctx.Err() == nil {
			a.cfg.Log.Warn("heartbeat_failed", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minHeartbeatInterval):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.heartbeatDue:
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
	return a.cfg.Control.CallIdempotent(ctx, rpc.MethodAgentHeartbeat, &request, &rpc.AgentHeartbeatAck{})
}

// Targets returns the targets behind this agent that are in service.
func (a *Agent) Targets() []fleet.Target {
	var list []fleet.Target
	for _, t := range a.snapshot() {
		described, up := t.describe()
		if up && a.checkInService(described.ID) == nil {
			list = append(list, described)
		}
	}
	sortTargets(list)
	return list
}
