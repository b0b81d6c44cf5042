package director

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/core/rollout"
	"banyanwalk/core/roster"
	"banyanwalk/infra/boottime"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/replicated"
)

const (
	// rolloutInterval is the time between two decisions on a rollout.
	rolloutInterval = 200 * time.Millisecond
	// leadershipLimit is how long after a confirmation by a quorum a leader hands out
	// requests. Another leader may have reverted the rollout by then; with the time for
	// which grants may be spent it stays below the rollback delay.
	leadershipLimit = 1 * time.Second
	// targetsKnownAfter is the uptime after which this host has heard from all targets.
	targetsKnownAfter = 6 * time.Second
)

// rollouts is what the leader keeps of the active rollouts besides the log.
type rollouts struct {
	conns  *wire.Pool // to the leader
	bounds rollout.Bounds
	// confirmed is the boottime instant at which the last read began by which a quorum
	// confirmed that this host leads; 0: never.
	confirmed atomic.Int64
	logging   sync.Mutex // held while grants are logged; taken before mu

	mu        sync.Mutex
	byService map[string]*rollout.Leader
}

func newRollouts(cfg *Config) *rollouts {
	return &rollouts{conns: wire.NewPool(cfg.ClientTLS), bounds: cfg.Rollout, byService: make(map[string]*rollout.Leader)}
}

// get returns the state of an active rollout. The caller holds the lock.
func (r *rollouts) get(nowMS int64, record *rollout.Rollout) *rollout.Leader {
	state := r.byService[record.Service]
	if state == nil || !state.Serves(record) {
		state = rollout.NewLeader(nowMS, *record, r.bounds)
		r.byService[record.Service] = state
	}
	return state
}

// BeginRollout starts to move the requests of a service to a software version of its
// targets.
func (s *Server) BeginRollout(ctx context.Context, service, version string, duration time.Duration) error {
	err := s.logBegin(ctx, service, version, duration)
	s.log.Info("rollout_ordered", "service", service, "version", version, "duration_ms", duration.Milliseconds(), "error", err)
	if err != nil {
		metrics.GetOrRegisterCounter("director.rollouts.refused", s.cfg.Metrics).Inc(1)
	}
	return err
}

// logBegin checks an order and puts it in the log.
func (s *Server) logBegin(ctx context.Context, service, version string, duration time.Duration) error {
	if !s.cfg.Rollout.Set() {
		return outcome.New(outcome.RolloutUnbounded, outcome.NotRun, "the settings lack exposure_share or rollback_ms")
	}
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := s.group.ReadBarrier(bounded); err != nil {
		return err
	}
	seen := s.registry.versions(service, version)
	if _, found := rollout.Find(s.state.state().Rollouts, service); !found && seen.known == 0 && !s.isInDocument(service) {
		if time.Since(s.startedAt) < memberTimeout && s.state.state().Version == 0 {
			return outcome.New(outcome.NoQuorum, outcome.NotRun, "this host does not know the targets yet")
		}
		return outcome.New(outcome.UnknownName, outcome.NotRun, "service %s is unknown", service)
	}
	inForce := seen.NewTargets > 0 && seen.OldTargets == 0 && time.Since(s.startedAt) >= targetsKnownAfter
	_, err := s.executeResult(bounded, catalog.Command{Rollout: &rollout.Command{Begin: &rollout.Begin{AtMS: s.state.clock.NowMS(), Service: service,
		Version: version, DurationMS: duration.Milliseconds(), InForce: inForce}}})
	return err
}

// isInDocument reports whether the document in force names a service.
func (s *Server) isInDocument(service string) bool {
	state := s.state.state()
	if state.Version == 0 {
		return false
	}
	document, err := s.cfg.Decode(state.Body)
	if err != nil {
		return false
	}
	for i := range document.Services {
		if document.Services[i].Name == service {
			return true
		}
	}
	return false
}

