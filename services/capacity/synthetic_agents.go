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
	p := &syntheticAgents{controls: controls, dataCentre: dataCentre}
	p.ctx, p.cancel = context.WithCancel(ctx)
	return p
}

// grow starts agents until n are running.
func (p *syntheticAgents) grow(n int) {
	for ; p.running < n; p.running++ {
		name := fmt.Sprintf("capacity-%d", p.running)
		p.wg.Go(func() { p.runAgent(name) })
		time.Sleep(agentStartInterval)
	}
}

// stop ends all agents and waits for them.
func (p *syntheticAgents) stop() {
	p.cancel()
	p.wg.Wait()
}

// runAgent subscribes to the controls and sends a heartbeat with two targets every
// heartbeatInterval until the agents are stopped.
func (p *syntheticAgents) runAgent(name string) {
	client := controlclient.New(controlclient.Config{
		Name:       name,
		DataCentre: p.dataCentre,
		Addrs:      p.controls,
		Log:        telemetry.Discard(),
	})
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = client.Run(p.ctx) })
	heartbeat := rpc.AgentHeartbeat{Agent: name, Incarnation: 1}
	for i := range targetsPerAgent {
		heartbeat.Targets = append(heartbeat.Targets, p.syntheticTarget(name, i))
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for p.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(p.ctx, heartbeatTimeout)
		_ = client.CallIdempotent(ctx, rpc.MethodAgentHeartbeat, &heartbeat, &rpc.AgentHeartbeatAck{})
		cancel()
		select {
		case <-p.ctx.Done():
		case <-ticker.C:
		}
	}
}

func (p *syntheticAgents) syntheticTarget(agent string, i int) fleet.Target {
	return fleet.Target{
		ID:               fleet.TargetID(fmt.Sprintf("%s/engine-%d", agent, i)),
		AgentAddr:        "127.0.0.1:1",
		AgentIncarnation: 1,
		DataCentre:       p.dataCentre,
		Model:            syntheticModel,
		Kind:             bundle.KindModel,
		Incarnation:      1,
		WarmCapacity:     16,
		ColdCapacity:     2,
	}
}
