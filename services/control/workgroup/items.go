package workgroup

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

// Limits of the items in one pull, which are returned in one message. The last
// item may exceed maxPullBytes by its own size.
const (
	maxPullItems = 256
	maxPullBytes = 4 << 20
)

func (s *Service) groupOfPull(r *rpc.ItemsPull) (uint32, error)          { return r.Group, nil }
func (s *Service) groupOfWait(r *rpc.GroupWait) (uint32, error)          { return r.Group, nil }
func (s *Service) groupOfItemsCommit(r *rpc.ItemsCommit) (uint32, error) { return r.Group, nil }
func (s *Service) groupOfRenew(r *rpc.ItemsRenew) (uint32, error)        { return r.Group, nil }

// pullItems serves an agent's pull from all groups. If no group has items, it waits until
// one has or the request's wait time is over.
func (s *Service) pullItems(ctx context.Context, request *rpc.ItemsPull) (*rpc.ItemsPullResponse, error) {
	deadline := time.Now().Add(time.Duration(request.WaitMS) * time.Millisecond)
	waited := time.Duration(0)
	for {
		pulled, err := s.pullFromGroups(ctx, request)
		if err != nil {
			return nil, err
		}
		pulled.WaitedMS = waited.Milliseconds()
		waitStart := time.Now()
		if len(pulled.Items) > 0 || !waitStart.Before(deadline) || !s.waitForAnyGroup(ctx, request, deadline) {
			return pulled, nil
		}
		waited += time.Since(waitStart)
	}
}

// pullFromGroups pulls from each group once. The request number rotates the first group,
// so that no group is always served first.
func (s *Service) pullFromGroups(ctx context.Context, request *rpc.ItemsPull) (*rpc.ItemsPullResponse, error) {
	all := &rpc.ItemsPullResponse{}
	wants := append([]batch.Want(nil), request.Wants...)
	for k := range s.groups {
		groupRequest := *request
		groupRequest.Group = s.groups[(int(request.Request)+k)%len(s.groups)].id
		groupRequest.Wants = wants
		pulled, err := s.forwardPull(ctx, &groupRequest)
		if err != nil {
			if len(all.Items) > 0 {
				return all, nil
			}
			return nil, err
		}
		all.Items = append(all.Items, pulled.Items...)
		for _, item := range pulled.Items {
			wants = decrementWant(wants, item.Lease.Template.Model)
		}
	}
	return all, nil
}

// decrementWant takes one item of a model off the wants.
func decrementWant(wants []batch.Want, model string) []batch.Want {
	for i := range wants {
		if wants[i].Model == model && wants[i].Max > 0 {
			wants[i].Max--
			break
		}
	}
	return wants
}

// waitForAnyGroup returns true once a group has queued items for the request, or false if
// none has by the deadline.
func (s *Service) waitForAnyGroup(ctx context.Context, request *rpc.ItemsPull, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	wait := rpc.GroupWait{WaitMS: time.Until(deadline).Milliseconds()}
	for _, w := range request.Wants {
		wait.Models = append(wait.Models, w.Model)
	}
	queued := make(chan bool, len(s.groups))
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, g := range s.groups {
		groupRequest := wait
		groupRequest.Group = g.id
		wg.Go(func() {
			response, err := s.forwardWait(ctx, &groupRequest)
			queued <- err == nil && response.Queued
		})
	}
	for range s.groups {
		if <-queued {
			return true
		}
	}
	return false
}

func (s *Service) waitOnLeader(ctx context.Context, request *rpc.GroupWait) (*rpc.GroupWaitResponse, error) {
	g, err := s.group(request.Group)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMS)*time.Millisecond)
	defer cancel()
	return &rpc.GroupWaitResponse{Queued: g.waitQueued(ctx, request.Models)}, nil
}

// pullOnLeader leases items to an agent. The lease is replicated before the items are
// returned.
func (s *Service) pullOnLeader(ctx context.Context, request *rpc.ItemsPull) (*rpc.ItemsPullResponse, error) {
	g, err := s.group(request.Group)
	if err != nil {
		return nil, err
	}
	lease := &batch.LeaseItems{Agent: request.Agent, Incarnation: request.Incarnation, Request: request.Request, LeaseMS: request.LeaseMS, MaxBytes: maxPullBytes}
	var models []string
	left := maxPullItems
	for _, w := range request.Wants {
		w.Max = min(w.Max, left)
		left -= w.Max
		lease.Wants = append(lease.Wants, w)
		models = append(models, w.Model)
	}
	if !g.needsLeaseCommand(request, models) {
		return &rpc.ItemsPullResponse{}, nil
	}
	result, err := g.executeBatch(ctx, &batch.Command{Lease: lease})
	if err != nil {
		return nil, err
	}
	s.leased.Mark(int64(len(result.Leases)))
	return s.readLeasedItems(ctx, g, request.Agent, result.Leases)
}

