package director

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
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
	// othersInterval is the pause between two sums of what the others do, but
	// for the broker.
	othersInterval = 250 * time.Millisecond
	// listEvery is after how long the storage hosts are listed again, so that
	// followers know that they are still heard.
	listEvery = 1 * time.Second
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
	var others atomic.Bool
	others.Store(first.Others)
	var wg conc.WaitGroup
	wg.Go(func() {
		defer stream.Close()
		s.push(ctx, &pusher{server: s, stream: stream, name: name, others: &others})
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
		others.Store(ping.Others)
	}
}

// push sends what changes until the stream fails or ctx ends.
func (s *Server) push(ctx context.Context, p *pusher) {
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
	others   *atomic.Bool // the follower asks for what the others do
	revision uint64       // of the board, sent
	catalog  uint64       // revision of the catalog, sent
	stores   []rpc.Member
	controls []uint64  // replica ids, sent
	listed   time.Time // when the storage hosts were sent last
	summed   time.Time // when Others was sent last
	sent     time.Time
}

// send pushes what has changed, or a sign of life when that is due.
func (p *pusher) send(now time.Time) error {
	push := rpc.FollowPush{}
	push.Targets, p.revision = p.server.board.since(now, p.revision)
	if packed := p.server.state.packed.Load(); packed.State.Revision > p.catalog && p.server.isCurrent() {
		push.Catalog = packed
		p.catalog = packed.State.Revision
	}
	if controls := p.server.group.Members(); !slices.Equal(controls, p.controls) {
		push.Controls = replicated.Addrs(controls)
		p.controls = controls
	}
	p.addStores(now, &push)
	p.addOthers(now, &push)
	empty := push.Catalog == nil && push.Controls == nil && len(push.Targets) == 0 && push.Stores == nil && push.Others == nil
	if empty && now.Sub(p.sent) < idlePush {
		return nil
	}
	p.sent = now
	push.Confirmed = p.server.confirmedAge()
	return p.stream.Send(&push)
}

// addStores adds the storage hosts when one of them has come, gone or changed.
func (p *pusher) addStores(now time.Time, push *rpc.FollowPush) {
	stores := p.server.board.stores(now, storageSilence)
	slices.SortFunc(stores, func(a, b rpc.Member) int { return cmp.Compare(a.Name, b.Name) })
	same := slices.EqualFunc(stores, p.stores, func(a, b rpc.Member) bool {
		return a.Name == b.Name && a.Process == b.Process && sameStorage(a.Store, b.Store)
	})
	if same && len(stores) > 0 && now.Sub(p.listed) < listEvery {
		return
	}
	p.listed, p.stores = now, stores
	push.Stores = stores
}

// addOthers adds what the others do. The broker needs that soonest.
func (p *pusher) addOthers(now time.Time, push *rpc.FollowPush) {
	pause := othersInterval
	if p.server.board.leads(p.name) {
		pause = pushInterval
	}
	if !p.others.Load() || now.Sub(p.summed) < pause {
		return
	}
	p.summed = now
	push.Others = p.server.board.others(now, p.name)
}
