package work

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

// DefaultGroups is the number of work groups. It must be the same on all
// control hosts and must not change while they hold data.
const DefaultGroups = 1

const payloadFolder = "payload"

// Config describes the work of a control host.
type Config struct {
	Groups       uint32 // zero: DefaultGroups
	SegmentBytes int64  // of payload files; zero: payload.DefaultSegmentBytes
}

// Service is the work groups of one control host.
type Service struct {
	server     *control.Server
	log        *telemetry.Log
	groups     []*group // group n at n-1
	store      *payload.Store
	payloads   *payload.Replicator
	repairer   *payload.Repairer
	commitFile control.Call[rpc.FileCommit, fileAnswer]
	pullGroup  control.Call[rpc.ItemsPull, rpc.ItemsPulled]
	waitGroup  control.Call[rpc.GroupWait, rpc.GroupWaited]

	leased    metrics.Meter
	committed metrics.Meter
	refused   metrics.Meter
}

// New opens the work groups of a host and adds them, their calls and their
// loops to server. It must be called before server runs.
func New(server *control.Server, cfg Config) (*Service, error) {
	if cfg.Groups == 0 {
		cfg.Groups = DefaultGroups
	}
	host := server.Config()
	store, err := payload.Open(filepath.Join(host.DataDir, payloadFolder), cfg.SegmentBytes, time.Now())
	if err != nil {
		return nil, err
	}
	s := &Service{
		server:    server,
		log:       host.Log,
		store:     store,
		payloads:  payload.NewReplicator(store, otherHosts(host), server.Pool()),
		leased:    metrics.GetOrRegisterMeter("work.items.leased", host.Metrics),
		committed: metrics.GetOrRegisterMeter("work.items.committed", host.Metrics),
		refused:   metrics.GetOrRegisterMeter("work.results.refused", host.Metrics),
	}
	s.repairer = payload.NewRepairer(s.payloads, host.Log)
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

func otherHosts(host *control.Config) []string {
	var addrs []string
	for id, addr := range host.Peers {
		if id != host.ID {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func (s *Service) addGroup(id uint32) error {
	g := newGroup(id, s.repairer.Want)
	complete := func() bool { return s.repairer.Missing() == 0 }
	if err := s.server.AddGroup(id, g, complete); err != nil {
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

func (s *Service) register(server *control.Server) {
	w := server.Wire()
	w.Handle(rpc.MethodFilePut, s.putFile)
	w.Handle(rpc.MethodFileGet, s.getFile)
	wire.HandleUnary(w, rpc.MethodFileInfo, s.fileInfo)
	wire.HandleUnary(w, rpc.MethodFileList, s.listFiles)
	wire.HandleUnary(w, rpc.MethodJobGet, s.getJob)
	wire.HandleUnary(w, rpc.MethodJobList, s.listJobs)
	wire.HandleUnary(w, rpc.MethodItemsPull, s.pull)
	s.commitFile = control.HandleForwardedTo(server, rpc.MethodGroupCommit, s.groupOfFile, s.leadCommitFile)
	s.pullGroup = control.HandleForwardedTo(server, rpc.MethodGroupPull, s.groupOfPull, s.leadPull)
	s.waitGroup = control.HandleForwardedTo(server, rpc.MethodGroupWait, s.groupOfWait, s.leadWait)
	control.HandleForwardedTo(server, rpc.MethodFileDelete, s.groupOfFileRef, s.leadDeleteFile)
	control.HandleForwardedTo(server, rpc.MethodJobCreate, s.groupOfJob, s.leadCreateJob)
	control.HandleForwardedTo(server, rpc.MethodJobCancel, s.groupOfJobRef, s.leadCancelJob)
	control.HandleForwardedTo(server, rpc.MethodItemsCommit, s.groupOfCommit, s.leadCommit)
	control.HandleForwardedTo(server, rpc.MethodItemsRenew, s.groupOfRenew, s.leadRenew)
	control.HandleForwardedTo(server, rpc.MethodIdempotentBegin, s.groupOfBegin, s.leadBegin)
	control.HandleForwardedTo(server, rpc.MethodIdempotentEnd, s.groupOfEnd, s.leadEnd)
}

// run drives the loops of all groups until ctx ends.
func (s *Service) run(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, g := range s.groups {
		p.Go(func(ctx context.Context) error { return s.keepTime(ctx, g) })
		p.Go(func(ctx context.Context) error { return s.finishJobs(ctx, g) })
	}
	p.Go(s.repairer.Run)
	p.Go(s.reclaim)
	err := p.Wait()
	s.payloads.Close()
	if closing := s.store.Close(); err == nil {
		err = closing
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

// BatchStatus counts the open jobs of each group for GET status.
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

// MissingPayloads returns the number of records that this host has yet to
// fetch from its peers. It gets no vote in the work groups while any are left.
func (s *Service) MissingPayloads() int { return s.repairer.Missing() }
