package origin

import (
	"testing"
	"time"
)

// TestDecide decides where a stream may continue, from what a process knows.
func TestDecide(t *testing.T) {
	const age = 5 * time.Second
	for _, test := range []struct {
		name  string
		known Knowledge
		want  Decision
	}{
		{"known here", Knowledge{Found: v1, Source: Local}, Decision{Source: Local, Version: "v1"}},
		{"known to a hub, another one listed", Knowledge{Found: v1, Source: Hub, Sole: "v2", SoleFor: time.Hour, ListWhole: true}, Decision{Source: Hub, Version: "v1"}},
		{"known without a version", Knowledge{Found: Origin{Pool: "p"}, Source: Hub, HubsAnswered: true}, Decision{}},
		{"no hub knows", Knowledge{HubsAnswered: true}, Decision{}},
		{"a hub is silent", Knowledge{}, Decision{RetryHelps: true}},
		{"one version for long", Knowledge{Sole: "v1", SoleFor: age, ListWhole: true}, Decision{Source: Sole, Version: "v1"}},
		{"one version, not for long", Knowledge{Sole: "v1", SoleFor: age - 1, ListWhole: true, HubsAnswered: true}, Decision{}},
		{"an old list", Knowledge{Sole: "v1", SoleFor: age, ListWhole: true, ListAge: MaxListAge + 1, HubsAnswered: true}, Decision{RetryHelps: true}},
		{"a part of the list", Knowledge{Sole: "v1", SoleFor: age, HubsAnswered: true}, Decision{RetryHelps: true}},
	} {
		test.known.StreamAge = age
		if got := Decide(&test.known); got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}
