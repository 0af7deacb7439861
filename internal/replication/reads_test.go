package replication

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/storage"
)

// TestReplicasCatchUpForReads commits commands at the leader and checks that every
// replica has them once it has come to the leader's index, and that no other
// replica gives an index or waits for ever.
func TestReplicasCatchUpForReads(t *testing.T) {
	hosts := startHosts(t, 3, 1, func(int) storage.Store { return storage.NewMemory() })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	leaders := []int{0}
	for round := 0; round < 20; round++ {
		want := fmt.Sprint(round)
		if err := proposeAnywhere(ctx, hosts, leaders, 0, []byte(want)); err != nil {
			t.Fatal(err)
		}
		index, err := hosts[leaders[0]].ReadIndex(0)
		if err != nil {
			// Leadership has moved on since the command; the next round asks anew.
			continue
		}
		for number, host := range hosts {
			if err := host.WaitApplied(ctx, 0, index); err != nil {
				t.Fatal(err)
			}
			err := host.ReadStale(0, func(applied uint64, reader storage.Reader) error {
				got, err := reader.Get([]byte("last"))
				if string(got) != want || applied < index {
					t.Errorf("replica %d has come to %d of %d and reads %q, not %q", number, applied, index, got, want)
				}
				return err
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestIndexIsTheLeadersAlone checks that a replica that is no leader gives no
// index, and that a wait for an index that never comes ends with its context.
func TestIndexIsTheLeadersAlone(t *testing.T) {
	network := &localNetwork{hosts: map[string]*Host{}}
	host := joiningHost(t, network, "a", 1, []string{"b"}, false)
	if _, err := host.ReadIndex(0); !failure.Is(err, failure.NotRun) {
		t.Errorf("an index without a group: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := host.WaitApplied(ctx, 0, 7); !failure.Is(err, failure.NotRun) || !errors.Is(err, context.Canceled) {
		t.Errorf("a wait without end: %v", err)
	}
	if err := host.ReadStale(5, nil); !failure.Is(err, failure.NotFound) {
		t.Errorf("a group that does not exist: %v", err)
	}
}
