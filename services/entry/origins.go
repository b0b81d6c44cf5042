package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/outcome"
	"banyanwalk/core/routing"
	"banyanwalk/core/streams"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/follow"
)

const (
	// originTimeout bounds the question where a stream began.
	originTimeout = 250 * time.Millisecond
	// originRetryAfter is the Retry-After while that is not known.
	originRetryAfter = 300 * time.Millisecond
	// reportInterval is the time between two reports of streams that this gateway has
	// placed by itself.
	reportInterval      = 20 * time.Millisecond
	reportRetryInterval = 200 * time.Millisecond // after a report that failed
	reportTimeout       = 500 * time.Millisecond
	// maxUnreported bounds the streams waiting to be reported.
	maxUnreported = 8192
)

// streamOrigins knows where streams began: those of this gateway by itself, the others
// by asking the broker, which places most of them.
type streamOrigins struct {
	follower *follow.Follower
	jobs     *jobClient
	dropped  metrics.Counter

	mu         sync.Mutex
	own        *streams.Table
	unreported []streams.Group
	wake       chan struct{}
}

func newStreamOrigins(f *follow.Follower, jobs *jobClient, dropped metrics.Counter) *streamOrigins {
	return &streamOrigins{follower: f, jobs: jobs, dropped: dropped, own: streams.NewTable(), wake: make(chan struct{}, 1)}
}

// begun notes where a stream is about to begin. brokerKnows is set if the broker has
// noted the same.
func (o *streamOrigins) begun(key streams.Key, origin streams.Origin, brokerKnows bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.own.Record(key, origin)
	switch {
	case brokerKnows:
		return
	case len(o.unreported) >= maxUnreported:
		o.dropped.Inc(1)
		return
	}
	o.unreported = append(o.unreported, streams.Group{Origin: origin, Keys: []streams.Key{key}})
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// find returns where a stream began that its caller takes up again on a route.
func (o *streamOrigins) find(ctx context.Context, key streams.Key, route *routing.Route) (origin streams.Origin, source string, failure *outcome.Error) {
	o.mu.Lock()
	origin, known := o.own.Find(key)
	o.mu.Unlock()
	if known {
		return origin, "gateway", nil
	}
	request := &rpc.StreamFind{Stream: key}
	if len(route.Shares) == 1 {
		request.Service = route.Shares[0].Service
	}
	found, err := o.ask(ctx, request)
	switch {
	case err != nil:
		return origin, "", outcome.New(outcome.StreamUnknown, outcome.NotRun, "the broker did not tell where the stream began: %v", err).WithRetryAfter(originRetryAfter)
	case !found.Known:
		return origin, "", outcome.New(outcome.StreamUnknown, outcome.NotRun, "nobody knows where the stream began").WithRetryAfter(originRetryAfter)
	}
	return found.Origin, "broker", nil
}

func (o *streamOrigins) ask(ctx context.Context, request *rpc.StreamFind) (*rpc.StreamFound, error) {
	broker, err := o.broker()
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	var found rpc.StreamFound
	if err := o.jobs.callOnce(bounded, originTimeout, broker, rpc.MethodStreamFind, request, &found); err != nil {
		return nil, err
	}
	return &found, nil
}

// broker returns the replica id of the storage host that leads.
func (o *streamOrigins) broker() (uint64, error) {
	hosts := o.follower.StorageHosts()
	if len(hosts) == 0 || !hosts[0].Leads {
		return 0, outcome.New(outcome.Unreachable, outcome.NotRun, "no broker is known")
	}
	return hosts[0].ID, nil
}

// run reports streams to the broker until ctx ends.
func (o *streamOrigins) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			if o.hasUnreported() {
				o.report(context.WithoutCancel(ctx), lastReportTimeout)
			}
			return
		case <-o.wake:
		}
		interval := reportInterval
		for pause.For(ctx, interval) && !o.report(ctx, reportTimeout) {
			interval = reportRetryInterval
		}
	}
}

func (o *streamOrigins) hasUnreported() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.unreported) > 0
}

// report sends the streams that the broker does not know, and reports whether none are
// left.
func (o *streamOrigins) report(ctx context.Context, timeout time.Duration) bool {
	o.mu.Lock()
	sent := slices.Clone(o.unreported)
	o.mu.Unlock()
	broker, err := o.broker()
	if err != nil {
		return false // they stay for the next broker
	}
	if o.jobs.callOnce(ctx, timeout, broker, rpc.MethodStreamBegun, &rpc.StreamsBegun{Begun: sent}, &rpc.Ack{}) != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unreported = slices.Clone(o.unreported[len(sent):])
	return len(o.unreported) == 0
}

// allows reports whether a route leads to a service.
func allows(route *routing.Route, service string) bool {
	return slices.ContainsFunc(route.Shares, func(s routing.Share) bool { return s.Service == service })
}

// takeUp binds a stream that its caller takes up again to the service and the version
// where it began.
func (f *forwarding) takeUp() *outcome.Error {
	s := f.server
	resumes := streams.KeyOf(f.call.workspaceName(), f.call.resumes)
	origin, source, failure := s.origins.find(f.ctx, resumes, f.call.route)
	s.log.Info("stream_taken_up", "request", f.call.id, "resumes", f.call.resumes, "after_event", f.request.LastEventID, "service", origin.Service,
		"version", origin.Version, "source", source, "after_ms", ms(time.Since(f.call.started)))
	switch {
	case failure != nil:
		return failure
	case !allows(f.call.route, origin.Service):
		return outcome.New(outcome.VersionGone, outcome.NotRun, "the route no longer leads to service %s, where the stream began", origin.Service)
	}
	f.service, f.version = origin.Service, &origin.Version
	return nil
}

// noteBegun notes where the stream is about to begin or go on.
func (f *forwarding) noteBegun() {
	if f.stream == streams.NoKey {
		return
	}
	brokerKnows := f.slot.brokered && f.slot.version == f.target.Version
	f.server.origins.begun(f.stream, streams.Origin{Service: f.service, Version: f.target.Version}, brokerKnows)
}
