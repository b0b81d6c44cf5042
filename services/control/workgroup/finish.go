package workgroup

import (
	"context"
	"time"

	"banyanwalk/core/batch"
)

const (
	finishInterval     = 100 * time.Millisecond
	finishRetryDelay   = 2 * time.Second  // after a failure
	finishTimeout      = 10 * time.Minute // of one job
	outputLinesPerRead = 256              // output lines read under one lock
)

// finishJobs periodically builds the output files of settled jobs, while this host
// leads the group.
func (s *Service) finishJobs(ctx context.Context, g *group) error {
	timer := time.NewTimer(finishInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		next := finishInterval
		if s.server.Leads(g.id) {
			if err := s.finishSettledJobs(ctx, g); err != nil {
				s.log.Warn("job_finish_failed", "group", g.id, "error", err)
				next = finishRetryDelay
			}
		}
		timer.Reset(next)
	}
}

// finishSettledJobs finishes the jobs that are settled now. The failure of one job does
// not stop the others; the last error is returned.
func (s *Service) finishSettledJobs(ctx context.Context, g *group) (lastErr error) {
	var settled []*batch.Job
	g.read(func(m *batch.Machine) {
		m.Settled(func(j *batch.Job) bool {
			settled = append(settled, j)
			return true
		})
	})
	for _, j := range settled {
		if err := s.finishJob(ctx, g, j); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// finishJob stores the output and error files of a settled job and marks it as ended.
func (s *Service) finishJob(ctx context.Context, g *group, j *batch.Job) error {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	resultOutput, err := s.buildOutput(ctx, g, j.ID, batch.OutputResults)
	if err != nil {
		return err
	}
	errorOutput, err := s.buildOutput(ctx, g, j.ID, batch.OutputErrors)
	if err != nil {
		return err
	}
	result, err := g.executeBatch(ctx, &batch.Command{JobFinish: &batch.JobFinish{ID: j.ID, Output: resultOutput, Errors: errorOutput}})
	if err != nil {
		return err
	}
	counts := result.Job.Counts
	s.log.Info("job_ended", "job", j.ID, "workspace", j.Workspace, "status", result.Job.StatusName(), "succeeded", counts.Succeeded,
		"failed", counts.Failed, "cancelled", counts.Cancelled, "expired", counts.Expired)
	return nil
}

// buildOutput stores one output file of a settled job. It reads the state in batches of
// lines, to hold the group's lock only briefly.
func (s *Service) buildOutput(ctx context.Context, g *group, jobID string, kind batch.OutputKind) (batch.Output, error) {
	out := newChunker(s.payloads)
	from, more := uint32(0), true
	for more {
		var entries []batch.OutputLine
		var err error
		g.read(func(m *batch.Machine) {
			entries, from, more, err = m.OutputLines(jobID, kind, from, outputLinesPerRead)
		})
		if err != nil {
			return batch.Output{}, err
		}
		for _, entry := range entries {
			line, err := s.readOutputLine(ctx, jobID, entry)
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

// readOutputLine returns the stored result of an item or, for an item without one, a
// line that states its failure.
func (s *Service) readOutputLine(ctx context.Context, jobID string, entry batch.OutputLine) ([]byte, error) {
	if entry.Result != nil {
		return s.payloads.ReadSlices(ctx, []batch.Slice{*entry.Result})
	}
	input, err := s.payloads.ReadSlices(ctx, entry.Input)
	if err != nil {
		return nil, err
	}
	return batch.FailureLine(jobID, entry, input)
}
