package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// longPrompt returns a request of whose prompt two thirds are shared.
func longPrompt(part string) *Request {
	return &Request{Pool: "p", PromptTokens: 9000, Parts: []httpheader.Part{{ID: "all", Tokens: 2000}, {ID: part, Tokens: 4000}, {ID: "own", Tokens: 3000}}}
}

// TestSharedPartsUseAffinityWorkers lets a hundred processes send one prompt each, all with the
// same shared parts, to forty idle workers: they use only the two affinity workers. Without
// affinity each process knows only its own requests, and the prompts spread over all workers.
func TestSharedPartsUseAffinityWorkers(t *testing.T) {
	var list []wire.PoolWorker
	for i := range 40 {
		list = append(list, poolWorker(fmt.Sprintf("w%d", i), "z1"))
	}
	got := map[string]int{}
	for process := range 100 {
		table := NewTable("z1", rand.New(rand.NewPCG(uint64(process), 1)))
		table.Update(start, workerset.Of(list), nil)
		got[table.Acquire(start, longPrompt("part")).Endpoint.ID]++
	}
	if len(got) > affinityCount {
		t.Errorf("the prompts went to %d workers: %v", len(got), got)
	}
}

// TestBusyAffinityWorkersAreAvoided checks that a prompt goes elsewhere once its affinity workers
// have more pending tokens than the cache saves.
func TestBusyAffinityWorkersAreAvoided(t *testing.T) {
	var list []wire.PoolWorker
	for i := range 10 {
		list = append(list, poolWorker(fmt.Sprintf("w%d", i), "z1"))
	}
	table := tableOf(list...)
	first := table.Acquire(start, longPrompt("part"))
	first.RecordPrefill()
	first.Release()
	var rows []wire.WorkerLoad
	for _, busy := range table.affinity {
		rows = append(rows, wire.WorkerLoad{Worker: busy.hash, Online: 4, Unread: 20_000})
	}
	table.SetPeerLoads(start, rows, ScopeAll)
	if lease := table.Acquire(start, longPrompt("part")); lease.Endpoint.ID == first.Endpoint.ID {
		t.Error("a prompt was sent to its busy affinity worker")
	}
}

// TestAffinityIsStable checks that the loss of a worker moves only prompts with affinity to it,
// and that affinity is spread over the workers.
func TestAffinityIsStable(t *testing.T) {
	var list []wire.PoolWorker
	for i := range 20 {
		list = append(list, poolWorker(fmt.Sprintf("w%d", i), "z1"))
	}
	affinityOf := func(list []wire.PoolWorker) map[string][]string {
		affinity := map[string][]string{}
		table := tableOf(list...)
		for part := range 200 {
			id := fmt.Sprintf("part%d", part)
			table.findAffinity(longPrompt(id), (*worker).usable)
			for _, worker := range table.affinity {
				affinity[id] = append(affinity[id], worker.listed.ID)
			}
		}
		return affinity
	}
	before, after := affinityOf(list), affinityOf(list[1:])
	count := map[string]int{}
	for part, affinity := range before {
		for _, worker := range affinity {
			count[worker]++
			if worker != "w0" && after[part][0] != worker && after[part][1] != worker {
				t.Errorf("%s had affinity to %v, and now to %v", part, affinity, after[part])
			}
		}
	}
	for id, parts := range count {
		if parts > 3*200*affinityCount/20 {
			t.Errorf("%s is an affinity worker of %d parts", id, parts)
		}
	}
	if len(count) != len(list) {
		t.Errorf("%d of %d workers are affinity workers", len(count), len(list))
	}
}
