package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"banyanwalk/core/fleet"
	"banyanwalk/core/lease"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/rpc"
)

// membership manages the agents' leases while this host is the leader. Leases
// are kept only in the leader's memory; only changes of targets are replicated.
type membership struct {
	server *Server

	mu                sync.Mutex
	leasesGranted     bool
	leaseTable        *lease.Table
	lastVerdictExpiry time.Time
}

func newMembership(s *Server) *membership {
	return &membership{server: s, leaseTable: lease.NewTable(MembershipLease)}
}

// LeadershipChanged implements LeadershipHook. A new leader starts with no
// leases. It grants every registered agent a full lease once it has applied all
// entries committed by its predecessors; see grantInitialLeases.
func (m *membership) LeadershipChanged(isLeader bool, _ time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leasesGranted = false
	if isLeader {
		m.leaseTable.Reset(nil, time.Now())
	}
}

// heartbeat renews the lease of an agent, and registers its targets if they
// have changed.
func (m *membership) heartbeat(ctx context.Context, heartbeat *rpc.AgentHeartbeat) (*rpc.AgentHeartbeatAck, error) {
	received := time.Now()
	if err := validateHeartbeat(heartbeat); err != nil {
		return nil, err
	}
	targets := m.targetsOf(heartbeat)
	registered := false
	m.server.configState.read(func(machine *fleet.Machine) {
		registered = machine.Registered(heartbeat.Agent, heartbeat.Incarnation, targets)
	})
	if !registered {
		register := &fleet.RegisterTargets{Agent: heartbeat.Agent, Incarnation: heartbeat.Incarnation, Targets: targets}
		result, err := m.server.propose(ctx, fleet.Command{Client: heartbeat.Agent, Register: register})
		if err != nil {
			return nil, err
		}
		m.server.log.Info("targets_registered", "agent", heartbeat.Agent, "targets", len(targets), "revision", result.Revision)
	}
	m.mu.Lock()
	m.leaseTable.Renew(lease.Holder{Agent: heartbeat.Agent, Incarnation: heartbeat.Incarnation}, received)
	m.mu.Unlock()
	return &rpc.AgentHeartbeatAck{LeaseMS: MembershipLease.Milliseconds()}, nil
}

// targetsOf returns the targets of a heartbeat in the form in which they are
// registered.
func (m *membership) targetsOf(heartbeat *rpc.AgentHeartbeat) []fleet.Target {
	targets := make([]fleet.Target, len(heartbeat.Targets))
	for i, t := range heartbeat.Targets {
		t.Revision = 0
		t.AgentIncarnation = heartbeat.Incarnation
		t.Leaving = t.Leaving || heartbeat.Leaving
		targets[i] = t
	}
	return targets
}

func validateHeartbeat(heartbeat *rpc.AgentHeartbeat) error {
	if heartbeat.Agent == "" || strings.Contains(heartbeat.Agent, "/") {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "agent name %q", heartbeat.Agent)
	}
	if len(heartbeat.Targets) > maxAgentTargets {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "%d targets on one agent", len(heartbeat.Targets))
	}
	seen := make(map[fleet.TargetID]bool, len(heartbeat.Targets))
	for _, t := range heartbeat.Targets {
		if !strings.HasPrefix(string(t.ID), heartbeat.Agent+"/") || seen[t.ID] {
			return outcome.New(outcome.BadRequest, outcome.NotRun, "target %q of agent %q", t.ID, heartbeat.Agent)
		}
		seen[t.ID] = true
	}
	return nil
}

// run expires agents and verdicts while this host is the leader.
func (m *membership) run(ctx context.Context) error {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !m.server.Leads(ConfigGroup) {
			m.clearLeasesGranted()
			continue
		}
		if !m.grantInitialLeases(ctx) {
			continue
		}
		m.expireAgents(ctx)
		m.expireVerdicts(ctx)
	}
}

// clearLeasesGranted makes grantInitialLeases grant new leases, since agents
// can't renew theirs while this host does not lead.
func (m *membership) clearLeasesGranted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leasesGranted = false
}

