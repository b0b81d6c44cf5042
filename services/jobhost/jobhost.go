// Package jobhost runs a storage host of a site: it replicates the jobs,
// answers the gateways' calls on them and, on the leader, runs their items at
// the targets.
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
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/follow"
	"banyanwalk/services/replicated"
	"banyanwalk/services/targetcall"
)

// jobGroup is the number of the replicated group of the storage hosts.
const jobGroup uint32 = 1

const (
	snapshotEvery = 2000 // entries
	// snapshotBytes of entries are kept in memory at most twice, beside the
	// state; entries hold bodies and texts.
	snapshotBytes = 8 << 20
	// confirmTimeout bounds a quorum's confirmation of a read.
	confirmTimeout = 600 * time.Millisecond
	// maxReadBytes bounds the texts of one answer to a read.
	maxReadBytes = 900 << 10
	reviewEvery  = 200 * time.Millisecond
	// spareLearners follow the group without a vote, ready to take one.
	spareLearners = 1
)

// Config describes one storage host.
type Config struct {
	Name        string
	Addr        string // wire address of this host, ip:port
	Founder     bool   // this host may take part in founding the group
	Voters      int    // storage hosts that are to have a vote
	DataDir     string
	KeepFor     time.Duration // how long a finished job is kept
	Follower    *follow.Follower
	HeaderNames targetcall.HeaderNames
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
	group    atomic.Pointer[replicated.Group[jobs.Answer]]
	runner   *runner
	archiver *archiver
	broker   *broker
}

// New returns a storage host that Run opens.
func New(cfg Config) *Server {
	return &Server{
		cfg:   cfg,
		log:   cfg.Log,
		wire:  wire.NewServer(cfg.Log, cfg.ServerTLS),
		state: newJobsState(),
	}
}

// SetFollower gives the host its view of the site, before Run.
func (s *Server) SetFollower(f *follow.Follower) { s.cfg.Follower = f }

// Broker returns the number of the broker on this host, or 0 when it does not
// lead.
func (s *Server) Broker() uint64 {
	if s.group.Load() == nil {
		return 0
	}
	return s.broker.number.Load()
}

// Storage returns the state of this host for the others.
func (s *Server) Storage() *rpc.StorageState {
	id, err := replicated.ID(s.cfg.Addr)
	if err != nil {
		return nil
	}
	state := &rpc.StorageState{ID: id, Founder: s.cfg.Founder}
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

// Run serves on l until ctx ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	group, err := s.open(ctx)
	if err != nil || group == nil {
		l.Close()
		return err
	}
	if s.archiver, err = newArchiver(s); err != nil {
		l.Close()
		return err
	}
	s.runner = newRunner(s, group)
	s.broker = newBroker(s, s.runner)
	group.Register(s.wire)
	wire.HandleUnary(s.wire, rpc.MethodJobSubmit, s.submit)
	wire.HandleUnary(s.wire, rpc.MethodJobRead, s.readResults)
	wire.HandleUnary(s.wire, rpc.MethodJobBody, s.readBody)
	wire.HandleUnary(s.wire, rpc.MethodJobEnd, s.end)
	wire.HandleUnary(s.wire, rpc.MethodJobYield, s.yield)
	wire.HandleUnary(s.wire, rpc.MethodJobTexts, s.archiver.serveTexts)
	wire.HandleUnary(s.wire, rpc.MethodJobsStatus, s.status)
	wire.HandleUnary(s.wire, rpc.MethodSlotAcquire, s.broker.acquire)
	wire.HandleUnary(s.wire, rpc.MethodSlotRelease, s.broker.release)
	s.group.Store(group)
	s.cfg.Follower.Nudge()
	p := pool.New().WithErrors().WithFirstError()
	p.Go(func() error { return group.Serve(ctx, s.wire, l) })
	p.Go(func() error { return s.runner.run(ctx) })
	p.Go(func() error { return s.review(ctx, group) })
	p.Go(func() error {
		s.archiver.run(ctx)
		return nil
	})
	return p.Wait()
}
