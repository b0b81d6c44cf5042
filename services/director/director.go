// Package director implements a control host of a site. It replicates the
// catalog, receives the reports of targets and members, and pushes both to its
// followers. Operators and targets reach it through an adapter that translates
// their formats.
package director

import (
	"context"
	"crypto/tls"
	"net"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/core/rollout"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/boottime"
	"banyanwalk/infra/durable"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/replicated"
)

// catalogGroup is the ID of the replicated group that the control hosts form.
const catalogGroup uint32 = 0

const (
	snapshotEntries = 64 // log entries between two snapshots
	// snapshotBytes is the size of the log entries between two snapshots. Up to
	// twice as much is in memory, because each entry may hold a whole document of
	// several hundred kilobytes.
	snapshotBytes = 4 << 20
	// maxDocumentBytes bounds a document: hosts forward it to the leader, and push it to
	// followers, in one frame, the latter along with the rest of the catalog.
	maxDocumentBytes = wire.MaxFrameBytes - 1<<20
	// commandTimeout bounds an operator's command. Operators turn to another host
	// after one second.
	commandTimeout = 900 * time.Millisecond
	pruneInterval  = 1 * time.Second
	// confirmRetryInterval is the delay between attempts to confirm the catalog
	// after a start. An election takes about 700 ms.
	confirmRetryInterval = 50 * time.Millisecond
)

// Config describes one control host.
type Config struct {
	Name         string
	DataCentre   string
	Addr         string   // wire address of this host, ip:port
	InitialHosts []string // wire addresses of the hosts that create the catalog's group, or that are already in it
	Joining      bool     // the group already exists
	VoterCount   int      // wanted number of voters in the control group and in the storage group
	DataDir      string
	// ConfirmEvery is the delay between confirmations of the catalog by a quorum,
	// for followers that must refuse requests when their catalog is too old. If
	// 0, the catalog is confirmed only after the start.
	ConfirmEvery time.Duration
	// Decode decodes the canonical encoding of a document.
	Decode    func(body []byte) (*routing.Document, error)
	Health    HealthHeaders  // empty: targets are not asked about their health
	Rollout   rollout.Bounds // without them, no rollout is accepted
	FS        durable.FS     // of the replicated state; nil: the operating system's
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Log       *telemetry.Log
	Metrics   metrics.Registry
}

// Server is one control host. It is safe for concurrent use.
type Server struct {
	cfg            Config
	log            *telemetry.Log
	wire           *wire.Server
	state          *catalogState
	group          *replicated.Group[catalog.Result]
	registry       *registry
	reportCounters map[roster.MergeResult]metrics.Counter
	bootstrap      bootstrapState
	rollouts       *rollouts
	targetFile     *targetFile
	leaving        chan leavingRequest
	startedAt      time.Time
	// confirmed is the boottime instant at which the last quorum-confirmed read
	// began. While it is 0, the catalog here may be older than what was
	// acknowledged before this host started.
	confirmed atomic.Int64
}