// Rollout returns the newest rollout of a service. It fails if this host cannot confirm
// that it knows all that was acknowledged.
func (s *Server) Rollout(ctx context.Context, service string) (rollout.Rollout, error) {
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := s.group.ReadBarrier(bounded); err != nil {
		return rollout.Rollout{}, err
	}
	record, found := rollout.Find(s.state.state().Rollouts, service)
	if !found {
		return rollout.Rollout{}, outcome.New(outcome.UnknownName, outcome.NotRun, "service %s has had no rollout", service)
	}
	return record, nil
}

// beginRollout serves rpc.MethodRolloutBegin.
func (s *Server) beginRollout(ctx context.Context, b *rpc.RolloutBegin) (*rpc.Ack, error) {
	if b.Service == "" || b.Version == "" || b.DurationMS <= 0 {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "a rollout needs a service, a version and a duration")
	}
	if err := s.BeginRollout(ctx, b.Service, b.Version, time.Duration(b.DurationMS)*time.Millisecond); err != nil {
		return nil, err
	}
	return &rpc.Ack{}, nil
}

// leaderAddr returns the address to which a request for the leader is forwarded, or an
// empty string if this host is the leader.
func (s *Server) leaderAddr(forwarded bool) (string, error) {
	status := s.group.Replica().Status()
	if status.IsLeader {
		return "", nil
	}
	addr, found := replicated.Addr(status.Leader)
	if !found || forwarded || status.Leader == s.group.ID() {
		return "", outcome.New(outcome.NotLeader, outcome.NotRun, "this host does not lead the control group")
	}
	return addr, nil
}

// grantRollouts takes a process's evidence on the active rollouts and hands out requests
// to the new versions.
func (s *Server) grantRollouts(ctx context.Context, report *rpc.RolloutReport) (*rpc.RolloutGrants, error) {
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	addr, err := s.leaderAddr(report.Forwarded)
	if err != nil {
		return nil, err
	}
	grants := &rpc.RolloutGrants{}
	if addr != "" {
		forwarded := *report
		forwarded.Forwarded = true
		return grants, s.rollouts.conns.Call(bounded, addr, rpc.MethodRolloutGrant, &forwarded, grants)
	}
	if !s.hasActiveRollout() {
		return grants, nil
	}
	if !s.isConfirmedLeader() {
		return nil, outcome.New(outcome.NoQuorum, outcome.NotRun, "no quorum has confirmed the leader of the control group")
	}
	nowMS := s.state.clock.NowMS()
	for _, record := range s.state.state().Rollouts {
		if record.Phase.Final() {
			continue
		}
		s.addEvidence(nowMS, &record, report)
		granted, err := s.grantRollout(bounded, &record, report)
		if err != nil {
			return nil, err
		}
		grants.Grants = append(grants.Grants, granted...)
	}
	return grants, nil
}

// grantRollout returns the grants of one active rollout for a process: the confirmation of
// rollout.Finishing, or requests to the new version.
func (s *Server) grantRollout(ctx context.Context, record *rollout.Rollout, report *rpc.RolloutReport) ([]rpc.RolloutGrant, error) {
	grant := rpc.RolloutGrant{Service: record.Service, Version: record.Version, TTLMS: s.cfg.Rollout.GrantTTL().Milliseconds()}
	if record.Phase == rollout.Finishing {
		return []rpc.RolloutGrant{grant}, nil
	}
	var grants []rpc.RolloutGrant
	for _, wanted := range report.Wanted {
		if wanted.Service != record.Service || wanted.Version != record.Version || wanted.Requests <= 0 {
			continue
		}
		n, err := s.handOut(ctx, record.Service, report.Incarnation, wanted.Requests)
		if err != nil {
			return nil, err
		}
		if n > 0 {
			grant.Requests = n
			grants = append(grants, grant)
		}
	}
	return grants, nil
}

// addEvidence adds a process's evidence to the state of an active rollout.
func (s *Server) addEvidence(nowMS int64, record *rollout.Rollout, report *rpc.RolloutReport) {
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	s.rollouts.get(nowMS, record).Report(nowMS, report.Incarnation, report.Evidence)
}

