package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/pause"
	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

const (
	slowCallers  = 1                     // that send bodies slowly; with few of them the gateway at times handles no request and reads one
	slowBodyTime = 45 * time.Millisecond // from a request's head to the end of its body, at most
	thinkTime    = 30 * time.Millisecond // between a response and the next request, at most
)

// slowCaller sends requests whose bodies end slowBodyTime after their heads, one after
// another over as few connections as the gateway allows, until the gateway is gone.
type slowCaller struct {
	gateway *Host
	path    string
	name    string
	rand    *rand.Rand // of the pauses, which must not fall into step with the gateway's polls
	conn    net.Conn
	reader  *bufio.Reader

	unanswered []string // ids of requests that were sent whole and got no complete response
	answered   int
}

func (c *slowCaller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if c.conn == nil {
			conn, err := net.Dial("tcp", net.JoinHostPort(c.gateway.IP, strconv.Itoa(frontendPort)))
			if err != nil {
				return // the gateway is gone
			}
			c.conn, c.reader = conn, bufio.NewReader(conn)
		}
		pause.For(ctx, time.Duration(c.rand.Int64N(int64(thinkTime))))
		if !c.exchange(ctx, fmt.Sprintf("%s-%d", c.name, n)) {
			c.conn.Close()
			c.conn = nil
		}
	}
}

// exchange sends one request, reads its response and reports whether the connection can be
// used again.
func (c *slowCaller) exchange(ctx context.Context, id string) (kept bool) {
	headers := platform.HeaderNames()
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: k1\r\n%s: 5000\r\nContent-Length: 2\r\n\r\nb", c.path,
		headers.RequestID, id, headers.Key, headers.Deadline)
	if err != nil {
		return false
	}
	pause.For(ctx, time.Duration(c.rand.Int64N(int64(slowBodyTime))))
	if _, err := io.WriteString(c.conn, "b"); err != nil {
		return false
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.unanswered = append(c.unanswered, id)
		return false
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		c.unanswered = append(c.unanswered, id)
		return false
	}
	c.answered++
	return !response.Close
}

// Guards against requests that a stopping gateway passes on and cuts, because they were being
// read when it called itself drained (LOST on muuttorengas-banyan-grown). Each caller keeps
// its connection in use until the process is gone.
func TestStoppingGatewayCutsRequests(t *testing.T) {
	const stops = 6
	s := startSite(t, 180)
	targets := make([]*standin.Target, 4)
	for i := range targets {
		target, err := standin.NewTarget(fmt.Sprintf("t%d", i), platform.HeaderNames(), standin.Behaviour{Delay: 400 * time.Millisecond})
		require.NoError(t, err)
		s.AddTarget(target, target.Addr, "llm", 8)
		targets[i] = target
	}
	gateway := s.Role(Gateway)[0]
	for stop := range stops {
		awaitServed(t, s, gateway, "/once/1", fmt.Sprintf("first-%d", stop))
		callers := make([]*slowCaller, slowCallers)
		var wg conc.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		for i := range callers {
			callers[i] = &slowCaller{gateway: gateway, path: "/once/1", name: fmt.Sprintf("slow-%d-%d", stop, i), rand: rand.New(rand.NewPCG(uint64(stop), uint64(i)))}
			wg.Go(func() {
				pause.For(ctx, time.Duration(i)*slowBodyTime/slowCallers)
				callers[i].run(ctx)
			})
		}
		time.Sleep(time.Second)
		gateway.Signal(syscall.SIGTERM)
		require.True(t, gateway.awaitExit(exitTimeout))
		cancel()
		wg.Wait()
		ran := make(map[string]bool)
		for _, target := range targets {
			for _, run := range target.Runs() {
				ran[run.ID] = true
			}
		}
		answered := 0
		for _, c := range callers {
			answered += c.answered
			for _, id := range c.unanswered {
				assert.False(t, ran[id], "stop %d: request %s ran and got no answer", stop, id)
			}
		}
		assert.Positive(t, answered)
		require.NoError(t, gateway.Start())
	}
}
