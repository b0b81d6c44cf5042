package telemetry

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
)

// gated is a reader of the log that stops until it is let go.
type gated struct {
	gate chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (g *gated) Write(p []byte) (int, error) {
	<-g.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *gated) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

func TestAReaderThatStopsBlocksNobody(t *testing.T) {
	out := &gated{gate: make(chan struct{})}
	w := NewAsyncWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * maxPendingLog / len(line) { // returns although nothing is read
		_, err := w.Write(line)
		assert.NoError(t, err)
	}
	close(out.gate)
	assert.Eventually(t, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.pending.Len() == 0 }, time.Minute, time.Millisecond)
	_, err := w.Write([]byte("last\n"))
	assert.NoError(t, err)
	cancel()
	wg.Wait()
	text := out.String()
	assert.Contains(t, text, "msg=log_lines_dropped lines=")
	assert.True(t, strings.HasSuffix(text, "last\n"), "what is queued is written before the end")
}
