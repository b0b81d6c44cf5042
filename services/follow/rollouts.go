package follow

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/core/rollout"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const (
	// rolloutInterval is the time between two reports while a rollout is decided on.
	rolloutInterval = 250 * time.Millisecond
	// rolloutMinInterval is the time between two reports if grants run out at once.
	rolloutMinInterval = 50 * time.Millisecond
	// rolloutTimeout bounds one call of a control host. Grants are logged first.
	rolloutTimeout = 600 * time.Millisecond
)

// rolloutReporter reports this process's evidence on rollouts and asks for grants.
type rolloutReporter struct {
	follower  *Follower
	pool      *wire.Pool
	failing   bool // the last report reached no leader
	asked     metrics.Counter
	granted   metrics.Counter
	expired   metrics.Counter
	preferred string // control host that answered last
}

func newRolloutReporter(f *Follower) *rolloutReporter {
	registry := f.cfg.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &rolloutReporter{
		follower: f,
		pool:     wire.NewPool(f.cfg.TLS),
		asked:    metrics.GetOrRegisterCounter("rollouts.grants.asked", registry),
		granted:  metrics.GetOrRegisterCounter("rollouts.grants.received", registry),
		expired:  metrics.GetOrRegisterCounter("rollouts.grants.expired", registry),
	}
}

// run reports until ctx ends.
func (r *rolloutReporter) run(ctx context.Context) {
	defer r.pool.Close()
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.follower.Gate.Short():
			pause.For(ctx, rolloutMinInterval)
		}
		r.countExpired()
		if r.follower.Gate.Active() {
			r.report(ctx)
		}
	}
}

func (r *rolloutReporter) countExpired() {
	for _, e := range r.follower.Gate.TakeExpired() {
		r.expired.Inc(int64(e.Requests))
		r.follower.cfg.Log.Info("rollout_grants_expired", "service", e.Service, "version", e.Version, "requests", e.Requests)
	}
}

// report sends the evidence to one control host after another until one answers. Counts
// are cumulative, so a lost report is made up for by the next one; the grants of a lost
// response are lost.
func (r *rolloutReporter) report(ctx context.Context) {
	f := r.follower
	request := &rpc.RolloutReport{Member: f.Name(), Incarnation: f.Incarnation(), Evidence: f.Gate.Report()}
	asked := 0
	for _, w := range f.Gate.Wanted() {
		request.Wanted = append(request.Wanted, rpc.RolloutGrant{Service: w.Service, Version: w.Version, Requests: w.Requests})
		asked += w.Requests
	}
	if len(request.Evidence) == 0 && asked == 0 && !f.Gate.Finishing() {
		return
	}
	r.asked.Inc(int64(asked))
	err := error(outcome.New(outcome.Unreachable, outcome.NotRun, "no control host is known"))
	for _, host := range r.hosts() {
		// A grant's time to live starts before the call, so that it includes delays of
		// the call and suspensions of this process.
		calledAt := boottimeNow()
		var response rpc.RolloutGrants
		bounded, cancel := context.WithTimeout(ctx, rolloutTimeout)
		err = r.pool.Call(bounded, host, rpc.MethodRolloutGrant, request, &response)
		cancel()
		if err == nil {
			r.preferred = host
			received := r.take(calledAt, &response)
			if asked > 0 || received > 0 {
				f.cfg.Log.Info("rollout_grants", "asked", asked, "received", received, "from", host)
			}
			break
		}
		// The grants may have been logged, and their response lost. Asking another
		// host for them too would use up the exposure.
		if outcome.From(err).Outcome != outcome.NotRun {
			request.Wanted = nil
		}
		if ctx.Err() != nil {
			return
		}
	}
	if failing := err != nil; failing != r.failing {
		r.failing = failing
		f.cfg.Log.Info("rollout_reports", "failing", failing, "error", err)
	}
}

// hosts returns the control hosts to call, first the one that answered last.
func (r *rolloutReporter) hosts() []string {
	hosts := r.follower.ControlHosts()
	for i, host := range hosts {
		if host == r.preferred {
			hosts[0], hosts[i] = hosts[i], hosts[0]
		}
	}
	return hosts
}

// take adds the grants of a response and returns how many requests they allow.
func (r *rolloutReporter) take(calledAt time.Time, response *rpc.RolloutGrants) (received int) {
	for _, g := range response.Grants {
		until := calledAt.Add(time.Duration(g.TTLMS) * time.Millisecond)
		if g.Requests == 0 { // the rollout is in Finishing
			r.follower.Gate.Confirm(g.Service, g.Version, until)
			continue
		}
		received += g.Requests
		r.follower.Gate.AddGrant(g.Service, g.Version, g.Requests, until)
	}
	r.granted.Inc(int64(received))
	return received
}

// takeRollouts hands the rollouts of a newer catalog to the gate.
func (f *Follower) takeRollouts(from string, current, next *catalog.State) {
	f.Gate.SetRollouts(next.Rollouts)
	former := make(map[string]rollout.Rollout, len(current.Rollouts))
	for _, r := range current.Rollouts {
		former[r.Service] = r
	}
	for _, r := range next.Rollouts {
		if before := former[r.Service]; before.Phase != r.Phase || before.Version != r.Version {
			f.cfg.Log.Info("rollout_phase", "from", from, "service", r.Service, "version", r.Version, "phase", r.Phase.String(),
				"phase_before", before.Phase.String(), "granted", r.Granted, "requests", r.Requests, "bad", r.Bad, "reason", r.Reason)
		}
	}
}