// New opens this host's replica of the catalog.
func New(cfg Config) (*Server, error) {
	s := &Server{
		cfg:       cfg,
		log:       cfg.Log,
		wire:      wire.NewServer(cfg.Log, cfg.ServerTLS),
		registry:  newRegistry(),
		rollouts:  newRollouts(&cfg),
		leaving:   make(chan leavingRequest),
		startedAt: time.Now(),
		reportCounters: map[roster.MergeResult]metrics.Counter{
			roster.Stale:   metrics.GetOrRegisterCounter("director.reports.stale", cfg.Metrics),
			roster.Renewed: metrics.GetOrRegisterCounter("director.reports.renewed", cfg.Metrics),
			roster.Changed: metrics.GetOrRegisterCounter("director.reports.changed", cfg.Metrics),
		},
	}
	s.targetFile = &targetFile{path: filepath.Join(cfg.DataDir, targetFileName)}
	s.state = newCatalogState(s.registry.notify)
	s.state.takeLeaving = s.registry.markLeaving
	var peers []uint64
	for _, addr := range cfg.InitialHosts {
		id, err := replicated.ID(addr)
		if err != nil {
			return nil, errors.Wrap(err, "founders")
		}
		peers = append(peers, id)
	}
	var err error
	s.group, err = replicated.Open[catalog.Result](replicated.Config{
		Group:         catalogGroup,
		Addr:          cfg.Addr,
		Peers:         peers,
		Joining:       cfg.Joining,
		VoterCount:    cfg.VoterCount,
		Dir:           cfg.DataDir,
		SaveCommit:    true, // changes are rare, and an early catalog should hold them
		SnapshotEvery: snapshotEntries,
		SnapshotBytes: snapshotBytes,
		FS:            cfg.FS,
		ClientTLS:     cfg.ClientTLS,
		Log:           cfg.Log,
		Metrics:       cfg.Metrics,
	}, s.state)
	if err != nil {
		return nil, err
	}
	s.group.Register(s.wire)
	s.wire.Handle(rpc.MethodFollow, s.serveFollower)
	wire.HandleUnary(s.wire, rpc.MethodSiteStatus, s.siteStatus)
	wire.HandleUnary(s.wire, rpc.MethodReportRuns, s.reportRuns)
	wire.HandleUnary(s.wire, rpc.MethodBeginTrial, s.beginTrial)
	wire.HandleUnary(s.wire, rpc.MethodRolloutGrant, s.grantRollouts)
	wire.HandleUnary(s.wire, rpc.MethodRolloutBegin, s.beginRollout)
	wire.HandleUnary(s.wire, rpc.MethodRolloutShow, s.showRollout)
	return s, nil
}

// Run serves followers, operators and other replicas on l until ctx ends or a task
// fails. A host whose replica has failed must not serve on without it.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	p.Go(func(ctx context.Context) error { return s.group.Serve(ctx, s.wire, l) })
	p.Go(s.housekeep)
	for _, task := range []func(context.Context){s.confirm, s.recallTargets, s.runRollouts, s.recordLeaving} {
		p.Go(func(ctx context.Context) error {
			task(ctx)
			return nil
		})
	}
	return p.Wait()
}

// confirm waits until a quorum confirms that the catalog here is not older than
// what was acknowledged before this host started: the log on disk does not show
// which of its last entries are committed. With ConfirmEvery set, it keeps
// confirming, so that followers know how current they are.
func (s *Server) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.confirmOnce(ctx) {
			pause.For(ctx, confirmRetryInterval)
			continue
		}
		if s.cfg.ConfirmEvery == 0 {
			return
		}
		pause.For(ctx, s.cfg.ConfirmEvery)
	}
}

func (s *Server) confirmOnce(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	readStart := boottime.Now()
	if err := s.group.ReadBarrier(bounded); err != nil {
		return false // no quorum; followers see it from the age of the last confirmation
	}
	if s.confirmed.Swap(int64(readStart)) == 0 {
		s.log.Info("catalog_current", "version", s.state.state().Version, "after_ms", time.Since(s.startedAt).Milliseconds())
		s.registry.notify()
	}
	return true
}

// isCurrent reports whether the catalog includes everything that was acknowledged
// before this host started.
func (s *Server) isCurrent() bool { return s.confirmed.Load() != 0 }

// confirmedAge returns the age of the last confirmation in milliseconds, or nil
// if followers do not need it.
func (s *Server) confirmedAge() *int64 {
	if s.cfg.ConfirmEvery == 0 || !s.isCurrent() {
		return nil
	}
	age := boottime.Since(boottime.Instant(s.confirmed.Load())).Milliseconds()
	return &age
}

