package simulation

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/storage"
)

// disk is a store that can lose power in the middle of a write.
type disk struct {
	*storage.Memory
	// breakAfter counts down the writes until the disk breaks; below zero it
	// does not.
	breakAfter int
	broken     bool
	// forgetful disks claim to sync and do not.
	forgetful bool
}

func newDisk() *disk { return &disk{Memory: storage.NewMemory(), breakAfter: -1} }

var errBroken = errors.New("the disk has lost power")

// Commit implements storage.Store.
func (d *disk) Commit(mutations []storage.Mutation, sync bool) error {
	if d.breakAfter == 0 {
		d.broken = true
		return errBroken
	}
	if d.breakAfter > 0 {
		d.breakAfter--
	}
	return d.Memory.Commit(mutations, sync && !d.forgetful)
}

// crash returns the disk as the next life of the process finds it: a random
// number of the unsynced writes has survived.
func (d *disk) crash(random *rand.Rand) *disk {
	keep := random.IntN(d.Unsynced() + 1)
	if d.forgetful {
		keep = 0
	}
	return &disk{Memory: d.Memory.Crash(keep), breakAfter: -1, forgetful: d.forgetful}
}
