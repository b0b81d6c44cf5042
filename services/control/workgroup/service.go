package workgroup

import (
	"context"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/control"
	"banyanwalk/services/control/payload"
)

// DefaultGroups is the default number of work groups. The number must be the same on all
// control hosts and must not change once they hold data, because it determines the group
// of each workspace.
const DefaultGroups = 1

const payloadDir = "payload"

// Config configures the work groups of a control host.
type Config struct {
	Groups       uint32 // zero: DefaultGroups
	SegmentBytes int64  // size of a payload segment; zero: payload.DefaultSegmentBytes
}

// Service runs the work groups of one control host.
type Service struct {
	server            *control.Server
	log               *telemetry.Log
	groups            []*group // the group with id n is at index n-1
	store             *payload.Store
	payloads          *payload.Replicator
	repairer          *payload.Repairer
	forwardFileCommit control.Call[rpc.FileCommit, fileCommitResponse]
	forwardPull       control.Call[rpc.ItemsPull, rpc.ItemsPullResponse]
	forwardWait       control.Call[rpc.GroupWait, rpc.GroupWaitResponse]

	leased    metrics.Meter
	committed metrics.Meter
	refused   metrics.Meter
}

// New opens the work groups of a host and registers their call handlers and background
// tasks with server. It must be called before server runs.
func New(server *control.Server, cfg Config) (*Service, error) {
	if cfg.Groups == 0 {
		cfg.Groups = DefaultGroups
	}
	hostConfig := server.Config()
	store, err := payload.Open(filepath.Join(hostConfig.DataDir, payloadDir), cfg.SegmentBytes, time.Now(), nil)
	if err != nil {
		return nil, err
	}
	s := &Service{
		server:    server,
		log:       hostConfig.Log,
		store:     store,
		payloads:  payload.NewReplicator(store, peerAddrs(hostConfig), server.Pool()),
		leased:    metrics.GetOrRegisterMeter("work.items.leased", hostConfig.Metrics),
		committed: metrics.GetOrRegisterMeter("work.items.committed", hostConfig.Metrics),
		refused:   metrics.GetOrRegisterMeter("work.results.refused", hostConfig.Metrics),
	}
	s.repairer = payload.NewRepairer(s.payloads, hostConfig.Log)
	for id := uint32(1); id <= cfg.Groups; id++ {
		if err := s.addGroup(id); err != nil {
			return nil, err
		}
	}
	s.payloads.Register(server.Wire())
	s.register(server)
	server.SetBatchReporter(s)
	server.AddTask(s.run)
	return s, nil
}

func peerAddrs(host *control.Config) []string {
	var addrs []string
	for id, addr := range host.Peers {
		if id != host.ID {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func (s *Service) addGroup(id uint32) error {
	g := newGroup(id, s.repairer.Require)
	repaired := func() bool { return s.repairer.Missing() == 0 }
	if err := s.server.AddGroup(id, g, repaired); err != nil {
		return err
	}
	r, err := s.server.Group(id)
	if err != nil {
		return err
	}
	g.replica = r
	s.groups = append(s.groups, g)
	return nil
}

// register adds the call handlers. Calls registered with HandleForwardedTo run on the
// leader of their group.
func (s *Service) register(server *control.Server) {
	w := server.Wire()
	w.Handle(rpc.MethodFilePut, s.putFile)
	w.Handle(rpc.MethodFileGet, s.getFile)
	wire.HandleUnary(w, rpc.MethodFileInfo, s.fileInfo)
	wire.HandleUnary(w, rpc.MethodFileList, s.listFiles)
	wire.HandleUnary(w, rpc.MethodJobGet, s.getJob)
	wire.HandleUnary(w, rpc.MethodJobList, s.listJobs)
	wire.HandleUnary(w, rpc.MethodItemsPull, s.pullItems)
	s.forwardFileCommit = control.HandleForwardedTo(server, rpc.MethodGroupCommit, s.groupOfFileCommit, s.commitFileOnLeader)
	s.forwardPull = control.HandleForwardedTo(server, rpc.MethodGroupPull, s.groupOfPull, s.pullOnLeader)
	s.forwardWait = control.HandleForwardedTo(server, rpc.MethodGroupWait, s.groupOfWait, s.waitOnLeader)
	control.HandleForwardedTo(server, rpc.MethodFileDelete, s.groupOfFileRef, s.deleteFileOnLeader)
	control.HandleForwardedTo(server, rpc.MethodJobCreate, s.groupOfJobCreate, s.createJobOnLeader)
	control.HandleForwardedTo(server, rpc.MethodJobCancel, s.groupOfJobRef, s.cancelJobOnLeader)
	control.HandleForwardedTo(server, rpc.MethodItemsCommit, s.groupOfItemsCommit, s.commitResultsOnLeader)
	control.HandleForwardedTo(server, rpc.MethodItemsRenew, s.groupOfRenew, s.renewLeasesOnLeader)
	control.HandleForwardedTo(server, rpc.MethodIdempotentBegin, s.groupOfBegin, s.beginIdempotentOnLeader)
	control.HandleForwardedTo(server, rpc.MethodIdempotentEnd, s.groupOfEnd, s.endIdempotentOnLeader)
}

// run runs the background tasks of all groups until ctx ends.
func (s *Service) run(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, g := range s.groups {
		p.Go(func(ctx context.Context) error { return s.runLeaderTasks(ctx, g) })
		p.Go(func(ctx context.Context) error { return s.finishJobs(ctx, g) })
	}
	p.Go(s.repairer.Run)
	p.Go(s.runReclaim)
	err := p.Wait()
	s.payloads.Close()
	if closeErr := s.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

// groupOf returns the group of a workspace.
func (s *Service) groupOf(workspace string) *group {
	return s.groups[xxhash.Sum64String(workspace)%uint64(len(s.groups))]
}

func (s *Service) group(id uint32) (*group, error) {
	if id == 0 || int(id) > len(s.groups) {
		return nil, outcome.New(outcome.UnknownName, outcome.NotRun, "no work group %d", id)
	}
	return s.groups[id-1], nil
}

// BatchStatus returns the number of open jobs and of waiting and running items of each
// group, for the status of the admin API.
func (s *Service) BatchStatus(context.Context) ([]control.BatchStatus, error) {
	var all []control.BatchStatus
	for _, g := range s.groups {
		g.mu.RLock()
		load := g.batch.Load()
		g.mu.RUnlock()
		all = append(all, control.BatchStatus{Group: g.id, Jobs: load.Jobs, Waiting: load.Queued, Running: load.Leased})
	}
	return all, nil
}

// MissingPayloads returns the number of payload records that this host still has to fetch
// from its peers. The host is not made a voter of the work groups while any are missing.
func (s *Service) MissingPayloads() int { return s.repairer.Missing() }
