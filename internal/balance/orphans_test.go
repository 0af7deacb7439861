package balance

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestOrphansTakeSlots checks that neither requests nor items go to a worker whose
// slots are taken by what nobody answers for, and that a small difference counts
// for nothing.
func TestOrphansTakeSlots(t *testing.T) {
	table := tableOf(listed("a", "z1"), listed("b", "z2"))
	onlyA := &Demand{Pool: "p", Batch: true, Urgent: true, Exclude: map[string]bool{"b": true}}
	table.SetOthers(start, []wire.WorkerLoad{{Worker: loadshare.Hash("a"), Orphans: 1}})
	lease := table.Acquire(start, onlyA)
	if lease == nil {
		t.Fatal("a difference of one kept an item away")
	}
	lease.Release()
	table.SetOthers(start, []wire.WorkerLoad{{Worker: loadshare.Hash("a"), Orphans: 4}})
	if table.Acquire(start, onlyA) != nil {
		t.Error("an item went to a worker full of orphans")
	}
	if lease := table.Acquire(start, &Demand{Pool: "p"}); lease.Endpoint.ID != "b" {
		t.Error("a request went to a worker full of orphans")
	}
}

// TestToldIsPassedOnOnce checks that what a worker says of itself is in the next
// report, and only there.
func TestToldIsPassedOnOnce(t *testing.T) {
	table := tableOf(listed("a", "z1"))
	lease := table.Acquire(start, &Demand{Pool: "p"})
	lease.Told(3, 2)
	lease.Release()
	if loads := table.Loads(); len(loads) != 1 || loads[0].Told != 6 || loads[0].Online != 0 {
		t.Errorf("first report %+v", loads)
	}
	if loads := table.Loads(); len(loads) != 0 {
		t.Errorf("second report %+v", loads)
	}
}
