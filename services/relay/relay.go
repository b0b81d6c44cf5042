// Package relay runs a control process on a host without a disk. It is not a member
// of the catalog's group and stores nothing. It follows the control hosts, selects
// one of them for each request to redirect, and announces them to processes of the
// site that are configured with the relay's address only.
package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/follow"
)

// pushInterval is the interval of pushes to a follower, the same as that of an
// idle control host.
const pushInterval = 400 * time.Millisecond

// Server is a relay. It is safe for concurrent use.
type Server struct {
	follower *follow.Follower
	wire     *wire.Server
	next     atomic.Uint64 // round-robin counter over the control hosts
}

// New returns a relay that takes the control hosts from follower, which the
// caller must run.
func New(follower *follow.Follower, log *telemetry.Log) *Server {
	s := &Server{follower: follower, wire: wire.NewServer(log, nil)}
	s.wire.Handle(rpc.MethodFollow, s.serveFollower)
	return s
}

// Run serves followers on l until ctx ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error { return s.wire.Serve(ctx, l) }

// ControlHost returns the wire address of a control host that was heard from
// recently, in round-robin order.
func (s *Server) ControlHost() (addr string, found bool) {
	hosts := s.follower.ControlHosts()
	if len(hosts) == 0 {
		return "", false
	}
	return hosts[s.next.Add(1)%uint64(len(hosts))], true
}

// serveFollower pushes the control hosts to one follower. The follower's reports
// are discarded, since it sends them to the control hosts as well.
func (s *Server) serveFollower(ctx context.Context, stream *wire.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := pool.New().WithErrors().WithFirstError()
	p.Go(func() error {
		defer stream.Close()
		return s.pushControlHosts(ctx, stream)
	})
	p.Go(func() error {
		defer cancel()
		for {
			var ping rpc.FollowPing
			if err := stream.Recv(&ping); err != nil {
				return nil //nolint:nilerr // the follower has left
			}
		}
	})
	return p.Wait()
}

// pushControlHosts sends the known control hosts periodically until ctx ends.
func (s *Server) pushControlHosts(ctx context.Context, stream *wire.Stream) error {
	ticker := time.NewTicker(pushInterval)
	defer ticker.Stop()
	for {
		if err := stream.Send(&rpc.FollowPush{Relay: true, ControlHosts: s.follower.ControlHosts()}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
