// Package jobhost implements a storage host of a site. It replicates the batch
// jobs, serves the gateways' calls on them and, while it leads the group, runs
// their items at the targets and grants slots to online requests.
package jobhost

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/core/jobs"
	"banyanwalk/infra/durable"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/crashreport"
	"banyanwalk/services/follow"
	"banyanwalk/services/replicated"
	"banyanwalk/services/targetcall"
)

// jobGroup is the id of the replicated group that the storage hosts form.
const jobGroup uint32 = 1

const (
	snapshotEntries = 2000 // log entries between two snapshots
	// snapshotBytes is the size of the log entries between two snapshots. Up to
	// twice as much is in memory besides the state, because entries hold request
	// bodies and result texts.
	snapshotBytes = 8 << 20
	// readBarrierTimeout bounds the wait for a quorum to confirm a read.
	readBarrierTimeout = 600 * time.Millisecond
	// maxReadBytes bounds the result texts in one response.
	maxReadBytes           = 900 << 10
	membershipPollInterval = 200 * time.Millisecond
	// spareLearners is how many hosts replicate without a vote, ready to replace
	// a voter.
	spareLearners = 1
)

// Config describes one storage host.
type Config struct {
	Name         string
	Addr         string // wire address of this host, ip:port
	MayBootstrap bool   // whether this host may be an initial member of the group
	VoterCount   int    // intended number of voting storage hosts
	DataDir      string
	JobRetention time.Duration // how long finished jobs are kept; zero: forever
	Follower     *follow.Follower
	HeaderNames  targetcall.HeaderNames
	// PromptParts returns the ids of the parts of an item's prompt that other
	// requests may share; nil: items name no parts.
	PromptParts func([]jobs.Header) []string
	// ItemTokens returns the tokens that a target may hold for an item, 0 if its
	// headers name none; nil: the item's own token count is taken.
	ItemTokens func([]jobs.Header) int64
	// MemoryBytes is the memory of the process, by which it bounds what jobs hold; 0:
	// unknown.
	MemoryBytes int64
	FS          durable.FS // of the replicated state; nil: the operating system's
	ServerTLS   *tls.Config
	ClientTLS   *tls.Config
	Log         *telemetry.Log
	Metrics     metrics.Registry
}

// Server is one storage host.
type Server struct {
	cfg      Config
	log      *telemetry.Log
	wire     *wire.Server
	state    *jobsState
	group    atomic.Pointer[replicated.Group[jobs.ApplyResult]]
	runner   *runner
	archiver *archiver
	broker   *broker
	reporter *crashreport.Reporter
	origins  *streamOrigins
	load     *loadLog
	room     *jobRoom
}

// New returns a storage host. Run opens its replica and starts it.
func New(cfg Config) *Server {
	return &Server{
		cfg:   cfg,
		log:   cfg.Log,
		wire:  wire.NewServer(cfg.Log, cfg.ServerTLS),
		state: newJobsState(),
		room:  newJobRoom(cfg.MemoryBytes, cfg.Metrics),
	}
}

// SetFollower sets the source of the host's view of the site. It must be called
// before Run.
func (s *Server) SetFollower(f *follow.Follower) { s.cfg.Follower = f }

// BrokerID returns the id of the slot broker on this host, or 0 when the host does
// not lead. The id is different in each term.
func (s *Server) BrokerID() uint64 {
	if s.group.Load() == nil {
		return 0
	}
	return s.broker.id.Load()
}

// StorageState returns the replication state that this host publishes to the other
// members of the site.
func (s *Server) StorageState() *rpc.StorageState {
	id, err := replicated.ID(s.cfg.Addr)
	if err != nil {
		return nil
	}
	state := &rpc.StorageState{ID: id, MayBootstrap: s.cfg.MayBootstrap}
	group := s.group.Load()
	if group == nil {
		return state
	}
	status := group.Replica().Status()
	state.Leads = status.IsLeader
	state.Term = status.Term
	state.Voters = append(replicated.IDs(status.Voters), replicated.IDs(status.Outgoing)...)
	state.Learners = replicated.IDs(status.Learners)
	return state
}

// Run opens the replica and serves on l until ctx ends or a task fails. A host whose
// replica has failed must not serve on without it.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	group, err := s.openReplica(ctx)
	if err != nil || group == nil {
		l.Close()
		return err
	}
	if s.archiver, err = newArchiver(s); err != nil {
		l.Close()
		return err
	}
	s.reporter = crashreport.New(s.cfg.Follower, s.log, metrics.GetOrRegisterCounter("jobhost.crash_reports.dropped", s.cfg.Metrics))
	s.load = newLoadLog(s)
	s.runner = newRunner(s, group)
	s.broker = newBroker(s, s.runner)
	s.origins = newStreamOrigins(s, metrics.GetOrRegisterCounter("broker.streams.dropped", s.cfg.Metrics))
	group.Register(s.wire)
	wire.HandleUnary(s.wire, rpc.MethodJobSubmit, s.submit)
	wire.HandleUnary(s.wire, rpc.MethodJobRead, s.readResults)
	wire.HandleUnary(s.wire, rpc.MethodJobBody, s.readBody)
	wire.HandleUnary(s.wire, rpc.MethodJobEnd, s.end)
	wire.HandleUnary(s.wire, rpc.MethodJobPreempt, s.preempt)
	wire.HandleUnary(s.wire, rpc.MethodJobTexts, s.archiver.serveTexts)
	wire.HandleUnary(s.wire, rpc.MethodJobsStatus, s.status)
	wire.HandleUnary(s.wire, rpc.MethodSlotAcquire, s.broker.acquire)
	wire.HandleUnary(s.wire, rpc.MethodSlotRelease, s.broker.release)
	s.wire.Handle(rpc.MethodSlots, s.broker.serveSlots)
	wire.HandleUnary(s.wire, rpc.MethodTokenAcquire, newTokenBroker(s).acquire)
	wire.HandleUnary(s.wire, rpc.MethodStreamFind, s.origins.find)
	wire.HandleUnary(s.wire, rpc.MethodStreamBegun, s.origins.report)
	s.group.Store(group)
	s.cfg.Follower.ReportNow()
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	p.Go(func(ctx context.Context) error { return group.Serve(ctx, s.wire, l) })
	p.Go(s.runner.run)
	p.Go(func(ctx context.Context) error { return s.watchMembership(ctx, group) })
	for _, task := range []func(context.Context){s.archiver.run, s.reporter.Run, s.origins.run, s.load.run} {
		p.Go(func(ctx context.Context) error {
			task(ctx)
			return nil
		})
	}
	return p.Wait()
}
