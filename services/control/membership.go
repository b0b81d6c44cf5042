package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"banyanwalk/core/fleet"
	"banyanwalk/core/lease"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

// membership keeps the agents' leases while this host leads. Leases live in
// the leader's memory; only changes of the targets go into the log.
type membership struct {
	server *Server

	mu      sync.Mutex
	leading bool
	table   *lease.Table
	agedAt  time.Time
}

func newMembership(s *Server) *membership {
	return &membership{server: s, table: lease.NewTable(MembershipLease)}
}

// LeadershipChanged starts or stops granting and expiring leases. A new leader
// gives every registered agent a whole lease, counted once it has applied what
// its predecessors committed; see expire.
func (m *membership) LeadershipChanged(isLeader bool, _ time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leading = false
	if isLeader {
		m.table.Reset(nil, time.Now())
	}
}

// heartbeat renews the lease of an agent and registers its targets if they
// have changed.
func (m *membership) heartbeat(ctx context.Context, beat *rpc.AgentHeartbeat) (*rpc.AgentHeartbeatAck, error) {
	received := time.Now()
	if err := checkHeartbeat(beat); err != nil {
		return nil, err
	}
	targets := m.announced(beat)
	registered := false
	m.server.state.read(func(machine *fleet.Machine) {
		registered = machine.Registered(beat.Agent, beat.Incarnation, targets)
	})
	if !registered {
		register := &fleet.RegisterTargets{Agent: beat.Agent, Incarnation: beat.Incarnation, Targets: targets}
		result, err := m.server.propose(ctx, fleet.Command{Client: beat.Agent, Register: register})
		if err != nil {
			return nil, err
		}
		m.server.log.Info("targets_registered", "agent", beat.Agent, "targets", len(targets), "revision", result.Revision)
	}
	m.mu.Lock()
	m.table.Renew(lease.Holder{Agent: beat.Agent, Incarnation: beat.Incarnation}, received)
	m.mu.Unlock()
	return &rpc.AgentHeartbeatAck{LeaseMS: MembershipLease.Milliseconds()}, nil
}

// announced returns the targets of a heartbeat as they are registered.
func (m *membership) announced(beat *rpc.AgentHeartbeat) []fleet.Target {
	targets := make([]fleet.Target, len(beat.Targets))
	for i, t := range beat.Targets {
		t.Revision = 0
		t.AgentIncarnation = beat.Incarnation
		t.Leaving = t.Leaving || beat.Leaving
		targets[i] = t
	}
	return targets
}

func checkHeartbeat(beat *rpc.AgentHeartbeat) error {
	if beat.Agent == "" || strings.Contains(beat.Agent, "/") {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "agent name %q", beat.Agent)
	}
	if len(beat.Targets) > maxAgentTargets {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "%d targets on one agent", len(beat.Targets))
	}
	seen := make(map[fleet.TargetID]bool, len(beat.Targets))
	for _, t := range beat.Targets {
		if !strings.HasPrefix(string(t.ID), beat.Agent+"/") || seen[t.ID] {
			return outcome.New(outcome.BadRequest, outcome.NotRun, "target %q of agent %q", t.ID, beat.Agent)
		}
		seen[t.ID] = true
	}
	return nil
}

// run expires agents and ages verdicts while this host leads.
func (m *membership) run(ctx context.Context) error {
	ticker := time.NewTicker(membershipTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !m.server.Leads(ConfigGroup) {
			m.suspend()
			continue
		}
		if !m.prepare(ctx) {
			continue
		}
		m.expire(ctx)
		m.age(ctx)
	}
}

// suspend makes prepare run again: agents could not renew their leases here.
func (m *membership) suspend() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leading = false
}

// prepare makes a new leader grant a whole lease to all registered agents. It
// reports whether leases may be expired.
func (m *membership) prepare(ctx context.Context) bool {
	m.mu.Lock()
	ready := m.leading
	m.mu.Unlock()
	if ready {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := m.server.confirm(bounded); err != nil {
		return false
	}
	var agents []fleet.AgentRef
	m.server.state.read(func(machine *fleet.Machine) { agents = machine.Agents() })
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, a := range agents {
		if m.table.Remaining(a.Agent, now) == 0 {
			m.table.Renew(lease.Holder{Agent: a.Agent, Incarnation: a.Incarnation}, now)
		}
	}
	m.leading = true
	return true
}

func (m *membership) expire(ctx context.Context) {
	m.mu.Lock()
	expired := m.table.Expired(time.Now())
	m.mu.Unlock()
	for _, h := range expired {
		bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
		command := fleet.Command{Expire: &fleet.ExpireAgent{Agent: h.Agent, Incarnation: h.Incarnation}}
		result, err := m.server.propose(bounded, command)
		cancel()
		if err != nil {
			m.server.log.Warn("agent_expiry_failed", "agent", h.Agent, "error", err)
			return
		}
		m.server.log.Warn("agent_expired", "agent", h.Agent, "revision", result.Revision)
		m.mu.Lock()
		m.table.DropExpired(h, time.Now())
		m.mu.Unlock()
	}
}

// age drops old verdicts, once a minute at most.
func (m *membership) age(ctx context.Context) {
	now := time.Now()
	if now.Sub(m.agedAt) < agingInterval {
		return
	}
	m.agedAt = now
	due := false
	m.server.state.read(func(machine *fleet.Machine) { due = machine.HasExpiredVerdicts(now.UnixMilli()) })
	if !due {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := m.server.propose(bounded, fleet.Command{ExpireVerdicts: &fleet.ExpireVerdicts{}}); err != nil {
		m.server.log.Warn("verdict_aging_failed", "error", err)
	}
}

// leases lists the leases of this leader.
func (m *membership) leases(context.Context, *rpc.LeasesRequest) (*rpc.LeasesResponse, error) {
	var agents []fleet.AgentRef
	m.server.state.read(func(machine *fleet.Machine) { agents = machine.Agents() })
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	response := &rpc.LeasesResponse{}
	for _, a := range agents {
		left := m.table.Remaining(a.Agent, now)
		response.Leases = append(response.Leases, rpc.AgentLease{Agent: a.Agent, Incarnation: a.Incarnation, RemainingMS: left.Milliseconds()})
	}
	return response, nil
}

// reportCrash counts a crash of a target against the requests in flight.
func (s *Server) reportCrash(ctx context.Context, report *rpc.CrashReport) (*rpc.Ack, error) {
	if len(report.Suspects) > maxCrashRequests {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "%d requests in one crash report", len(report.Suspects))
	}
	crash := &fleet.ReportCrash{Target: report.Target, Incarnation: report.Incarnation, Alone: report.Isolated}
	for _, ref := range report.Suspects {
		crash.Requests = append(crash.Requests, fleet.RequestRef{Workspace: ref.Workspace, Digest: ref.Digest})
	}
	result, err := s.propose(ctx, fleet.Command{Client: report.Agent, Crash: crash})
	if err != nil {
		return nil, err
	}
	s.log.Warn("target_crashed", "target", report.Target, "incarnation", report.Incarnation,
		"in_flight", len(report.Suspects), "alone", report.Isolated, "revision", result.Revision)
	return &rpc.Ack{}, nil
}
