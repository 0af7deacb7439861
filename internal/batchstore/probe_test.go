package batchstore

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// TestItemProbesReadmitWorker lets a worker fail for a second while items wait. Its runner sends
// it one item at a time, and it is readmitted soon after these run well.
func TestItemProbesReadmitWorker(t *testing.T) {
	s := testRunner(t, 4).store
	s.settings = &settings.Store{}
	s.settings.Name, s.settings.Zone = "s", "z"
	s.metrics = newMetrics(prometheus.NewRegistry())
	var rows []wire.PoolWorker
	for number := range 5 {
		rows = append(rows, wire.PoolWorker{ID: fmt.Sprintf("w%d", number), Pool: "p", Zone: "z", Slots: slots})
	}
	set := workerset.Of(rows)
	s.loads.setWorkers(set, "z")
	s.workers.Update(clock.Now(), set, nil)
	failing := loadshare.Hash("w0")
	s.loads.topHub.ApplyReport(start, &wire.LoadReport{Source: 9, Workers: []wire.WorkerLoad{{Worker: failing, Failed: 5}}})
	const recoversAfter, step = time.Second, 20 * time.Millisecond
	s.loads.planner.ApplyReport(start, 1, 0, nil)
	probes, readmittedAfter := 0, time.Duration(0)
	for after := step; after < 4*time.Second && readmittedAfter == 0; after += step {
		now := start.Add(after)
		s.loads.nextOwnPlan = time.Time{}
		s.applyOwnLoads(now)
		orders := s.planOrders(now, ownSource, 4, s.workers.Items())
		s.workers.SetOrders(orders)
		if openToItems(s, now, failing) {
			readmittedAfter = after
			break
		}
		if orders[failing].Start > 1 {
			t.Fatalf("after %v %d items may start at an avoided worker", after, orders[failing].Start)
		}
		for range orders[failing].Start {
			others := map[string]bool{"w1": true, "w2": true, "w3": true, "w4": true}
			lease := s.workers.Acquire(now, &balance.Request{Pool: "p", Batch: true, Exclude: others})
			if lease == nil || !lease.IsProbe() {
				t.Fatalf("after %v: no item started as the probe", after)
			}
			lease.RecordItemStart(now, after >= recoversAfter)
			lease.Release()
			probes++
		}
	}
	t.Logf("%d probes, readmitted after %v", probes, readmittedAfter)
	if readmittedAfter < recoversAfter || readmittedAfter > recoversAfter+time.Second {
		t.Errorf("recovered after %v, readmitted after %v", recoversAfter, readmittedAfter)
	}
}

// TestAnswerIncludesProbeWorkers checks, in a zone that is too large to be reported whole, that
// an edge that may probe a worker also gets the load of that worker.
func TestAnswerIncludesProbeWorkers(t *testing.T) {
	s := testRunner(t, 0).store
	s.metrics = newMetrics(prometheus.NewRegistry())
	var rows []wire.PoolWorker
	for number := range 1000 {
		rows = append(rows, wire.PoolWorker{ID: fmt.Sprintf("w%d", number), Pool: "p", Zone: "z", Slots: slots})
	}
	s.loads.setWorkers(workerset.Of(rows), "z")
	failing, named := loadshare.Hash("w7"), 0
	for after := time.Duration(0); after < 10*time.Second; after += loadshare.Interval {
		now := start.Add(after)
		s.loads.zoneHub.SetParentLoads(now, []wire.WorkerLoad{{Worker: failing, Failing: true}}, 0, false)
		answer := s.answerEdge(now, &wire.LoadReport{Source: 1, Choosing: true, Repeatable: true})
		if !answer.Drawn {
			t.Fatal("the answer covers the whole zone, want a sample")
		}
		for _, worker := range answer.Probes {
			named++
			at := slices.IndexFunc(answer.Workers, func(load wire.WorkerLoad) bool { return load.Worker == worker })
			if at < 0 || !answer.Workers[at].Failing {
				t.Errorf("after %v worker %d may be probed, but its load is missing or not failing", after, worker)
			}
		}
		if !slices.IsSortedFunc(answer.Workers, func(a, b wire.WorkerLoad) int { return cmp.Compare(a.Worker, b.Worker) }) {
			t.Errorf("after %v the workers are not sorted", after)
		}
	}
	if named == 0 {
		t.Error("no answer named a worker to probe")
	}
}

// openToItems reports whether items may start at the worker.
func openToItems(s *Store, now time.Time, shortName uint32) bool {
	for _, place := range s.workers.Workers(now, func(string) time.Duration { return 0 }).Busy {
		if place.ShortName == shortName {
			return !place.Closed
		}
	}
	return true
}
