package fleetview

import (
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

var start = time.Unix(1000, 0)

func store(name, zone string, id uint64) *wire.ProcessReport {
	return &wire.ProcessReport{Kind: wire.ProcessStore, Name: name, Zone: zone, Replica: wire.Replica{ID: id, Name: name, Address: name + ":1"}}
}

func TestFirstVotersAreSpreadAndWaited(t *testing.T) {
	v := New(1)
	for i, row := range []struct{ name, zone string }{{"a", "z1"}, {"b", "z1"}, {"c", "z2"}, {"d", "z3"}} {
		v.ApplyReport(start, store(row.name, row.zone, uint64(i+1)))
	}
	if voters := v.InitialVoters(start.Add(settleTime/2), 1); voters != nil {
		t.Errorf("the group forms while stores still come: %+v", voters)
	}
	groups := v.InitialVoters(start.Add(settleTime), 1)
	if len(groups) != 3 {
		t.Fatalf("groups %+v", groups)
	}
	for _, voters := range groups {
		names := map[string]bool{}
		for _, voter := range voters {
			names[voter.Name] = true
		}
		if len(names) != 3 || !names["c"] || !names["d"] {
			t.Errorf("voters %+v", voters)
		}
	}
}

func TestFewStoresFormLate(t *testing.T) {
	v := New(1)
	v.ApplyReport(start, store("a", "z1", 1))
	v.ApplyReport(start, store("b", "z1", 2))
	if voters := v.InitialVoters(start.Add(settleTime), 1); voters != nil {
		t.Errorf("two of three wanted stores form at once: %+v", voters)
	}
	v.ApplyReport(start.Add(patientTime), store("a", "z1", 1))
	v.ApplyReport(start.Add(patientTime), store("b", "z1", 2))
	if groups := v.InitialVoters(start.Add(patientTime), 1); len(groups) != 3 || len(groups[0]) != 2 {
		t.Errorf("groups %+v", groups)
	}
}

func TestViewChangesWhenTheFleetDoes(t *testing.T) {
	v := New(1)
	if !v.Refresh(start, []string{"c:1"}, nil, nil) {
		t.Error("the first view is no change")
	}
	if v.Refresh(start, []string{"c:1"}, nil, nil) {
		t.Error("the same view is a change")
	}
	v.ApplyReport(start, store("a", "z1", 1))
	if !v.Refresh(start, []string{"c:1"}, nil, nil) || len(v.Current.Stores) != 1 {
		t.Errorf("a new store is no change: %+v", v.Current)
	}
	if !v.Refresh(start.Add(ProcessTTL+1), []string{"c:1"}, nil, nil) || len(v.Current.Stores) != 0 {
		t.Errorf("a silent store is no change: %+v", v.Current)
	}
	if !v.SetWorkers([]wire.PoolWorker{{ID: "w"}}) || v.SetWorkers([]wire.PoolWorker{{ID: "w"}}) {
		t.Error("the list of workers changes other than the view says")
	}
}

func TestRemaining(t *testing.T) {
	v := New(1)
	for i, name := range []string{"a", "b", "c", "d"} {
		v.ApplyReport(start, store(name, "z1", uint64(i)))
	}
	if got := v.RemainingStoreCount(start, "a", []string{"b"}); got != 2 {
		t.Errorf("%d stores remain, want 2", got)
	}
	if !v.HasStore("a") || v.HasStore("x") {
		t.Error("stores are not known by name")
	}
}

// TestRetiringCountsWhoIsThere checks that a store that has just missed its calls does not
// count among those that remain, while the view still names it.
func TestRetiringCountsWhoIsThere(t *testing.T) {
	v := New(1)
	for i, name := range []string{"a", "b", "c"} {
		v.ApplyReport(start, store(name, "z1", uint64(i)))
	}
	later := start.Add(remainFresh + time.Millisecond)
	v.ApplyReport(later, store("b", "z1", 1))
	if got := v.RemainingStoreCount(later, "b", nil); got != 0 {
		t.Errorf("%d stores remain, a and c were lost", got)
	}
	if v.Refresh(later, nil, nil, nil); len(v.Current.Stores) != 3 {
		t.Errorf("the view names %d stores", len(v.Current.Stores))
	}
}

// TestEmptiedNeedsTheLeaderToKnow checks that a store counts as emptied only by
// the report of a leader that knows what is to retire.
func TestEmptiedNeedsTheLeaderToKnow(t *testing.T) {
	v := New(5)
	v.Refresh(start, nil, nil, []string{"a"})
	request := func(term, view uint64, leads bool, members ...string) *wire.WatchRequest {
		report := wire.ProcessReport{Kind: wire.ProcessStore, Name: "b"}
		if leads {
			report.Led = []wire.GroupReport{{Group: 0, Members: members}}
		}
		return &wire.WatchRequest{Term: term, View: view, Process: report}
	}
	cases := []struct {
		name    string
		request *wire.WatchRequest
		want    int
	}{
		{"still a member", request(5, 1, true, "a", "b"), 0},
		{"a follower's word", request(5, 1, false, "b"), 0},
		{"an older view", request(5, 0, true, "b"), 0},
		{"another term's view", request(4, 1, true, "b"), 0},
		{"gone", request(5, 1, true, "b"), 1},
	}
	for _, test := range cases {
		if got := v.DrainedStores(start, test.request, []string{"a"}, 1); len(got) != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}

// TestEmptiedNeedsAllGroups checks that a store counts as emptied once the leaders of
// all groups have said so lately, and no more once one of them says otherwise.
func TestEmptiedNeedsAllGroups(t *testing.T) {
	v := New(5)
	v.Refresh(start, nil, nil, []string{"a"})
	emptied := func(now time.Time, group int, members ...string) int {
		report := wire.ProcessReport{Kind: wire.ProcessStore, Name: "b", Led: []wire.GroupReport{{Group: group, Members: members}}}
		return len(v.DrainedStores(now, &wire.WatchRequest{Term: 5, View: 1, Process: report}, []string{"a"}, 2))
	}
	if emptied(start, 0, "b") != 0 {
		t.Error("emptied by the word of one group of two")
	}
	if emptied(start.Add(ProcessTTL+1), 1, "b") != 0 {
		t.Error("emptied by an old word")
	}
	now := start.Add(ProcessTTL + 2)
	if emptied(now, 0, "b") != 1 {
		t.Error("not emptied though both groups say so")
	}
	if emptied(now, 0, "a", "b") != 0 {
		t.Error("emptied though a group has taken it in again")
	}
	v.Refresh(now, nil, nil, []string{"a", "c"})
	if emptied(now, 0, "b") != 0 {
		t.Error("the words of an older view count")
	}
}
