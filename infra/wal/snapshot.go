package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/raft"
	"banyanwalk/infra/durable"
)

func snapshotPath(dir string, index, term uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x-%016x%s", index, term, snapshotSuffix))
}

// WriteSnapshot makes a snapshot file durable. It may run beside Save. The
// snapshot comes into force with Compact.
func (l *Log) WriteSnapshot(s raft.Snapshot) error {
	payload, err := msgpack.Marshal(&s)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	if len(payload) > maxPayload {
		return errors.Newf("wal: snapshot of %d bytes", len(payload))
	}
	head := appendFrameHead(nil, l.incarnation, s.Index, payload)
	return durable.WriteFile(snapshotPath(l.dir, s.Index, s.Term), head, payload)
}

// readSnapshot loads the snapshot in force.
func readSnapshot(dir string, incarnation uint64, mark snapshotMark) (raft.Snapshot, error) {
	var s raft.Snapshot
	if mark.Index == 0 {
		return s, nil
	}
	data, err := os.ReadFile(snapshotPath(dir, mark.Index, mark.Term))
	if err != nil {
		return s, errors.Wrapf(ErrDamaged, "snapshot %d: %v", mark.Index, err)
	}
	payload, size, ok := readFrame(data, incarnation, mark.Index)
	if !ok || size != len(data) {
		return s, errors.Wrapf(ErrDamaged, "snapshot %d", mark.Index)
	}
	if err := msgpack.Unmarshal(payload, &s); err != nil {
		return s, errors.Wrapf(ErrDamaged, "snapshot %d: %v", mark.Index, err)
	}
	if s.Index != mark.Index || s.Term != mark.Term {
		return s, errors.Wrapf(ErrDamaged, "snapshot %d holds %d", mark.Index, s.Index)
	}
	return s, nil
}

// removeSnapshots removes snapshot files older than the two last ones and, when
// the folder is opened, what an interrupted write left.
func removeSnapshots(dir string, former, mark snapshotMark, opening bool) error {
	names, err := os.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "list snapshots")
	}
	oldest := filepath.Base(snapshotPath(dir, former.Index, former.Term))
	newest := filepath.Base(snapshotPath(dir, mark.Index, mark.Term))
	for _, name := range names {
		isTemp := strings.HasSuffix(name.Name(), durable.TempSuffix)
		isSnapshot := strings.HasSuffix(name.Name(), snapshotSuffix)
		stale := isSnapshot && name.Name() < oldest
		if opening {
			kept := name.Name() == oldest || name.Name() == newest
			stale = isTemp || (isSnapshot && !kept)
		}
		if !stale {
			continue
		}
		if err := os.Remove(filepath.Join(dir, name.Name())); err != nil {
			return errors.Wrap(err, "remove snapshot")
		}
	}
	return nil
}
