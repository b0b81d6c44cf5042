package jobhost

import (
	"context"
	"time"

	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

func notLeader() error {
	return outcome.New(outcome.NotLeader, outcome.NotRun, "this storage host does not lead")
}

// submit accepts a job, and returns once a quorum has it on disk.
func (s *Server) submit(ctx context.Context, spec *jobs.Spec) (*rpc.Ack, error) {
	held, err := s.admitJob(ctx, spec)
	if err != nil {
		return nil, err
	}
	defer held.Release()
	return s.execute(ctx, jobs.Command{Submit: spec})
}

// end ends a job on behalf of its workspace.
func (s *Server) end(ctx context.Context, e *jobs.EndJob) (*rpc.Ack, error) {
	return s.execute(ctx, jobs.Command{End: e})
}

// preempt frees slots for online requests at full targets by preempting batch
// items.
func (s *Server) preempt(_ context.Context, request *rpc.JobPreempt) (*rpc.Ack, error) {
	s.runner.reserveSlots(time.Now(), request.Requests)
	return &rpc.Ack{}, nil
}

func (s *Server) execute(ctx context.Context, c jobs.Command) (*rpc.Ack, error) {
	group := s.group.Load()
	if !group.Replica().Status().IsLeader {
		return nil, notLeader()
	}
	response, err := group.Execute(ctx, c)
	if err != nil {
		return nil, err
	}
	if response.Error != nil {
		return nil, response.Error
	}
	return &rpc.Ack{}, nil
}

// readBarrier returns once this host has applied everything that was acknowledged
// before the call.
func (s *Server) readBarrier(ctx context.Context) error {
	group := s.group.Load()
	if !group.Replica().Status().IsLeader {
		return notLeader()
	}
	bounded, cancel := context.WithTimeout(ctx, readBarrierTimeout)
	defer cancel()
	return group.ReadBarrier(bounded)
}

// readResults returns the results of a job after a position. If the request asks
// for it and there are none yet, it waits for the next one.
func (s *Server) readResults(ctx context.Context, r *rpc.JobRead) (*rpc.JobResults, error) {
	if err := s.readBarrier(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Duration(r.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := s.state.nextChange()
		page, mayGrow, err := s.listResults(r)
		if err != nil || len(page.Results) > 0 || !mayGrow || r.WaitMS <= 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return page, nil
		case <-timer.C:
			return page, nil
		case <-changed:
		}
	}
}

// listResults returns the results that exist; mayGrow is whether more can follow.
func (s *Server) listResults(r *rpc.JobRead) (page *rpc.JobResults, mayGrow bool, err error) {
	archived := false
	s.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		job := m.Job(r.Job)
		if job == nil || !job.IsOpenTo(r.Workspace) {
			err = outcome.New(outcome.JobNotFound, outcome.NotRun, "no job %q", r.Job)
			return
		}
		page = &rpc.JobResults{Total: len(job.Items)}
		mayGrow, archived = job.Unfinished(), job.Archived
		size := 0
		for position := max(0, r.After); position < len(job.Results) && size < maxReadBytes; position++ {
			result := &job.Results[position]
			item := job.Items[result.Item].ID
			size += len(item) + len(result.Text)
			page.Results = append(page.Results, rpc.JobResult{Item: item, State: result.State, Text: result.Text})
		}
	})
	if err != nil || !archived || len(page.Results) == 0 {
		return page, mayGrow, err
	}
	return page, mayGrow, s.addTexts(r, page)
}

// addTexts adds the archived texts to the results of a job, and cuts off the
// results beyond the size limit of one response.
func (s *Server) addTexts(r *rpc.JobRead, page *rpc.JobResults) error {
	texts, err := s.archiver.readTexts(r.Job, max(0, r.After))
	if err != nil {
		return err
	}
	page.Results = page.Results[:min(len(texts), len(page.Results))]
	for i := range page.Results {
		page.Results[i].Text = texts[i]
	}
	return nil
}

// readBody returns the request body of an item that has no result yet.
func (s *Server) readBody(ctx context.Context, r *rpc.JobBody) (*rpc.JobBodyResponse, error) {
	if err := s.readBarrier(ctx); err != nil {
		return nil, err
	}
	var body []byte
	found := false
	s.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		job := m.Job(r.Job)
		if job == nil || !job.IsOpenTo(r.Workspace) {
			return
		}
		for i := range job.Items {
			if job.Items[i].ID == r.Item && job.Open(i) {
				body, found = job.Items[i].Body, true
			}
		}
	})
	if !found {
		return nil, outcome.New(outcome.JobNotFound, outcome.NotRun, "no open item %q in job %q", r.Item, r.Job)
	}
	return &rpc.JobBodyResponse{Body: body}, nil
}
