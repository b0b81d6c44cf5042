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
	// resultPause lets results that come together share an entry of the log.
	resultPause = 5 * time.Millisecond
	// resultTimeout bounds one try to log results.
	resultTimeout = 2 * time.Second
	// maxBatchBytes bounds the texts of one entry.
	maxBatchBytes = 512 << 10
)

// resultLog commits the results of runs, several at a time.
type resultLog struct {
	group     *replicated.Group[jobs.Answer]
	log       *telemetry.Log
	committed func()

	mu       sync.Mutex
	finished map[jobs.ItemRef]jobs.Finished // not committed yet
	order    []jobs.ItemRef
	failures []jobs.ItemRef
	parts    []jobs.Progress
	wake     chan struct{}
}

func newResultLog(group *replicated.Group[jobs.Answer], log *telemetry.Log, committed func()) *resultLog {
	return &resultLog{
		group: group, log: log, committed: committed,
		finished: make(map[jobs.ItemRef]jobs.Finished),
		wake:     make(chan struct{}, 1),
	}
}

// add queues the final state of an item. The first one wins.
func (l *resultLog) add(f jobs.Finished) {
	l.mu.Lock()
	if _, known := l.finished[f.ItemRef]; !known {
		l.finished[f.ItemRef] = f
		l.order = append(l.order, f.ItemRef)
	}
	l.mu.Unlock()
	l.notify()
}

// failed queues a failed attempt at an item.
func (l *resultLog) failed(ref jobs.ItemRef) {
	l.mu.Lock()
	l.failures = append(l.failures, ref)
	l.mu.Unlock()
	l.notify()
}

// save queues how far an item has come.
func (l *resultLog) save(part jobs.Progress) {
	l.mu.Lock()
	l.parts = append(l.parts, part)
	l.mu.Unlock()
	l.notify()
}

func (l *resultLog) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// pending reports whether the final state of an item waits to be committed.
func (l *resultLog) pending(ref jobs.ItemRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, found := l.finished[ref]
	return found
}

// run commits until ctx ends.
func (l *resultLog) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		pause.For(ctx, resultPause)
		for l.commitFailures(ctx) || l.commitFinished(ctx) {
		}
		l.commitParts(ctx)
	}
}

// commitFinished commits some results and reports whether there are more.
func (l *resultLog) commitFinished(ctx context.Context) bool {
	batch := l.next()
	if len(batch) == 0 {
		return false
	}
	err := l.execute(ctx, jobs.Command{Finish: batch})
	l.mu.Lock()
	for i := range batch {
		delete(l.finished, batch[i].ItemRef)
	}
	l.order = l.order[len(batch):]
	more := len(l.order) > 0
	l.mu.Unlock()
	if err != nil {
		l.log.Warn("results_lost", "results", len(batch), "error", err)
	}
	l.committed()
	return more
}

// next returns the results of the next entry.
func (l *resultLog) next() []jobs.Finished {
	l.mu.Lock()
	defer l.mu.Unlock()
	var batch []jobs.Finished
	size := 0
	for _, ref := range l.order {
		f := l.finished[ref]
		if size += len(f.Text); len(batch) > 0 && size > maxBatchBytes {
			break
		}
		batch = append(batch, f)
	}
	return batch
}

func (l *resultLog) commitFailures(ctx context.Context) bool {
	l.mu.Lock()
	failures := l.failures
	l.failures = nil
	l.mu.Unlock()
	if len(failures) == 0 {
		return false
	}
	if err := l.execute(ctx, jobs.Command{Failed: failures}); err != nil {
		l.log.Warn("failures_lost", "items", len(failures), "error", err)
	}
	return true
}

// commitParts saves how far items have come. What is lost is not repeated: the
// parts that follow are then dropped, and a new leader goes back further.
func (l *resultLog) commitParts(ctx context.Context) {
	l.mu.Lock()
	parts := l.parts
	l.parts = nil
	l.mu.Unlock()
	if len(parts) == 0 {
		return
	}
	if err := l.execute(ctx, jobs.Command{Save: parts}); err != nil {
		l.log.Warn("progress_lost", "items", len(parts), "error", err)
	}
}

func (l *resultLog) execute(ctx context.Context, c jobs.Command) error {
	bounded, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	_, err := l.group.Execute(bounded, c)
	return err
}
