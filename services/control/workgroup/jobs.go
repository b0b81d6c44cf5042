package workgroup

import (
	"context"

	"banyanwalk/core/batch"
	"banyanwalk/infra/rpc"
)

func (s *Service) createJobOnLeader(ctx context.Context, request *batch.JobCreate) (*batch.Job, error) {
	g := s.groupOf(request.Workspace)
	result, err := g.executeBatch(ctx, &batch.Command{JobCreate: request})
	if err != nil {
		return nil, err
	}
	j := result.Job
	s.log.Info("job_accepted", "job", j.ID, "workspace", j.Workspace, "items", j.Counts.Total, "due_ms", j.DueMS, "resent", j.ID != request.ID)
	return j, nil
}

func (s *Service) cancelJobOnLeader(ctx context.Context, request *rpc.JobRef) (*batch.Job, error) {
	g := s.groupOf(request.Workspace)
	result, err := g.executeBatch(ctx, &batch.Command{JobCancel: &batch.JobCancel{Workspace: request.Workspace, ID: request.ID}})
	if err != nil {
		return nil, err
	}
	s.log.Info("job_cancelled", "job", result.Job.ID, "workspace", result.Job.Workspace)
	return result.Job, nil
}

func (s *Service) getJob(ctx context.Context, request *rpc.JobRef) (*batch.Job, error) {
	g := s.groupOf(request.Workspace)
	if err := g.waitReadIndex(ctx); err != nil {
		return nil, err
	}
	var job *batch.Job
	var err error
	g.read(func(m *batch.Machine) { job, err = m.Job(request.Workspace, request.ID) })
	return job, err
}

func (s *Service) listJobs(ctx context.Context, request *rpc.ListRequest) (*rpc.JobList, error) {
	g := s.groupOf(request.Workspace)
	if err := g.waitReadIndex(ctx); err != nil {
		return nil, err
	}
	var list rpc.JobList
	var err error
	g.read(func(m *batch.Machine) {
		list.Jobs, list.More, err = m.Jobs(request.Workspace, request.After, request.Limit)
	})
	return &list, err
}

func (s *Service) groupOfFileCommit(r *rpc.FileCommit) (uint32, error) {
	return s.groupOf(r.File.Workspace).id, nil
}

func (s *Service) groupOfFileRef(r *rpc.FileRef) (uint32, error) {
	return s.groupOf(r.Workspace).id, nil
}

func (s *Service) groupOfJobCreate(r *batch.JobCreate) (uint32, error) {
	return s.groupOf(r.Workspace).id, nil
}

func (s *Service) groupOfJobRef(r *rpc.JobRef) (uint32, error) {
	return s.groupOf(r.Workspace).id, nil
}
