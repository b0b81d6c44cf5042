package director

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/core/quota"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/replicated"
)

const (
	// pushInterval is the time between pushes that are not urgent.
	pushInterval = 100 * time.Millisecond
	// urgentDelay lets urgent changes that occur together share a push.
	urgentDelay = 5 * time.Millisecond
	// peerLoadsInterval is the time between aggregates of the other processes. The
	// broker gets them every pushInterval.
	peerLoadsInterval = 250 * time.Millisecond
	// storageListInterval is how often the list of storage hosts is repeated, so
	// that followers know that they are still alive.
	storageListInterval = 1 * time.Second
	// keepaliveInterval is the longest time between pushes, empty ones included,
	// so that a follower notices a hung host.
	keepaliveInterval = 400 * time.Millisecond
)

// serveFollower reads the reports of one follower and pushes changes to it.
func (s *Server) serveFollower(ctx context.Context, stream *wire.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var first rpc.FollowPing
	if err := stream.Recv(&first); err != nil {
		return err
	}
	name := first.Load.Member.Name
	s.log.Info("follower_joined", "member", name, "role", first.Load.Member.Role, "member_process", first.Load.Member.Incarnation)
	s.registry.reportMember(time.Now(), first.Load)
	var wantsPeerLoads, spentOften atomic.Bool
	spentOften.Store(first.SpentOften)
	var timesAsked atomic.Uint64
	wantsPeerLoads.Store(first.WantsPeerLoads)
	var wg conc.WaitGroup
	wg.Go(func() {
		defer stream.Close()
		s.push(ctx, &pusher{server: s, stream: stream, name: name, acceptsEarly: first.AcceptsEarly, wantsPeerLoads: &wantsPeerLoads,
			spentOften: &spentOften, timesAsked: &timesAsked})
	})
	defer wg.Wait()
	defer cancel()
	for {
		var ping rpc.FollowPing
		if err := stream.Recv(&ping); err != nil {
			s.log.Info("follower_left", "member", name, "error", err)
			return nil
		}
		s.registry.reportMember(time.Now(), ping.Load)
		spentOften.Store(ping.SpentOften)
		if !wantsPeerLoads.Swap(ping.WantsPeerLoads) && ping.WantsPeerLoads {
			timesAsked.Add(1)
		}
	}
}

// push sends changes until the stream fails or ctx ends.
func (s *Server) push(ctx context.Context, p *pusher) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		urgent := s.registry.urgentChange()
		if err := p.send(time.Now()); err != nil {
			return
		}
		timer.Reset(pushInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-urgent:
			timer.Reset(urgentDelay)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
	}
}

// pusher holds what one follower has already been sent.
type pusher struct {
	server             *Server
	stream             *wire.Stream
	name               string
	wantsPeerLoads     *atomic.Bool   // the follower asks for the aggregate of the other processes
	spentOften         *atomic.Bool   // at the shortest interval
	timesAsked         *atomic.Uint64 // how often it has begun to ask
	spentSentFor       uint64         // timesAsked for which sentSpent holds
	sentSpent          map[string]uint64
	debtsSent          bool
	registryRevision   uint64 // registry revision last sent
	acceptsEarly       bool   // the follower takes a catalog that is not confirmed
	catalogRevision    uint64 // revision of the confirmed catalog last sent
	earlyRevision      uint64 // revision of the unconfirmed catalog last sent
	verdictRevision    uint64 // revision of the verdicts last sent
	leavingRevision    uint64 // revision of the processes that leave last sent
	storageHosts       []rpc.Member
	controlHosts       []uint64  // replica IDs last sent
	storageHostsSentAt time.Time // when the storage hosts were last sent
	peerLoadsSentAt    time.Time // when PeerLoads was last sent with the loads
	spentSentAt        time.Time // and with or without them
	lastSent           time.Time
}

