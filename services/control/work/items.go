package work

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

// Bounds of one pull, whose items travel in one message. The last item may
// exceed the bytes by its own size.
const (
	maxPull      = 256
	maxPullBytes = 4 << 20
)

func (s *Service) groupOfPull(r *rpc.ItemsPull) (uint32, error)     { return r.Group, nil }
func (s *Service) groupOfWait(r *rpc.GroupWait) (uint32, error)     { return r.Group, nil }
func (s *Service) groupOfCommit(r *rpc.ItemsCommit) (uint32, error) { return r.Group, nil }
func (s *Service) groupOfRenew(r *rpc.ItemsRenew) (uint32, error)   { return r.Group, nil }

// pull serves an agent from all groups. When none has items it waits for the
// first that does.
func (s *Service) pull(ctx context.Context, request *rpc.ItemsPull) (*rpc.ItemsPulled, error) {
	until := time.Now().Add(time.Duration(request.WaitMS) * time.Millisecond)
	waited := time.Duration(0)
	for {
		pulled, err := s.pullAll(ctx, request)
		if err != nil {
			return nil, err
		}
		pulled.WaitedMS = waited.Milliseconds()
		waiting := time.Now()
		if len(pulled.Items) > 0 || !waiting.Before(until) || !s.waitAll(ctx, request, until) {
			return pulled, nil
		}
		waited += time.Since(waiting)
	}
}

// pullAll asks each group once, in an order that moves on with the requests.
func (s *Service) pullAll(ctx context.Context, request *rpc.ItemsPull) (*rpc.ItemsPulled, error) {
	all := &rpc.ItemsPulled{}
	wants := append([]batch.Want(nil), request.Wants...)
	for k := range s.groups {
		part := *request
		part.Group = s.groups[(int(request.Request)+k)%len(s.groups)].id
		part.Wants = wants
		pulled, err := s.pullGroup(ctx, &part)
		if err != nil {
			if len(all.Items) > 0 {
				return all, nil
			}
			return nil, err
		}
		all.Items = append(all.Items, pulled.Items...)
		for _, item := range pulled.Items {
			wants = less(wants, item.Lease.Template.Model)
		}
	}
	return all, nil
}

// less takes one item of a model off the wants.
func less(wants []batch.Want, model string) []batch.Want {
	for i := range wants {
		if wants[i].Model == model && wants[i].Max > 0 {
			wants[i].Max--
			break
		}
	}
	return wants
}

// waitAll returns true once a group has queued items for the request.
func (s *Service) waitAll(ctx context.Context, request *rpc.ItemsPull, until time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	wait := rpc.GroupWait{WaitMS: time.Until(until).Milliseconds()}
	for _, w := range request.Wants {
		wait.Models = append(wait.Models, w.Model)
	}
	queued := make(chan bool, len(s.groups))
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, g := range s.groups {
		part := wait
		part.Group = g.id
		wg.Go(func() {
			answer, err := s.waitGroup(ctx, &part)
			queued <- err == nil && answer.Queued
		})
	}
	for range s.groups {
		if <-queued {
			return true
		}
	}
	return false
}

func (s *Service) leadWait(ctx context.Context, request *rpc.GroupWait) (*rpc.GroupWaited, error) {
	g, err := s.group(request.Group)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMS)*time.Millisecond)
	defer cancel()
	return &rpc.GroupWaited{Queued: g.waitQueued(ctx, request.Models)}, nil
}

// leadPull leases items. The lease is logged before it is handed out.
func (s *Service) leadPull(ctx context.Context, request *rpc.ItemsPull) (*rpc.ItemsPulled, error) {
	g, err := s.group(request.Group)
	if err != nil {
		return nil, err
	}
	lease := &batch.LeaseItems{Agent: request.Agent, Incarnation: request.Incarnation, Request: request.Request, LeaseMS: request.LeaseMS, MaxBytes: maxPullBytes}
	var models []string
	left := maxPull
	for _, w := range request.Wants {
		w.Max = min(w.Max, left)
		left -= w.Max
		lease.Wants = append(lease.Wants, w)
		models = append(models, w.Model)
	}
	if !g.mayServe(request, models) {
		return &rpc.ItemsPulled{}, nil
	}
	result, err := g.execute(ctx, &batch.Command{Lease: lease})
	if err != nil {
		return nil, err
	}
	s.leased.Mark(int64(len(result.Leases)))
	return s.contents(ctx, g, request.Agent, result.Leases)
}

// mayServe reports whether a pull needs a command: there are queued items, or
// the request was served before, or the agent's incarnation is new.
func (g *group) mayServe(request *rpc.ItemsPull, models []string) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.batch.HasQueued(models) || g.batch.KnowsRequest(request.Agent, request.Incarnation, request.Request)
}

// contents reads the input lines of leased items. Items whose line no host can
// give now go back uncounted.
func (s *Service) contents(ctx context.Context, g *group, agentName string, leases []batch.Lease) (*rpc.ItemsPulled, error) {
	pulled := &rpc.ItemsPulled{}
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
	_, err := g.execute(ctx, &batch.Command{Commit: &batch.Commit{Agent: agentName, Results: unreadable}})
	return pulled, err
}

// leadCommit stores the payloads of results on a quorum, then commits them.
func (s *Service) leadCommit(ctx context.Context, request *rpc.ItemsCommit) (*rpc.ItemsCommitted, error) {
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
	result, err := g.execute(ctx, &batch.Command{Commit: commit})
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
	return &rpc.ItemsCommitted{Verdicts: result.Items}, nil
}

// leadRenew logs a renewal only when a lease is past its half; until then the
// leader's own state tells which attempts must stop.
func (s *Service) leadRenew(ctx context.Context, request *rpc.ItemsRenew) (*rpc.ItemsRenewed, error) {
	g, err := s.group(request.Group)
	if err != nil {
		return nil, err
	}
	soon := time.Now().UnixMilli() + request.LeaseMS/2
	var stopped []batch.StoppedItem
	needed := false
	g.read(func(m *batch.Machine) { stopped, needed = m.CheckLeases(request.Agent, request.Items, soon) })
	if !needed {
		return &rpc.ItemsRenewed{Stopped: stopped}, nil
	}
	renew := &batch.RenewItems{Agent: request.Agent, Incarnation: request.Incarnation, Items: request.Items, LeaseMS: request.LeaseMS}
	result, err := g.execute(ctx, &batch.Command{Renew: renew})
	if err != nil {
		return nil, err
	}
	return &rpc.ItemsRenewed{Stopped: result.Stopped}, nil
}
