package loadshare

import (
	"math/rand/v2"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxRows bounds the workers of an answer to a process that serves callers, so that
// what each process is told stays the same however large the fleet is: 40 rows of some
// 27 bytes fit into one packet.
const maxRows = 40

// Part returns the rows to tell a process of the zone, and whether some were left out:
// those of the zone's workers, and as many of the others, drawn by lot, as there is
// room for. Workers of the zone come first because most requests go there; the others
// matter where the zone is full, and then a few are enough to choose among. zoneOf
// names the zone of a worker by its short name.
func Part(rows []wire.WorkerLoad, zone string, zoneOf map[uint32]string, random *rand.Rand) (part []wire.WorkerLoad, left bool) {
	if len(rows) <= maxRows {
		return rows, false
	}
	near := 0
	for i := range rows {
		if zoneOf[rows[i].Worker] == zone {
			rows[near], rows[i] = rows[i], rows[near]
			near++
		}
	}
	for i := near; i < maxRows; i++ {
		other := i + random.IntN(len(rows)-i)
		rows[i], rows[other] = rows[other], rows[i]
	}
	return rows[:min(max(near, maxRows), len(rows))], true
}
