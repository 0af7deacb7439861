package fleetstate

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/proptest"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// apply executes a command and stores the changes, as a replica does.
func apply(machine *Machine, store *storage.Memory, command *wire.FleetCommand) (*wire.FleetResult, error) {
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	answer, mutations := machine.Apply(encoded)
	if err := store.Commit(mutations, false); err != nil {
		return nil, err
	}
	result := &wire.FleetResult{}
	_, err = result.UnmarshalMsg(answer)
	return result, err
}

func routes(version uint64, source string) *wire.FleetCommand {
	return &wire.FleetCommand{Apply: &wire.ApplyRoutes{Version: version, Document: []byte(source), Source: []byte(source)}}
}

func TestHighestVersionIsInForce(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	steps := []struct {
		version uint64
		source  string
		changed bool
		want    string
	}{
		{0, "zero", true, "zero"},
		{3, "three", true, "three"},
		{3, "other three", false, "three"},
		{2, "two", false, "three"},
		{3, "three", false, "three"},
		{9, "nine", true, "nine"},
	}
	for _, step := range steps {
		result, err := apply(machine, store, routes(step.version, step.source))
		if err != nil || result.Failure != nil || result.Changed != step.changed {
			t.Errorf("version %d %q: %+v, %v", step.version, step.source, result, err)
		}
		if got := string(machine.Routes().Source); got != step.want {
			t.Errorf("after %q: %q is in force", step.source, got)
		}
	}
}

func TestInitialVotersAreSetOnce(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	for id := uint64(1); id <= 2; id++ {
		command := &wire.FleetCommand{Form: &wire.FormStores{Groups: [][]wire.Replica{{{ID: id}}, {{ID: id + 10}}}}}
		if _, err := apply(machine, store, command); err != nil {
			t.Fatal(err)
		}
	}
	if initial := machine.InitialVoters(); len(initial) != 2 || len(initial[1]) != 1 || initial[0][0].ID != 1 || initial[1][0].ID != 11 {
		t.Errorf("initial voters %+v", initial)
	}
}

// TestRetirementsDoNotRace lets two operators retire two stores at the same time, each checked
// without the other: only the first retirement is accepted. The second must be checked again;
// the first may be repeated.
func TestRetirementsDoNotRace(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	retire := func(name string, counted int) *wire.FleetResult {
		t.Helper()
		result, err := apply(machine, store, &wire.FleetCommand{Retire: &wire.RetireStore{Name: name, Counted: counted}})
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	if first := retire("a", 0); first.Failure != nil || !first.Changed {
		t.Fatalf("the first: %+v", first)
	}
	if second := retire("b", 0); second.Failure == nil || failure.Kind(second.Failure.Kind) != failure.NotRun || second.Changed {
		t.Errorf("the second, checked before the first was committed: %+v", second)
	}
	if asked, _ := machine.Retirement("b"); asked {
		t.Error("the second is to be drained")
	}
	if again := retire("a", 0); again.Failure != nil {
		t.Errorf("the first again: %+v", again)
	}
	if checked := retire("b", 1); checked.Failure != nil || !checked.Changed {
		t.Errorf("the second, checked again: %+v", checked)
	}
}

// TestRandomCommands checks that the version never decreases, that the content under a version
// does not change, that a drained store stays drained, and that a restored machine is equal.
func TestRandomCommands(t *testing.T) {
	proptest.Run(t, "fleet invariants", func(random *rand.Rand) error {
		machine, store := New(), storage.NewMemory()
		for step := 0; step < 50; step++ {
			before := machine.Routes()
			_, wasDone := machine.Retirement("s-1")
			command := &wire.FleetCommand{}
			switch random.Intn(4) {
			case 0:
				command.Retire = &wire.RetireStore{Name: fmt.Sprintf("s-%d", random.Intn(3)), Counted: random.Intn(3)}
			case 1:
				command.Retired = &wire.RetireStore{Name: fmt.Sprintf("s-%d", random.Intn(3))}
			default:
				command = routes(uint64(random.Intn(30)), fmt.Sprint(random.Int()))
			}
			if _, err := apply(machine, store, command); err != nil {
				return err
			}
			after := machine.Routes()
			if after.Version < before.Version || before.Source != nil && after.Version == before.Version && !reflect.DeepEqual(before, after) {
				return fmt.Errorf("version %d %q became %d %q", before.Version, before.Source, after.Version, after.Source)
			}
			if _, done := machine.Retirement("s-1"); wasDone && !done {
				return fmt.Errorf("store s-1 is no longer drained")
			}
			restored := New()
			if err := restored.Restore(store); err != nil {
				return err
			}
			if !reflect.DeepEqual(restored.Routes(), after) || !reflect.DeepEqual(restored.retirements, machine.retirements) {
				return fmt.Errorf("the restored state differs")
			}
		}
		return nil
	})
}

// TestReplicasAgreeAfterRestating lets a replica skip quarantine commands, as one of the first
// generation does, and then restates the leader's table. All replicas, and what they have
// stored, must be equal then, also where the skipping replica had entries that the leader has
// removed.
func TestReplicasAgreeAfterRestating(t *testing.T) {
	proptest.Run(t, "replicas agree after restating", func(random *rand.Rand) error {
		leader, skipping := New(), New()
		stores := map[*Machine]*storage.Memory{leader: storage.NewMemory(), skipping: storage.NewMemory()}
		for range 1 + random.Intn(40) {
			command := &wire.FleetCommand{Quarantine: &wire.QuarantineCommand{
				AtMillis: int64(random.Intn(1 << 20)),
				Runs:     []wire.RunReport{{Request: uint64(1 + random.Intn(3)), Worker: uint32(random.Intn(6))}},
			}}
			for machine, store := range stores {
				if machine == skipping && random.Intn(2) == 0 {
					continue
				}
				if _, err := apply(machine, store, command); err != nil {
					return err
				}
			}
		}
		restated := &wire.FleetCommand{Quarantine: &wire.QuarantineCommand{Restated: leader.Quarantine().State()}}
		for machine, store := range stores {
			result, err := apply(machine, store, restated)
			if err != nil || !result.Changed {
				return errors.Newf("restating changes nothing: %v", err)
			}
		}
		if !reflect.DeepEqual(leader.Quarantine().State(), skipping.Quarantine().State()) {
			return errors.Newf("%+v, the leader has %+v", skipping.Quarantine().State(), leader.Quarantine().State())
		}
		restored := New()
		if err := restored.Restore(stores[skipping]); err != nil {
			return err
		}
		if !reflect.DeepEqual(restored.Quarantine().State(), leader.Quarantine().State()) {
			return errors.Newf("%+v is stored, the leader has %+v", restored.Quarantine().State(), leader.Quarantine().State())
		}
		return nil
	})
}
