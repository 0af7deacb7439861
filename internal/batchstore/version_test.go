package batchstore

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// versionRunner returns a runner whose pool has a worker with one slot of each version.
func versionRunner(t *testing.T, versions ...incarnation.Version) *runner {
	t.Helper()
	r := testRunner(t, 1)
	r.store.metrics = newMetrics(prometheus.NewRegistry())
	r.listVersions(versions...)
	return r
}

func (r *runner) listVersions(versions ...incarnation.Version) {
	var rows []wire.PoolWorker
	for _, version := range versions {
		rows = append(rows, wire.PoolWorker{ID: incarnation.Name("w-"+string(version), 0, version), Pool: "p", Zone: "z", Slots: 1})
	}
	r.store.workers.Update(clock.Now(), workerset.Of(rows), nil)
}

func batchRequest() *balance.Request {
	return &balance.Request{Pool: "p", Batch: true, BatchShare: 100}
}

// TestItemWaitsForItsVersion checks where an item with text goes: to its version while that has room,
// and after a wait, or if the version is gone, again from the first event to another one.
func TestItemWaitsForItsVersion(t *testing.T) {
	key := itemKey{"j", 0}
	now := clock.Now()
	text := progress{events: 3, lastEvent: 3, recordedEvents: 3, version: "v1", chain: 7}
	for name, test := range map[string]struct {
		listed []incarnation.Version
		text   progress
		// full is set if the worker of v1 has no room. waited is how long the item has waited.
		full     bool
		waited   time.Duration
		want     incarnation.Version
		restarts bool
	}{
		"room at its version":             {listed: []incarnation.Version{"v1", "v2"}, text: text, want: "v1"},
		"no room yet":                     {listed: []incarnation.Version{"v1", "v2"}, text: text, full: true, waited: minVersionWait},
		"no room for long":                {listed: []incarnation.Version{"v1", "v2"}, text: text, full: true, waited: minVersionWait + 1, want: "v2", restarts: true},
		"no room for less than it ran":    {listed: []incarnation.Version{"v1", "v2"}, text: progress{events: 3, version: "v1", runTime: time.Hour}, full: true, waited: time.Minute},
		"its version is gone":             {listed: []incarnation.Version{"v2"}, text: text, want: "v2", restarts: true},
		"gone, and nothing in the log":    {listed: []incarnation.Version{"v2"}, text: progress{events: 3, version: "v1"}, want: "v2"},
		"gone, and a restart in progress": {listed: []incarnation.Version{"v2"}, text: progress{events: 3, version: "v1", restarts: true}, want: "v2", restarts: true},
		"written at an unknown version":   {listed: []incarnation.Version{"v2"}, text: progress{events: 3, recordedEvents: 3}, want: "v2", restarts: true},
	} {
		t.Run(name, func(t *testing.T) {
			r, resumed := versionRunner(t, test.listed...), test.text
			if test.full {
				r.store.workers.Acquire(now, &balance.Request{Pool: "p", Version: "v1", Batch: true, BatchShare: 100})
				r.versionWaits[key] = now
			}
			lease := r.acquire(now.Add(test.waited), key, batchRequest(), &resumed)
			switch {
			case (lease != nil) != (test.want != ""):
				t.Fatalf("got %+v", lease)
			case lease == nil:
				if resumed.events != test.text.events {
					t.Error("an item that waits has lost its text")
				}
				return
			case incarnation.VersionOf(lease.Endpoint.ID) != test.want:
				t.Errorf("got %s", lease.Endpoint.ID)
			}
			if again := resumed.events == 0; again != (test.want != test.text.version) || resumed.restarts != test.restarts {
				t.Errorf("goes on with %+v", resumed)
			}
		})
	}
}

// TestRecordedItemWaitsForOneVersion checks that an item that can't start again waits for a while if
// its pool has two versions.
func TestRecordedItemWaitsForOneVersion(t *testing.T) {
	key, now := itemKey{"j", 0}, clock.Now()
	text := progress{events: 3, recordedEvents: 3, recorded: true}
	r := versionRunner(t, "v1", "v2")
	if lease := r.acquire(now, key, batchRequest(), &text); lease != nil {
		t.Errorf("got %s at once", lease.Endpoint.ID)
	}
	lease := r.acquire(now.Add(maxRecordedWait+1), key, batchRequest(), &text)
	if lease == nil || text.events != 3 {
		t.Fatalf("got %+v with %+v after the wait", lease, text)
	}
	lease.Release()
	r.listVersions("v2")
	if lease := r.acquire(now, itemKey{"j", 1}, batchRequest(), &text); lease == nil || text.events != 3 {
		t.Errorf("got %+v with %+v at a single version", lease, text)
	}
}
