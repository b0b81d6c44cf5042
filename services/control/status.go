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
	"banyanwalk/core/quarantine"
	"banyanwalk/core/raft"
	"banyanwalk/infra/rpc"
)

// Status is the response to GET status. Fleet is confirmed by a quorum;
// Replicas are those of the responding host. Without a quorum, only Replicas is
// set, and Error holds the reason.
type Status struct {
	Host     uint64           `json:"host"` // ID of the responding control host
	Error    string           `json:"error,omitempty"`
	Replicas []ReplicaStatus  `json:"replicas"`
	Fleet    *FleetStatus     `json:"fleet,omitempty"`
	Leases   []rpc.AgentLease `json:"leases,omitempty"`
	Batch    []BatchStatus    `json:"batch,omitempty"`
}

// ReplicaStatus is the status of one replica of this host.
type ReplicaStatus struct {
	Group    uint32   `json:"group"`
	Leader   uint64   `json:"leader"` // host ID; 0: unknown
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Applied  uint64   `json:"applied"`
	Blank    bool     `json:"blank"`
	LeaseMS  int64    `json:"lease_ms"` // remaining leader lease, milliseconds
	Voters   []string `json:"voters"`   // id/incarnation
	Learners []string `json:"learners,omitempty"`
	// Outgoing lists the previous voters while a membership change is in
	// progress. Until it is empty, decisions need a quorum of both sets.
	Outgoing []string `json:"outgoing,omitempty"`
}

// FleetStatus is the state that subscribers receive.
type FleetStatus struct {
	Revision uint64              `json:"revision"`
	Bundle   *fleet.HistoryEntry `json:"bundle,omitempty"`
	Marks    fleet.Marks         `json:"marks"`
	Targets  []TargetStatus      `json:"targets"`
	Verdicts []VerdictStatus     `json:"verdicts"`
}

// TargetStatus is a target and whether it may receive new work.
type TargetStatus struct {
	fleet.Target
	InService bool `json:"in_service"`
}

// VerdictStatus is the quarantine verdict on one request.
type VerdictStatus struct {
	Workspace   string `json:"workspace"`
	Digest      string `json:"digest"`
	Quarantined bool   `json:"convict"`
	Crashes     int    `json:"crashes"`
}

// BatchStatus counts the jobs of one batch group.
type BatchStatus struct {
	Group   uint32 `json:"group"`
	Jobs    int    `json:"jobs"` // not ended yet
	Waiting int    `json:"waiting_items"`
	Running int    `json:"running_items"`
}

// BatchReporter provides the batch part of GET status.
type BatchReporter interface {
	BatchStatus(ctx context.Context) ([]BatchStatus, error)
}

// SetBatchReporter adds batch jobs to GET status. It must be called before Run.
func (s *Server) SetBatchReporter(r BatchReporter) { s.batchReporter = r }

// Ready returns nil if this host can serve requests, otherwise the reason.
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
	leases, err := s.operatorCalls.leases(ctx, &rpc.LeasesRequest{})
	if err != nil {
		status.Error = outcome.From(err).Error()
		return status, nil
	}
	status.Leases = leases.Leases
	if s.batchReporter != nil {
		if status.Batch, err = s.batchReporter.BatchStatus(ctx); err != nil {
			status.Error = outcome.From(err).Error()
		}
	}
	return status, nil
}

func (s *Server) replicaStatus() []ReplicaStatus {
	var statuses []ReplicaStatus
	for _, group := range slices.Sorted(maps.Keys(s.groups)) {
		r := s.groups[group].Status()
		entry := ReplicaStatus{Group: group, Leader: r.Leader, Term: r.Term, Commit: r.Commit, Applied: r.Applied, Blank: r.Blank}
		if r.IsLeader {
			entry.LeaseMS = max(0, time.Until(r.LeaseUntil).Milliseconds())
		}
		entry.Voters = replicaNames(r.Voters)
		entry.Learners = replicaNames(r.Learners)
		entry.Outgoing = replicaNames(r.Outgoing)
		statuses = append(statuses, entry)
	}
	return statuses
}

func replicaNames(ids []raft.ReplicaID) []string {
	var list []string
	for _, id := range ids {
		list = append(list, id.String())
	}
	return list
}

func (s *Server) fleetStatus() *FleetStatus {
	view := s.View()
	status := &FleetStatus{Revision: view.Revision, Marks: view.Marks(), Targets: []TargetStatus{}, Verdicts: []VerdictStatus{}}
	s.configState.read(func(m *fleet.Machine) {
		if current, found := m.Current(); found {
			status.Bundle = &current
		}
	})
	for _, t := range view.Targets() {
		status.Targets = append(status.Targets, TargetStatus{Target: t, InService: view.InService(t.ID)})
	}
	for _, v := range view.Verdicts() {
		status.Verdicts = append(status.Verdicts, VerdictStatus{Workspace: v.Workspace, Digest: v.Digest.String(), Quarantined: v.Level == quarantine.Quarantined, Crashes: v.Crashes})
	}
	return status
}
