package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds the lines that are queued for the output.
	maxQueuedBytes = 1 << 20
	// batchDelay is how long a queued line waits for more lines, to write them together.
	batchDelay = 20 * time.Millisecond
)

// asyncWriter queues lines for a goroutine that writes them.
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

// Write implements io.Writer. It never blocks and never fails: lines that exceed maxQueuedBytes are
// dropped and counted.
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
		time.Sleep(batchDelay)
		// The error is ignored: the only place to report it would be this log.
		_, _ = w.output.Write(w.takeQueued())
	}
}

// takeQueued removes and returns the queued lines. If lines were dropped, it appends a line with
// their number.
func (w *asyncWriter) takeQueued() []byte {
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

// Flush writes the queued lines. It is called before the process exits.
func (w *asyncWriter) Flush() { _, _ = w.output.Write(w.takeQueued()) }
