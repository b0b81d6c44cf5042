package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
)

const (
	// maxPendingLog bounds the bytes of log lines that wait to be written.
	maxPendingLog = 512 << 10
	// maxLogWrite bounds one write.
	maxLogWrite = 64 << 10
)

// AsyncWriter passes log lines on without ever blocking who writes them. Lines
// that find too much waiting are dropped and counted; the count is written
// once there is room again.
type AsyncWriter struct {
	to      io.Writer
	mu      sync.Mutex
	pending bytes.Buffer
	dropped int
	wake    chan struct{}
}

// NewAsyncWriter returns a writer whose lines Run passes to to.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	return &AsyncWriter{to: to, wake: make(chan struct{}, 1)}
}

// Write queues one line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.pending.Len()+len(line) > maxPendingLog {
		w.dropped++
	} else {
		if w.dropped > 0 {
			fmt.Fprintf(&w.pending, "level=warning msg=log_lines_dropped lines=%d\n", w.dropped)
			w.dropped = 0
		}
		w.pending.Write(line)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes what is queued until ctx ends and all of it is out.
func (w *AsyncWriter) Run(ctx context.Context) {
	buf := make([]byte, maxLogWrite)
	for {
		n := w.next(buf)
		if n > 0 {
			if _, err := w.to.Write(buf[:n]); err != nil {
				return // nobody reads the log any more
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
	}
}

func (w *AsyncWriter) next(buf []byte) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, _ := w.pending.Read(buf) // io.EOF with n == 0: nothing waits
	return n
}
