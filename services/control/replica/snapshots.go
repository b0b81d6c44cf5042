package replica

import (
	"context"

	"banyanwalk/core/raft"
)

// startSnapshot gives an encoded state its place in the log and passes it to
// the goroutine that writes the file.
func (r *Replica) startSnapshot(t taken) {
	s, err := r.core.SnapshotAt(t.index)
	if err != nil {
		// A newer snapshot of the leader came in between.
		r.event("snapshot_skipped", "index", t.index)
		return
	}
	s.Data = t.data
	select {
	case r.toWrite <- s:
	default:
		r.event("snapshot_skipped", "index", t.index)
	}
}

// writeSnapshots writes snapshot files beside the replication.
func (r *Replica) writeSnapshots(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-r.toWrite:
			if err := r.wal.WriteSnapshot(s); err != nil {
				cancel(err)
				return
			}
			select {
			case r.written <- s:
			case <-ctx.Done():
				return
			}
		}
	}
}

// finishSnapshot truncates the log behind a snapshot that is on disk. Some
// entries stay in memory for members that lag a little, where the size of the
// log is bounded only those after the snapshot before.
func (r *Replica) finishSnapshot(s raft.Snapshot) error {
	if err := r.wal.Compact(s.Index, s.Term); err != nil {
		return err
	}
	keep := uint64(r.cfg.SnapshotEvery / 4)
	after := s.Index - min(keep, s.Index)
	if r.cfg.SnapshotBytes > 0 {
		after = max(after, min(r.compacted, s.Index))
	}
	r.compacted = s.Index
	r.core.Compact(s, after)
	r.event("snapshot", "index", s.Index, "bytes", len(s.Data))
	return nil
}
