package batchstore

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// TestItemsBringWorkersBack lets a worker fail for a second while items wait: its own runner
// sends it one item at a time, and it is open again soon after these run well.
func TestItemsBringWorkersBack(t *testing.T) {
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
	s.workers.Update(set, nil)
	ill := loadshare.Hash("w0")
	s.loads.top.ApplyReport(start, &wire.LoadReport{Source: 9, Workers: []wire.WorkerLoad{{Worker: ill, Failed: 5}}})
	const wellAfter, step = time.Second, 20 * time.Millisecond
	s.loads.planner.ApplyReport(start, 1, 0, nil)
	probes, back := 0, time.Duration(0)
	for after := step; after < 4*time.Second && back == 0; after += step {
		now := start.Add(after)
		s.loads.ownDue = time.Time{}
		s.takeOwn(now)
		orders := s.order(now, ownSource, 4, s.workers.Items())
		s.workers.SetOrders(orders)
		if open(s, now, ill) {
			back = after
			break
		}
		if orders[ill].Start > 1 {
			t.Fatalf("after %v %d items may start at an avoided worker", after, orders[ill].Start)
		}
		for range orders[ill].Start {
			others := map[string]bool{"w1": true, "w2": true, "w3": true, "w4": true}
			lease := s.workers.Acquire(now, &balance.Request{Pool: "p", Batch: true, Exclude: others})
			if lease == nil || !lease.IsProbe() {
				t.Fatalf("after %v: no item started as the probe", after)
			}
			lease.RecordItemStart(now, after >= wellAfter)
			lease.Release()
			probes++
		}
	}
	t.Logf("%d probes, open after %v", probes, back)
	if back < wellAfter || back > wellAfter+time.Second {
		t.Errorf("well after %v, open after %v", wellAfter, back)
	}
}

// TestProbesAreTold lets an edge of a zone too large to be told of whole ask for news: the
// worker that it may probe is among those that it is told of.
func TestProbesAreTold(t *testing.T) {
	s := testRunner(t, 0).store
	s.metrics = newMetrics(prometheus.NewRegistry())
	var rows []wire.PoolWorker
	for number := range 1000 {
		rows = append(rows, wire.PoolWorker{ID: fmt.Sprintf("w%d", number), Pool: "p", Zone: "z", Slots: slots})
	}
	s.loads.setWorkers(workerset.Of(rows), "z")
	ill, named := loadshare.Hash("w7"), 0
	for after := time.Duration(0); after < 10*time.Second; after += loadshare.Interval {
		now := start.Add(after)
		s.loads.zone.SetParentLoads(now, []wire.WorkerLoad{{Worker: ill, Failing: true}}, 0, false)
		answer := s.answerZone(now, &wire.LoadReport{Source: 1, Choosing: true, Repeatable: true})
		if !answer.Drawn {
			t.Fatal("the zone is told of whole")
		}
		for _, worker := range answer.Probes {
			named++
			at := slices.IndexFunc(answer.Workers, func(load wire.WorkerLoad) bool { return load.Worker == worker })
			if at < 0 || !answer.Workers[at].Failing {
				t.Errorf("after %v worker %d may be probed, and is not told of", after, worker)
			}
		}
		if !slices.IsSortedFunc(answer.Workers, func(a, b wire.WorkerLoad) int { return cmp.Compare(a.Worker, b.Worker) }) {
			t.Errorf("after %v the workers are in no order", after)
		}
	}
	if named == 0 {
		t.Error("no worker may be probed")
	}
}

// open reports whether items may start at the worker.
func open(s *Store, now time.Time, worker uint32) bool {
	for _, place := range s.workers.Workers(now, func(string) time.Duration { return 0 }).Busy {
		if place.ShortName == worker {
			return !place.Closed
		}
	}
	return true
}
