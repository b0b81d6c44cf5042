// Package replicated runs one host's replica of a Raft group. A replica's id
// encodes the wire address of its host, so that hosts reach each other by id and
// keep no list of peer addresses.
package replicated

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"math"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/outcome"
	"banyanwalk/core/raft"
	"banyanwalk/infra/codec"
	"banyanwalk/infra/durable"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rafttransport"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wal"
	"banyanwalk/infra/wire"
	"banyanwalk/services/control/replica"
)

// Timing of a group. The heartbeat interval and the election timeout are longer
// than those of package control, to save CPU wake-ups on the hosts of a site.
const (
	heartbeatInterval   = 150 * time.Millisecond
	electionTimeout     = 700 * time.Millisecond
	replaceAfter        = 5 * time.Second
	leaderRetryInterval = 20 * time.Millisecond // wait before the leader is looked up again

	firstEntryPollInterval = 500 * time.Millisecond
)

// Config is the configuration of this host's replica.
type Config struct {
	Group         uint32
	Addr          string   // wire address of this host, ip:port
	Peers         []uint64 // replica ids to join through, or to create the group with
	Joining       bool     // join an existing group, never create one
	VoterCount    int      // number of voting replicas to keep
	Dir           string
	SnapshotEvery int  // log entries between snapshots
	SaveCommit    bool // saves the commit index whenever it advances; see raft.Config
	SnapshotBytes int  // size of the log entries between snapshots; 0: no bound
	// DataComplete reports whether this host holds all data that the state refers
	// to but does not contain. Until then the host does not become a voter.
	// Nil: there is no such data.
	DataComplete func() bool
	FS           durable.FS // nil: the operating system's
	ClientTLS    *tls.Config
	Log          *telemetry.Log
	Metrics      metrics.Registry
}

// Group is this host's replica of the group. R is the result type of the state
// machine.
type Group[R any] struct {
	cfg       Config
	id        uint64
	replica   *replica.Replica
	transport *rafttransport.Transport
	conns     *wire.Pool
}

// ID returns the replica id of the host at a wire address, which must be an IPv4
// address with a port: the IP in the upper bits, the port in the lower 16.
func ID(addr string) (uint64, error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, errors.Wrap(err, "wire address")
	}
	if !parsed.Addr().Is4() {
		return 0, errors.Newf("wire address %s is not IPv4", addr)
	}
	ip := parsed.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(parsed.Port()), nil
}

// Addr returns the wire address that a replica id encodes.
func Addr(id uint64) (addr string, found bool) {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(id>>16))
	port := uint16(id & math.MaxUint16)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), port).String(), id != 0
}

// IDs returns the ids of replicas, without their incarnations.
func IDs(replicas []raft.ReplicaID) []uint64 {
	all := make([]uint64, 0, len(replicas))
	for _, r := range replicas {
		all = append(all, r.ID)
	}
	return all
}

// firstStartFile is in a data directory from the first start of the whole site
// until the group exists. It is lost with the disk.
const (
	firstStartFile = "first-start"
	dirMode        = 0o700
)

// HasState reports whether a data directory holds a replica, whose log then
// names the other members of the group. It does not count one that has been there
// only since a first start at which no group came to exist.
func HasState(dir string) bool {
	return !inFirstStart(dir) && wal.Exists(dir)
}

func inFirstStart(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, firstStartFile))
	return err == nil
}

// BeginFirstStart reports whether a host may be an initial member of its group: at
// the first start of the whole site, and at later starts until EndFirstStart, as a
// host may lose power before the group exists and is told of its first start only once.
func BeginFirstStart(fs durable.FS, dir string, firstStart bool) (bool, error) {
	if !firstStart || HasState(dir) {
		return firstStart || inFirstStart(dir), nil
	}
	if err := durable.MkdirAll(fs, dir, dirMode); err != nil {
		return false, errors.Wrap(err, "create data directory")
	}
	return true, errors.Wrap(durable.WriteFile(fs, filepath.Join(dir, firstStartFile)), "record the first start")
}

