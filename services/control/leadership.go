package control

import (
	"context"
	"sync/atomic"
	"time"

	"banyanwalk/services/control/replica"
)

// LeadershipHook is called when this host becomes or stops being the leader of
// a group. A new leader may obtain its lease only after the call; see
// Server.Leads.
type LeadershipHook interface {
	LeadershipChanged(isLeader bool, now time.Time)
}

// knownLeader is the leader that this host currently knows for a group. Its
// context ends when the leader changes.
type knownLeader struct {
	id     uint64 // host ID; 0: unknown
	ctx    context.Context
	cancel context.CancelFunc
}

func newKnownLeader() *atomic.Pointer[knownLeader] {
	p := &atomic.Pointer[knownLeader]{}
	ctx, end := context.WithCancel(context.Background())
	p.Store(&knownLeader{ctx: ctx, cancel: end})
	return p
}

// setKnownLeader records the leader of a group. If it has changed, it cancels
// the calls forwarded to the previous one.
func (s *Server) setKnownLeader(group uint32, id uint64) {
	previous := s.knownLeaders[group].Load()
	if previous.id == id {
		return
	}
	ctx, end := context.WithCancel(context.Background())
	s.knownLeaders[group].Store(&knownLeader{id: id, ctx: ctx, cancel: end})
	previous.cancel()
}

// AddLeadershipHook adds a hook for a group. It must be called before Run.
func (s *Server) AddLeadershipHook(group uint32, h LeadershipHook) {
	s.hooks[group] = append(s.hooks[group], h)
}

// watchLeadership calls the hooks of a group when this host becomes or stops
// being its leader.
func (s *Server) watchLeadership(ctx context.Context, group uint32, r *replica.Replica) error {
	leading, term := false, uint64(0)
	defer func() { s.knownLeaders[group].Load().cancel() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.LeadershipChanged():
		}
		status := r.Status()
		s.setKnownLeader(group, status.Leader)
		if leading && (!status.IsLeader || status.Term != term) {
			s.notifyHooks(group, false)
			leading = false
		}
		if !leading && status.IsLeader {
			leading, term = true, status.Term
			s.log.Info("leader_elected", "group", group, "replica", s.cfg.ID, "term", term)
			s.notifyHooks(group, true)
		}
	}
}

func (s *Server) notifyHooks(group uint32, isLeader bool) {
	now := time.Now()
	for _, h := range s.hooks[group] {
		h.LeadershipChanged(isLeader, now)
	}
}
