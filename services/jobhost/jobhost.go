// Package jobhost runs a storage host of a site: it replicates the jobs,
// answers the gateways' calls on them and, on the leader, runs their items at
// the targets.
package jobhost

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/core/raft"
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
	Name      string
	Addr      string // wire address of this host, ip:port
	Founder   bool   // this host may take part in founding the group
	Voters    int    // storage hosts that are to have a vote
	DataDir   string
	KeepFor   time.Duration // how long a finished job is kept
	Follower  *follow.Follower
	Dialect   targetcall.Dialect
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Log       *telemetry.Log
	Metrics   metrics.Registry
}

// Server is one storage host.
type Server struct {
	cfg    Config
	log    *telemetry.Log
	wire   *wire.Server
	state  *jobsState
	group  atomic.Pointer[replicated.Group[jobs.Answer]]
	runner *runner
	broker *broker
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
	state.Voters = append(ids(status.Voters), ids(status.Outgoing)...)
	state.Learners = ids(status.Learners)
	return state
}

func ids(replicas []raft.ReplicaID) []uint64 {
	all := make([]uint64, 0, len(replicas))
	for _, r := range replicas {
		all = append(all, r.ID)
	}
	return all
}

// Run serves on l until ctx ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	group, err := s.open(ctx)
	if err != nil || group == nil {
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
	wire.HandleUnary(s.wire, rpc.MethodSlotAcquire, s.broker.acquire)
	wire.HandleUnary(s.wire, rpc.MethodSlotRelease, s.broker.release)
	s.group.Store(group)
	s.cfg.Follower.Nudge()
	carrying, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p := pool.New().WithErrors().WithFirstError()
	p.Go(func() error { return s.wire.Serve(carrying, l) })
	p.Go(func() error {
		defer stop()
		return group.Run(ctx)
	})
	p.Go(func() error { return s.runner.run(ctx) })
	p.Go(func() error { return s.review(ctx, group) })
	return p.Wait()
}

// open waits until it is known who founds the group or who belongs to it, and
// opens the replica. It returns nil when ctx ends before.
func (s *Server) open(ctx context.Context) (*replicated.Group[jobs.Answer], error) {
	id, err := replicated.ID(s.cfg.Addr)
	if err != nil {
		return nil, err
	}
	founders, known := s.awaitFounders(ctx)
	if !known || !s.awaitNeed(ctx, id, founders) {
		return nil, nil
	}
	peers := slices.Clone(founders)
	for _, host := range s.cfg.Follower.Stores() {
		peers = append(peers, append([]uint64{host.ID}, host.Voters...)...)
	}
	founds := s.cfg.Founder && slices.Contains(founders, id)
	if founds {
		peers = founders
	}
	slices.Sort(peers)
	return replicated.Open[jobs.Answer](replicated.Config{
		Group:         jobGroup,
		Addr:          s.cfg.Addr,
		Peers:         slices.Compact(peers),
		Joining:       !founds,
		Voters:        s.cfg.Voters,
		Dir:           s.cfg.DataDir,
		SnapshotEvery: snapshotEvery,
		ClientTLS:     s.cfg.ClientTLS,
		Log:           s.log,
		Metrics:       s.cfg.Metrics,
	}, s.state)
}

// awaitFounders waits for the founders of the group. A host with state need not
// wait: its log names the others.
func (s *Server) awaitFounders(ctx context.Context) (founders []uint64, known bool) {
	entries, err := os.ReadDir(s.cfg.DataDir)
	hasState := err == nil && len(entries) > 0
	for {
		changed := s.cfg.Follower.Changed()
		if founders := s.cfg.Follower.Catalog().Founders; len(founders) > 0 {
			return founders, true
		}
		if hasState {
			return nil, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-changed:
		case <-time.After(reviewEvery):
		}
	}
}

// awaitNeed waits until the group needs this host: at once when it founds the
// group, belonged to it or may have, else when one of the members or the spare
// one is gone. It returns false when ctx ends before.
func (s *Server) awaitNeed(ctx context.Context, id uint64, founders []uint64) bool {
	if len(founders) == 0 || slices.Contains(founders, id) {
		return true
	}
	for !isNeeded(id, s.cfg.Voters+spareLearners, s.cfg.Follower.Stores()) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reviewEvery):
		}
	}
	return true
}

