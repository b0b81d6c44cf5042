package jobhost

import (
	"context"
	"sync"
	"time"

	"banyanwalk/core/jobs"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/replicated"
)

const (
	// commitDelay lets results that arrive together share a log entry.
	commitDelay = 5 * time.Millisecond
	// commitTimeout bounds one attempt to commit results.
	commitTimeout = 2 * time.Second
	// maxBatchBytes bounds the result texts in one log entry.
	maxBatchBytes = 512 << 10
)

// resultCommitter commits the results of runs to the replicated log in batches.
type resultCommitter struct {
	group    *replicated.Group[jobs.ApplyResult]
	log      *telemetry.Log
	onCommit func()

	mu       sync.Mutex
	finished map[jobs.ItemRef]jobs.Finished // not committed yet
	order    []jobs.ItemRef
	failures []jobs.ItemRef
	progress []jobs.Progress
	wake     chan struct{}
}

func newResultCommitter(group *replicated.Group[jobs.ApplyResult], log *telemetry.Log, onCommit func()) *resultCommitter {
	return &resultCommitter{
		group: group, log: log, onCommit: onCommit,
		finished: make(map[jobs.ItemRef]jobs.Finished),
		wake:     make(chan struct{}, 1),
	}
}

// addFinished queues the final state of an item. The first one wins.
func (c *resultCommitter) addFinished(f jobs.Finished) {
	c.mu.Lock()
	if _, known := c.finished[f.ItemRef]; !known {
		c.finished[f.ItemRef] = f
		c.order = append(c.order, f.ItemRef)
	}
	c.mu.Unlock()
	c.notify()
}

// addFailure queues a failed attempt at an item.
func (c *resultCommitter) addFailure(ref jobs.ItemRef) {
	c.mu.Lock()
	c.failures = append(c.failures, ref)
	c.mu.Unlock()
	c.notify()
}

// addProgress queues a checkpoint of a partly run item.
func (c *resultCommitter) addProgress(checkpoint jobs.Progress) {
	c.mu.Lock()
	c.progress = append(c.progress, checkpoint)
	c.mu.Unlock()
	c.notify()
}

func (c *resultCommitter) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// isPending reports whether the final state of an item waits to be committed.
func (c *resultCommitter) isPending(ref jobs.ItemRef) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, found := c.finished[ref]
	return found
}

// run commits queued results until ctx ends.
func (c *resultCommitter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		pause.For(ctx, commitDelay)
		for c.commitFailures(ctx) || c.commitFinished(ctx) {
		}
		c.commitProgress(ctx)
	}
}

// commitFinished commits one batch of results and reports whether more are
// queued.
func (c *resultCommitter) commitFinished(ctx context.Context) bool {
	batch := c.nextBatch()
	if len(batch) == 0 {
		return false
	}
	err := c.execute(ctx, jobs.Command{Finish: batch})
	c.mu.Lock()
	for i := range batch {
		delete(c.finished, batch[i].ItemRef)
	}
	c.order = c.order[len(batch):]
	more := len(c.order) > 0
	c.mu.Unlock()
	if err != nil {
		c.log.Warn("results_lost", "results", len(batch), "error", err)
	}
	c.onCommit()
	return more
}

// nextBatch returns the results for the next log entry.
func (c *resultCommitter) nextBatch() []jobs.Finished {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []jobs.Finished
	size := 0
	for _, ref := range c.order {
		f := c.finished[ref]
		if size += len(f.Text); len(batch) > 0 && size > maxBatchBytes {
			break
		}
		batch = append(batch, f)
	}
	return batch
}

func (c *resultCommitter) commitFailures(ctx context.Context) bool {
	c.mu.Lock()
	queued := c.failures
	c.failures = nil
	c.mu.Unlock()
	if len(queued) == 0 {
		return false
	}
	if err := c.execute(ctx, jobs.Command{Failed: queued}); err != nil {
		c.log.Warn("failures_lost", "items", len(queued), "error", err)
	}
	return true
}

// commitProgress commits the queued checkpoints. A failed commit is not retried:
// the later checkpoints of these items are then dropped, and a new leader resumes
// from an earlier event.
func (c *resultCommitter) commitProgress(ctx context.Context) {
	c.mu.Lock()
	queued := c.progress
	c.progress = nil
	c.mu.Unlock()
	if len(queued) == 0 {
		return
	}
	if err := c.execute(ctx, jobs.Command{Save: queued}); err != nil {
		c.log.Warn("progress_lost", "items", len(queued), "error", err)
	}
}

func (c *resultCommitter) execute(ctx context.Context, command jobs.Command) error {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := c.group.Execute(bounded, command)
	return err
}
