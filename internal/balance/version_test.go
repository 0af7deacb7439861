package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// TestChoiceIgnoresVersion guards against requests that need a version and get a worker of another
// one, by any way to choose a worker.
func TestChoiceIgnoresVersion(t *testing.T) {
	versions := []incarnation.Version{"v1", "v1.1", ""}
	var rows []wire.PoolWorker
	for i := range 3 * 40 {
		row := poolWorker(incarnation.Name(fmt.Sprintf("w-%d", i), 0, versions[i%3]), fmt.Sprintf("z%d", 1+i%2))
		row.Slots = 1
		rows = append(rows, row)
	}
	table := tableOf(rows...)
	for i, version := range versions[:2] {
		for range 60 {
			request := &Request{Pool: "p", Version: version, LastWorker: rows[2-i].ID}
			lease := table.Acquire(start, request)
			candidate := table.FindCandidate(start, request, SearchOptions{Peers: 2, ReleasedWorker: rows[2-i].ID})
			if lease == nil || incarnation.VersionOf(lease.Endpoint.ID) != version || incarnation.VersionOf(candidate.Worker) != version {
				t.Fatalf("version %q: lease %+v, candidate %+v", version, lease, candidate)
			}
		}
	}
	if lease := table.Acquire(start, &Request{Pool: "p", Version: "v2"}); lease != nil {
		t.Errorf("a request for a version without workers got %+v", lease)
	}
}

// TestVersionUsable checks which workers count as usable for a request that needs a version.
func TestVersionUsable(t *testing.T) {
	a, b := poolWorker(incarnation.Name("a", 0, "v1"), "z1"), poolWorker(incarnation.Name("b", 0, "v1"), "z2")
	other := poolWorker(incarnation.Name("c", 0, "v2"), "z1")
	table := tableOf(a, b, other)
	request := func(excluded ...string) *Request {
		r := &Request{Pool: "p", Version: "v1", Exclude: map[string]bool{}}
		for _, id := range excluded {
			r.Exclude[id] = true
		}
		return r
	}
	check := func(name string, r *Request, except string, want bool) {
		t.Helper()
		if got := table.VersionUsable(r, except); got != want {
			t.Errorf("%s: got %t", name, got)
		}
	}
	check("two workers", request(), a.ID, true)
	check("one excluded", request(b.ID), a.ID, false)
	check("an excluded one is the exception", request(a.ID), a.ID, true)
	check("another version excluded", request(other.ID), a.ID, true)
	check("another pool", &Request{Pool: "q", Version: "v1"}, "", false)
	table.Acquire(start, &Request{Pool: "p", Version: "v1", Exclude: map[string]bool{a.ID: true}}).RecordWrongWorker(start)
	check("the other one is blocked", request(), a.ID, false)
	b.Leaving = true
	table.Update(start, workerset.Of([]wire.PoolWorker{a, b, other}), nil)
	check("the other one is leaving", request(), a.ID, false)
	check("without exception", request(), "", true)
	for version, want := range map[incarnation.Version]bool{"v1": true, "v2": true, "v3": false} {
		if table.VersionListed("p", version) != want {
			t.Errorf("version %s: listed %t", version, !want)
		}
	}
	a.Leaving = true
	table.Update(start, workerset.Of([]wire.PoolWorker{a, b, other}), nil)
	if table.VersionListed("p", "v1") {
		t.Error("a version whose workers are all leaving counts as listed")
	}
	table.Update(start, workerset.Of([]wire.PoolWorker{other}), nil)
	check("none listed", request(), "", false)
}

// TestSilenceRestartsSoleVersions guards against taking a version for the only one because no other was
// heard of.
func TestSilenceRestartsSoleVersions(t *testing.T) {
	table, now := NewTable("z", rand.New(rand.NewPCG(1, 1))), time.Unix(1000, 0)
	table.Update(now, workerset.Of([]wire.PoolWorker{{ID: incarnation.Name("w", 0, "v1"), Pool: "p", Slots: 1}}), nil)
	later := now.Add(time.Minute)
	table.RestartSoleVersions(later)
	if version, since := table.SoleVersion("p"); version != "v1" || !since.Equal(later) {
		t.Errorf("%s since %s, want v1 since %s", version, since, later)
	}
}
