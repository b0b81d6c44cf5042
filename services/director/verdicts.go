package director

import (
	"context"

	"banyanwalk/core/catalog"
	"banyanwalk/infra/rpc"
)

// reportRuns logs a gateway's report of requests that may crash targets in the
// catalog. A repeated report changes nothing.
func (s *Server) reportRuns(ctx context.Context, r *rpc.RunsReport) (*rpc.Ack, error) {
	command := catalog.ReportRuns{AtMS: s.state.clock.NowMS(), Crashes: r.Crashes, Completed: r.Completed}
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

// expireVerdicts applies the times to live of verdicts.
func (s *Server) expireVerdicts(ctx context.Context) {
	nowMS := s.state.clock.NowMS()
	if !s.state.hasExpiredVerdicts(nowMS) {
		return
	}
	err := s.execute(ctx, catalog.Command{Expire: &catalog.ExpireVerdicts{AtMS: nowMS}})
	s.log.Info("verdicts_expired", "error", err)
}