// housekeep removes silent targets and members and, on the leader, manages the
// storage hosts.
func (s *Server) housekeep(ctx context.Context) error {
	ticker := time.NewTicker(housekeepInterval)
	defer ticker.Stop()
	lastPrune := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if now.Sub(lastPrune) >= pruneInterval {
				lastPrune = now
				for _, record := range s.registry.prune(now) {
					s.log.Info("target_forgotten", "target", record.ID, "state", record.State.String(), "silent_ms", now.Sub(record.ReceivedAt).Milliseconds())
				}
			}
			s.saveTargets(now)
			if s.group.Replica().Status().IsLeader {
				s.bootstrapStorage(ctx, now)
				s.completeRetirements(ctx, now)
				s.expireVerdicts(ctx)
			}
		}
	}
}

// saveTargets saves the targets in service. During the recall after a start, the
// file holds more than the registry.
func (s *Server) saveTargets(now time.Time) {
	if now.Sub(s.startedAt) < recallWindow {
		return
	}
	changes, reports := s.registry.readyTargets(s.targetFile.saved)
	if err := s.targetFile.save(changes, reports); err != nil {
		s.log.Warn("targets_not_saved", "error", err)
	}
}

// PutDocument validates a document and activates it if its version is the
// highest. body is its canonical encoding, which Document returns.
func (s *Server) PutDocument(ctx context.Context, d *routing.Document, body []byte) error {
	if len(body) > maxDocumentBytes {
		s.log.Warn("document_refused", "version", d.Version, "bytes", len(body), "limit", maxDocumentBytes)
		return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "a document of %d bytes exceeds %d", len(body), maxDocumentBytes)
	}
	if err := d.Validate(); err != nil {
		s.log.Warn("document_refused", "version", d.Version, "error", err)
		return outcome.New(outcome.BundleInvalid, outcome.NotRun, "%v", err)
	}
	err := s.execute(ctx, catalog.Command{Put: &catalog.PutDocument{Version: d.Version, Body: body}})
	s.log.Info("document_put", "version", d.Version, "in_force", s.state.state().Version, "bytes", len(body), "error", err)
	return err
}

// SetDataCentre takes a data centre out of service or puts it back.
func (s *Server) SetDataCentre(ctx context.Context, name string, out bool) error {
	err := s.execute(ctx, catalog.Command{DataCentre: &catalog.SetDataCentre{DataCentre: name, Out: out}})
	s.log.Info("data_centre_set", "data_centre_named", name, "out", out, "error", err)
	return err
}

func (s *Server) execute(ctx context.Context, c catalog.Command) error {
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, err := s.executeResult(bounded, c)
	return err
}

// executeResult executes a command and returns its result, which holds no error.
func (s *Server) executeResult(ctx context.Context, c catalog.Command) (*catalog.Result, error) {
	result, err := s.group.Execute(ctx, c)
	if err != nil {
		return nil, err
	}
	if result.Error != nil {
		return nil, result.Error
	}
	return result, nil
}

// Document returns the current version and the body it was put with. It fails if
// this host cannot confirm that there is no newer one.
func (s *Server) Document(ctx context.Context) (version uint64, body []byte, err error) {
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := s.group.ReadBarrier(bounded); err != nil {
		return 0, nil, err
	}
	state := s.state.state()
	return state.Version, state.Body, nil
}

// mergeReport merges a report of a target into the registry.
func (s *Server) mergeReport(report roster.Report) {
	result := s.registry.reportTarget(time.Now(), report)
	s.recordMergeResult(report.ID, report.Incarnation, report.Sequence, report.State, result)
}

func (s *Server) recordMergeResult(id string, incarnation int64, sequence uint64, state roster.State, result roster.MergeResult) {
	s.reportCounters[result].Inc(1)
	switch result {
	case roster.Changed:
		s.log.Info("target_changed", "target", id, "born", incarnation, "sequence", sequence, "state", state.String())
	case roster.Stale:
		s.log.Info("target_report_stale", "target", id, "born", incarnation, "sequence", sequence, "state", state.String())
	case roster.Renewed:
	}
}
