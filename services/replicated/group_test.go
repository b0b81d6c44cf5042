package replicated

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/catalog"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/standin"
)

// A host whose first start met a full disk later took itself for a member of the group,
// since its data directory was not empty, and did not found it.
func TestUnfinishedLogIsNoState(t *testing.T) {
	dir := t.TempDir()
	disk := &standin.Disk{}
	disk.Fail(syscall.ENOSPC)
	config := Config{Addr: "127.0.0.1:1", VoterCount: 1, Dir: dir, FS: disk, Log: telemetry.Discard(), Metrics: metrics.NewRegistry()}
	_, err := Open[catalog.Result](config, nil)
	require.ErrorIs(t, err, syscall.ENOSPC)
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.NotEmpty(t, entries)
	require.False(t, HasState(dir))
	disk.Fail(nil)
	_, err = Open[catalog.Result](config, nil)
	require.NoError(t, err)
	require.True(t, HasState(dir))
	require.False(t, HasState(filepath.Join(dir, "nowhere")))
}
