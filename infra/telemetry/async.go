package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
)

const (
	// maxPendingBytes bounds the buffer of log lines that are not yet written.
	maxPendingBytes = 512 << 10
	// maxWriteBytes bounds one write to the output.
	maxWriteBytes = 64 << 10
)

// AsyncWriter buffers log lines so that a slow or stopped output never blocks the
// code that logs. Lines that do not fit into the buffer are dropped and counted;
// the count is logged once there is room again.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	pending bytes.Buffer
	dropped int
	wake    chan struct{}
}

// NewAsyncWriter returns a writer whose lines Run writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, wake: make(chan struct{}, 1)}
}

// Write buffers one line or drops it. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.pending.Len()+len(line) > maxPendingBytes {
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

// Run writes buffered lines to the output until ctx is cancelled and the buffer is
// empty, or until a write fails.
func (w *AsyncWriter) Run(ctx context.Context) {
	buf := make([]byte, maxWriteBytes)
	for {
		n := w.nextChunk(buf)
		if n > 0 {
			if _, err := w.out.Write(buf[:n]); err != nil {
				return // the output is closed
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

// nextChunk moves buffered bytes into buf and returns their number.
func (w *AsyncWriter) nextChunk(buf []byte) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, _ := w.pending.Read(buf) // io.EOF with n == 0: the buffer is empty
	return n
}
