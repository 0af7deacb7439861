package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// TestManyProcessesDoNotCrowdOneWorker lets forty processes choose once each by the same peer
// loads, without seeing each other's choices: no worker may get a large part of the requests,
// although one of them looks idle to all.
func TestManyProcessesDoNotCrowdOneWorker(t *testing.T) {
	const processes, workers = 40, 40
	var rows []wire.WorkerLoad
	var list []wire.PoolWorker
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		list = append(list, wire.PoolWorker{ID: id, Pool: "p", Zone: "z1", Slots: 8})
		rows = append(rows, wire.WorkerLoad{Worker: loadshare.Hash(id), Online: uint16(min(i, 3)), Rate: 100})
	}
	got := map[string]int{}
	for process := range processes {
		table := NewTable("z1", rand.New(rand.NewPCG(uint64(process), 1)))
		table.Update(start, workerset.Of(list), nil)
		table.SetPeerLoads(start, rows, ScopeAll)
		got[table.Acquire(start.Add(50*time.Millisecond), &Request{Pool: "p"}).Endpoint.ID]++
	}
	for id, count := range got {
		if count > processes/5 {
			t.Errorf("%s got %d of %d requests", id, count, processes)
		}
	}
}

// TestFewUnseenRequestsCompareAll checks that the best of all workers is chosen if next to no
// requests can be unseen.
func TestFewUnseenRequestsCompareAll(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z1"), poolWorker("c", "z1"), poolWorker("d", "z1"))
	table.SetPeerLoads(start, []wire.WorkerLoad{peerLoad("a", 2, 0, 10), peerLoad("b", 2, 0, 10), peerLoad("d", 2, 0, 10)}, ScopeAll)
	for range 50 {
		lease := table.Acquire(start, &Request{Pool: "p"})
		if lease.Endpoint.ID != "c" {
			t.Fatalf("%s was chosen although c is idle", lease.Endpoint.ID)
		}
		lease.Release()
	}
}

// TestZoneIsSampledSeparately lets five hundred processes of one zone choose once each among many
// workers of all zones, without seeing each other's choices. If the zone has free slots, nearly all
// requests must stay there and overload no worker. If the zone is full, they must go to other
// zones.
func TestZoneIsSampledSeparately(t *testing.T) {
	const processes, zones, perZone = 500, 5, 20
	for name, test := range map[string]struct {
		ownLoad   uint16
		leastNear int
		mostNear  int
	}{
		"room in the zone": {1, processes * 9 / 10, processes},
		"the zone is full": {8, 0, processes / 10},
	} {
		t.Run(name, func(t *testing.T) {
			var rows []wire.WorkerLoad
			var list []wire.PoolWorker
			zoneOf := map[string]string{}
			for i := range zones * perZone {
				id, zone, load := fmt.Sprintf("w%d", i), fmt.Sprintf("z%d", i%zones), uint16(1)
				if zone == "z1" {
					load = test.ownLoad
				}
				zoneOf[id] = zone
				list = append(list, wire.PoolWorker{ID: id, Pool: "p", Zone: zone, Slots: 8})
				rows = append(rows, wire.WorkerLoad{Worker: loadshare.Hash(id), Online: load, Rate: 60})
			}
			got, near := map[string]int{}, 0
			for process := range processes {
				table := NewTable("z1", rand.New(rand.NewPCG(uint64(process), 1)))
				table.Update(start, workerset.Of(list), nil)
				table.SetPeerLoads(start, rows, ScopeAll)
				id := table.Acquire(start.Add(100*time.Millisecond), &Request{Pool: "p"}).Endpoint.ID
				got[id]++
				if zoneOf[id] == "z1" {
					near++
				}
			}
			if near < test.leastNear || near > test.mostNear {
				t.Errorf("%d of %d requests stayed in the zone", near, processes)
			}
			for id, count := range got {
				if count > 3*processes/perZone {
					t.Errorf("%s got %d of %d requests", id, count, processes)
				}
			}
		})
	}
}

// TestUnknownLoadsComeLast names only some workers of other zones in the peer loads. The load of
// the unnamed workers of these zones is unknown: they must not count as idle, but must be chosen if
// there is no other worker.
func TestUnknownLoadsComeLast(t *testing.T) {
	table := tableOf(poolWorker("a", "z1"), poolWorker("b", "z2"), poolWorker("c", "z2"))
	full := func(id string) wire.WorkerLoad { return wire.WorkerLoad{Worker: loadshare.Hash(id), Online: 8} }
	table.SetPeerLoads(start, []wire.WorkerLoad{full("a"), full("b")}, ScopeZone)
	for range 20 {
		lease := table.Acquire(start, &Request{Pool: "p"})
		if lease.Endpoint.ID == "c" {
			t.Fatal("a worker with an unknown load was treated as idle")
		}
		lease.Release()
	}
	both := map[string]bool{"a": true, "b": true}
	if lease := table.Acquire(start, &Request{Pool: "p", Exclude: both}); lease == nil || lease.Endpoint.ID != "c" {
		t.Error("a worker with an unknown load was not chosen although there is no other")
	}
	// With ScopeZone, a worker of the zone that is not named is idle.
	table.SetPeerLoads(start, []wire.WorkerLoad{full("b")}, ScopeZone)
	if lease := table.Acquire(start, &Request{Pool: "p"}); lease.Endpoint.ID != "a" {
		t.Errorf("%s was chosen although a is idle", lease.Endpoint.ID)
	}
}

// TestFreshLoadsCompareNearlyAll lets processes choose one after the other, each with fresh loads
// that include all earlier choices: the requests spread evenly, because nearly all workers are
// compared.
func TestFreshLoadsCompareNearlyAll(t *testing.T) {
	const workers, requests = 20, 80
	var list []wire.PoolWorker
	for i := range workers {
		list = append(list, wire.PoolWorker{ID: fmt.Sprintf("w%d", i), Pool: "p", Zone: "z1", Slots: 8})
	}
	online := map[string]uint16{}
	for process := range requests {
		var rows []wire.WorkerLoad
		for _, row := range list {
			rows = append(rows, wire.WorkerLoad{Worker: loadshare.Hash(row.ID), Online: online[row.ID], Rate: 100})
		}
		table := NewTable("z1", rand.New(rand.NewPCG(uint64(process), 1)))
		table.Update(start, workerset.Of(list), nil)
		table.SetPeerLoads(start, rows, ScopeZone)
		online[table.Acquire(start.Add(time.Millisecond), &Request{Pool: "p"}).Endpoint.ID]++
	}
	for _, row := range list {
		if count := int(online[row.ID]); count < requests/workers-1 || count > requests/workers+1 {
			t.Errorf("%s got %d of %d requests", row.ID, count, requests)
		}
	}
}
