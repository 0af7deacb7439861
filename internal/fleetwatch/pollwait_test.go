package fleetwatch

import (
	"testing"
	"time"
)

// TestPollWait checks that a coordinator may hold the poll of a process that is up to date, and
// must answer at once if the process got no answer for longer than any answer takes.
func TestPollWait(t *testing.T) {
	for sinceAnswer, want := range map[time.Duration]time.Duration{
		0:                              maxPollWait,
		maxPollWait + replyTimeout:     maxPollWait,
		maxPollWait + replyTimeout + 1: 0,
		time.Hour:                      0,
	} {
		if got := pollWait(sinceAnswer); got != want {
			t.Errorf("after %s: %s, want %s", sinceAnswer, got, want)
		}
	}
}
