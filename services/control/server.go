package control

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rafttransport"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/control/replica"
)

// Server is one control host. Groups, handlers, hooks and tasks must be added
// before Run.
type Server struct {
	cfg             Config
	log             *telemetry.Log
	wire            *wire.Server
	pool            *wire.Pool // calls to peers and agents
	transport       *rafttransport.Transport
	configState     *configState
	groups          map[uint32]*replica.Replica
	knownLeaders    map[uint32]*atomic.Pointer[knownLeader]
	forwardHandlers map[wire.Method]forwardHandler
	hooks           map[uint32][]LeadershipHook
	membership      *membership
	backgroundTasks []func(ctx context.Context) error
	operatorCalls   operatorCalls
	batchReporter   BatchReporter
	calls           *callTracker

	subscribers metrics.Counter
	pushes      metrics.Meter
	forwards    metrics.Meter
}

// New creates a control host and opens its configuration group.
func New(cfg Config) (*Server, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		cfg:             cfg,
		log:             cfg.Log,
		wire:            wire.NewServer(cfg.Log, cfg.ServerTLS),
		pool:            wire.NewPool(cfg.ClientTLS),
		groups:          make(map[uint32]*replica.Replica),
		knownLeaders:    make(map[uint32]*atomic.Pointer[knownLeader]),
		forwardHandlers: make(map[wire.Method]forwardHandler),
		calls:           newCallTracker(),
		hooks:           make(map[uint32][]LeadershipHook),
		subscribers:     metrics.GetOrRegisterCounter("control.subscribers", cfg.Metrics),
		pushes:          metrics.GetOrRegisterMeter("control.pushes", cfg.Metrics),
		forwards:        metrics.GetOrRegisterMeter("control.forwards", cfg.Metrics),
	}
	s.transport = rafttransport.New(cfg.ID, s.cfg.peerAddress, cfg.ClientTLS,
		metrics.GetOrRegisterMeter("control.raft.dropped", cfg.Metrics))
	s.configState = newConfigState(cfg.Log)
	s.membership = newMembership(s)
	if err := s.AddGroup(ConfigGroup, s.configState, nil); err != nil {
		return nil, err
	}
	s.AddLeadershipHook(ConfigGroup, s.membership)
	s.registerHandlers()
	return s, nil
}

func (s *Server) registerHandlers() {
	s.wire.Handle(rpc.MethodRaft, s.receiveRaft)
	s.wire.Handle(rpc.MethodSubscribe, s.subscribe)
	wire.HandleUnary(s.wire, rpc.MethodForward, s.serveForwarded)
	HandleForwarded(s, rpc.MethodAgentHeartbeat, s.membership.heartbeat)
	HandleForwarded(s, rpc.MethodReportCrash, s.reportCrash)
	s.operatorCalls = operatorCalls{
		roll:   HandleForwarded(s, rpc.MethodRoll, s.rollBundle),
		mark:   HandleForwarded(s, rpc.MethodMark, s.setMark),
		order:  HandleForwarded(s, rpc.MethodFenced, s.fencedOrder),
		leases: HandleForwarded(s, rpc.MethodLeases, s.membership.listLeases),
	}
}

// AddGroup opens a further group on this host, with its own log and directory.
// dataComplete reports whether the host holds all data that the group's entries
// refer to but that is stored outside the log; nil means that there is none.
func (s *Server) AddGroup(group uint32, machine replica.StateMachine, dataComplete func() bool) error {
	if _, found := s.groups[group]; found {
		return errors.Newf("group %d is already open", group)
	}
	r, err := replica.Open(replica.Config{
		Group:             group,
		ID:                s.cfg.ID,
		Peers:             s.cfg.peerIDs(),
		Dir:               s.cfg.groupDir(group),
		HeartbeatInterval: s.cfg.HeartbeatInterval,
		ElectionTimeout:   s.cfg.ElectionTimeout,
		SnapshotEvery:     s.cfg.SnapshotEvery,
		Logger:            replicaLogger{s.log},
		DataComplete:      dataComplete,
	}, machine, s.transport)
	if err != nil {
		return errors.Wrapf(err, "open group %d", group)
	}
	s.groups[group] = r
	s.knownLeaders[group] = newKnownLeader()
	return nil
}

// AddTask adds a function that Run runs in the background. It must return when
// its context ends.
func (s *Server) AddTask(run func(ctx context.Context) error) {
	s.backgroundTasks = append(s.backgroundTasks, run)
}

// Group returns the replica of a group on this host.
func (s *Server) Group(group uint32) (*replica.Replica, error) {
	r, found := s.groups[group]
	if !found {
		return nil, outcome.New(outcome.UnknownName, outcome.NotRun, "no group %d here", group)
	}
	return r, nil
}

// Leads reports whether this host is the leader of a group and its lease is
// valid, so that no other leader can have been elected yet.
func (s *Server) Leads(group uint32) bool {
	r, found := s.groups[group]
	return found && r.LeaseValid(time.Now())
}

// Wire returns the RPC server, for adding handlers that are not forwarded.
func (s *Server) Wire() *wire.Server { return s.wire }

// Pool returns the connection pool for peers and agents.
func (s *Server) Pool() *wire.Pool { return s.pool }

// Config returns the settings of the host.
func (s *Server) Config() *Config { return &s.cfg }

// Run serves on l and runs all groups until ctx ends. It then rejects new
// calls, waits for those in flight, lets the replicas transfer their
// leadership, and returns. The network keeps running until all of that is done.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	defer s.pool.Close()
	networkCtx, stopNetwork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopNetwork()
	p := pool.New().WithContext(networkCtx).WithCancelOnError().WithFirstError()
	p.Go(s.transport.Run)
	p.Go(func(ctx context.Context) error { return s.wire.Serve(ctx, l) })
	p.Go(func(poolCtx context.Context) error {
		defer stopNetwork()
		groupsCtx, stopGroups := context.WithCancel(poolCtx)
		defer stopGroups()
		stopAfterFunc := context.AfterFunc(ctx, func() {
			s.calls.drain(groupsCtx)
			stopGroups()
		})
		defer stopAfterFunc()
		err := s.runGroups(groupsCtx)
		time.Sleep(responseFlushDelay)
		s.log.Info("control_stopped", "replica", s.cfg.ID)
		return err
	})
	return p.Wait()
}

// runGroups runs the groups, the membership and the background tasks.
func (s *Server) runGroups(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for group, r := range s.groups {
		p.Go(func(ctx context.Context) error { return errors.Wrapf(r.Run(ctx), "group %d", group) })
		p.Go(func(ctx context.Context) error { return s.watchLeadership(ctx, group, r) })
	}
	p.Go(s.membership.run)
	for _, task := range s.backgroundTasks {
		p.Go(task)
	}
	return p.Wait()
}

// receiveRaft passes the Raft messages of one peer to the replicas until the
// stream ends.
func (s *Server) receiveRaft(_ context.Context, stream *wire.Stream) error {
	for {
		batch, err := rafttransport.Receive(stream)
		if err != nil {
			return err
		}
		r, err := s.Group(batch.Group)
		if err != nil {
			continue // the peer has groups that this host does not have
		}
		for i := range batch.Messages {
			r.Step(batch.Messages[i])
		}
	}
}

// replicaLogger implements replica.Logger.
type replicaLogger struct{ log *telemetry.Log }

func (l replicaLogger) Event(name string, keyValues ...any) { l.log.Info(name, keyValues...) }
