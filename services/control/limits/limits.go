// Package limits hosts the owner of the workspaces' limits on the leader of
// the configuration group. What it grants is decided in core/limit.
package limits

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/bundle"
	"banyanwalk/core/limit"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/control"
)

const ownerRetryInterval = 50 * time.Millisecond

// Service is the owner on one control host. It answers only while the host
// leads, with a new owner for each term.
type Service struct {
	server *control.Server
	start  time.Time
	led    chan struct{} // signals that the host has begun to lead

	mu     sync.Mutex
	owner  *limit.Owner // nil before the first exchange
	term   uint64       // of owner
	index  *bundle.Index
	record record
}

// record is the owner's own figures.
type record struct {
	exchanges metrics.Meter
	granted   metrics.Meter
	empty     metrics.Meter
	owners    metrics.Counter
}

// Register adds the exchange of limits to a control host. It must be called
// before the host runs.
func Register(server *control.Server) *Service {
	registry := server.Config().Metrics
	s := &Service{
		server: server,
		start:  time.Now(),
		led:    make(chan struct{}, 1),
		record: record{
			exchanges: metrics.GetOrRegisterMeter("limits.exchanges", registry),
			granted:   metrics.GetOrRegisterMeter("limits.tokens_granted", registry),
			empty:     metrics.GetOrRegisterMeter("limits.empty_verdicts", registry),
			owners:    metrics.GetOrRegisterCounter("limits.owners_started", registry),
		},
	}
	control.HandleForwarded(server, rpc.MethodLimitAcquire, s.acquire)
	server.AddLeadershipHook(control.ConfigGroup, s)
	server.AddTask(s.startOwners)
	return s
}

// LeadershipChanged implements control.LeadershipHook.
func (s *Service) LeadershipChanged(isLeader bool, _ time.Time) {
	if !isLeader {
		return
	}
	select {
	case s.led <- struct{}{}:
	default:
	}
}

// startOwners starts the owner as soon as the host leads, not with the first
// exchange: what a workspace spent before is unknown for as long as its burst
// takes to fill, and that time is over sooner. A workspace that a bundle adds
// afterwards begins with a full bucket.
func (s *Service) startOwners(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.led:
		}
		for !s.startOwner(ctx) {
			time.Sleep(ownerRetryInterval)
		}
	}
}

// startOwner reports whether nothing is left to do: the owner runs, or the
// host does not lead.
func (s *Service) startOwner(ctx context.Context) bool {
	group, err := s.server.Group(control.ConfigGroup)
	if err != nil || ctx.Err() != nil {
		return true
	}
	status := group.Status()
	return !status.IsLeader || s.own(ctx, status.Term) == nil
}

// acquire runs on the leader under its lease, which the caller checks before
// and after.
func (s *Service) acquire(ctx context.Context, request *rpc.LimitRequest) (*rpc.LimitAnswer, error) {
	group, err := s.server.Group(control.ConfigGroup)
	if err != nil {
		return nil, err
	}
	status := group.Status()
	if !status.IsLeader {
		return nil, outcome.New(outcome.NotLeader, outcome.NotRun, "this host does not own the limits")
	}
	if err := s.own(ctx, status.Term); err != nil {
		return nil, err
	}
	answer := s.exchange(status.Term, request)
	if answer == nil || group.Status().Term != status.Term {
		return nil, outcome.New(outcome.NoQuorum, outcome.MayHaveRun, "another owner has taken over")
	}
	s.count(answer)
	return answer, nil
}

// own makes the owner of a term. The bundle that it starts from covers
// everything that was acknowledged before.
func (s *Service) own(ctx context.Context, term uint64) error {
	s.mu.Lock()
	known := s.owner != nil && s.term >= term
	s.mu.Unlock()
	if known {
		return nil
	}
	view, err := s.server.ConfirmedView(ctx)
	if err != nil {
		return outcome.From(err).WithOutcome(outcome.NotRun)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner != nil && s.term >= term {
		return nil
	}
	s.index = view.Bundle()
	s.owner = limit.NewOwner(term, ratesOf(s.index), s.now())
	s.term = term
	s.record.owners.Inc(1)
	s.server.Config().Log.Info("limit_owner_started", "term", term)
	return nil
}

func (s *Service) exchange(term uint64, request *rpc.LimitRequest) *rpc.LimitAnswer {
	index := s.server.View().Bundle()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term {
		return nil
	}
	if index != s.index && index.Version() >= s.index.Version() {
		s.index = index
		s.owner.SetRates(ratesOf(index), s.now())
	}
	wasRebuilding := s.owner.Rebuilding()
	answer := s.owner.Acquire(s.now(), request)
	if wasRebuilding && !s.owner.Rebuilding() {
		s.server.Config().Log.Info("limit_buckets_opened", "term", term)
	}
	return answer
}

func (s *Service) now() int64 { return int64(time.Since(s.start)) }

func (s *Service) count(answer *rpc.LimitAnswer) {
	s.record.exchanges.Mark(1)
	for _, g := range answer.Grants {
		s.record.granted.Mark(g.Tokens)
		if g.Verdict == limit.Empty {
			s.record.empty.Mark(1)
		}
	}
}

// ratesOf returns the limits of a bundle by workspace; those of open routes
// have the empty name.
func ratesOf(index *bundle.Index) map[string]limit.Rate {
	doc := index.Document()
	rates := make(map[string]limit.Rate, len(doc.Workspaces)+1)
	for _, w := range doc.Workspaces {
		rates[w.Name] = limit.Rate{PerSecond: w.Rate, Burst: w.Burst}
	}
	if doc.Limits.OpenRate > 0 {
		rates[""] = limit.Rate{PerSecond: doc.Limits.OpenRate, Burst: doc.Limits.OpenBurst}
	}
	return rates
}