// EndFirstStart is called when the group exists: with an empty log the host has then
// lost its disk.
func EndFirstStart(fs durable.FS, dir string) error {
	err := fs.Remove(filepath.Join(dir, firstStartFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "end the first start")
	}
	return errors.Wrap(fs.SyncDir(dir), "end the first start")
}

// Open recovers this host's replica from cfg.Dir or creates it.
func Open[R any](cfg Config, machine replica.StateMachine) (*Group[R], error) {
	id, err := ID(cfg.Addr)
	if err != nil {
		return nil, err
	}
	if cfg.FS == nil {
		cfg.FS = durable.OS{}
	}
	g := &Group[R]{
		cfg:       cfg,
		id:        id,
		transport: rafttransport.New(id, Addr, cfg.ClientTLS, metrics.GetOrRegisterMeter("raft.dropped", cfg.Metrics)),
		conns:     wire.NewPool(cfg.ClientTLS),
	}
	g.replica, err = replica.Open(replica.Config{
		Group:             cfg.Group,
		ID:                id,
		Peers:             withSelf(cfg.Peers, id),
		Dir:               cfg.Dir,
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		SnapshotEvery:     cfg.SnapshotEvery,
		SnapshotBytes:     cfg.SnapshotBytes,
		DataComplete:      cfg.DataComplete,
		FS:                cfg.FS,
		Logger:            replicaLogger{cfg.Log},
		VoterCount:        cfg.VoterCount,
		ReplaceAfter:      replaceAfter,
		Joining:           cfg.Joining,
		NoLease:           true, // reads are confirmed by a quorum
		SaveCommit:        cfg.SaveCommit,
	}, machine, g.transport)
	if err != nil {
		return nil, errors.Wrapf(err, "open group %d", cfg.Group)
	}
	cfg.Metrics.GetOrRegister("raft.saves.refused", metrics.NewFunctionalGauge(g.replica.SaveFailures))
	cfg.Metrics.GetOrRegister("raft.disk.failing", metrics.NewFunctionalGauge(g.diskFailing))
	return g, nil
}

// diskFailing returns 1 while the disk refuses writes.
func (g *Group[R]) diskFailing() int64 {
	if g.replica.Status().DiskFailing {
		return 1
	}
	return 0
}

func withSelf(peers []uint64, id uint64) []uint64 {
	all := []uint64{id}
	for _, p := range peers {
		if p != id {
			all = append(all, p)
		}
	}
	return all
}

// Register adds the RPC handlers of the group to the host's server.
func (g *Group[R]) Register(s *wire.Server) {
	s.Handle(rpc.MethodRaft, g.receiveRaft)
	wire.HandleUnary(s, rpc.MethodPropose, g.serveProposal)
}

// Serve runs the replica and the host's server on l until ctx ends or one of them
// fails. The server stops only after the replica has transferred its leadership, which
// needs the server.
func (g *Group[R]) Serve(ctx context.Context, server *wire.Server, l net.Listener) error {
	serverCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctx, stopReplica := context.WithCancel(ctx)
	defer stopReplica()
	p := pool.New().WithErrors().WithFirstError()
	p.Go(func() error {
		defer stopReplica()
		return server.Serve(serverCtx, l)
	})
	p.Go(func() error {
		defer stop()
		return g.run(ctx)
	})
	p.Go(func() error {
		g.endFirstStart(ctx)
		return nil
	})
	return p.Wait()
}

// endFirstStart waits until the group has committed its first entry, from when on this
// host must not help to create it again.
func (g *Group[R]) endFirstStart(ctx context.Context) {
	for g.replica.Status().Commit == 0 {
		if !pause.For(ctx, firstEntryPollInterval) {
			return
		}
	}
	if err := EndFirstStart(g.cfg.FS, g.cfg.Dir); err != nil {
		g.cfg.Log.Warn("first_start_not_ended", "error", err)
	}
}

// run runs the replica until ctx ends or the transport fails. The transport stops only after the
// replica, which still sends messages while it transfers its leadership.
func (g *Group[R]) run(ctx context.Context) error {
	defer g.conns.Close()
	transportCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctx, stopReplica := context.WithCancel(ctx)
	defer stopReplica()
	p := pool.New().WithErrors().WithFirstError()
	p.Go(func() error {
		defer stopReplica()
		return g.transport.Run(transportCtx)
	})
	p.Go(func() error {
		defer stop()
		return errors.Wrapf(g.replica.Run(ctx), "group %d", g.cfg.Group)
	})
	return p.Wait()
}

