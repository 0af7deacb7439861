package httpheader

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/capacity"
)

// TestParseLoad parses valid load headers with two to four figures, and invalid ones.
func TestParseLoad(t *testing.T) {
	for _, test := range []struct {
		value string
		want  capacity.Report
		found bool
	}{
		{"3,1", capacity.Report{Running: 3, Waiting: 1}, true},
		{" 3, 1, 8", capacity.Report{Running: 3, Waiting: 1, Slots: 8}, true},
		{"3,1,8,250", capacity.Report{Running: 3, Waiting: 1, Slots: 8, Pace: 250}, true},
		{"3,1,8,250,7", capacity.Report{Running: 3, Waiting: 1, Slots: 8, Pace: 250}, true},
		{"3,1,,250", capacity.Report{Running: 3, Waiting: 1, Pace: 250}, true},
		{"3,1,-8,-1", capacity.Report{Running: 3, Waiting: 1}, true},
		{"3,1,x,1e9", capacity.Report{Running: 3, Waiting: 1}, true},
		{"3,1,999999999,99999999999999999999", capacity.Report{Running: 3, Waiting: 1, Slots: maxReported}, true},
		{"3", capacity.Report{}, false},
		{"", capacity.Report{}, false},
		{"-1,0,8", capacity.Report{}, false},
		{"1,-2,8", capacity.Report{}, false},
		{"a,b", capacity.Report{}, false},
	} {
		report, found := ParseLoad(test.value)
		if report != test.want || found != test.found {
			t.Errorf("%q: %+v, %t", test.value, report, found)
		}
	}
}
