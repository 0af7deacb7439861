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

func TestInitialVotersAreSpreadOverZones(t *testing.T) {
	v := New(1)
	for i, row := range []struct{ name, zone string }{{"a", "z1"}, {"b", "z1"}, {"c", "z2"}, {"d", "z3"}} {
		v.ApplyReport(start, store(row.name, row.zone, uint64(i+1)))
	}
	if voters := v.InitialVoters(start.Add(settleDelay/2), 1); voters != nil {
		t.Errorf("groups are bootstrapped while new stores still appear: %+v", voters)
	}
	groups := v.InitialVoters(start.Add(settleDelay), 1)
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

func TestFewStoresBootstrapLater(t *testing.T) {
	v := New(1)
	v.ApplyReport(start, store("a", "z1", 1))
	v.ApplyReport(start, store("b", "z1", 2))
	if voters := v.InitialVoters(start.Add(settleDelay), 1); voters != nil {
		t.Errorf("two of three wanted stores are bootstrapped without the longer delay: %+v", voters)
	}
	v.ApplyReport(start.Add(fewStoresDelay), store("a", "z1", 1))
	v.ApplyReport(start.Add(fewStoresDelay), store("b", "z1", 2))
	if groups := v.InitialVoters(start.Add(fewStoresDelay), 1); len(groups) != 3 || len(groups[0]) != 2 {
		t.Errorf("groups %+v", groups)
	}
}

func TestViewChangesWhenTheFleetDoes(t *testing.T) {
	v := New(1)
	if !v.Refresh(start, []string{"c:1"}, nil, nil) {
		t.Error("the first Refresh reports no change")
	}
	if v.Refresh(start, []string{"c:1"}, nil, nil) {
		t.Error("Refresh reports a change although nothing changed")
	}
	v.ApplyReport(start, store("a", "z1", 1))
	if !v.Refresh(start, []string{"c:1"}, nil, nil) || len(v.Current.Stores) != 1 {
		t.Errorf("Refresh reports no change for a new store: %+v", v.Current)
	}
	if !v.Refresh(start.Add(ProcessTTL+1), []string{"c:1"}, nil, nil) || len(v.Current.Stores) != 0 {
		t.Errorf("Refresh reports no change for an unresponsive store: %+v", v.Current)
	}
	if !v.SetWorkers([]wire.PoolWorker{{ID: "w"}}, start) || v.SetWorkers([]wire.PoolWorker{{ID: "w"}}, start) {
		t.Error("SetWorkers does not report exactly the changes of the list")
	}
}

func TestRemainingStoreCount(t *testing.T) {
	v := New(1)
	for i, name := range []string{"a", "b", "c", "d"} {
		v.ApplyReport(start, store(name, "z1", uint64(i)))
	}
	if got := v.RemainingStoreCount(start, "a", []string{"b"}); got != 2 {
		t.Errorf("%d stores remain, want 2", got)
	}
	if !v.HasStore("a") || v.HasStore("x") {
		t.Error("HasStore does not know stores by name")
	}
}

// TestRemainingStoreCountOmitsLostStores checks that a store that has just missed its calls does
// not count as a remaining one, although it is still in the view.
func TestRemainingStoreCountOmitsLostStores(t *testing.T) {
	v := New(1)
	for i, name := range []string{"a", "b", "c"} {
		v.ApplyReport(start, store(name, "z1", uint64(i)))
	}
	later := start.Add(remainingStoreTTL + time.Millisecond)
	v.ApplyReport(later, store("b", "z1", 1))
	if got := v.RemainingStoreCount(later, "b", nil); got != 0 {
		t.Errorf("%d stores remain, want 0: a and c were lost", got)
	}
	if v.Refresh(later, nil, nil, nil); len(v.Current.Stores) != 3 {
		t.Errorf("the view has %d stores, want 3", len(v.Current.Stores))
	}
}

// TestDrainedNeedsReportOnCurrentView checks that a store counts as drained only if the report
// comes from a leader that knows the current view, and so which stores are retiring.
func TestDrainedNeedsReportOnCurrentView(t *testing.T) {
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
		{"reported by a follower", request(5, 1, false, "b"), 0},
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

// TestDrainedNeedsReportsOfAllGroups checks that a store counts as drained once the leaders of all
// groups have reported so within ProcessTTL, and no longer once one of them reports the store as a
// member.
func TestDrainedNeedsReportsOfAllGroups(t *testing.T) {
	v := New(5)
	v.Refresh(start, nil, nil, []string{"a"})
	drainedCount := func(now time.Time, group int, members ...string) int {
		report := wire.ProcessReport{Kind: wire.ProcessStore, Name: "b", Led: []wire.GroupReport{{Group: group, Members: members}}}
		return len(v.DrainedStores(now, &wire.WatchRequest{Term: 5, View: 1, Process: report}, []string{"a"}, 2))
	}
	if drainedCount(start, 0, "b") != 0 {
		t.Error("drained by the report of one group of two")
	}
	if drainedCount(start.Add(ProcessTTL+1), 1, "b") != 0 {
		t.Error("drained by an expired report")
	}
	now := start.Add(ProcessTTL + 2)
	if drainedCount(now, 0, "b") != 1 {
		t.Error("not drained although both groups reported it")
	}
	if drainedCount(now, 0, "a", "b") != 0 {
		t.Error("drained although a group has it as a member again")
	}
	v.Refresh(now, nil, nil, []string{"a", "c"})
	if drainedCount(now, 0, "b") != 0 {
		t.Error("reports on an older view count")
	}
}
