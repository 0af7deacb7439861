package loadshare

import (
	"math/rand/v2"
	"testing"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestSubsetSizeIsBounded checks fleets of several sizes: a process receives all workers of its
// zone, and as many others as fit into one packet. Over several answers it receives every worker.
func TestSubsetSizeIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for _, test := range []struct{ workers, zones, want int }{
		{12, 3, 12}, {maxAnswerRows, 4, maxAnswerRows}, {130, 5, maxAnswerRows}, {600, 9, 67}, {0, 1, 0},
	} {
		zoneOf, seen := map[uint32]string{}, map[uint32]bool{}
		for worker := range test.workers {
			zoneOf[uint32(worker)] = string(rune('a' + worker%test.zones))
		}
		for range 200 {
			rows := make([]wire.WorkerLoad, test.workers)
			for worker := range rows {
				rows[worker].Worker = uint32(worker)
			}
			subset, omitted := Subset(rows, "a", func(worker uint32) string { return zoneOf[worker] }, random)
			if len(subset) != test.want || omitted != (test.want < test.workers) {
				t.Fatalf("%+v: %d rows, omitted %t", test, len(subset), omitted)
			}
			near := 0
			for i := range subset {
				seen[subset[i].Worker] = true
				if zoneOf[subset[i].Worker] == "a" {
					near++
				}
			}
			if near != (test.workers+test.zones-1)/test.zones {
				t.Fatalf("%+v: %d rows of the zone", test, near)
			}
		}
		if test.zones < 9 && len(seen) != test.workers {
			t.Errorf("%+v: only %d workers were ever included", test, len(seen))
		}
	}
}
