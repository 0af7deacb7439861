package httpanswer

import "testing"

// TestUnmarkedEndNeedsProof checks which ends of a body show that it is whole.
func TestUnmarkedEndNeedsProof(t *testing.T) {
	for _, test := range []struct {
		ending Ending
		want   bool
	}{
		{Ending{Marked: true}, true},
		{Ending{RequestTaken: true, SameStart: true}, true},
		{Ending{RequestTaken: true}, false},
		{Ending{SameStart: true}, false},
		{Ending{}, false},
	} {
		if got := test.ending.IsWhole(); got != test.want {
			t.Errorf("%+v: whole %t", test.ending, got)
		}
	}
}
