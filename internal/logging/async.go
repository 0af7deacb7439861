package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds the lines that wait for the output.
	maxQueuedBytes = 1 << 20
	// gatherTime is how long lines wait for others to share a write.
	gatherTime = 20 * time.Millisecond
)

// asyncWriter hands lines to a goroutine that writes them.
type asyncWriter struct {
	output  io.Writer
	wake    chan struct{}
	mutex   sync.Mutex
	queued  []byte
	dropped int
}

func newAsyncWriter(output io.Writer) *asyncWriter {
	w := &asyncWriter{output: output, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer. It never waits and never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mutex.Lock()
	if len(w.queued)+len(line) > maxQueuedBytes {
		w.dropped++
	} else {
		w.queued = append(w.queued, line...)
	}
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *asyncWriter) run() {
	for range w.wake {
		time.Sleep(gatherTime)
		// A line that can't be written has no better place to be reported.
		_, _ = w.output.Write(w.take())
	}
}

// take returns the lines that wait, with the count of those left out before.
func (w *asyncWriter) take() []byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	lines := w.queued
	w.queued = nil
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn event=log_lines_left_out count=%d\n", w.dropped)
		w.dropped = 0
	}
	return lines
}

// Flush writes what waits, for the end of a process.
func (w *asyncWriter) Flush() { _, _ = w.output.Write(w.take()) }
