package jobhost

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/outcome"
	"banyanwalk/core/quota"
	"banyanwalk/infra/rpc"
)

// tokenBroker grants tokens of workspaces' rates to gateways whose own part is spent. The
// voting storage hosts divide the workspaces between themselves, a broker and a deputy for
// each; the leader, which grants the slots, takes none.
type tokenBroker struct {
	server  *Server
	granted metrics.Counter
	refused metrics.Counter
}

func newTokenBroker(s *Server) *tokenBroker {
	return &tokenBroker{
		server:  s,
		granted: metrics.GetOrRegisterCounter("broker.tokens.granted", s.cfg.Metrics),
		refused: metrics.GetOrRegisterCounter("broker.tokens.refused", s.cfg.Metrics),
	}
}

// acquire grants a token of a workspace. A broker that does not know yet what others spend
// grants none, so that gateways keep to their parts.
func (b *tokenBroker) acquire(_ context.Context, r *rpc.TokenRequest) (*rpc.Ack, error) {
	follower := b.server.cfg.Follower
	now := follower.QuotaNow()
	part := follower.TokensPart(now, r.Workspace)
	if part == 0 {
		return nil, outcome.New(outcome.StateStale, outcome.NotRun, "this host does not grant tokens of workspace %q", r.Workspace)
	}
	workspace := follower.Table().Workspace(r.Workspace)
	if workspace == nil {
		return nil, outcome.New(outcome.StateStale, outcome.NotRun, "workspace %q is not known here", r.Workspace)
	}
	wait, ok := follower.Buckets.Grant(now, workspace.Name, quota.Rate{PerSecond: workspace.RatePerSecond, Burst: workspace.Burst}, part)
	if follower.Buckets.ReportDue() {
		follower.ReportNow()
	}
	if !ok {
		b.refused.Inc(1)
		return nil, outcome.New(outcome.RateLimited, outcome.NotRun, "workspace %q is over its rate", workspace.Name).WithRetryAfter(wait)
	}
	b.granted.Inc(1)
	return &rpc.Ack{}, nil
}
