package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/jobs"
	"banyanwalk/core/streams"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
)

const (
	// originInterval is the time between two log entries on streams that have begun,
	// and so how many of them a lost leader takes with it.
	originInterval = 50 * time.Millisecond
	// idleOriginInterval is the time between two looks whether this host is the broker.
	idleOriginInterval = 500 * time.Millisecond
	originTimeout      = 2 * time.Second // of one log entry, and of the confirmation of one look-up
	// maxUnloggedKeys bounds the streams waiting to be logged.
	maxUnloggedKeys = 1 << 15
)

// streamOrigins keeps at the broker where callers' streams began, so that whoever
// takes one up again learns its software version. Every grant is noted in memory, which
// outlives the gateways. For services that have had several versions, the replicated
// log has them too, which outlives the broker.
type streamOrigins struct {
	server  *Server
	dropped metrics.Counter

	mu       sync.Mutex
	recent   *streams.Table
	several  map[string]bool // services that have had several versions
	unlogged map[streams.Origin][]streams.Key
	keys     int // in unlogged
}

func newStreamOrigins(s *Server, dropped metrics.Counter) *streamOrigins {
	return &streamOrigins{server: s, dropped: dropped, recent: streams.NewTable(), several: make(map[string]bool), unlogged: make(map[streams.Origin][]streams.Key)}
}

// begun notes streams.
func (o *streamOrigins) begun(groups ...streams.Group) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recent.Apply(&streams.Update{Begun: groups})
	for _, g := range groups {
		if o.several[g.Origin.Service] {
			o.queue(g)
		}
	}
}

// queue adds streams to those to be logged. The caller holds the lock.
func (o *streamOrigins) queue(g streams.Group) {
	if o.keys+len(g.Keys) > maxUnloggedKeys {
		o.dropped.Inc(int64(len(g.Keys)))
		return
	}
	o.unlogged[g.Origin] = append(o.unlogged[g.Origin], g.Keys...)
	o.keys += len(g.Keys)
}

// run logs streams and versions while this host is the broker, until ctx ends.
func (o *streamOrigins) run(ctx context.Context) {
	interval := idleOriginInterval
	for pause.For(ctx, interval) {
		interval = idleOriginInterval
		if o.server.BrokerID() != 0 {
			interval = originInterval
			o.log(ctx)
		}
	}
}

// log logs what has begun since the previous entry.
func (o *streamOrigins) log(ctx context.Context) {
	update := streams.Update{Versions: o.newVersions(), Begun: o.takeUnlogged()}
	if len(update.Versions) == 0 && len(update.Begun) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, originTimeout)
	_, err := o.server.group.Load().Execute(bounded, jobs.Command{Streams: &update})
	cancel()
	for _, v := range update.Versions {
		o.server.log.Info("version_seen", "service", v.Service, "version", v.Version, "error", err)
	}
	if err == nil {
		return
	}
	o.server.log.Warn("streams_not_logged", "groups", len(update.Begun), "error", err)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range update.Begun {
		o.queue(g)
	}
}

func (o *streamOrigins) takeUnlogged() []streams.Group {
	o.mu.Lock()
	defer o.mu.Unlock()
	unlogged := make([]streams.Group, 0, len(o.unlogged))
	for origin, keys := range o.unlogged {
		unlogged = append(unlogged, streams.Group{Origin: origin, Keys: keys})
	}
	clear(o.unlogged)
	o.keys = 0
	return unlogged
}

// newVersions returns the versions in service that the log does not have. From the
// second one of a service on, its streams are logged, also those that began before.
func (o *streamOrigins) newVersions() []streams.Origin {
	inService := make(map[streams.Origin]bool)
	o.server.cfg.Follower.Targets.Versions(func(service, version string) {
		inService[streams.Origin{Service: service, Version: version}] = true
	})
	var unseen []streams.Origin
	several := make(map[string]bool)
	o.server.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		for v := range inService {
			if !m.Streams().HasVersion(v) {
				unseen = append(unseen, v)
			}
			only, single := m.Streams().OnlyVersion(v.Service)
			if single && only != v.Version || !single && m.Streams().HasVersion(v) {
				several[v.Service] = true
			}
		}
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	for service := range several {
		if o.several[service] {
			continue
		}
		o.several[service] = true
		for _, g := range o.recent.Groups(service) {
			o.queue(g)
		}
	}
	return unseen
}

// find serves the question where a stream began.
func (o *streamOrigins) find(ctx context.Context, r *rpc.StreamFind) (*rpc.StreamFound, error) {
	if o.server.BrokerID() == 0 {
		return nil, notLeader()
	}
	o.mu.Lock()
	origin, known := o.recent.Find(r.Stream)
	o.mu.Unlock()
	source := "memory"
	if !known {
		bounded, cancel := context.WithTimeout(ctx, originTimeout)
		defer cancel()
		if err := o.server.group.Load().ReadBarrier(bounded); err != nil {
			return nil, err
		}
		origin, source, known = o.findLogged(r)
	}
	o.server.log.Info("stream_origin", "stream", uint64(r.Stream), "known", known, "service", origin.Service, "version", origin.Version, "source", source)
	return &rpc.StreamFound{Known: known, Origin: origin}, nil
}

// findLogged looks a stream up in the log. A service that has had only one version
// needs no entry for it.
func (o *streamOrigins) findLogged(r *rpc.StreamFind) (origin streams.Origin, source string, known bool) {
	only := ""
	o.server.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		if origin, known = m.Streams().Find(r.Stream); known {
			source = "log"
		} else if only, known = m.Streams().OnlyVersion(r.Service); known {
			origin, source = streams.Origin{Service: r.Service, Version: only}, "only_version"
		}
	})
	if source == "only_version" {
		o.server.cfg.Follower.Targets.Versions(func(service, version string) {
			if service == r.Service && version != only {
				known = false
			}
		})
	}
	return origin, source, known
}

// report serves the report of a gateway on streams that the broker did not place.
func (o *streamOrigins) report(_ context.Context, r *rpc.StreamsBegun) (*rpc.Ack, error) {
	if o.server.BrokerID() == 0 {
		return nil, notLeader()
	}
	o.begun(r.Begun...)
	return &rpc.Ack{}, nil
}
