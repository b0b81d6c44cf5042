package site

import (
	"bytes"
	"context"
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

	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

// A crowd is a number of callers that do not behave. All its connections stay open until an
// ordinary request has been served.
const (
	crowdSize        = 64
	crowdConnections = 2000 // of crowds that send no body
	crowdMemoryMB    = 96   // of the process that meets the crowd; more ends it
	crowdDescriptors = 600  // that it may have open
	crowdBodyLimit   = 4 << 20
	crowdSendTimeout = 20 * time.Second // for one caller to send what it sends
)

// crowd is what each of the callers sends after its request line and headers.
type crowd struct {
	name  string
	size  int
	head  string // headers in addition, with the blank line
	parts [][]byte
	count int // times that parts are sent
	pause time.Duration
}

func chunk(size int) []byte {
	return fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size))
}

func crowds() []crowd {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	length := func(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", bytes) }
	whole := func(size int) [][]byte { return [][]byte{bytes.Repeat([]byte("x"), size)} }
	tiny := bytes.Repeat(chunk(1), 4<<10)
	return []crowd{
		{name: "chunked, short of the end", size: crowdSize, head: chunked, parts: [][]byte{chunk(60 << 10)}, count: crowdBodyLimit / (60 << 10)},
		{name: "chunks of one byte", size: crowdSize, head: chunked, parts: [][]byte{tiny}, count: (1 << 20) / (4 << 10)},
		{name: "chunked, beyond the limit", size: crowdSize, head: chunked, parts: [][]byte{chunk(60 << 10)}, count: 12 << 20 / (60 << 10)},
		{name: "16 MB announced, one byte short", size: crowdSize, head: length(16 << 20), parts: whole(16<<20 - 1), count: 1},
		{name: "4 MB announced, one byte short", size: crowdSize, head: length(crowdBodyLimit), parts: whole(crowdBodyLimit - 1), count: 1},
		{name: "4 MB piece by piece", size: crowdSize, head: length(crowdBodyLimit), parts: whole(64<<10 - 1), count: 64, pause: 10 * time.Millisecond},
		{name: "4 MB, whole", size: crowdSize, head: length(crowdBodyLimit), parts: whole(crowdBodyLimit), count: 1},
		{name: "heads without end", size: crowdConnections, parts: [][]byte{fmt.Appendf(nil, "X-Long: %s", strings.Repeat("x", 15<<10))}, count: 1},
		{name: "silent connections", size: crowdConnections},
	}
}

// send opens a caller's connection and sends what the crowd sends, until it is refused.
func (c *crowd) send(addr, head string) net.Conn {
	conn, err := net.DialTimeout("tcp", addr, crowdSendTimeout)
	if err != nil {
		return nil // refused
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdSendTimeout))
	if c.parts == nil {
		return conn
	}
	if _, err := conn.Write([]byte(head + c.head)); err != nil {
		return conn // refused; so are the errors below
	}
	for range c.count {
		for _, part := range c.parts {
			if _, err := conn.Write(part); err != nil {
				return conn
			}
		}
		time.Sleep(c.pause)
	}
	return conn
}

// meet sends a crowd to an address. Its connections stay open until the end of the test.
func (c *crowd) meet(t *testing.T, addr, head string) {
	conns := make([]net.Conn, c.size)
	var callers conc.WaitGroup
	for i := range conns {
		callers.Go(func() { conns[i] = c.send(addr, head) })
	}
	callers.Wait()
	t.Cleanup(func() {
		for _, conn := range conns {
			if conn != nil {
				conn.Close()
			}
		}
	})
}

// plainBinaries builds the site programs without the race detector, which takes several
// times as much memory.
func plainBinaries(t *testing.T) string {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/banyan-site-gateway", "./cmd/banyan-site-control", "./cmd/banyan-site-store")
	build.Dir = "../.."
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	return dir
}

// peakMemoryMB returns the largest resident size that a host's process has had.
func (h *Host) peakMemoryMB(t *testing.T) int {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(h.pid()), "status"))
	require.NoError(t, err, "the process has ended")
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			require.NoError(t, err)
			return kilobytes >> 10
		}
	}
	require.Fail(t, "no VmHWM")
	return 0
}

// openDescriptors returns how many descriptors a host's process has open.
func (h *Host) openDescriptors(t *testing.T) int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(h.pid()), "fd"))
	require.NoError(t, err, "the process has ended")
	return len(entries)
}

func (h *Host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.command.Process.Pid
}

// testCrowds lets each crowd meet a process of a role, and then sends it an ordinary
// request.
func testCrowds(t *testing.T, role string, port int, head string, ordinary func(s *Site, h *Host) bool) {
	plain := plainBinaries(t)
	for i, c := range crowds() {
		t.Run(c.name, func(t *testing.T) {
			s := New(plain, t.TempDir(), 120+i, 1, 3, 0)
			t.Cleanup(s.Close)
			h := s.Role(role)[0]
			h.SettingsOverrides = map[string]any{"limits": map[string]any{"memory_mb": crowdMemoryMB, "max_fds": crowdDescriptors}}
			require.NoError(t, s.Start())
			target, err := standin.NewTarget("t0", platform.HeaderNames(), standin.Behaviour{})
			require.NoError(t, err)
			s.AddTarget(target, target.Addr, PlainService, 8)
			ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
			defer cancel()
			_, body := s.NextConfiguration(PlainService)
			require.NoError(t, s.PutConfiguration(ctx, body))
			require.Eventually(t, func() bool { return ordinary(s, h) }, conditionTimeout, 100*time.Millisecond, "before the crowd")
			c.meet(t, fmt.Sprintf("%s:%d", h.IP, port), head)
			assert.LessOrEqual(t, h.openDescriptors(t), crowdDescriptors)
			require.Eventually(t, func() bool { return ordinary(s, h) }, conditionTimeout, 100*time.Millisecond, "beside the crowd")
			assert.LessOrEqual(t, h.openDescriptors(t), crowdDescriptors)
			peak := h.peakMemoryMB(t)
			t.Logf("peak %d MB", peak)
			assert.LessOrEqual(t, peak, crowdMemoryMB)
		})
	}
}

// Guards against callers that end a gateway: it read bodies whole, whatever their number
// and size, before it looked at the route, the key or any limit.
func TestCrowdEndsGateway(t *testing.T) {
	headers := platform.HeaderNames()
	head := fmt.Sprintf("POST /card/1 HTTP/1.1\r\nHost: site.example\r\n%s: crowd\r\n%s: k1\r\n", headers.RequestID, headers.Key)
	testCrowds(t, Gateway, frontendPort, head, func(s *Site, h *Host) bool {
		response := s.Send(t.Context(), h, http.MethodPost, "/card/1", fmt.Sprint("ordinary-", time.Now().UnixNano()), []byte("body"))
		return response.Status == http.StatusOK && response.Err == nil
	})
}

// Guards against callers that end a control host through the port for operators and
// targets.
func TestCrowdEndsControlHost(t *testing.T) {
	head := "POST /v1/configuration/replace HTTP/1.1\r\nHost: control\r\n"
	testCrowds(t, Control, controlPlanePort, head, func(s *Site, h *Host) bool {
		status, _, err := s.CallControl(h, http.MethodGet, "/v1/configuration/read", nil)
		return err == nil && status == http.StatusOK
	})
}
