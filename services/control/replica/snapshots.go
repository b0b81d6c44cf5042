package replica

import (
	"context"
	"time"

	"banyanwalk/core/raft"
	"banyanwalk/infra/pause"
)

// snapshotRetryInterval is the time between two attempts to write a snapshot to a
// disk that refuses it.
const snapshotRetryInterval = time.Second

// scheduleSnapshot adds the index, term and membership to an encoded state and
// passes it to the goroutine that writes the file.
func (r *Replica) scheduleSnapshot(encoded encodedState) {
	s, err := r.core.SnapshotAt(encoded.index)
	if err != nil {
		// A newer snapshot has been received from the leader in the meantime.
		r.event("snapshot_skipped", "index", encoded.index)
		return
	}
	s.Data = encoded.data
	select {
	case r.snapshotsToWrite <- s:
	default:
		r.event("snapshot_skipped", "index", encoded.index)
	}
}

// writeSnapshots writes snapshot files in its own goroutine, concurrently with
// replication.
func (r *Replica) writeSnapshots(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-r.snapshotsToWrite:
			if err := r.writeSnapshot(ctx, s); err != nil {
				cancel(err)
				return
			}
			select {
			case r.snapshotsWritten <- s:
			case <-ctx.Done():
				return
			}
		}
	}
}

// writeSnapshot writes a snapshot file. It repeats the write while the disk refuses
// it, until ctx ends.
func (r *Replica) writeSnapshot(ctx context.Context, s raft.Snapshot) error {
	for {
		err := r.wal.WriteSnapshot(s)
		if err == nil || !mayRepeat(err) {
			return err
		}
		r.saveFailures.Add(1)
		r.event("snapshot_failed", "index", s.Index, "bytes", len(s.Data), "error", err)
		if !pause.For(ctx, snapshotRetryInterval) {
			return err
		}
	}
}

// finishSnapshot removes the log entries covered by a snapshot that is on disk.
// Some of them stay in memory, so that slightly lagging members don't need the
// snapshot. If SnapshotBytes limits the size of the log, only entries after the
// previous snapshot are kept. If the disk refuses the write, the log is compacted with
// the next snapshot.
func (r *Replica) finishSnapshot(s raft.Snapshot) error {
	if err := r.wal.Compact(s.Index, s.Term); err != nil {
		if !mayRepeat(err) {
			return err
		}
		r.saveFailures.Add(1)
		r.event("compaction_failed", "index", s.Index, "error", err)
		return nil
	}
	maxKept := uint64(r.cfg.SnapshotEvery / 4)
	keepAfter := s.Index - min(maxKept, s.Index)
	if r.cfg.SnapshotBytes > 0 {
		keepAfter = max(keepAfter, min(r.previousSnapshotIndex, s.Index))
	}
	r.previousSnapshotIndex = s.Index
	r.core.Compact(s, keepAfter)
	r.event("snapshot", "index", s.Index, "bytes", len(s.Data))
	return nil
}
