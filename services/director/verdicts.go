package director

import (
	"context"

	"banyanwalk/core/catalog"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/rpc"
)

// reportRuns logs a gateway's report of requests that may crash targets in the
// catalog. A repeated report changes nothing.
func (s *Server) reportRuns(ctx context.Context, r *rpc.RunsReport) (*rpc.Ack, error) {
	command := catalog.ReportRuns{AtMS: s.state.clock.NowMS(), Crashes: r.Crashes, Completed: r.Completed, Ended: r.Ended}
	err := s.execute(ctx, catalog.Command{Runs: &command})
	for i := range r.Crashes {
		s.log.Info("target_crash_reported", "member", r.Member, "target", r.Crashes[i].Crash.Target,
			"target_incarnation", r.Crashes[i].Crash.Incarnation, "suspects", len(r.Crashes[i].Runs), "error", err)
	}
	if len(r.Completed) > 0 {
		s.log.Info("suspects_completed", "member", r.Member, "requests", len(r.Completed), "error", err)
	}
	if err != nil {
		return nil, err
	}
	return &rpc.Ack{}, nil
}

// beginTrial decides whether a suspect may run at one target of its service. It does
// not where that is the last one that is up: sound requests need it, and others will
// be back.
func (s *Server) beginTrial(ctx context.Context, r *rpc.TrialRequest) (*rpc.TrialGrant, error) {
	total, up := s.targetsUp(r.Service)
	grant := &rpc.TrialGrant{}
	var err error
	if up > 1 || total == 1 {
		grant, err = s.logTrial(ctx, r, quarantine.TrialsAtOnce(up))
	}
	s.log.Info("trial_decided", "request", r.Holder, "subject", r.Ref.Kind.String(), "digest", r.Ref.Digest.String(), "workspace", r.Ref.Workspace,
		"service", r.Service, "targets", total, "targets_up", up, "allowed", err == nil && grant.Allowed, "error", err)
	if err != nil {
		return nil, err
	}
	return grant, nil
}

func (s *Server) logTrial(ctx context.Context, r *rpc.TrialRequest, atOnce int) (*rpc.TrialGrant, error) {
	nowMS := s.state.clock.NowMS()
	trial := quarantine.Trial{Holder: r.Holder, Service: r.Service, UntilMS: nowMS + r.RemainingMS}
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	result, err := s.executeResult(bounded, catalog.Command{Trial: &catalog.BeginTrial{AtMS: nowMS, Ref: r.Ref, Trial: trial, AtOnce: atOnce}})
	if err != nil {
		return nil, err
	}
	return &rpc.TrialGrant{Allowed: result.TrialAllowed, Crashes: result.TrialCrashes}, nil
}

// targetsUp returns the number of known targets of a service, and of those that are
// not known to have crashed since.
func (s *Server) targetsUp(service string) (total, up int) {
	_, reports := s.registry.readyTargets(0)
	for i := range reports {
		if reports[i].Service != service {
			continue
		}
		total++
		if !s.state.hasCrashed(reports[i].ID, reports[i].Incarnation) {
			up++
		}
	}
	return total, up
}

// expireVerdicts applies the times to live of verdicts.
func (s *Server) expireVerdicts(ctx context.Context) {
	nowMS := s.state.clock.NowMS()
	if !s.state.hasExpiredVerdicts(nowMS) {
		return
	}
	err := s.execute(ctx, catalog.Command{Expire: &catalog.ExpireVerdicts{AtMS: nowMS}})
	s.log.Info("verdicts_expired", "error", err)
}
