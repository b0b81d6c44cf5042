package director

import (
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/routing"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wal"
	"banyanwalk/services/standin"
)

// A host whose replica had failed ran on without it, and its supervisor saw nothing to
// restart.
func TestFailedReplicaEndsRun(t *testing.T) {
	for _, failure := range []error{wal.ErrPermanent, wal.ErrDamaged} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		disk := &standin.Disk{}
		s, err := New(Config{Name: "c1", Addr: l.Addr().String(), InitialHosts: []string{l.Addr().String()}, VoterCount: 1, DataDir: t.TempDir(),
			Decode: func([]byte) (*routing.Document, error) { return document(1), nil }, FS: disk, Log: telemetry.Discard(), Metrics: metrics.NewRegistry()})
		require.NoError(t, err)
		disk.Fail(failure)
		result := make(chan error, 1)
		go func() { result <- s.Run(t.Context(), l) }()
		select {
		case err := <-result:
			require.ErrorIs(t, err, failure)
		case <-time.After(waitTimeout):
			require.Fail(t, "Run goes on")
		}
	}
}
