package dialect

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/capacity"
)

// TestLoad reads what workers tell of themselves, of two figures to four, and what is no such
// thing.
func TestLoad(t *testing.T) {
	for _, test := range []struct {
		value string
		want  capacity.Told
		found bool
	}{
		{"3,1", capacity.Told{Running: 3, Waiting: 1}, true},
		{" 3, 1, 8", capacity.Told{Running: 3, Waiting: 1, Slots: 8}, true},
		{"3,1,8,250", capacity.Told{Running: 3, Waiting: 1, Slots: 8, Pace: 250}, true},
		{"3,1,8,250,7", capacity.Told{Running: 3, Waiting: 1, Slots: 8, Pace: 250}, true},
		{"3,1,,250", capacity.Told{Running: 3, Waiting: 1, Pace: 250}, true},
		{"3,1,-8,-1", capacity.Told{Running: 3, Waiting: 1}, true},
		{"3,1,x,1e9", capacity.Told{Running: 3, Waiting: 1}, true},
		{"3,1,999999999,99999999999999999999", capacity.Told{Running: 3, Waiting: 1, Slots: mostTold}, true},
		{"3", capacity.Told{}, false},
		{"", capacity.Told{}, false},
		{"-1,0,8", capacity.Told{}, false},
		{"1,-2,8", capacity.Told{}, false},
		{"a,b", capacity.Told{}, false},
	} {
		told, found := Load(test.value)
		if told != test.want || found != test.found {
			t.Errorf("%q: %+v, %t", test.value, told, found)
		}
	}
}