// needsLeaseCommand reports whether a pull must be replicated: items are queued, the
// request was served before, or the agent was known under another incarnation.
func (g *group) needsLeaseCommand(request *rpc.ItemsPull, models []string) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.batch.HasQueued(models) || g.batch.KnowsRequest(request.Agent, request.Incarnation, request.Request)
}

// readLeasedItems reads the input lines and stored progress of leased items. Items that
// cannot be read from any host are returned to the queue; the attempt is not counted.
func (s *Service) readLeasedItems(ctx context.Context, g *group, agentName string, leases []batch.Lease) (*rpc.ItemsPullResponse, error) {
	pulled := &rpc.ItemsPullResponse{}
	var unreadable []batch.ItemResult
	for _, l := range leases {
		item := rpc.PulledItem{Group: g.id, Lease: l}
		var err error
		item.Input, err = s.payloads.ReadSlices(ctx, l.Input)
		if err == nil && l.Progress != nil {
			item.Progress, err = s.payloads.ReadSlices(ctx, []batch.Slice{*l.Progress})
		}
		if err != nil {
			s.log.Warn("item_unreadable", "job", l.ID.Job, "item", l.ID.Item, "error", err)
			unreadable = append(unreadable, batch.ItemResult{ID: l.ID, Status: batch.ResultReturned, Code: outcome.Unreachable, Outcome: outcome.NotRun})
			continue
		}
		item.Lease.Input, item.Lease.Progress = nil, nil
		pulled.Items = append(pulled.Items, item)
	}
	if len(unreadable) == 0 {
		return pulled, nil
	}
	_, err := g.executeBatch(ctx, &batch.Command{Commit: &batch.Commit{Agent: agentName, Results: unreadable}})
	return pulled, err
}

// commitResultsOnLeader stores the payloads of item results on a quorum and then commits
// the results.
func (s *Service) commitResultsOnLeader(ctx context.Context, request *rpc.ItemsCommit) (*rpc.ItemsCommitResponse, error) {
	g, err := s.group(request.Group)
	if err != nil {
		return nil, err
	}
	commit := &batch.Commit{Agent: request.Agent, Results: request.Results}
	if len(request.Payload) > 0 {
		if commit.Record, err = s.payloads.Put(ctx, request.Payload); err != nil {
			return nil, err
		}
	}
	result, err := g.executeBatch(ctx, &batch.Command{Commit: commit})
	if err != nil {
		return nil, err
	}
	for _, v := range result.Items {
		if v.Code == 0 {
			s.committed.Mark(1)
			continue
		}
		s.refused.Mark(1)
		s.log.Info("result_refused", "job", v.ID.Job, "item", v.ID.Item, "attempt", v.ID.Attempt, "code", v.Code.Name(), "agent", request.Agent)
	}
	return &rpc.ItemsCommitResponse{Acks: result.Items}, nil
}

// renewLeasesOnLeader renews an agent's leases. A renewal is replicated only if one of the
// leases has less than half of its duration left; otherwise the leader's state already
// tells which attempts must stop.
func (s *Service) renewLeasesOnLeader(ctx context.Context, request *rpc.ItemsRenew) (*rpc.ItemsRenewResponse, error) {
	g, err := s.group(request.Group)
	if err != nil {
		return nil, err
	}
	renewBeforeMS := g.clock.NowMS() + request.LeaseMS/2
	var stopped []batch.StoppedItem
	needed := false
	g.read(func(m *batch.Machine) { stopped, needed = m.CheckLeases(request.Agent, request.Items, renewBeforeMS) })
	if !needed {
		return &rpc.ItemsRenewResponse{Stopped: stopped}, nil
	}
	renew := &batch.RenewItems{Agent: request.Agent, Incarnation: request.Incarnation, Items: request.Items, LeaseMS: request.LeaseMS}
	result, err := g.executeBatch(ctx, &batch.Command{Renew: renew})
	if err != nil {
		return nil, err
	}
	return &rpc.ItemsRenewResponse{Stopped: result.Stopped}, nil
}
