package follow

import (
	"context"
	"maps"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/core/placement"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const (
	// dialTimeout is short: a host without power does not answer, and the next
	// try may find it back.
	dialTimeout = 300 * time.Millisecond
	// stallTimeout ends a feed whose host pushes nothing. Hosts push every
	// 400 ms at least.
	stallTimeout = 1500 * time.Millisecond
	// reportInterval is the pause between two reports while the load changes,
	// reportIdle while it does not.
	reportInterval = 100 * time.Millisecond
	reportIdle     = 500 * time.Millisecond
	nudgePause     = 10 * time.Millisecond
	// retryPause is the pause before the next try at a host; it doubles up to
	// maxRetryPause.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 1600 * time.Millisecond
)

// feed follows one control host until ctx ends.
func (f *Follower) feed(ctx context.Context, addr string) {
	wait := retryPause
	for ctx.Err() == nil {
		started := time.Now()
		err := f.followOnce(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) > stallTimeout {
			wait = retryPause
			f.cfg.Log.Warn("control_feed_lost", "control", addr, "error", err)
		}
		pause.For(ctx, wait)
		wait = min(2*wait, maxRetryPause)
	}
}

// followOnce keeps one stream to a control host until it fails.
func (f *Follower) followOnce(ctx context.Context, addr string) error {
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
	wg.Go(func() {
		defer stream.Close()
		f.report(ctx, addr, stream)
	})
	for {
		if err := stream.SetDeadline(time.Now().Add(stallTimeout)); err != nil {
			return err
		}
		var push rpc.FollowPush
		if err := stream.Recv(&push); err != nil {
			return err
		}
		f.Take(time.Now(), addr, &push)
	}
}

// report sends what this process does until the stream fails or ctx ends.
func (f *Follower) report(ctx context.Context, addr string, stream *wire.Stream) {
	var sent time.Time
	var before map[string]placement.Load
	asked := false
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		nudge := *f.nudge.Load()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-nudge:
			pause.For(ctx, nudgePause)
		}
		timer.Reset(reportInterval)
		own := f.reported(f.broker())
		asks := f.asksOthers(addr)
		if maps.Equal(own, before) && asks == asked && time.Since(sent) < reportIdle {
			continue
		}
		if err := stream.Send(&rpc.FollowPing{Load: f.load(), Others: asks}); err != nil {
			return
		}
		sent, before, asked = time.Now(), own, asks
	}
}
