package director

import (
	"context"
	"time"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/core/roster"
)

// maxLeavingPerCommand bounds the processes that one command records.
const maxLeavingPerCommand = 512

// leavingRequest asks to record that a process of a target leaves. result takes one error.
type leavingRequest struct {
	process roster.Leaving
	result  chan<- error
}

// Report merges a target's report about itself. Followers are notified of changes
// immediately, of a mere renewal with the next push. A report that the target drains is
// acknowledged only once a quorum knows it; after an error it counts on this host and
// its followers all the same.
func (s *Server) Report(ctx context.Context, report roster.Report) error {
	s.mergeReport(report)
	if report.State != roster.Draining {
		return nil
	}
	return s.markLeaving(ctx, roster.Leaving{Target: report.ID, Incarnation: report.Incarnation})
}

// Deregister removes a target at its own request. incarnation is that of its
// process, or 0 if the request did not state it. As for a report that it drains, an error
// means that a quorum may not know it.
func (s *Server) Deregister(ctx context.Context, id string, incarnation int64) error {
	if incarnation == 0 {
		incarnation = s.registry.incarnationOf(id)
	}
	result := s.registry.removeTarget(time.Now(), id, incarnation)
	s.recordMergeResult(id, incarnation, 0, roster.Gone, result)
	if incarnation == 0 {
		return outcome.New(outcome.UnknownName, outcome.NotRun, "target %q is not known here, and its process is not named", id)
	}
	return s.markLeaving(ctx, roster.Leaving{Target: id, Incarnation: incarnation})
}

// markLeaving returns once a quorum has recorded that a process of a target leaves.
func (s *Server) markLeaving(ctx context.Context, process roster.Leaving) error {
	if s.state.isLeaving(process) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	result := make(chan error, 1)
	select {
	case s.leaving <- leavingRequest{process: process, result: result}:
	case <-ctx.Done():
		return notRecorded(process)
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return notRecorded(process)
	}
}

func notRecorded(process roster.Leaving) error {
	return outcome.New(outcome.NoQuorum, outcome.MayHaveRun, "no quorum has recorded in time that target %q leaves", process.Target)
}

// recordLeaving records the processes that leave until ctx ends. What arrives while one
// command is under way shares the next, as hundreds of targets may leave at once.
func (s *Server) recordLeaving(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.leaving:
			s.recordTogether(ctx, s.gatherLeaving(first))
		}
	}
}

// gatherLeaving returns a request and those that wait behind it.
func (s *Server) gatherLeaving(first leavingRequest) []leavingRequest {
	requests := []leavingRequest{first}
	for len(requests) < maxLeavingPerCommand {
		select {
		case next := <-s.leaving:
			requests = append(requests, next)
		default:
			return requests
		}
	}
	return requests
}

// recordTogether records the processes of several requests with one command.
func (s *Server) recordTogether(ctx context.Context, requests []leavingRequest) {
	command := catalog.MarkLeaving{AtMS: s.state.clock.NowMS()}
	for _, request := range requests {
		command.Processes = append(command.Processes, request.process)
	}
	err := s.execute(ctx, catalog.Command{Leaving: &command})
	s.log.Info("leaving_recorded", "targets", len(requests), "first", requests[0].process.Target, "error", err)
	for _, request := range requests {
		request.result <- err
	}
}
