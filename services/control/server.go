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

// Server is one control host. Groups, handlers and hooks are added before Run.
type Server struct {
	cfg       Config
	log       *telemetry.Log
	wire      *wire.Server
	pool      *wire.Pool // calls to peers and agents
	transport *rafttransport.Transport
	state     *configState
	groups    map[uint32]*replica.Replica
	leaders   map[uint32]*atomic.Pointer[leadership]
	forwarded map[wire.Method]forwardedHandler
	hooks     map[uint32][]LeadershipHook
	members   *membership
	tasks     []func(ctx context.Context) error
	operators operatorCalls
	batch     BatchReporter
	calls     *drainer

	subscribers metrics.Counter
	pushes      metrics.Meter
	forwards    metrics.Meter
}

// New opens the configuration group of a host.
func New(cfg Config) (*Server, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &Server{
		cfg:         cfg,
		log:         cfg.Log,
		wire:        wire.NewServer(cfg.Log, cfg.ServerTLS),
		pool:        wire.NewPool(cfg.ClientTLS),
		groups:      make(map[uint32]*replica.Replica),
		leaders:     make(map[uint32]*atomic.Pointer[leadership]),
		forwarded:   make(map[wire.Method]forwardedHandler),
		calls:       newDrainer(),
		hooks:       make(map[uint32][]LeadershipHook),
		subscribers: metrics.GetOrRegisterCounter("control.subscribers", cfg.Metrics),
		pushes:      metrics.GetOrRegisterMeter("control.pushes", cfg.Metrics),
		forwards:    metrics.GetOrRegisterMeter("control.forwards", cfg.Metrics),
	}
	s.transport = rafttransport.New(cfg.ID, s.cfg.peerAddress, cfg.ClientTLS,
		metrics.GetOrRegisterMeter("control.raft.dropped", cfg.Metrics))
	s.state = newConfigState(cfg.Log)
	s.members = newMembership(s)
	if err := s.AddGroup(ConfigGroup, s.state, nil); err != nil {
		return nil, err
	}
	s.AddLeadershipHook(ConfigGroup, s.members)
	s.registerHandlers()
	return s, nil
}

func (s *Server) registerHandlers() {
	s.wire.Handle(rpc.MethodRaft, s.receiveRaft)
	s.wire.Handle(rpc.MethodSubscribe, s.subscribe)
	wire.HandleUnary(s.wire, rpc.MethodForward, s.serveForwarded)
	HandleForwarded(s, rpc.MethodAgentHeartbeat, s.members.heartbeat)
	HandleForwarded(s, rpc.MethodReportCrash, s.reportCrash)
	s.operators = operatorCalls{
		roll:   HandleForwarded(s, rpc.MethodRoll, s.rollBundle),
		mark:   HandleForwarded(s, rpc.MethodMark, s.setMark),
		order:  HandleForwarded(s, rpc.MethodFenced, s.fencedOrder),
		leases: HandleForwarded(s, rpc.MethodLeases, s.members.leases),
	}
}

// AddGroup opens a further group on this host, with its own log and folder.
// complete reports whether the host holds all data that the group's entries
// name outside the log; nil means that there is none.
func (s *Server) AddGroup(group uint32, machine replica.StateMachine, complete func() bool) error {
	if _, found := s.groups[group]; found {
		return errors.Newf("group %d is open already", group)
	}
	r, err := replica.Open(replica.Config{
		Group:             group,
		ID:                s.cfg.ID,
		Peers:             s.cfg.peerIDs(),
		Dir:               s.cfg.groupDir(group),
		HeartbeatInterval: s.cfg.HeartbeatInterval,
		ElectionTimeout:   s.cfg.ElectionTimeout,
		SnapshotEvery:     s.cfg.SnapshotEvery,
		Logger:            replicaLog{s.log},
		Complete:          complete,
	}, machine, s.transport)
	if err != nil {
		return errors.Wrapf(err, "open group %d", group)
	}
	s.groups[group] = r
	s.leaders[group] = newLeadership()
	return nil
}

// AddTask adds a loop that Run runs until its context ends.
func (s *Server) AddTask(run func(ctx context.Context) error) { s.tasks = append(s.tasks, run) }

// Group returns the replica of a group on this host.
func (s *Server) Group(group uint32) (*replica.Replica, error) {
	r, found := s.groups[group]
	if !found {
		return nil, outcome.New(outcome.UnknownName, outcome.NotRun, "no group %d here", group)
	}
	return r, nil
}

// Leads reports whether this host is the leader of a group and no other can
// have been elected by now.
func (s *Server) Leads(group uint32) bool {
	r, found := s.groups[group]
	return found && r.LeaseValid(time.Now())
}

// Wire returns the server of calls between processes, to add handlers that are
// not forwarded.
func (s *Server) Wire() *wire.Server { return s.wire }

// Pool returns the connections to peers and agents.
func (s *Server) Pool() *wire.Pool { return s.pool }

// Config returns the settings of the host.
func (s *Server) Config() *Config { return &s.cfg }

// Run serves on l and drives all groups until ctx ends. It then refuses new
// calls, waits for the answers of running ones, lets the replicas hand their
// leadership on, and ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	defer s.pool.Close()
	carrying, endCarrying := context.WithCancel(context.WithoutCancel(ctx))
	defer endCarrying()
	p := pool.New().WithContext(carrying).WithCancelOnError().WithFirstError()
	p.Go(s.transport.Run)
	p.Go(func(ctx context.Context) error { return s.wire.Serve(ctx, l) })
	p.Go(func(carrying context.Context) error {
		defer endCarrying()
		driving, endDriving := context.WithCancel(carrying)
		defer endDriving()
		stop := context.AfterFunc(ctx, func() {
			s.calls.drain(driving)
			endDriving()
		})
		defer stop()
		err := s.drive(driving)
		time.Sleep(answerGrace)
		s.log.Info("control_stopped", "replica", s.cfg.ID)
		return err
	})
	return p.Wait()
}

// drive runs the groups and what depends on them.
func (s *Server) drive(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for group, r := range s.groups {
		p.Go(func(ctx context.Context) error { return errors.Wrapf(r.Run(ctx), "group %d", group) })
		p.Go(func(ctx context.Context) error { return s.watchLeadership(ctx, group, r) })
	}
	p.Go(s.members.run)
	for _, task := range s.tasks {
		p.Go(task)
	}
	return p.Wait()
}

// receiveRaft takes the messages of one peer until its stream ends.
func (s *Server) receiveRaft(_ context.Context, stream *wire.Stream) error {
	for {
		batch, err := rafttransport.Receive(stream)
		if err != nil {
			return err
		}
		r, err := s.Group(batch.Group)
		if err != nil {
			continue // a peer with more groups than this host
		}
		for i := range batch.Messages {
			r.Step(batch.Messages[i])
		}
	}
}

// replicaLog adapts the log to package replica.
type replicaLog struct{ log *telemetry.Log }

func (l replicaLog) Event(name string, keyValues ...any) { l.log.Info(name, keyValues...) }