// grantInitialLeases grants a full lease to every registered agent that has
// none, once after this host becomes the leader. It returns whether that is
// done, so that leases may be expired.
func (m *membership) grantInitialLeases(ctx context.Context) bool {
	m.mu.Lock()
	granted := m.leasesGranted
	m.mu.Unlock()
	if granted {
		return true
	}
	confirmCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := m.server.confirm(confirmCtx); err != nil {
		return false
	}
	var agents []fleet.AgentRef
	m.server.configState.read(func(machine *fleet.Machine) { agents = machine.Agents() })
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, a := range agents {
		if m.leaseTable.Remaining(a.Agent, now) == 0 {
			m.leaseTable.Renew(lease.Holder{Agent: a.Agent, Incarnation: a.Incarnation}, now)
		}
	}
	m.leasesGranted = true
	return true
}

// expireAgents removes the agents whose lease has expired.
func (m *membership) expireAgents(ctx context.Context) {
	m.mu.Lock()
	expired := m.leaseTable.Expired(time.Now())
	m.mu.Unlock()
	for _, h := range expired {
		proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		command := fleet.Command{Expire: &fleet.ExpireAgent{Agent: h.Agent, Incarnation: h.Incarnation}}
		result, err := m.server.propose(proposeCtx, command)
		cancel()
		if err != nil {
			m.server.log.Warn("agent_expiry_failed", "agent", h.Agent, "error", err)
			return
		}
		m.server.log.Warn("agent_expired", "agent", h.Agent, "revision", result.Revision)
		m.mu.Lock()
		m.leaseTable.DropExpired(h, time.Now())
		m.mu.Unlock()
	}
}

// expireVerdicts removes expired verdicts, at most once per
// verdictExpiryInterval.
func (m *membership) expireVerdicts(ctx context.Context) {
	now := time.Now()
	if now.Sub(m.lastVerdictExpiry) < verdictExpiryInterval {
		return
	}
	m.lastVerdictExpiry = now
	due := false
	nowMS := m.server.configState.clock.NowMS()
	m.server.configState.read(func(machine *fleet.Machine) { due = machine.HasExpiredVerdicts(nowMS) })
	if !due {
		return
	}
	proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := m.server.propose(proposeCtx, fleet.Command{ExpireVerdicts: &fleet.ExpireVerdicts{}}); err != nil {
		m.server.log.Warn("verdict_aging_failed", "error", err)
	}
}

// listLeases returns the remaining lease of every registered agent.
func (m *membership) listLeases(context.Context, *rpc.LeasesRequest) (*rpc.LeasesResponse, error) {
	var agents []fleet.AgentRef
	m.server.configState.read(func(machine *fleet.Machine) { agents = machine.Agents() })
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	response := &rpc.LeasesResponse{}
	for _, a := range agents {
		remaining := m.leaseTable.Remaining(a.Agent, now)
		response.Leases = append(response.Leases, rpc.AgentLease{Agent: a.Agent, Incarnation: a.Incarnation, RemainingMS: remaining.Milliseconds()})
	}
	return response, nil
}

// reportCrash records a crash of a target against the requests that were in
// flight on it.
func (s *Server) reportCrash(ctx context.Context, report *rpc.CrashReport) (*rpc.Ack, error) {
	if len(report.Suspects) > maxCrashRequests {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "%d requests in one crash report", len(report.Suspects))
	}
	crash := &fleet.ReportCrash{Target: report.Target, Incarnation: report.Incarnation, Isolated: report.Isolated}
	for _, ref := range report.Suspects {
		crash.Requests = append(crash.Requests, quarantine.Ref{Workspace: ref.Workspace, Digest: ref.Digest})
	}
	result, err := s.propose(ctx, fleet.Command{Client: report.Agent, Crash: crash})
	if err != nil {
		return nil, err
	}
	s.log.Warn("target_crashed", "target", report.Target, "incarnation", report.Incarnation,
		"in_flight", len(report.Suspects), "alone", report.Isolated, "revision", result.Revision)
	return &rpc.Ack{}, nil
}
