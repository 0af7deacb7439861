package stall

import (
	"testing"
	"time"
)

func TestDetectorCheck(t *testing.T) {
	at := func(millis int) time.Time { return time.UnixMilli(int64(millis)) }
	detector := New(at(0))
	for _, step := range []struct {
		name             string
		now, from, until int
		detected         bool
	}{
		{"regular check", 50, -1, -1, false},
		{"delay below the minimum", 549, -1, -1, false},
		{"first stall", 1049, 549, 1049, true},
		{"check after a stall", 1060, 549, 1049, false},
		{"check with an earlier time, delayed by the lock", 1055, 549, 1049, false},
		{"second stall", 9000, 1060, 9000, true},
	} {
		from, until, detected := detector.Check(at(step.now))
		want := func(millis int) time.Time {
			if millis < 0 {
				return time.Time{}
			}
			return at(millis)
		}
		if !from.Equal(want(step.from)) || !until.Equal(want(step.until)) || detected != step.detected {
			t.Errorf("%s: from %v until %v, detected %t", step.name, from, until, detected)
		}
	}
}
