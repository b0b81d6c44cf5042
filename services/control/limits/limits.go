// Package limits runs the owner of the workspaces' rate limits on the leader of
// the configuration group. Gateways acquire tokens from it; core/limit decides
// how many are granted.
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

// Service runs the owner on one control host. It answers only while the host
// leads the configuration group, and creates a new owner for each Raft term.
type Service struct {
	server       *control.Server
	startTime    time.Time
	becameLeader chan struct{} // signaled when this host becomes the leader

	mu      sync.Mutex
	owner   *limit.Owner // nil until this host has led
	term    uint64       // of owner
	index   *bundle.Index
	metrics ownerMetrics
}

// ownerMetrics are the metrics of the owner.
type ownerMetrics struct {
	exchanges     metrics.Meter
	tokensGranted metrics.Meter
	emptyVerdicts metrics.Meter
	ownersStarted metrics.Counter
}

// Register adds the limit service to a control host. It must be called before the
// host runs.
func Register(server *control.Server) *Service {
	registry := server.Config().Metrics
	s := &Service{
		server:       server,
		startTime:    time.Now(),
		becameLeader: make(chan struct{}, 1),
		metrics: ownerMetrics{
			exchanges:     metrics.GetOrRegisterMeter("limits.exchanges", registry),
			tokensGranted: metrics.GetOrRegisterMeter("limits.tokens_granted", registry),
			emptyVerdicts: metrics.GetOrRegisterMeter("limits.empty_verdicts", registry),
			ownersStarted: metrics.GetOrRegisterCounter("limits.owners_started", registry),
		},
	}
	control.HandleForwarded(server, rpc.MethodLimitAcquire, s.acquire)
	server.AddLeadershipHook(control.ConfigGroup, s)
	server.AddTask(s.runOwnerStarter)
	return s
}

// LeadershipChanged implements control.LeadershipHook.
func (s *Service) LeadershipChanged(isLeader bool, _ time.Time) {
	if !isLeader {
		return
	}
	select {
	case s.becameLeader <- struct{}{}:
	default:
	}
}

// runOwnerStarter starts a new owner as soon as this host becomes the leader, not
// at the first exchange. What a workspace spent under the previous owner is unknown
// for as long as its burst takes to refill, and an early start ends that period
// sooner. Workspaces that a bundle adds later start with a full bucket.
func (s *Service) runOwnerStarter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.becameLeader:
		}
		for !s.startOwner(ctx) {
			time.Sleep(ownerRetryInterval)
		}
	}
}

// startOwner starts the owner of the current term. It returns false if that failed
// and must be retried, and true if the owner runs, this host does not lead or ctx
// has ended.
func (s *Service) startOwner(ctx context.Context) bool {
	group, err := s.server.Group(control.ConfigGroup)
	if err != nil || ctx.Err() != nil {
		return true
	}
	status := group.Status()
	return !status.IsLeader || s.ensureOwner(ctx, status.Term) == nil
}

// acquire handles an exchange with a gateway. It runs on the leader under its
// lease, which the caller checks before and after the call.
func (s *Service) acquire(ctx context.Context, request *rpc.LimitRequest) (*rpc.LimitResponse, error) {
	group, err := s.server.Group(control.ConfigGroup)
	if err != nil {
		return nil, err
	}
	status := group.Status()
	if !status.IsLeader {
		return nil, outcome.New(outcome.NotLeader, outcome.NotRun, "this host does not own the limits")
	}
	if err := s.ensureOwner(ctx, status.Term); err != nil {
		return nil, err
	}
	response := s.exchange(status.Term, request)
	if response == nil || group.Status().Term != status.Term {
		return nil, outcome.New(outcome.NoQuorum, outcome.MayHaveRun, "another owner has taken over")
	}
	s.recordResponse(response)
	return response, nil
}

// ensureOwner creates the owner of a term if there is none yet. The bundle that the
// owner starts from includes everything that was acknowledged before.
func (s *Service) ensureOwner(ctx context.Context, term uint64) error {
	s.mu.Lock()
	exists := s.owner != nil && s.term >= term
	s.mu.Unlock()
	if exists {
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
	s.metrics.ownersStarted.Inc(1)
	s.server.Config().Log.Info("limit_owner_started", "term", term)
	return nil
}

// exchange updates the owner's rates from the current bundle and acquires tokens
// for a gateway. It returns nil if the owner is not that of the term.
func (s *Service) exchange(term uint64, request *rpc.LimitRequest) *rpc.LimitResponse {
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
	response := s.owner.Acquire(s.now(), request)
	if wasRebuilding && !s.owner.Rebuilding() {
		s.server.Config().Log.Info("limit_buckets_opened", "term", term)
	}
	return response
}

// now returns monotonic nanoseconds since startTime.
func (s *Service) now() int64 { return int64(time.Since(s.startTime)) }

// recordResponse updates the metrics for a response.
func (s *Service) recordResponse(response *rpc.LimitResponse) {
	s.metrics.exchanges.Mark(1)
	for _, g := range response.Grants {
		s.metrics.tokensGranted.Mark(g.Tokens)
		if g.Verdict == limit.Empty {
			s.metrics.emptyVerdicts.Mark(1)
		}
	}
}

// ratesOf returns the rate limits in a bundle by workspace name. The limit of open
// routes has the empty name.
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
