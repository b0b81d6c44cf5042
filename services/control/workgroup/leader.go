package workgroup

import (
	"context"
	"time"

	"banyanwalk/core/batch"
)

const (
	tickInterval       = 200 * time.Millisecond
	weightSyncInterval = 2 * time.Second
	commandTimeout     = 2 * time.Second // for commands that originate on this host
	// leaseGrace is how long a new leader keeps expired leases, because agents could
	// not renew them during the election.
	leaseGrace = 10 * time.Second
)

// runLeaderTasks runs the periodic tasks of a group while this host leads it: it expires
// overdue leases and jobs, and applies workspace weights from the active bundle.
func (s *Service) runLeaderTasks(ctx context.Context, g *group) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var wasLeading bool
	var leadingSince, lastWeightSync time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			leads := s.server.Leads(g.id)
			if leads && !wasLeading {
				leadingSince = now
			}
			wasLeading = leads
			if !leads {
				continue
			}
			s.proposeTick(ctx, g, now.Sub(leadingSince) < leaseGrace)
			if now.Sub(lastWeightSync) >= weightSyncInterval {
				lastWeightSync = now
				s.syncWeights(ctx, g)
			}
		}
	}
}

// proposeTick proposes a tick if the state has timeouts that are due. holdLeases keeps
// expired leases.
func (s *Service) proposeTick(ctx context.Context, g *group, holdLeases bool) {
	needed := false
	nowMS := g.clock.NowMS()
	g.read(func(m *batch.Machine) { needed = m.NeedsTick(nowMS) })
	if !needed {
		return
	}
	s.proposeInternal(ctx, g, &batch.Command{Tick: &batch.Tick{HoldLeases: holdLeases}})
}

// syncWeights proposes the weights of workspaces that differ from the active bundle.
func (s *Service) syncWeights(ctx context.Context, g *group) {
	index := s.server.View().Bundle()
	if index == nil {
		return
	}
	var changed []batch.WorkspaceWeight
	g.read(func(m *batch.Machine) {
		m.Workspaces(func(name string, weight int) {
			ws, ok := index.Workspace(name)
			if ok && max(1, ws.Weight) != weight {
				changed = append(changed, batch.WorkspaceWeight{Workspace: name, Weight: max(1, ws.Weight)})
			}
		})
	})
	if len(changed) > 0 {
		s.proposeInternal(ctx, g, &batch.Command{SetWeights: &batch.SetWeights{Weights: changed}})
	}
}

// proposeInternal proposes a command that originates on this host. Failures are only
// logged: the next tick proposes the command again.
func (s *Service) proposeInternal(ctx context.Context, g *group, c *batch.Command) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if _, err := g.executeBatch(ctx, c); err != nil {
		s.log.Debug("work_command_failed", "group", g.id, "error", err)
	}
}
