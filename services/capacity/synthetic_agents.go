package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/controlclient"
)

const (
	syntheticModel     = "capacity-model" // no route names it, so its targets receive no traffic
	targetsPerAgent    = 2
	heartbeatInterval  = time.Second
	heartbeatTimeout   = time.Second
	agentStartInterval = 5 * time.Millisecond // spreads the agents' heartbeats over time
)

// syntheticAgents is a group of synthetic agents. Like a real agent, each holds a
// subscription and a membership lease.
type syntheticAgents struct {
	controls   []string
	dataCentre string
	cancel     context.CancelFunc
	ctx        context.Context
	wg         conc.WaitGroup
	running    int
}

func newSyntheticAgents(ctx context.Context, controls []string, dataCentre string) *syntheticAgents {
	a := &syntheticAgents{controls: controls, dataCentre: dataCentre}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// grow starts agents until n are running.
func (a *syntheticAgents) grow(n int) {
	for ; a.running < n; a.running++ {
		name := fmt.Sprintf("capacity-%d", a.running)
		a.wg.Go(func() { a.runAgent(name) })
		time.Sleep(agentStartInterval)
	}
}

// stop ends all agents and waits for them.
func (a *syntheticAgents) stop() {
	a.cancel()
	a.wg.Wait()
}

// runAgent subscribes to the controls and sends a heartbeat with two targets every
// heartbeatInterval until the agents are stopped.
func (a *syntheticAgents) runAgent(name string) {
	client := controlclient.New(controlclient.Config{
		Name:       name,
		DataCentre: a.dataCentre,
		Addrs:      a.controls,
		Log:        telemetry.Discard(),
	})
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = client.Run(a.ctx) })
	heartbeat := rpc.AgentHeartbeat{Agent: name, Incarnation: 1}
	for i := range targetsPerAgent {
		heartbeat.Targets = append(heartbeat.Targets, a.syntheticTarget(name, i))
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for a.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(a.ctx, heartbeatTimeout)
		_ = client.CallIdempotent(ctx, rpc.MethodAgentHeartbeat, &heartbeat, &rpc.AgentHeartbeatAck{})
		cancel()
		select {
		case <-a.ctx.Done():
		case <-ticker.C:
		}
	}
}

func (a *syntheticAgents) syntheticTarget(agent string, i int) fleet.Target {
	return fleet.Target{
		ID:               fleet.TargetID(fmt.Sprintf("%s/engine-%d", agent, i)),
		AgentAddr:        "127.0.0.1:1",
		AgentIncarnation: 1,
		DataCentre:       a.dataCentre,
		Model:            syntheticModel,
		Kind:             bundle.KindModel,
		Incarnation:      1,
		WarmCapacity:     16,
		ColdCapacity:     2,
	}
}
