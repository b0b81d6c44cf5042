package work

import (
	"context"
	"time"

	"banyanwalk/core/batch"
)

const (
	finishInterval = 100 * time.Millisecond
	finishPause    = 2 * time.Second // after a failure
	finishTimeout  = 10 * time.Minute
	partsOfRead    = 256 // lines listed at a time
)

// finishJobs builds the output files of settled jobs while this host leads a
// group.
func (s *Service) finishJobs(ctx context.Context, g *group) error {
	pause := time.NewTimer(finishInterval)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-pause.C:
		}
		next := finishInterval
		if s.server.Leads(g.id) {
			if err := s.finishAll(ctx, g); err != nil {
				s.log.Warn("job_finish_failed", "group", g.id, "error", err)
				next = finishPause
			}
		}
		pause.Reset(next)
	}
}

// finishAll finishes the jobs that are settled now. A job that fails does not
// hold up the others; the last error is returned.
func (s *Service) finishAll(ctx context.Context, g *group) (failure error) {
	var settled []*batch.Job
	g.read(func(m *batch.Machine) {
		m.Settled(func(j *batch.Job) bool {
			settled = append(settled, j)
			return true
		})
	})
	for _, j := range settled {
		if err := s.finishJob(ctx, g, j); err != nil {
			failure = err
		}
	}
	return failure
}

func (s *Service) finishJob(ctx context.Context, g *group, j *batch.Job) error {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	output, err := s.buildOutput(ctx, g, j.ID, batch.OutputResults)
	if err != nil {
		return err
	}
	failures, err := s.buildOutput(ctx, g, j.ID, batch.OutputErrors)
	if err != nil {
		return err
	}
	result, err := g.execute(ctx, &batch.Command{JobFinish: &batch.JobFinish{ID: j.ID, Output: output, Errors: failures}})
	if err != nil {
		return err
	}
	counts := result.Job.Counts
	s.log.Info("job_ended", "job", j.ID, "workspace", j.Workspace, "status", result.Job.StatusName(), "succeeded", counts.Succeeded,
		"failed", counts.Failed, "cancelled", counts.Cancelled, "expired", counts.Expired)
	return nil
}

// buildOutput stores one output file of a settled job, line by line.
func (s *Service) buildOutput(ctx context.Context, g *group, jobID string, kind batch.OutputKind) (batch.Output, error) {
	out := newChunker(s.payloads)
	from, more := uint32(0), true
	for more {
		var parts []batch.OutputLine
		var err error
		g.read(func(m *batch.Machine) { parts, from, more, err = m.OutputLines(jobID, kind, from, partsOfRead) })
		if err != nil {
			return batch.Output{}, err
		}
		for _, part := range parts {
			line, err := s.outputLine(ctx, jobID, part)
			if err != nil {
				return batch.Output{}, err
			}
			if err := out.write(ctx, line); err != nil {
				return batch.Output{}, err
			}
		}
	}
	return out.finish(ctx)
}

func (s *Service) outputLine(ctx context.Context, jobID string, part batch.OutputLine) ([]byte, error) {
	if part.Result != nil {
		return s.payloads.ReadSlices(ctx, []batch.Slice{*part.Result})
	}
	input, err := s.payloads.ReadSlices(ctx, part.Input)
	if err != nil {
		return nil, err
	}
	return batch.FailureLine(jobID, part, input)
}
