package edge

import (
	"testing"
)

// TestOnlyAttemptsAreNoProbes checks that a request is a probe only while another attempt would
// be left to it.
func TestOnlyAttemptsAreNoProbes(t *testing.T) {
	for _, test := range []struct {
		resumable       bool
		attempts        int
		tried, redialed int
		want            bool
	}{
		{true, 0, 0, 0, false},
		{true, 1, 0, 0, false},
		{true, 2, 0, 0, true},
		{false, 2, 0, 0, false},
		{true, 3, 1, 0, false},
		{true, 3, 0, 1, false},
	} {
		route := stream(test.resumable, test.attempts)
		c := &call{route: &route, attempts: test.tried, dials: test.redialed}
		if c.mayProbe() != test.want {
			t.Errorf("%+v: may probe %t", test, c.mayProbe())
		}
	}
}
