package fleetwatch

import (
	"testing"
	"time"
)

// TestPatience: an answer is held for a process that is up to date, and not for one that
// heard nothing for longer than any answer takes.
func TestPatience(t *testing.T) {
	for silent, want := range map[time.Duration]time.Duration{
		0:                        holdTime,
		holdTime + replyTime:     holdTime,
		holdTime + replyTime + 1: 0,
		time.Hour:                0,
	} {
		if got := patience(silent); got != want {
			t.Errorf("after %s: %s, want %s", silent, got, want)
		}
	}
}
