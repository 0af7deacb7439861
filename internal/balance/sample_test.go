package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestManyProcessesDoNotCrowdOneWorker lets forty processes choose by the same news,
// each once and unseen by the others: no worker may get a large part of the requests,
// though one of them looks idle to all.
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
		table.Update(list, nil)
		table.SetOthers(start, rows)
		got[table.Acquire(start.Add(50*time.Millisecond), &Demand{Pool: "p"}).Endpoint.ID]++
	}
	for id, count := range got {
		if count > processes/5 {
			t.Errorf("%s got %d of %d requests", id, count, processes)
		}
	}
}

// TestFewUnseenRequestsCompareAll checks that the best of all workers is taken where
// next to nothing can have come unseen.
func TestFewUnseenRequestsCompareAll(t *testing.T) {
	table := tableOf(listed("a", "z1"), listed("b", "z1"), listed("c", "z1"), listed("d", "z1"))
	table.SetOthers(start, []wire.WorkerLoad{told("a", 2, 0, 10), told("b", 2, 0, 10), told("d", 2, 0, 10)})
	for range 50 {
		lease := table.Acquire(start, &Demand{Pool: "p"})
		if lease.Endpoint.ID != "c" {
			t.Fatalf("%s was taken, c is idle", lease.Endpoint.ID)
		}
		lease.Release()
	}
}
