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

// TestReplicasCatchUpForReads commits commands through the leader and checks that every replica
// returns the latest command after it has applied the leader's read index.
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
			// Leadership changed after the command; the next round finds the new leader.
			continue
		}
		for number, host := range hosts {
			if err := host.WaitApplied(ctx, 0, index); err != nil {
				t.Fatal(err)
			}
			err := host.ReadStale(0, func(applied uint64, reader storage.Reader) error {
				got, err := reader.Get([]byte("last"))
				if string(got) != want || applied < index {
					t.Errorf("replica %d has applied %d, read index %d, and returns %q, want %q", number, applied, index, got, want)
				}
				return err
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestReadIndexOnlyFromLeader checks that a replica that does not lead returns no read index,
// that waiting for an index ends with the context, and that an unknown group is an error.
func TestReadIndexOnlyFromLeader(t *testing.T) {
	network := &localNetwork{hosts: map[string]*Host{}}
	host := startSeededHost(t, network, "a", 1, []string{"b"}, false)
	if _, err := host.ReadIndex(0); !failure.Is(err, failure.NotRun) {
		t.Errorf("ReadIndex on a host without a leader: %v, want NotRun", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := host.WaitApplied(ctx, 0, 7); !failure.Is(err, failure.NotRun) || !errors.Is(err, context.Canceled) {
		t.Errorf("WaitApplied with a cancelled context: %v, want NotRun", err)
	}
	if err := host.ReadStale(5, nil); !failure.Is(err, failure.NotFound) {
		t.Errorf("ReadStale of a group that does not exist: %v, want NotFound", err)
	}
}
