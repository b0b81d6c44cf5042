package jobhost

import (
	"context"
	"time"

	"banyanwalk/core/jobs"
	"banyanwalk/infra/rpc"
)

// status returns the replica's state and job counts for operators.
func (s *Server) status(_ context.Context, _ *rpc.StatusRequest) (*rpc.JobsStatus, error) {
	status := &rpc.JobsStatus{
		Host: s.cfg.Name, Replica: s.group.Load().Status(), Running: s.runner.runningCount(), ArchiveComplete: s.state.hasAllTexts.Load(),
	}
	s.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		for _, job := range m.Jobs() {
			status.Jobs++
			if job.Archived {
				status.Archived++
			}
			if job.Unfinished() {
				status.OpenItems += len(job.Items) - len(job.Results)
			}
		}
	})
	return status, nil
}
