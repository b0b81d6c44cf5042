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

// blockingWriter is a log output whose writes block until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *blockingWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	w := NewAsyncWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * maxPendingBytes / len(line) { // returns although the output blocks
		_, err := w.Write(line)
		assert.NoError(t, err)
	}
	close(out.unblock)
	assert.Eventually(t, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.pending.Len() == 0 }, time.Minute, time.Millisecond)
	_, err := w.Write([]byte("last\n"))
	assert.NoError(t, err)
	cancel()
	wg.Wait()
	text := out.String()
	assert.Contains(t, text, "msg=log_lines_dropped lines=")
	assert.True(t, strings.HasSuffix(text, "last\n"), "buffered lines are written before Run returns")
}