// handOut grants a process requests to the new version, which are in the log before that,
// and returns their number.
func (s *Server) handOut(ctx context.Context, service string, incarnation uint64, wanted int) (int, error) {
	s.rollouts.logging.Lock()
	defer s.rollouts.logging.Unlock()
	if !s.isConfirmedLeader() {
		return 0, nil // the confirmation expired during another request's log entry
	}
	if err := s.logGrants(ctx, service, uint64(wanted)); err != nil {
		return 0, err
	}
	record, found := rollout.Find(s.state.state().Rollouts, service)
	if !found || record.Phase.Final() || !s.isConfirmedLeader() {
		return 0, nil
	}
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	nowMS := s.state.clock.NowMS()
	n := s.rollouts.get(nowMS, &record).Take(nowMS, record, incarnation, wanted)
	metrics.GetOrRegisterCounter("director.rollouts.granted", s.cfg.Metrics).Inc(int64(n))
	return n, nil
}

// logGrants logs further grants if the pool does not hold the wanted number.
func (s *Server) logGrants(ctx context.Context, service string, wanted uint64) error {
	record, found := rollout.Find(s.state.state().Rollouts, service)
	if !found || record.Phase.Final() {
		return nil
	}
	nowMS := s.state.clock.NowMS()
	s.rollouts.mu.Lock()
	state := s.rollouts.get(nowMS, &record)
	command := state.Reserve(nowMS, record, wanted)
	s.rollouts.mu.Unlock()
	if command == nil {
		return nil
	}
	result, err := s.executeResult(ctx, catalog.Command{Rollout: &rollout.Command{Grant: command}})
	if err != nil || !result.CountsChanged {
		return err
	}
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	if s.rollouts.byService[service] == state {
		state.Reserved(command)
	}
	return nil
}

// runRollouts decides on the active rollouts while this host is the leader.
func (s *Server) runRollouts(ctx context.Context) {
	defer s.rollouts.conns.Close()
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.decideRollouts(ctx)
		}
	}
}

// forgetAll drops the state of all rollouts: none is active, or another host leads.
func (r *rollouts) forgetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.byService)
	r.confirmed.Store(0)
}

// hasActiveRollout reports whether the log holds a rollout that is not final.
func (s *Server) hasActiveRollout() bool {
	return slices.ContainsFunc(s.state.state().Rollouts, func(r rollout.Rollout) bool { return !r.Phase.Final() })
}

// confirmLeadership asks a quorum whether this host still leads.
func (s *Server) confirmLeadership(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	start := boottime.Now()
	if s.group.ReadBarrier(bounded) == nil && s.group.Replica().Status().IsLeader {
		s.rollouts.confirmed.Store(int64(start))
	}
}

// isConfirmedLeader reports whether a quorum has confirmed within leadershipLimit that this
// host leads.
func (s *Server) isConfirmedLeader() bool {
	at := s.rollouts.confirmed.Load()
	return at != 0 && boottime.Since(boottime.Instant(at)) <= leadershipLimit
}

// decideRollouts decides on all active rollouts if this host leads and a quorum confirms it.
func (s *Server) decideRollouts(ctx context.Context) {
	if !s.group.Replica().Status().IsLeader || !s.hasActiveRollout() {
		s.rollouts.forgetAll()
		return
	}
	s.confirmLeadership(ctx)
	if !s.isConfirmedLeader() {
		return // nothing can be logged, and the state here may be old
	}
	for _, record := range s.state.state().Rollouts {
		if record.Phase.Final() {
			s.rollouts.mu.Lock()
			delete(s.rollouts.byService, record.Service)
			s.rollouts.mu.Unlock()
			continue
		}
		s.decideRollout(ctx, &record)
	}
}

