package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/raft"
	"banyanwalk/infra/rpc"
)

// Status is the answer to GET status. The fleet's part is confirmed by a
// quorum; the replicas are those of the answering host. Without a quorum only
// the replicas are told, with the reason in Error.
type Status struct {
	Host     uint64           `json:"host"` // id of the answering control host
	Error    string           `json:"error,omitempty"`
	Replicas []ReplicaStatus  `json:"replicas"`
	Fleet    *FleetStatus     `json:"fleet,omitempty"`
	Leases   []rpc.AgentLease `json:"leases,omitempty"`
	Batch    []BatchStatus    `json:"batch,omitempty"`
}

// ReplicaStatus is the state of one replica of this host.
type ReplicaStatus struct {
	Group    uint32   `json:"group"`
	Leader   uint64   `json:"leader"` // host id; 0: none known
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Applied  uint64   `json:"applied"`
	Blank    bool     `json:"blank"`
	LeaseMS  int64    `json:"lease_ms"` // left of the leader's lease, milliseconds
	Voters   []string `json:"voters"`   // id/incarnation
	Learners []string `json:"learners,omitempty"`
	// Outgoing lists the voters of before a change that is not complete. Until
	// it is empty both sets must hold a quorum.
	Outgoing []string `json:"outgoing,omitempty"`
}

// FleetStatus is the state that subscribers see.
type FleetStatus struct {
	Revision uint64              `json:"revision"`
	Bundle   *fleet.HistoryEntry `json:"bundle,omitempty"`
	Marks    fleet.Marks         `json:"marks"`
	Targets  []TargetStatus      `json:"targets"`
	Verdicts []VerdictStatus     `json:"verdicts"`
}

// TargetStatus is one target and whether it may get new work.
type TargetStatus struct {
	fleet.Target
	InService bool `json:"in_service"`
}

// VerdictStatus is one quarantine verdict.
type VerdictStatus struct {
	Workspace string `json:"workspace"`
	Digest    string `json:"digest"`
	Convict   bool   `json:"convict"`
	Crashes   int    `json:"crashes"`
}

// BatchStatus counts the jobs of one batch group.
type BatchStatus struct {
	Group   uint32 `json:"group"`
	Jobs    int    `json:"jobs"` // that have not ended
	Waiting int    `json:"waiting_items"`
	Running int    `json:"running_items"`
}

// BatchReporter counts the jobs of a host's batch groups for GET status.
type BatchReporter interface {
	BatchStatus(ctx context.Context) ([]BatchStatus, error)
}

// SetBatchReporter adds the jobs to GET status. It is called before Run.
func (s *Server) SetBatchReporter(r BatchReporter) { s.batch = r }

// Ready returns the reason why this host can't serve, or nil.
func (s *Server) Ready() error {
	status := s.groups[ConfigGroup].Status()
	if status.Blank {
		return errors.New("the data folder is blank and not taken into the group yet")
	}
	if status.Leader == 0 {
		return errors.New("no leader of the configuration group is known")
	}
	return nil
}

func (a *admin) status(ctx context.Context, _ fiber.Ctx) (any, error) {
	s := a.server
	status := Status{Host: s.cfg.ID, Replicas: s.replicaStatus()}
	confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.confirm(confirmCtx); err != nil {
		status.Error = outcome.From(err).Error()
		return status, nil
	}
	status.Fleet = s.fleetStatus()
	leases, err := s.operators.leases(ctx, &rpc.LeasesRequest{})
	if err != nil {
		status.Error = outcome.From(err).Error()
		return status, nil
	}
	status.Leases = leases.Leases
	if s.batch != nil {
		if status.Batch, err = s.batch.BatchStatus(ctx); err != nil {
			status.Error = outcome.From(err).Error()
		}
	}
	return status, nil
}

func (s *Server) replicaStatus() []ReplicaStatus {
	var list []ReplicaStatus
	for _, group := range slices.Sorted(maps.Keys(s.groups)) {
		r := s.groups[group].Status()
		entry := ReplicaStatus{Group: group, Leader: r.Leader, Term: r.Term, Commit: r.Commit, Applied: r.Applied, Blank: r.Blank}
		if r.IsLeader {
			entry.LeaseMS = max(0, time.Until(r.LeaseUntil).Milliseconds())
		}
		entry.Voters = names(r.Voters)
		entry.Learners = names(r.Learners)
		entry.Outgoing = names(r.Outgoing)
		list = append(list, entry)
	}
	return list
}

func names(ids []raft.ReplicaID) []string {
	var list []string
	for _, id := range ids {
		list = append(list, id.String())
	}
	return list
}

func (s *Server) fleetStatus() *FleetStatus {
	view := s.View()
	status := &FleetStatus{Revision: view.Revision, Marks: view.Marks(), Targets: []TargetStatus{}, Verdicts: []VerdictStatus{}}
	s.state.read(func(m *fleet.Machine) {
		if current, found := m.Current(); found {
			status.Bundle = &current
		}
	})
	for _, t := range view.Targets() {
		status.Targets = append(status.Targets, TargetStatus{Target: t, InService: view.InService(t.ID)})
	}
	for _, v := range view.Verdicts() {
		status.Verdicts = append(status.Verdicts, VerdictStatus{Workspace: v.Workspace, Digest: v.Digest.String(), Convict: v.Level == fleet.Convict, Crashes: v.Crashes})
	}
	return status
}