// send pushes what has changed, or an empty keepalive when one is due.
func (p *pusher) send(now time.Time) error {
	push := rpc.FollowPush{}
	push.Targets, p.registryRevision = p.server.registry.targetsSince(now, p.registryRevision)
	push.Leaving, p.leavingRevision = p.server.state.leavingSince(p.leavingRevision)
	p.addCatalog(&push)
	if verdicts := p.server.state.verdictsSince(p.verdictRevision); verdicts != nil && p.server.isCurrent() {
		push.Verdicts = verdicts
		p.verdictRevision = verdicts.Revision
	}
	if controls := p.server.group.Members(); !slices.Equal(controls, p.controlHosts) {
		push.ControlHosts = replicated.Addrs(controls)
		p.controlHosts = controls
	}
	p.addStorageHosts(now, &push)
	p.addPeerLoads(now, &push)
	empty := push.Catalog == nil && push.EarlyCatalog == nil && push.ConfirmedRevision == 0 && push.Verdicts == nil && push.Leaving == nil && push.ControlHosts == nil && len(push.Targets) == 0 && push.StorageHosts == nil && push.PeerLoads == nil
	if empty && now.Sub(p.lastSent) < keepaliveInterval {
		return nil
	}
	p.lastSent = now
	push.ConfirmedAgeMS = p.server.confirmedAge()
	push.AcceptsChanges = true
	return p.stream.Send(&push)
}

// addCatalog adds the catalog if it has changed. Until a quorum has confirmed it, only
// followers that accept an early one get it; they are told when it is confirmed.
func (p *pusher) addCatalog(push *rpc.FollowPush) {
	packed := p.server.state.packed.Load()
	revision := packed.State.Revision
	switch {
	case revision <= p.catalogRevision:
	case !p.server.isCurrent():
		if p.acceptsEarly && revision > p.earlyRevision && packed.State.Version > 0 {
			push.EarlyCatalog = packed
			p.earlyRevision = revision
		}
	case revision == p.earlyRevision:
		push.ConfirmedRevision = revision
		p.catalogRevision = revision
	default:
		push.Catalog = packed
		p.catalogRevision = revision
	}
}

// addStorageHosts adds the storage hosts if any has appeared, disappeared or changed,
// or if a repetition is due.
func (p *pusher) addStorageHosts(now time.Time, push *rpc.FollowPush) {
	hosts := p.server.registry.storageHosts(now, storageTimeout)
	slices.SortFunc(hosts, func(a, b rpc.Member) int { return cmp.Compare(a.Name, b.Name) })
	same := slices.EqualFunc(hosts, p.storageHosts, func(a, b rpc.Member) bool {
		return a.Name == b.Name && a.Incarnation == b.Incarnation && sameStorage(a.Storage, b.Storage)
	})
	if same && len(hosts) > 0 && now.Sub(p.storageHostsSentAt) < storageListInterval {
		return
	}
	p.storageHostsSentAt, p.storageHosts = now, hosts
	push.StorageHosts = hosts
}

// addPeerLoads adds the aggregate of the other processes. The broker needs it most
// often. Gateways that keep to bounds of quotas need only what the others have spent as
// often; the loads are most of the bytes.
func (p *pusher) addPeerLoads(now time.Time, push *rpc.FollowPush) {
	if !p.wantsPeerLoads.Load() {
		return
	}
	interval := peerLoadsInterval
	if p.server.registry.isStorageLeader(p.name) {
		interval = pushInterval
	}
	switch {
	case now.Sub(p.peerLoadsSentAt) >= interval:
		p.peerLoadsSentAt = now
		push.PeerLoads = p.server.registry.sumPeerLoads(now, p.name)
	case p.spentOften.Load() && now.Sub(p.spentSentAt) >= pushInterval:
		push.PeerLoads = p.server.registry.sumPeerSpent(now, p.name)
	default:
		return
	}
	p.spentSentAt = now
	if !p.debtsSent {
		push.PeerLoads.Debts = p.server.registry.largestDebts(now)
		p.debtsSent = push.PeerLoads.Gateways > 0
	}
	p.keepChanges(push.PeerLoads.Spent)
}

// keepChanges removes what the follower knows already. After a time in which it did
// not ask, it may have forgotten it.
func (p *pusher) keepChanges(spent map[string]uint64) {
	if asked := p.timesAsked.Load(); asked != p.spentSentFor || p.sentSpent == nil {
		p.spentSentFor, p.sentSpent = asked, make(map[string]uint64)
	}
	quota.KeepChanges(spent, p.sentSpent)
}