// decideRollout decides on one active rollout, and logs the next phase or the totals that
// are due.
func (s *Server) decideRollout(ctx context.Context, record *rollout.Rollout) {
	nowMS := s.state.clock.NowMS()
	seen := s.registry.versions(record.Service, record.Version)
	if time.Since(s.startedAt) < targetsKnownAfter {
		seen.OldTargets = max(1, seen.OldTargets) // not all targets may have reported
	}
	s.rollouts.mu.Lock()
	state := s.rollouts.get(nowMS, record)
	before := state.Decision().Why
	decision, sum := state.Decide(nowMS, *record, seen.Targets), state.Sum()
	var command *rollout.Command
	if decision.Advance != nil {
		command = &rollout.Command{Advance: decision.Advance}
	} else if totals := state.TotalsDue(nowMS, *record); totals != nil {
		command = &rollout.Command{Grant: totals}
	}
	s.rollouts.mu.Unlock()
	if decision.Why != before {
		s.log.Info("rollout_stands", "service", record.Service, "version", record.Version, "phase", record.Phase.String(), "reason", decision.Why)
	}
	if command == nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	result, err := s.executeResult(bounded, catalog.Command{Rollout: command})
	if decision.Advance == nil {
		return
	}
	if err == nil && result.Changed {
		metrics.GetOrRegisterCounter("director.rollouts.advanced."+decision.Advance.Phase.String(), s.cfg.Metrics).Inc(1)
	}
	s.logAdvance(record, &decision, &sum, err)
}

// logAdvance logs the entry of the next phase and the evidence for it.
func (s *Server) logAdvance(record *rollout.Rollout, decision *rollout.Decision, sum *rollout.Sum, err error) {
	s.log.Info("rollout_advanced", "service", record.Service, "version", record.Version, "phase", decision.Advance.Phase.String(),
		"reason", decision.Advance.Reason, "granted", record.Granted, "allowed", decision.Allowed, "reached", sum.Requests,
		"responses", sum.New.Answers, "failed", sum.New.Failed, "slow", sum.New.Slow, "error", err)
}

// showRollout returns the leader's view of the newest rollout of a service.
func (s *Server) showRollout(ctx context.Context, r *rpc.RolloutShow) (*rpc.RolloutStatus, error) {
	addr, err := s.leaderAddr(r.Forwarded)
	if err != nil {
		return nil, err
	}
	if addr != "" {
		bounded, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		status := &rpc.RolloutStatus{}
		return status, s.rollouts.conns.Call(bounded, addr, rpc.MethodRolloutShow, &rpc.RolloutShow{Service: r.Service, Forwarded: true}, status)
	}
	record, err := s.Rollout(ctx, r.Service)
	if err != nil {
		return nil, err
	}
	status := &rpc.RolloutStatus{Rollout: record, Phase: record.Phase.String(), Reached: record.Requests, Why: record.Reason}
	if record.Phase.Final() {
		return status, nil
	}
	nowMS := s.state.clock.NowMS()
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	state := s.rollouts.get(nowMS, &record)
	sum := state.Sum()
	status.LeftMS = max(0, record.StartedMS+record.DurationMS-nowMS)
	status.Allowed, status.Reached, status.Why = state.Decision().Allowed, max(sum.Requests, record.Requests), state.Decision().Why
	status.All = rpc.RolloutRoute{New: sum.New, Old: sum.Old}
	for _, name := range slices.Sorted(maps.Keys(sum.Routes)) {
		status.Routes = append(status.Routes, rpc.RolloutRoute{Route: name, New: sum.Routes[name].New, Old: sum.Routes[name].Old})
	}
	return status, nil
}

// versionsSeen is the result of registry.versions.
type versionsSeen struct {
	rollout.Targets
	known int // targets that have not gone
}

// versions counts the targets of a service, their slots and their requests, apart for
// the given version and all others.
func (r *registry) versions(service, version string) versionsSeen {
	now := time.Now()
	loads := r.sumPeerLoads(now, "").Loads
	r.mu.Lock()
	defer r.mu.Unlock()
	var seen versionsSeen
	for _, record := range r.roster.All() {
		if record.Service != service || record.State == roster.Gone {
			continue
		}
		seen.known++
		ready, slots := 0, 0
		if record.State == roster.Ready {
			ready, slots = 1, record.Slots
		}
		requests := loads[record.ID].Online + loads[record.ID].Batch
		seen.InFlight += requests
		if record.Version == version {
			seen.NewTargets += ready
			seen.NewSlots += slots
			seen.NewCold = seen.NewCold || ready > 0 && record.ColdUntil.After(now)
			continue
		}
		seen.OldTargets++
		seen.OldSlots += slots
		seen.OldInFlight += requests
	}
	return seen
}
