package stall

import (
	"testing"
	"time"
)

func TestStandstills(t *testing.T) {
	at := func(millis int) time.Time { return time.UnixMilli(int64(millis)) }
	w := New(at(0))
	for _, look := range []struct {
		name             string
		now, from, until int
		noticed          bool
	}{
		{"it runs", 50, -1, -1, false},
		{"it was kept waiting", 549, -1, -1, false},
		{"it stood still", 1049, 549, 1049, true},
		{"it runs again", 1060, 549, 1049, false},
		{"a look that was late to take the lock", 1055, 549, 1049, false},
		{"it stood still once more", 9000, 1060, 9000, true},
	} {
		from, until, noticed := w.Check(at(look.now))
		want := func(millis int) time.Time {
			if millis < 0 {
				return time.Time{}
			}
			return at(millis)
		}
		if !from.Equal(want(look.from)) || !until.Equal(want(look.until)) || noticed != look.noticed {
			t.Errorf("%s: from %v until %v, noticed %t", look.name, from, until, noticed)
		}
	}
}
