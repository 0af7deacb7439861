package fleetview

import (
	"slices"
	"testing"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// leaderOf is a store's report that it leads group 1. It also names two groups out of range.
func leaderOf(name string, id, term uint64, members ...string) *wire.ProcessReport {
	report := store(name, "z", id)
	report.Led = []wire.GroupReport{{Group: 1, Term: term, Members: members}, {Group: -1}, {Group: maxGroups}}
	return report
}

// TestNewestTermDecidesGroupLeader lets two stores report that they lead a group: the newer term
// counts, and the members are kept when neither store leads it any more.
func TestNewestTermDecidesGroupLeader(t *testing.T) {
	v := New(1)
	refresh := func() []wire.GroupPlace {
		v.Refresh(start, nil, nil, nil)
		return v.Current.Groups
	}
	if groups := refresh(); groups != nil {
		t.Errorf("groups %+v before any report", groups)
	}
	v.ApplyReport(start, leaderOf("b", 2, 7, "b", "a", "unheard"))
	v.ApplyReport(start, leaderOf("a", 1, 6, "a"))
	groups := refresh()
	want := wire.GroupPlace{Leader: "b:1", Members: []string{"a:1", "b:1"}}
	if len(groups) != 2 || !samePlace(groups[1], want) || groups[0].Leader != "" {
		t.Errorf("groups %+v", groups)
	}
	number := v.Number
	if refresh(); v.Number != number {
		t.Error("the view changed although the groups did not")
	}
	v.ApplyReport(start, store("b", "z", 2))
	v.ApplyReport(start, store("a", "z", 1))
	if groups = refresh(); groups[1].Leader != "" || !slices.Equal(groups[1].Members, want.Members) {
		t.Errorf("groups %+v without a leader", groups)
	}
}
