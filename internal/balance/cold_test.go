package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// TestColdStartSpreadsRequests lets many edges choose that have just started and have received no
// peer loads. Requests with a shared beginning of the prompt must not overload its affinity
// workers. Once an edge has peer loads, or has had none for long, these requests must go to the
// affinity workers.
func TestColdStartSpreadsRequests(t *testing.T) {
	const slots = 8
	parts := []httpheader.Part{{ID: "shared", Tokens: 300}, {ID: "own", Tokens: 50}}
	for _, test := range []struct {
		name     string
		parts    []httpheader.Part
		after    time.Duration
		hasLoads bool
		spread   bool
	}{
		{"nothing shared", nil, 0, false, true},
		{"all share a beginning", parts, 0, false, true},
		{"the same, later", parts, coldStartTime, false, false},
		{"the same, with peer loads", parts, 0, true, false},
	} {
		busiest := busiestOf(slots, test.parts, test.after, test.hasLoads)
		t.Logf("%s: %d requests at the busiest worker", test.name, busiest)
		if (busiest <= 2*slots) != test.spread {
			t.Errorf("%s: the busiest worker of %d slots has %d requests", test.name, slots, busiest)
		}
	}
}

// busiestOf lets edges choose workers for a third of all slots, some time after their start, and
// returns the number of requests at the busiest worker.
func busiestOf(slots int, parts []httpheader.Part, after time.Duration, hasLoads bool) int {
	const edges, workers = 24, 30
	var rows []wire.PoolWorker
	for i := range workers {
		rows = append(rows, wire.PoolWorker{ID: fmt.Sprintf("w-%d", i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: slots, Zone: "a"})
	}
	set := workerset.Of(rows)
	running := map[string]int{}
	startTime := time.Unix(1000, 0)
	busiest := 0
	for i := range edges {
		table := NewTable("a", rand.New(rand.NewPCG(uint64(i), 1)))
		table.Update(start, set, map[string]int64{"p": 20_000})
		table.Start(startTime)
		if hasLoads {
			table.SetPeerLoads(startTime, nil, ScopeAll)
		}
		for range workers * slots / 3 / edges {
			lease := table.Acquire(startTime.Add(after), &Request{Pool: "p", Parts: parts, PromptTokens: 350})
			running[lease.Endpoint.ID]++
			busiest = max(busiest, running[lease.Endpoint.ID])
		}
	}
	return busiest
}
