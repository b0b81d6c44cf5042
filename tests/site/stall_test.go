package site

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// leadershipChanges counts the changes of leadership that hosts have logged.
func leadershipChanges(t *testing.T, hosts []*Host) int {
	t.Helper()
	count := 0
	for _, h := range hosts {
		content, err := os.ReadFile(h.LogPath())
		require.NoError(t, err)
		count += strings.Count(string(content), "msg=leadership ")
	}
	return count
}

// Groups lost their leader with nothing killed: a disk or processor that all hosts
// share had stalled them for longer than the election timeout.
func TestGroupLosesLeaderWhileAllHostsStall(t *testing.T) {
	const stalls, stall = 5, 900 * time.Millisecond
	s := startSite(t, 116)
	hosts := append(s.Role(Control), s.Role(Store)...)
	settled := func() bool {
		before := leadershipChanges(t, hosts)
		time.Sleep(contactTime / 2)
		return before > 0 && leadershipChanges(t, hosts) == before
	}
	require.Eventually(t, settled, conditionTimeout, time.Millisecond)
	before := leadershipChanges(t, hosts)
	for range stalls {
		for _, h := range hosts {
			h.Signal(syscall.SIGSTOP)
		}
		time.Sleep(stall)
		for _, h := range hosts {
			h.Signal(syscall.SIGCONT)
		}
		time.Sleep(contactTime / 2)
	}
	assert.Equal(t, before, leadershipChanges(t, hosts))
}
