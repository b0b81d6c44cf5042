package director

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/replicated"
)

const (
	// pushInterval is the pause between two pushes that are not urgent.
	pushInterval = 100 * time.Millisecond
	// urgentPause lets urgent changes that come together share a push.
	urgentPause = 5 * time.Millisecond
	// idlePush is after how long a push is sent even if it is empty, so that a
	// follower notices a host that hangs.
	idlePush = 400 * time.Millisecond
)

// follow serves one follower: it reads its reports and pushes what changes.
func (s *Server) follow(ctx context.Context, stream *wire.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var first rpc.FollowPing
	if err := stream.Recv(&first); err != nil {
		return err
	}
	name := first.Load.Member.Name
	s.log.Info("follower_joined", "member", name, "role", first.Load.Member.Role, "member_process", first.Load.Member.Process)
	s.board.member(time.Now(), first.Load)
	var wg conc.WaitGroup
	wg.Go(func() {
		defer stream.Close()
		s.push(ctx, stream, name)
	})
	defer wg.Wait()
	defer cancel()
	for {
		var ping rpc.FollowPing
		if err := stream.Recv(&ping); err != nil {
			s.log.Info("follower_left", "member", name, "error", err)
			return nil
		}
		s.board.member(time.Now(), ping.Load)
	}
}

// push sends what changes until the stream fails or ctx ends.
func (s *Server) push(ctx context.Context, stream *wire.Stream, name string) {
	p := pusher{server: s, stream: stream, name: name}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		urgent := s.board.next()
		if err := p.send(time.Now()); err != nil {
			return
		}
		timer.Reset(pushInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-urgent:
			timer.Reset(urgentPause)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
	}
}

// pusher is the state of one follower's feed.
type pusher struct {
	server   *Server
	stream   *wire.Stream
	name     string
	revision uint64 // of the board, sent
	catalog  uint64 // revision of the catalog, sent
	started  bool
	controls []string
	sent     time.Time
}

func (p *pusher) send(now time.Time) error {
	push, upTo := p.server.board.since(now, p.revision, p.name)
	if state := p.server.state.state(); state.Revision > p.catalog {
		push.Catalog = state
	}
	if controls := p.server.controls(); !slices.Equal(controls, p.controls) {
		push.Controls = controls
	}
	empty := push.Catalog == nil && push.Controls == nil && len(push.Targets) == 0 && len(push.Members) == 0
	if empty && p.started && now.Sub(p.sent) < idlePush {
		return nil
	}
	if err := p.stream.Send(&push); err != nil {
		return err
	}
	p.revision, p.started, p.sent = upTo, true, now
	if push.Catalog != nil {
		p.catalog = push.Catalog.Revision
	}
	if push.Controls != nil {
		p.controls = push.Controls
	}
	return nil
}

// controls returns the wire addresses of the control hosts, as the group knows
// them, sorted.
func (s *Server) controls() []string {
	status := s.group.Replica().Status()
	var addrs []string
	for _, set := range [][]uint64{ids(status.Voters), ids(status.Outgoing), ids(status.Learners)} {
		for _, id := range set {
			if addr, found := replicated.Addr(id); found {
				addrs = append(addrs, addr)
			}
		}
	}
	slices.Sort(addrs)
	return slices.Compact(addrs)
}
