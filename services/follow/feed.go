package follow

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/core/placement"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const (
	// dialTimeout is short because a powered-off host does not answer; the next
	// attempt may succeed.
	dialTimeout = 300 * time.Millisecond
	// stallTimeout ends a stream on which the host pushes nothing. Hosts push at
	// least every 400 ms.
	stallTimeout = 1500 * time.Millisecond
	// reportInterval is the time between load reports while the load changes;
	// idleReportInterval applies while it does not.
	reportInterval     = 100 * time.Millisecond
	idleReportInterval = 500 * time.Millisecond
	reportNowDelay     = 10 * time.Millisecond
	// initialBackoff is the mean delay before reconnecting to a host; it doubles up
	// to maxBackoff. Control hosts that start along with this process listen within
	// a few hundredths of a second.
	initialBackoff = 25 * time.Millisecond
	maxBackoff     = 1600 * time.Millisecond
)

// followControl keeps a stream to one control host, reconnecting with backoff,
// until ctx ends.
func (f *Follower) followControl(ctx context.Context, addr string) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		started := time.Now()
		err := f.runStream(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) > stallTimeout {
			backoff = initialBackoff
			f.cfg.Log.Warn("control_feed_lost", "control", addr, "error", err)
		}
		pause.For(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// runStream opens one stream to a control host and serves it until it fails.
func (f *Follower) runStream(ctx context.Context, addr string) error {
	dialling, cancelDial := context.WithTimeout(ctx, dialTimeout)
	conn, err := wire.Dial(dialling, addr, f.cfg.TLS)
	cancelDial()
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := conn.Open(ctx, rpc.MethodFollow)
	if err != nil {
		return err
	}
	defer stream.Close()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	var acceptsChanges atomic.Bool
	wg.Go(func() {
		defer stream.Close()
		f.sendReports(ctx, addr, stream, &acceptsChanges)
	})
	for {
		if err := stream.SetDeadline(time.Now().Add(stallTimeout)); err != nil {
			return err
		}
		var push rpc.FollowPush
		if err := stream.Recv(&push); err != nil {
			return err
		}
		if push.AcceptsChanges {
			acceptsChanges.Store(true)
		}
		f.ApplyPush(time.Now(), addr, &push)
	}
}

// sendReports sends this process's load to the control host until the stream
// fails or ctx ends.
func (f *Follower) sendReports(ctx context.Context, addr string, stream *wire.Stream, acceptsChanges *atomic.Bool) {
	changes := reportChanges{}
	var sentAt time.Time
	var sentLoads map[string]placement.Load
	sentWantsPeerLoads := false
	sentLimitSequence, sentSpends, sentLeavings := uint64(0), uint64(0), uint64(0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		reportNow := *f.reportNow.Load()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-reportNow:
			pause.For(ctx, reportNowDelay)
		}
		timer.Reset(reportInterval)
		loads := f.ownLoads(f.brokerID())
		wantsPeerLoads := f.wantsPeerLoads(addr)
		limitSequence := f.Targets.LimitSequence()
		spends, leavings := f.Buckets.Spends(), f.leavings.Load()
		if maps.Equal(loads, sentLoads) && spends == sentSpends && leavings == sentLeavings && limitSequence == sentLimitSequence && wantsPeerLoads == sentWantsPeerLoads && time.Since(sentAt) < idleReportInterval {
			continue
		}
		load := f.memberLoad()
		if acceptsChanges.Load() {
			changes.reduce(time.Now(), f.spendsTokens(), &load)
		}
		if err := stream.Send(&rpc.FollowPing{Load: load, WantsPeerLoads: wantsPeerLoads, SpentOften: f.spendsTokens(), AcceptsEarly: f.cfg.AcceptEarly}); err != nil {
			return
		}
		sentSpends, sentLeavings = spends, leavings
		sentAt, sentLoads, sentWantsPeerLoads, sentLimitSequence = time.Now(), loads, wantsPeerLoads, limitSequence
	}
}
