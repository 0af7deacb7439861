package loadshare

import (
	"math/rand/v2"
	"testing"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestPartStaysTheSameSize lists fleets of different sizes: a process is told of all
// workers of its zone, and of others up to one packet; over several answers it hears of
// every worker.
func TestPartStaysTheSameSize(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for _, test := range []struct{ workers, zones, want int }{
		{12, 3, 12}, {maxRows, 4, maxRows}, {130, 5, maxRows}, {600, 9, 67}, {0, 1, 0},
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
			part, left := Subset(rows, "a", func(worker uint32) string { return zoneOf[worker] }, random)
			if len(part) != test.want || left != (test.want < test.workers) {
				t.Fatalf("%+v: %d rows, left %t", test, len(part), left)
			}
			near := 0
			for i := range part {
				seen[part[i].Worker] = true
				if zoneOf[part[i].Worker] == "a" {
					near++
				}
			}
			if near != (test.workers+test.zones-1)/test.zones {
				t.Fatalf("%+v: %d rows of the zone", test, near)
			}
		}
		if test.zones < 9 && len(seen) != test.workers {
			t.Errorf("%+v: %d workers were told of", test, len(seen))
		}
	}
}
