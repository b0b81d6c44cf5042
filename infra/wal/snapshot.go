package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/raft"
	"banyanwalk/infra/codec"
	"banyanwalk/infra/durable"
)

func snapshotPath(dir string, index, term uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x-%016x%s", index, term, snapshotSuffix))
}

// WriteSnapshot writes a snapshot file and makes it durable. It may run
// concurrently with Save. Compact makes the snapshot the current one. After an error
// it may be called again.
func (l *Log) WriteSnapshot(s raft.Snapshot) error {
	payload, err := msgpack.Marshal(&s)
	if err != nil {
		return errors.Wrapf(ErrPermanent, "encode snapshot: %v", err)
	}
	if len(payload) > maxPayload {
		return errors.Wrapf(ErrPermanent, "snapshot of %d bytes is too large", len(payload))
	}
	head := appendFrameHeader(nil, l.incarnation, s.Index, payload)
	return durable.WriteFile(l.options.FS, snapshotPath(l.dir, s.Index, s.Term), head, payload)
}

// readSnapshot reads the snapshot file that ref identifies. It returns an empty
// snapshot if there is none yet.
func readSnapshot(dir string, incarnation uint64, ref snapshotRef) (raft.Snapshot, error) {
	var s raft.Snapshot
	if ref.Index == 0 {
		return s, nil
	}
	data, err := os.ReadFile(snapshotPath(dir, ref.Index, ref.Term))
	if err != nil {
		return s, errors.Wrapf(ErrDamaged, "snapshot %d: %v", ref.Index, err)
	}
	payload, size, ok := readFrame(data, incarnation, ref.Index)
	if !ok || size != len(data) {
		return s, errors.Wrapf(ErrDamaged, "snapshot %d: invalid frame", ref.Index)
	}
	if err := codec.Unmarshal(payload, &s); err != nil {
		return s, errors.Wrapf(ErrDamaged, "snapshot %d: %v", ref.Index, err)
	}
	if s.Index != ref.Index || s.Term != ref.Term {
		return s, errors.Wrapf(ErrDamaged, "snapshot %d: file contains another snapshot, of index %d", ref.Index, s.Index)
	}
	return s, nil
}

// removeSnapshots removes the snapshot files that precede the previous snapshot.
// When the directory is being opened it also removes every other snapshot file that
// is not referenced, and temporary files of interrupted writes.
func removeSnapshots(fs durable.FS, dir string, previous, current snapshotRef, opening bool) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "list snapshots")
	}
	previousName := filepath.Base(snapshotPath(dir, previous.Index, previous.Term))
	currentName := filepath.Base(snapshotPath(dir, current.Index, current.Term))
	for _, entry := range entries {
		isTemp := strings.HasSuffix(entry.Name(), durable.TempSuffix)
		isSnapshot := strings.HasSuffix(entry.Name(), snapshotSuffix)
		stale := isSnapshot && entry.Name() < previousName
		if opening {
			referenced := entry.Name() == previousName || entry.Name() == currentName
			stale = isTemp || (isSnapshot && !referenced)
		}
		if !stale {
			continue
		}
		if err := fs.Remove(filepath.Join(dir, entry.Name())); err != nil {
			return errors.Wrap(err, "remove snapshot")
		}
	}
	return nil
}