// isNeeded reports whether a host is to join a group that wants so many hosts.
// hosts are those that are heard, the leader first. Of several that could join
// the ones with the lowest ids do.
func isNeeded(id uint64, wanted int, hosts []rpc.StorageState) bool {
	if len(hosts) == 0 || !hosts[0].Leads {
		return false
	}
	members := slices.Concat(hosts[0].Voters, hosts[0].Learners)
	if slices.Contains(members, id) {
		return true
	}
	present, before := 0, 0
	for i := range hosts {
		switch {
		case slices.Contains(members, hosts[i].ID):
			present++
		case hosts[i].ID < id:
			before++
		}
	}
	return present+before < wanted
}

// review passes the retired hosts on to the replica, and tells the others when
// the leadership changes.
func (s *Server) review(ctx context.Context, group *replicated.Group[jobs.Answer]) error {
	ticker := time.NewTicker(reviewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-group.Replica().LeadershipChanged():
			s.cfg.Follower.Nudge()
		case <-ticker.C:
		}
		var retired []uint64
		for _, r := range s.cfg.Follower.Catalog().Retired {
			retired = append(retired, r.Host)
		}
		group.Replica().SetRetired(retired)
	}
}

func notLeader() error {
	return outcome.New(outcome.NotLeader, outcome.NotRun, "this storage host does not lead")
}

// submit accepts a job once a quorum has it on disk.
func (s *Server) submit(ctx context.Context, spec *jobs.Spec) (*rpc.Ack, error) {
	return s.command(ctx, jobs.Command{Submit: spec})
}

// end ends a job on behalf of its workspace.
func (s *Server) end(ctx context.Context, e *jobs.EndJob) (*rpc.Ack, error) {
	return s.command(ctx, jobs.Command{End: e})
}

// yield makes room for online requests at full targets.
func (s *Server) yield(_ context.Context, y *rpc.JobYield) (*rpc.Ack, error) {
	s.runner.makeRoom(time.Now(), y.Requests)
	return &rpc.Ack{}, nil
}

func (s *Server) command(ctx context.Context, c jobs.Command) (*rpc.Ack, error) {
	group := s.group.Load()
	if !group.Replica().Status().IsLeader {
		return nil, notLeader()
	}
	answer, err := group.Execute(ctx, c)
	if err != nil {
		return nil, err
	}
	if answer.Error != nil {
		return nil, answer.Error
	}
	return &rpc.Ack{}, nil
}

// confirm returns once it is certain that this host knows everything that was
// acknowledged before the call.
func (s *Server) confirm(ctx context.Context) error {
	group := s.group.Load()
	if !group.Replica().Status().IsLeader {
		return notLeader()
	}
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return group.Confirm(bounded)
}

// readResults returns the results of a job from a position on, and waits for
// one if asked.
func (s *Server) readResults(ctx context.Context, r *rpc.JobRead) (*rpc.JobResults, error) {
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Duration(r.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := s.state.next()
		found, more, err := s.results(r)
		if err != nil || len(found.Results) > 0 || !more || r.WaitMS <= 0 {
			return found, err
		}
		select {
		case <-ctx.Done():
			return found, nil
		case <-timer.C:
			return found, nil
		case <-changed:
		}
	}
}

// results returns what is listed; more tells that more may come.
func (s *Server) results(r *rpc.JobRead) (found *rpc.JobResults, more bool, err error) {
	s.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		job := m.Job(r.Job)
		if job == nil || job.Workspace != r.Workspace {
			err = outcome.New(outcome.JobNotFound, outcome.NotRun, "no job %q", r.Job)
			return
		}
		found = &rpc.JobResults{Total: len(job.Items)}
		more = job.Unfinished()
		size := 0
		for at := max(0, r.After); at < len(job.Results) && size < maxReadBytes; at++ {
			result := &job.Results[at]
			size += len(result.Text)
			found.Results = append(found.Results, rpc.JobResult{
				Item: job.Items[result.Item].ID, State: result.State, Text: result.Text,
			})
		}
	})
	return found, more, err
}

// readBody returns the body of an item that is not listed yet.
func (s *Server) readBody(ctx context.Context, r *rpc.JobBody) (*rpc.JobBodyData, error) {
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	var body []byte
	found := false
	s.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		job := m.Job(r.Job)
		if job == nil || job.Workspace != r.Workspace {
			return
		}
		for i := range job.Items {
			if job.Items[i].ID == r.Item && job.Open(i) {
				body, found = job.Items[i].Body, true
			}
		}
	})
	if !found {
		return nil, outcome.New(outcome.JobNotFound, outcome.NotRun, "no open item %q in job %q", r.Item, r.Job)
	}
	return &rpc.JobBodyData{Body: body}, nil
}

// Ready returns the reason why this host serves no calls, or nil.
func (s *Server) Ready() error {
	if s.group.Load() == nil {
		return errors.New("the job group is not open yet")
	}
	return nil
}
