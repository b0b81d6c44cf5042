package director

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/roster"
	"banyanwalk/infra/codec"
	"banyanwalk/infra/durable"
)

// targetFileName is the name of the file in the data directory.
const targetFileName = "targets"

// targetFile keeps the targets in service on the disk of a control host, so that
// after a power loss of the whole site they need not all be waited for.
type targetFile struct {
	path  string
	saved uint64 // registry.changes of the last save
}

// save writes the reports if anything has changed since the last save.
func (f *targetFile) save(changes uint64, reports []roster.Report) error {
	if changes == f.saved {
		return nil
	}
	encoded, err := msgpack.Marshal(reports)
	if err != nil {
		return errors.Wrap(err, "encode targets")
	}
	if err := durable.WriteFile(durable.OS{}, f.path, encoded); err != nil {
		return err
	}
	f.saved = changes
	return nil
}

// load returns the reports of the last save, or none if there was no save.
func (f *targetFile) load() ([]roster.Report, error) {
	encoded, err := os.ReadFile(f.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read targets")
	}
	var reports []roster.Report
	if err := codec.Unmarshal(encoded, &reports); err != nil {
		return nil, errors.Wrap(err, "decode targets")
	}
	return reports, nil
}
