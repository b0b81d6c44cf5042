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
	syntheticModel    = "capacity-model" // no route names it, so nothing is sent there
	targetsPerAgent   = 2
	heartbeatInterval = time.Second
	heartbeatTimeout  = time.Second
	joinPause         = 5 * time.Millisecond // spreads the heartbeats
)

// population is a set of synthetic agents, each with a subscription and a
// membership lease, as real ones have.
type population struct {
	controls   []string
	dataCentre string
	cancel     context.CancelFunc
	ctx        context.Context
	wg         conc.WaitGroup
	size       int
}

func newPopulation(ctx context.Context, controls []string, dataCentre string) *population {
	p := &population{controls: controls, dataCentre: dataCentre}
	p.ctx, p.cancel = context.WithCancel(ctx)
	return p
}

// grow adds agents until there are n.
func (p *population) grow(n int) {
	for ; p.size < n; p.size++ {
		name := fmt.Sprintf("capacity-%d", p.size)
		p.wg.Go(func() { p.agent(name) })
		time.Sleep(joinPause)
	}
}

func (p *population) stop() {
	p.cancel()
	p.wg.Wait()
}

func (p *population) agent(name string) {
	client := controlclient.New(controlclient.Config{
		Name:       name,
		DataCentre: p.dataCentre,
		Addrs:      p.controls,
		Log:        telemetry.Discard(),
	})
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = client.Run(p.ctx) })
	beat := rpc.AgentHeartbeat{Agent: name, Incarnation: 1}
	for i := range targetsPerAgent {
		beat.Targets = append(beat.Targets, p.target(name, i))
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for p.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(p.ctx, heartbeatTimeout)
		_ = client.CallAgain(ctx, rpc.MethodAgentHeartbeat, &beat, &rpc.AgentHeartbeatAck{})
		cancel()
		select {
		case <-p.ctx.Done():
		case <-ticker.C:
		}
	}
}

func (p *population) target(agent string, i int) fleet.Target {
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
