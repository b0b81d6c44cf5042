package follow

import (
	"context"
	"crypto/tls"
	"slices"
	"sync"

	"github.com/sourcegraph/conc"

	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// FindControlHosts asks the seeds for the site's control hosts and returns the sorted
// wire addresses named by the seeds that answered before ctx ended. member
// identifies the asking process.
func FindControlHosts(ctx context.Context, member rpc.Member, seeds []string, tlsConfig *tls.Config) []string {
	var mu sync.Mutex
	var found []string
	var wg conc.WaitGroup
	for _, seed := range seeds {
		wg.Go(func() {
			hosts, err := askForControlHosts(ctx, member, seed, tlsConfig)
			if err != nil {
				return // seed is down or unreachable; the other seeds suffice
			}
			mu.Lock()
			defer mu.Unlock()
			found = append(found, hosts...)
		})
	}
	wg.Wait()
	slices.Sort(found)
	return slices.Compact(found)
}

// askForControlHosts returns the first non-empty list of control hosts that a seed
// pushes.
func askForControlHosts(ctx context.Context, member rpc.Member, seed string, tlsConfig *tls.Config) ([]string, error) {
	conn, err := wire.Dial(ctx, seed, tlsConfig)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stream, err := conn.Open(ctx, rpc.MethodFollow)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	if until, bounded := ctx.Deadline(); bounded {
		if err := stream.SetDeadline(until); err != nil {
			return nil, err
		}
	}
	if err := stream.Send(&rpc.FollowPing{Load: rpc.MemberLoad{Member: member}}); err != nil {
		return nil, err
	}
	for {
		var push rpc.FollowPush
		if err := stream.Recv(&push); err != nil {
			return nil, err
		}
		if len(push.ControlHosts) > 0 {
			return push.ControlHosts, nil
		}
	}
}
