// Package director runs a control host of a site: it replicates the catalog,
// takes the reports of targets and members, and pushes both to those who
// follow. Operators and targets reach it through an adapter that speaks their
// formats.
package director

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/boottime"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/replicated"
)

// catalogGroup is the number of the replicated group of the control hosts.
const catalogGroup uint32 = 0

const (
	snapshotEvery = 64 // entries
	// snapshotBytes of entries are kept in memory at most twice; each may hold a
	// whole document of some hundred kilobytes.
	snapshotBytes = 4 << 20
	// orderTimeout is how long an operator's order may take. Operators turn to
	// another host after a second.
	orderTimeout = 900 * time.Millisecond
	pruneEvery   = 1 * time.Second
	// confirmPause is the pause between two tries to confirm the catalog after a
	// start; an election takes some 700 ms.
	confirmPause = 50 * time.Millisecond
)

// Config describes one control host.
type Config struct {
	Name       string
	DataCentre string
	Addr       string   // wire address of this host, ip:port
	Founders   []string // wire addresses of the hosts that found the catalog's group, or that know it
	Joining    bool     // the group exists already
	Voters     int      // control hosts and storage hosts that are to have a vote in their groups
	DataDir    string
	// ConfirmEvery is the pause between two confirmations of the catalog by a
	// quorum, for followers that must refuse when theirs is too old; 0: only
	// after the start.
	ConfirmEvery time.Duration
	ServerTLS    *tls.Config
	ClientTLS    *tls.Config
	Log          *telemetry.Log
	Metrics      metrics.Registry
}

// Server is one control host. It is safe for concurrent use.
type Server struct {
	cfg     Config
	log     *telemetry.Log
	wire    *wire.Server
	state   *catalogState
	group   *replicated.Group[catalog.Result]
	board   *board
	reports map[roster.MergeResult]metrics.Counter
	founder founder
	started time.Time
	// confirmed is when the last read that a quorum has confirmed began, in
	// boottime; 0: the catalog here may be older than what was acknowledged
	// before this life of the host.
	confirmed atomic.Int64
}

// New opens the catalog's replica of this host.
func New(cfg Config) (*Server, error) {
	s := &Server{
		cfg:     cfg,
		log:     cfg.Log,
		wire:    wire.NewServer(cfg.Log, cfg.ServerTLS),
		board:   newBoard(),
		started: time.Now(),
		reports: map[roster.MergeResult]metrics.Counter{
			roster.Stale:   metrics.GetOrRegisterCounter("director.reports.stale", cfg.Metrics),
			roster.Renewed: metrics.GetOrRegisterCounter("director.reports.renewed", cfg.Metrics),
			roster.Changed: metrics.GetOrRegisterCounter("director.reports.changed", cfg.Metrics),
		},
	}
	s.state = newCatalogState(s.board.signal)
	var peers []uint64
	for _, addr := range cfg.Founders {
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
		Voters:        cfg.Voters,
		Dir:           cfg.DataDir,
		SnapshotEvery: snapshotEvery,
		SnapshotBytes: snapshotBytes,
		ClientTLS:     cfg.ClientTLS,
		Log:           cfg.Log,
		Metrics:       cfg.Metrics,
	}, s.state)
	if err != nil {
		return nil, err
	}
	s.group.Register(s.wire)
	s.wire.Handle(rpc.MethodFollow, s.follow)
	wire.HandleUnary(s.wire, rpc.MethodSiteStatus, s.status)
	return s, nil
}

// Run serves other processes on l until ctx ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	p := pool.New().WithErrors().WithFirstError()
	p.Go(func() error { return s.group.Serve(ctx, s.wire, l) })
	p.Go(func() error { return s.housekeep(ctx) })
	p.Go(func() error {
		s.confirm(ctx)
		return nil
	})
	return p.Wait()
}

// confirm waits until a quorum confirms that the catalog here is not older than
// what was acknowledged before this host started: a log on disk does not tell
// which of its last entries are committed. It goes on if followers must know
// how current they are.
func (s *Server) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.confirmOnce(ctx) {
			pause.For(ctx, confirmPause)
			continue
		}
		if s.cfg.ConfirmEvery == 0 {
			return
		}
		pause.For(ctx, s.cfg.ConfirmEvery)
	}
}

