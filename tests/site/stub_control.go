package site

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/core/catalog"
	"banyanwalk/core/rollout"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/platform"
)

// stubPushInterval is the time between two pushes of a StubControl.
const stubPushInterval = 100 * time.Millisecond

// StubControl takes the place of a site's control hosts. It pushes a fixed set of
// targets and a catalog that tests change, and grants requests of rollouts.
type StubControl struct {
	serving conc.WaitGroup
	stop    context.CancelFunc

	mu       sync.Mutex
	state    catalog.State
	targets  []rpc.TargetReport
	cutOff   map[string]bool // members that are not served
	evidence map[uint64]*rpc.RolloutReport
	share    float64 // of the requests that may go to the new version
	slack    int
	ttl      time.Duration
	granted  int
}

// StartStubControl starts a stub at the wire address of the site's first control host,
// which must not run.
func (s *Site) StartStubControl(configuration []byte, targets []rpc.TargetReport, share float64, slack int, ttl time.Duration) (*StubControl, error) {
	document, canonical, err := platform.DecodeDocument(configuration)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.Role(Control)[0].IP, firstWirePort))
	if err != nil {
		return nil, err
	}
	c := &StubControl{state: catalog.State{Revision: 1, Version: document.Version, Body: canonical}, targets: targets,
		cutOff: make(map[string]bool), evidence: make(map[uint64]*rpc.RolloutReport), share: share, slack: slack, ttl: ttl}
	server := wire.NewServer(telemetry.Discard(), nil)
	server.Handle(rpc.MethodFollow, c.serveFollower)
	wire.HandleUnary(server, rpc.MethodRolloutGrant, c.serveReport)
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.serving.Go(func() { _ = server.Serve(ctx, l) }) // ends with ctx
	return c, nil
}

// Close stops the stub.
func (c *StubControl) Close() {
	c.stop()
	c.serving.Wait()
}

// SetRollout puts a rollout in the catalog.
func (c *StubControl) SetRollout(r rollout.Rollout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Revision++
	c.state.Rollouts = []rollout.Rollout{r}
}

// CutOff stops serving a member, without closing its connections.
func (c *StubControl) CutOff(member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutOff[member] = true
}

// Evidence returns the newest counts of a version, added up over all processes, and
// the requests granted.
func (c *StubControl) Evidence(version string) (sum rollout.Evidence, granted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, report := range c.evidence {
		for _, e := range report.Evidence {
			if e.Version == version {
				sum.Requests += e.Requests
				sum.Answers += e.Answers
				sum.Failed += e.Failed
				sum.Slow += e.Slow
			}
		}
	}
	return sum, c.granted
}

func (c *StubControl) serveFollower(ctx context.Context, stream *wire.Stream) error {
	var ping rpc.FollowPing
	if err := stream.Recv(&ping); err != nil {
		return err
	}
	revision := uint64(0)
	for ctx.Err() == nil {
		c.mu.Lock()
		push := rpc.FollowPush{PeerLoads: &rpc.PeerLoads{HostIncarnation: 1}, ConfirmedAgeMS: new(int64)}
		if revision < c.state.Revision {
			state := c.state
			push.Catalog, push.Targets = rpc.PackCatalog(&state, nil), c.targets
			revision = state.Revision
		}
		cut := c.cutOff[ping.Load.Member.Name]
		c.mu.Unlock()
		if !cut {
			if err := stream.Send(&push); err != nil {
				return err
			}
		}
		time.Sleep(stubPushInterval)
	}
	return nil
}

func (c *StubControl) serveReport(ctx context.Context, r *rpc.RolloutReport) (*rpc.RolloutGrants, error) {
	c.mu.Lock()
	if c.cutOff[r.Member] {
		c.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer c.mu.Unlock()
	c.evidence[r.Incarnation] = r
	total := 0
	for _, report := range c.evidence {
		for _, e := range report.Evidence {
			total += int(e.Answers)
		}
	}
	response := &rpc.RolloutGrants{}
	for _, known := range c.state.Rollouts {
		if known.Phase == rollout.Finishing {
			response.Grants = append(response.Grants, rpc.RolloutGrant{Service: known.Service, Version: known.Version, TTLMS: c.ttl.Milliseconds()})
		}
	}
	for _, w := range r.Wanted {
		if n := min(w.Requests, int(c.share*float64(total))+c.slack-c.granted); n > 0 {
			c.granted += n
			response.Grants = append(response.Grants, rpc.RolloutGrant{Service: w.Service, Version: w.Version, Requests: n, TTLMS: c.ttl.Milliseconds()})
		}
	}
	return response, nil
}
