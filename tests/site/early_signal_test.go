package site

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/platform"
)

// Guards against SIGHUP ending a process that is about to read its settings.
func TestSettingsSignalDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(path, 0o600)) // holds the process at the start of its settings
	command := exec.Command(filepath.Join(binaries, "banyan-site-gateway"))
	command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+path)
	require.NoError(t, command.Start())
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the process has opened it
	require.NoError(t, err)
	require.NoError(t, command.Process.Signal(syscall.SIGHUP))
	time.Sleep(200 * time.Millisecond)
	_, err = fmt.Fprint(pipe, "not settings")
	pipe.Close()
	_ = command.Wait() // fails: the settings are invalid
	require.NoError(t, err)
	require.True(t, command.ProcessState.Exited(), "%s", command.ProcessState)
}
