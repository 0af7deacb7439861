package logging

import (
	"strings"
	"testing"
)

// stuckOutput takes nothing until it is released.
type stuckOutput struct {
	release chan struct{}
	written chan string
}

// Write implements io.Writer.
func (s *stuckOutput) Write(lines []byte) (int, error) {
	<-s.release
	s.written <- string(lines)
	return len(lines), nil
}

// TestStuckOutputHoldsNobodyUp writes far more lines than are kept while the
// output takes none: no call waits, and what was left out is counted.
func TestStuckOutputHoldsNobodyUp(t *testing.T) {
	output := &stuckOutput{release: make(chan struct{}), written: make(chan string, 100)}
	writer := newAsyncWriter(output)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxQueuedBytes / 1024
	for i := 0; i < lines; i++ {
		if count, err := writer.Write(line); err != nil || count != len(line) {
			t.Fatalf("%d, %v", count, err)
		}
	}
	close(output.release)
	seen, leftOut := 0, false
	for !leftOut {
		text := <-output.written
		seen += strings.Count(text, "\n")
		leftOut = strings.Contains(text, "event=log_lines_left_out count=")
		if !leftOut && seen > lines {
			t.Fatal("nothing was left out")
		}
	}
}
