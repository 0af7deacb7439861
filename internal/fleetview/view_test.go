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
		v.Heard(start, store(row.name, row.zone, uint64(i+1)))
	}
	if voters := v.FirstVoters(start.Add(settleTime/2), 1); voters != nil {
		t.Errorf("the group forms while stores still come: %+v", voters)
	}
	voters := v.FirstVoters(start.Add(settleTime), 1)
	if len(voters) != 3 || voters[0].Name != "a" || voters[1].Name != "c" || voters[2].Name != "d" {
		t.Errorf("voters %+v", voters)
	}
}

func TestFewStoresFormLate(t *testing.T) {
	v := New(1)
	v.Heard(start, store("a", "z1", 1))
	v.Heard(start, store("b", "z1", 2))
	if voters := v.FirstVoters(start.Add(settleTime), 1); voters != nil {
		t.Errorf("two of three wanted stores form at once: %+v", voters)
	}
	v.Heard(start.Add(patientTime), store("a", "z1", 1))
	v.Heard(start.Add(patientTime), store("b", "z1", 2))
	if voters := v.FirstVoters(start.Add(patientTime), 1); len(voters) != 2 {
		t.Errorf("voters %+v", voters)
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
	v.Heard(start, store("a", "z1", 1))
	if !v.Refresh(start, []string{"c:1"}, nil, nil) || len(v.Current.Stores) != 1 {
		t.Errorf("a new store is no change: %+v", v.Current)
	}
	if !v.Refresh(start.Add(ProcessFresh+1), []string{"c:1"}, nil, nil) || len(v.Current.Stores) != 0 {
		t.Errorf("a silent store is no change: %+v", v.Current)
	}
	if !v.SetWorkers([]wire.PoolWorker{{ID: "w"}}) || v.SetWorkers([]wire.PoolWorker{{ID: "w"}}) {
		t.Error("the list of workers changes other than the view says")
	}
}

func TestRemaining(t *testing.T) {
	v := New(1)
	for i, name := range []string{"a", "b", "c", "d"} {
		v.Heard(start, store(name, "z1", uint64(i)))
	}
	if got := v.Remaining(start, "a", []string{"b"}); got != 2 {
		t.Errorf("%d stores remain, want 2", got)
	}
	if !v.Knows("a") || v.Knows("x") {
		t.Error("stores are not known by name")
	}
}

// TestEmptiedNeedsTheLeaderToKnow checks that a store counts as emptied only by
// the report of a leader that knows what is to retire.
func TestEmptiedNeedsTheLeaderToKnow(t *testing.T) {
	v := New(5)
	v.Refresh(start, nil, nil, []string{"a"})
	request := func(term, view uint64, leads bool, members ...string) *wire.WatchRequest {
		return &wire.WatchRequest{Term: term, View: view, Process: wire.ProcessReport{Kind: wire.ProcessStore, Name: "b", Leads: leads, Members: members}}
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
		if got := v.Emptied(test.request, []string{"a"}); len(got) != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}
