package logging

import (
	"strings"
	"testing"
)

// blockedOutput blocks all writes until release is closed.
type blockedOutput struct {
	release chan struct{}
	written chan string
}

// Write implements io.Writer.
func (s *blockedOutput) Write(lines []byte) (int, error) {
	<-s.release
	s.written <- string(lines)
	return len(lines), nil
}

// TestBlockedOutputBlocksNoCaller writes three times as many lines as the queue holds while the
// output blocks. No call may block, and the number of dropped lines must be logged.
func TestBlockedOutputBlocksNoCaller(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{}), written: make(chan string, 100)}
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
			t.Fatal("no dropped lines were logged")
		}
	}
}
