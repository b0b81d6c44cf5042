// Package relay runs a control process on a host without a disk. It takes no
// part in the catalog's group and keeps nothing: it knows which control hosts
// are there, sends callers on to one of them, and tells them to processes of
// the site that were given no other address.
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

// pushInterval is the pause between two pushes to a follower, as that of a
// control host with nothing to say.
const pushInterval = 400 * time.Millisecond

// Server is one relay. It is safe for concurrent use.
type Server struct {
	follower *follow.Follower
	wire     *wire.Server
	next     atomic.Uint64 // control host to send a caller on to
}

// New returns a relay with its own view of the site, which the caller runs.
func New(follower *follow.Follower, log *telemetry.Log) *Server {
	s := &Server{follower: follower, wire: wire.NewServer(log, nil)}
	s.wire.Handle(rpc.MethodFollow, s.follow)
	return s
}

// Run serves other processes on l until ctx ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error { return s.wire.Serve(ctx, l) }

// Control returns the wire address of a control host that was heard of late,
// another one for each call.
func (s *Server) Control() (addr string, found bool) {
	controls := s.follower.Controls()
	if len(controls) == 0 {
		return "", false
	}
	return controls[s.next.Add(1)%uint64(len(controls))], true
}

// follow tells one follower the control hosts. What it reports is not kept: it
// reports to them as well.
func (s *Server) follow(ctx context.Context, stream *wire.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := pool.New().WithErrors().WithFirstError()
	p.Go(func() error {
		defer stream.Close()
		return s.push(ctx, stream)
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

func (s *Server) push(ctx context.Context, stream *wire.Stream) error {
	ticker := time.NewTicker(pushInterval)
	defer ticker.Stop()
	for {
		if err := stream.Send(&rpc.FollowPush{Relay: true, Controls: s.follower.Controls()}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
