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

// submit accepts a job once a quorum has it on disk.
func (s *Server) submit(ctx context.Context, spec *jobs.Spec) (*rpc.Ack, error) {
	return s.command(ctx, jobs.Command{Submit: spec})
}

// end ends a job on behalf of its workspace.
func (s *Server) end(ctx context.Context, e *jobs.EndJob) (*rpc.Ack, error) {
	return s.command(ctx, jobs.Command{End: e})
}

// yield makes room for online requests at full targets.
func (s *Server) yield(_ context.Context, y *rpc.JobYield) (*rpc.Ack, error) {
	s.runner.makeRoom(time.Now(), y.Requests)
	return &rpc.Ack{}, nil
}

func (s *Server) command(ctx context.Context, c jobs.Command) (*rpc.Ack, error) {
	group := s.group.Load()
	if !group.Replica().Status().IsLeader {
		return nil, notLeader()
	}
	answer, err := group.Execute(ctx, c)
	if err != nil {
		return nil, err
	}
	if answer.Error != nil {
		return nil, answer.Error
	}
	return &rpc.Ack{}, nil
}

// confirm returns once it is certain that this host knows everything that was
// acknowledged before the call.
func (s *Server) confirm(ctx context.Context) error {
	group := s.group.Load()
	if !group.Replica().Status().IsLeader {
		return notLeader()
	}
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return group.ReadBarrier(bounded)
}

// readResults returns the results of a job from a position on, and waits for
// one if asked.
func (s *Server) readResults(ctx context.Context, r *rpc.JobRead) (*rpc.JobResults, error) {
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Duration(r.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := s.state.next()
		found, more, err := s.results(r)
		if err != nil || len(found.Results) > 0 || !more || r.WaitMS <= 0 {
			return found, err
		}
		select {
		case <-ctx.Done():
			return found, nil
		case <-timer.C:
			return found, nil
		case <-changed:
		}
	}
}

// results returns what is listed; more tells that more may come.
func (s *Server) results(r *rpc.JobRead) (found *rpc.JobResults, more bool, err error) {
	archived := false
	s.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		job := m.Job(r.Job)
		if job == nil || job.Workspace != r.Workspace {
			err = outcome.New(outcome.JobNotFound, outcome.NotRun, "no job %q", r.Job)
			return
		}
		found = &rpc.JobResults{Total: len(job.Items)}
		more, archived = job.Unfinished(), job.Archived
		size := 0
		for at := max(0, r.After); at < len(job.Results) && size < maxReadBytes; at++ {
			result := &job.Results[at]
			size += len(result.Text)
			found.Results = append(found.Results, rpc.JobResult{
				Item: job.Items[result.Item].ID, State: result.State, Text: result.Text,
			})
		}
	})
	if err != nil || !archived || len(found.Results) == 0 {
		return found, more, err
	}
	return found, more, s.addTexts(r, found)
}

// addTexts adds the texts of an archived job to its results, and leaves out
// those that are too many for one answer.
func (s *Server) addTexts(r *rpc.JobRead, found *rpc.JobResults) error {
	texts, err := s.archiver.texts(r.Job, max(0, r.After))
	if err != nil {
		return err
	}
	found.Results = found.Results[:min(len(texts), len(found.Results))]
	for i := range found.Results {
		found.Results[i].Text = texts[i]
	}
	return nil
}

// readBody returns the body of an item that is not listed yet.
func (s *Server) readBody(ctx context.Context, r *rpc.JobBody) (*rpc.JobBodyData, error) {
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	var body []byte
	found := false
	s.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		job := m.Job(r.Job)
		if job == nil || job.Workspace != r.Workspace {
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
	return &rpc.JobBodyData{Body: body}, nil
}
