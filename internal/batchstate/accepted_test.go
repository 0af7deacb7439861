package batchstate

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestAcceptedVersionIsKept guards against jobs that lose the version under which they were accepted: at
// a restart, in a snapshot, which has the same rows, or at their end.
func TestAcceptedVersionIsKept(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	command := submitCommand("a", 1, 1, 0)
	command.Submit.Accepted = 7
	mustApply(t, machine, store, command)
	for _, ended := range []bool{false, true} {
		if ended {
			mustApply(t, machine, store, &wire.BatchCommand{End: &wire.BatchName{ID: "a"}})
		}
		restored := New()
		if err := restored.Restore(store); err != nil {
			t.Fatal(err)
		}
		for _, state := range []*Machine{machine, restored} {
			if job, err := state.Job("a"); err != nil || job.Accepted != 7 || job.Ended != ended {
				t.Errorf("ended %t: %+v, %v", ended, job, err)
			}
		}
	}
}
