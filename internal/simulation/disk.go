package simulation

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/storage"
)

// disk is a store that can lose power in the middle of a write.
type disk struct {
	*storage.Memory
	// writesToPowerLoss counts down the writes until the disk loses power; it is negative if the
	// disk is to keep power.
	writesToPowerLoss int
	lostPower         bool
	// skipsSync makes the disk acknowledge synced writes without syncing them.
	skipsSync bool
}

func newDisk() *disk { return &disk{Memory: storage.NewMemory(), writesToPowerLoss: -1} }

var errPowerLost = errors.New("the disk has lost power")

// Commit implements storage.Store.
func (d *disk) Commit(mutations []storage.Mutation, sync bool) error {
	if d.writesToPowerLoss == 0 {
		d.lostPower = true
		return errPowerLost
	}
	if d.writesToPowerLoss > 0 {
		d.writesToPowerLoss--
	}
	return d.Memory.Commit(mutations, sync && !d.skipsSync)
}

// crash returns the disk as the restarted process finds it: a random number of the unsynced writes
// has survived, or none if the disk skips syncs.
func (d *disk) crash(random *rand.Rand) *disk {
	surviving := random.IntN(d.Unsynced() + 1)
	if d.skipsSync {
		surviving = 0
	}
	return &disk{Memory: d.Memory.Crash(surviving), writesToPowerLoss: -1, skipsSync: d.skipsSync}
}