func (s *Server) confirmOnce(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := boottime.Now()
	if err := s.group.ReadBarrier(bounded); err != nil {
		return false // no quorum; the time since the last confirmation tells how long
	}
	if s.confirmed.Swap(int64(began)) == 0 {
		s.log.Info("catalog_current", "version", s.state.state().Version, "after_ms", time.Since(s.started).Milliseconds())
		s.board.signal()
	}
	return true
}

// isCurrent reports whether the catalog holds all that was acknowledged before
// this host started.
func (s *Server) isCurrent() bool { return s.confirmed.Load() != 0 }

// confirmedAge returns how long ago the catalog was confirmed, in milliseconds,
// or nil if followers need not know.
func (s *Server) confirmedAge() *int64 {
	if s.cfg.ConfirmEvery == 0 || !s.isCurrent() {
		return nil
	}
	age := boottime.Since(boottime.Instant(s.confirmed.Load())).Milliseconds()
	return &age
}

// housekeep forgets the silent, and does what only the leader does.
func (s *Server) housekeep(ctx context.Context) error {
	ticker := time.NewTicker(foundEvery)
	defer ticker.Stop()
	pruned := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if now.Sub(pruned) >= pruneEvery {
				pruned = now
				for _, record := range s.board.prune(now) {
					s.log.Info("target_forgotten", "target", record.ID, "state", record.State.String(), "silent_ms", now.Sub(record.ReceivedAt).Milliseconds())
				}
			}
			if s.group.Replica().Status().IsLeader {
				s.foundStorage(ctx, now)
				s.endRetirements(ctx, now)
			}
		}
	}
}

// PutDocument checks a document and puts it in force if its version is the
// highest. body is its canonical encoding, which Document returns.
func (s *Server) PutDocument(ctx context.Context, d *routing.Document, body []byte) error {
	if err := d.Validate(); err != nil {
		s.log.Warn("document_refused", "version", d.Version, "error", err)
		return outcome.New(outcome.BundleInvalid, outcome.NotRun, "%v", err)
	}
	err := s.execute(ctx, catalog.Command{Put: &catalog.PutDocument{Version: d.Version, Body: body}})
	s.log.Info("document_put", "version", d.Version, "in_force", s.state.state().Version, "bytes", len(body), "error", err)
	return err
}

// SetCentre takes a data centre out of service or back.
func (s *Server) SetCentre(ctx context.Context, name string, out bool) error {
	err := s.execute(ctx, catalog.Command{DataCentre: &catalog.SetDataCentre{DataCentre: name, Out: out}})
	s.log.Info("data_centre_set", "data_centre_named", name, "out", out, "error", err)
	return err
}

func (s *Server) execute(ctx context.Context, c catalog.Command) error {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := s.group.Execute(bounded, c)
	if err != nil {
		return err
	}
	if result.Error != nil {
		return result.Error
	}
	return nil
}

// Document returns the version in force and the body that it was put with. It
// fails when this host cannot be sure that there is no newer one.
func (s *Server) Document(ctx context.Context) (version uint64, body []byte, err error) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := s.group.ReadBarrier(bounded); err != nil {
		return 0, nil, err
	}
	state := s.state.state()
	return state.Version, state.Body, nil
}

// Report takes the report of a target about itself. Followers are told before
// it returns, or soon after when nothing has changed.
func (s *Server) Report(report roster.Report) {
	verdict := s.board.report(time.Now(), report)
	s.noteReport(report.ID, report.Born, report.Sequence, report.State, verdict)
}

// Leave takes a target's word that it has left. born is 0 when it did not say
// which of its processes that was.
func (s *Server) Leave(id string, born int64) {
	verdict := s.board.leave(time.Now(), id, born)
	s.noteReport(id, born, 0, roster.Gone, verdict)
}

func (s *Server) noteReport(id string, born int64, sequence uint64, state roster.State, verdict roster.MergeResult) {
	s.reports[verdict].Inc(1)
	switch verdict {
	case roster.Changed:
		s.log.Info("target_changed", "target", id, "born", born, "sequence", sequence, "state", state.String())
	case roster.Stale:
		s.log.Info("target_report_stale", "target", id, "born", born, "sequence", sequence, "state", state.String())
	case roster.Renewed:
	}
}
