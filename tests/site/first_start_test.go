package site

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

// Guards against a site that never accepts a job because its storage hosts lost power before their
// group had its first entry: they are told of their first start only once.
func TestPowerLossBeforeJobGroupExists(t *testing.T) {
	s := New(binaries, t.TempDir(), 185, 1, 3, 3)
	t.Cleanup(s.Close)
	require.NoError(t, s.Start())
	stores := s.Role(Store)
	for _, h := range stores {
		require.Eventually(t, func() bool {
			log, err := os.ReadFile(h.LogPath())
			return err == nil && bytes.Contains(log, []byte("msg=catalog_taken"))
		}, conditionTimeout, time.Millisecond)
	}
	for _, h := range stores {
		h.Signal(syscall.SIGKILL)
	}
	for _, h := range stores {
		h.Kill()
		require.NoError(t, h.Start())
	}
	target, err := standin.NewTarget("t0", platform.HeaderNames(), standin.Behaviour{Events: 2})
	require.NoError(t, err)
	s.AddTarget(target, target.Addr, "llm", 8)
	_, body := s.NextConfiguration("llm")
	require.NoError(t, s.PutConfiguration(t.Context(), body))
	var response Response
	require.Eventually(t, func() bool {
		response = s.Send(t.Context(), s.Role(Gateway)[0], http.MethodPost, "/lots/x", "lot", batchBody(1, "item"))
		return response.Status == http.StatusAccepted
	}, conditionTimeout/2, 100*time.Millisecond, "%v", &response)
}

// Guards against a site without a control group, which accepts no configuration, because
// control hosts lost power before the group had its first entry.
func TestPowerLossBeforeControlGroupExists(t *testing.T) {
	s := New(binaries, t.TempDir(), 186, 1, 3, 0)
	t.Cleanup(s.Close)
	controls := s.Role(Control)
	early, late := controls[:2], controls[2] // the group needs all three to be created
	for _, h := range early {
		require.NoError(t, h.Start())
		require.Eventually(t, func() bool {
			log, err := os.ReadFile(h.LogPath())
			return err == nil && bytes.Contains(log, []byte("msg=replica_opened"))
		}, conditionTimeout, time.Millisecond)
	}
	for _, h := range early {
		h.Kill()
		require.NoError(t, h.Start())
	}
	require.NoError(t, late.Start())
	_, body := s.NextConfiguration("llm")
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout/2)
	defer cancel()
	require.NoError(t, s.PutConfiguration(ctx, body))
}
