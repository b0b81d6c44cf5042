package tests

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	crowdSize        = 64
	crowdMemoryMB    = 128 // of the gateway that meets the crowd; more ends it
	crowdChunkBytes  = 60 << 10
	crowdBodyBytes   = 4 << 20
	crowdSendTimeout = 20 * time.Second // for one caller to send what it sends
)

// Guards against callers that end a gateway with bodies of legal size that stop short of
// their end: each was bounded, all together were not.
func TestCrowdEndsGatewayOfFleet(t *testing.T) {
	plain := t.TempDir() // the race detector takes several times as much memory
	build := exec.Command("go", "build", "-o", plain+"/", "./cmd/...")
	build.Dir = ".."
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	f := startFleet(t, "FLEET_BIN="+plain, fmt.Sprintf("BANYAN_MEMORY_BYTES=%d", crowdMemoryMB<<20))
	addr := strings.TrimPrefix(f.gatewayURL(0), "http://")
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n", addr, f.env["KEY_A"])
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", crowdChunkBytes, bytes.Repeat([]byte(" "), crowdChunkBytes))
	var callers conc.WaitGroup
	conns := make([]net.Conn, crowdSize)
	for i := range conns {
		callers.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, crowdSendTimeout)
			if err != nil {
				return // refused; so are the errors below
			}
			conns[i] = conn
			_ = conn.SetWriteDeadline(time.Now().Add(crowdSendTimeout))
			_, err = conn.Write([]byte(head + "Transfer-Encoding: chunked\r\n\r\n"))
			for sent := 0; err == nil && sent < crowdBodyBytes; sent += crowdChunkBytes {
				_, err = conn.Write(chunk)
			}
		})
	}
	callers.Wait()
	t.Cleanup(func() {
		for _, conn := range conns {
			if conn != nil {
				conn.Close()
			}
		}
	})
	require.Eventually(t, func() bool {
		body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}]}`, f.env["MODEL"])
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.gatewayURL(0)+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+f.env["KEY_A"])
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, conditionTimeout, pollInterval, "beside the crowd")
	pid, err := os.ReadFile(filepath.Join(f.dir, "gateway-1.pid"))
	require.NoError(t, err)
	status, err := os.ReadFile(filepath.Join("/proc", strings.TrimSpace(string(pid)), "status"))
	require.NoError(t, err, "the process has ended")
	peak := 0
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			peak, err = strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			require.NoError(t, err)
		}
	}
	t.Logf("peak %d MB", peak>>10)
	assert.LessOrEqual(t, peak>>10, crowdMemoryMB)
}