// Replica returns the underlying replica.
func (g *Group[R]) Replica() *replica.Replica { return g.replica }

// ID returns the replica id of this host.
func (g *Group[R]) ID() uint64 { return g.id }

// ReadBarrier is a linearizable read barrier: it returns once a quorum has confirmed
// the commit index and this host has applied every command that was
// acknowledged before the call.
func (g *Group[R]) ReadBarrier(ctx context.Context) error {
	_, err := g.replica.ReadIndex(ctx)
	return err
}

// Execute proposes a command, here or by forwarding it to the leader, and
// returns its result. It retries until ctx ends while the command is certain not
// to have run, such as when no leader is known. An error with outcome NotRun
// means that the command never will run.
func (g *Group[R]) Execute(ctx context.Context, command any) (*R, error) {
	encoded, err := msgpack.Marshal(command)
	if err != nil {
		return nil, outcome.New(outcome.Internal, outcome.NotRun, "encode command: %v", err)
	}
	for {
		result, err := g.executeOnce(ctx, encoded)
		if err == nil || outcome.From(err).Outcome != outcome.NotRun {
			return result, err
		}
		if !pause.For(ctx, leaderRetryInterval) {
			return nil, err
		}
	}
}

func (g *Group[R]) executeOnce(ctx context.Context, command []byte) (*R, error) {
	status := g.replica.Status()
	if status.IsLeader {
		return g.propose(ctx, command)
	}
	addr, found := Addr(status.Leader)
	if !found {
		return nil, outcome.New(outcome.NotLeader, outcome.NotRun, "no leader of group %d is known", g.cfg.Group)
	}
	var response rpc.ProposalResponse
	if err := g.conns.Call(ctx, addr, rpc.MethodPropose, &rpc.Proposal{Group: g.cfg.Group, Command: command}, &response); err != nil {
		return nil, err
	}
	result := new(R)
	if err := codec.Unmarshal(response.Result, result); err != nil {
		return nil, outcome.New(outcome.BadFrame, outcome.MayHaveRun, "result of a command: %v", err)
	}
	return result, nil
}

func (g *Group[R]) propose(ctx context.Context, command []byte) (*R, error) {
	response, err := g.replica.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	result, ok := response.(R)
	if !ok {
		return nil, outcome.New(outcome.Internal, outcome.MayHaveRun, "unexpected result %T", response)
	}
	return &result, nil
}

// serveProposal proposes a command forwarded by another host, if this host is
// the leader.
func (g *Group[R]) serveProposal(ctx context.Context, p *rpc.Proposal) (*rpc.ProposalResponse, error) {
	if p.Group != g.cfg.Group || !g.replica.Status().IsLeader {
		return nil, outcome.New(outcome.NotLeader, outcome.NotRun, "this host does not lead group %d", p.Group)
	}
	result, err := g.propose(ctx, p.Command)
	if err != nil {
		return nil, err
	}
	encoded, err := msgpack.Marshal(result)
	if err != nil {
		return nil, outcome.New(outcome.Internal, outcome.MayHaveRun, "encode result: %v", err)
	}
	return &rpc.ProposalResponse{Result: encoded}, nil
}

// receiveRaft passes the Raft messages of one peer to the replica until the
// stream ends.
func (g *Group[R]) receiveRaft(_ context.Context, stream *wire.Stream) error {
	for {
		batch, err := rafttransport.Receive(stream)
		if err != nil {
			return err
		}
		if batch.Group != g.cfg.Group {
			continue
		}
		for i := range batch.Messages {
			g.replica.Step(batch.Messages[i])
		}
	}
}

// replicaLogger adapts telemetry.Log to the logger of package replica.
type replicaLogger struct{ log *telemetry.Log }

func (l replicaLogger) Event(name string, keyValues ...any) { l.log.Info(name, keyValues...) }
