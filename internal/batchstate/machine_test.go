package batchstate

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/proptest"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// apply runs a command as a replica does.
func apply(machine *Machine, store *storage.Memory, command *wire.BatchCommand) (*wire.BatchResult, error) {
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	answer, mutations := machine.Apply(encoded)
	if err := store.Commit(mutations, false); err != nil {
		return nil, err
	}
	result := &wire.BatchResult{}
	_, err = result.UnmarshalMsg(answer)
	return result, err
}

func mustApply(t *testing.T, machine *Machine, store *storage.Memory, command *wire.BatchCommand) *wire.BatchResult {
	t.Helper()
	result, err := apply(machine, store, command)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func submitCommand(id string, items int, tokens, limit int64) *wire.BatchCommand {
	submit := &wire.SubmitBatch{ID: id, Route: "r", Host: "h.example", Limit: limit}
	for i := 0; i < items; i++ {
		submit.Items = append(submit.Items, wire.BatchItem{ID: fmt.Sprintf("%s-%d", id, i), Path: "/p/x", Body: []byte(id), Tokens: tokens})
	}
	return &wire.BatchCommand{Submit: submit}
}

func recordCommand(id string, item int, state wire.ItemState, text string) *wire.BatchCommand {
	return &wire.BatchCommand{Record: &wire.RecordItems{Items: []wire.ItemRecord{{Job: id, Item: item, State: state, Text: text}}}}
}

func saveCommand(records ...wire.ItemRecord) *wire.BatchCommand {
	return &wire.BatchCommand{Save: &wire.RecordItems{Items: records}}
}

func TestQuotaCountsWaitingTokens(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	mustApply(t, machine, store, submitCommand("a", 2, 40, 100))
	if rejected := mustApply(t, machine, store, submitCommand("b", 1, 21, 100)); rejected.Failure == nil || failure.Kind(rejected.Failure.Kind) != failure.OverLimit || rejected.Failure.RetryAfterMillis == 0 {
		t.Fatalf("a job over the quota got %+v", rejected)
	}
	if repeated := mustApply(t, machine, store, submitCommand("a", 2, 40, 100)); repeated.Failure != nil || !repeated.Repeated {
		t.Fatalf("the same job again got %+v", repeated)
	}
	mustApply(t, machine, store, recordCommand("a", 0, wire.ItemCompleted, "x"))
	if accepted := mustApply(t, machine, store, submitCommand("b", 1, 21, 100)); accepted.Failure != nil {
		t.Fatalf("a job that fits got %+v", accepted)
	}
	mustApply(t, machine, store, &wire.BatchCommand{End: &wire.BatchName{ID: "a"}})
	if waiting := machine.WaitingTokens("r"); waiting != 21 {
		t.Errorf("%d tokens wait, want 21", waiting)
	}
}

func TestResultsAreImmutable(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	mustApply(t, machine, store, submitCommand("a", 3, 1, 0))
	mustApply(t, machine, store, recordCommand("a", 2, wire.ItemCompleted, "two"))
	mustApply(t, machine, store, recordCommand("a", 2, wire.ItemCompleted, "other"))
	mustApply(t, machine, store, recordCommand("a", 0, wire.ItemAbandoned, "half"))
	mustApply(t, machine, store, &wire.BatchCommand{End: &wire.BatchName{ID: "a"}})
	mustApply(t, machine, store, recordCommand("a", 1, wire.ItemCompleted, "late"))
	read, err := machine.Read(store, "a", 0, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	want := []wire.BatchResultRow{{ID: "a-2", State: wire.ItemCompleted, Text: "two"}, {ID: "a-0", State: wire.ItemAbandoned}}
	if read.Total != 3 || len(read.Results) != 2 || read.Results[0] != want[0] || read.Results[1] != want[1] {
		t.Errorf("read %+v", read)
	}
	if _, err := machine.Read(store, "b", 0, 1); !failure.Is(err, failure.NotFound) {
		t.Errorf("an unknown job gave %v", err)
	}
	if one, err := machine.Read(store, "a", 0, 1); err != nil || len(one.Results) != 1 {
		t.Errorf("a read of at most one byte gave %+v, %v", one, err)
	}
}

// TestTextGrowsInOrder checks that parts of a text are joined in order only, and that a restored
// machine continues from the same state.
func TestTextGrowsInOrder(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	mustApply(t, machine, store, submitCommand("a", 1, 1, 0))
	record := func(from, events int, text string, state wire.ItemState) {
		mustApply(t, machine, store, &wire.BatchCommand{Record: &wire.RecordItems{Items: []wire.ItemRecord{{Job: "a", From: from, Events: events, LastEvent: int64(events), Failures: 1, Text: text, State: state}}}})
	}
	record(0, 2, "one\ntwo", wire.ItemWaiting)
	record(4, 5, "\nfive", wire.ItemWaiting)
	record(0, 1, "one", wire.ItemWaiting)
	record(4, 5, "\nfive", wire.ItemCompleted)
	machine = New()
	if err := machine.Restore(store); err != nil {
		t.Fatal(err)
	}
	found, err := machine.Job("a")
	if err != nil || found.Items[0].Recorded.Events != 2 || found.Items[0].Recorded.Text != "one\ntwo" || found.Items[0].Failures != 1 {
		t.Fatalf("%+v, %v", found, err)
	}
	record(2, 3, "\nthree", wire.ItemWaiting)
	record(3, 4, "\nfour", wire.ItemCompleted)
	read, err := machine.Read(store, "a", 0, 1<<20)
	if err != nil || len(read.Results) != 1 || read.Results[0].Text != "one\ntwo\nthree\nfour" {
		t.Errorf("%+v, %v", read, err)
	}
}

// TestChainsDoNotMix simulates a leader that loses its lease for a moment and starts an item again
// from the log while records of its earlier run are still being written. Parts of the two runs
// must not be joined, even if their events fit.
func TestChainsDoNotMix(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	mustApply(t, machine, store, submitCommand("a", 1, 1, 0))
	record := func(chain uint64, opens bool, from, events int, state wire.ItemState) bool {
		result := mustApply(t, machine, store, &wire.BatchCommand{Record: &wire.RecordItems{Items: []wire.ItemRecord{{
			Job: "a", From: from, Events: events, LastEvent: int64(events), State: state,
			Text: fmt.Sprintf("[%d:%d-%d]", chain, from, events), Chain: chain, Opens: opens,
		}}}})
		return len(result.Dropped) == 0
	}
	for _, step := range []struct {
		name     string
		chain    uint64
		opens    bool
		from     int
		events   int
		accepted bool
	}{
		{"the first run", 1, true, 0, 10, true},
		{"its record that was still being written", 1, false, 10, 20, true},
		{"the second run, from an older state of the log", 2, true, 10, 20, false},
		{"the next record of the second run, whose events would fit", 2, false, 20, 30, false},
		{"a third run, from the present state of the log", 3, true, 20, 25, true},
		{"a late record of the first run", 1, false, 25, 30, false},
		{"the next record of the third run", 3, false, 25, 30, true},
	} {
		if accepted := record(step.chain, step.opens, step.from, step.events, wire.ItemWaiting); accepted != step.accepted {
			t.Errorf("%s: accepted %t", step.name, accepted)
		}
		restored := New()
		if err := restored.Restore(store); err != nil {
			t.Fatal(err)
		}
		machine = restored
	}
	if record(2, false, 30, 40, wire.ItemCompleted) || !record(3, false, 30, 40, wire.ItemCompleted) || record(3, false, 30, 40, wire.ItemCompleted) {
		t.Error("the wrong run finished the item, or a run finished it twice")
	}
	read, err := machine.Read(store, "a", 0, 1<<20)
	if err != nil || len(read.Results) != 1 || read.Results[0].Text != "[1:0-10][1:10-20][3:20-25][3:25-30][3:30-40]" {
		t.Errorf("%+v, %v", read, err)
	}
}

// readerModel is what a reader has seen of the jobs.
type readerModel struct {
	positions map[string][]wire.BatchResultRow
	ended     map[string]bool
}

// TestRandomCommands applies random commands and checks after each that results that were read do
// not change, that no item has two results, that the quota is exact, and that a restored machine
// has the same state.
func TestRandomCommands(t *testing.T) {
	proptest.Run(t, "batch invariants", func(random *rand.Rand) error {
		machine, store := New(), storage.NewMemory()
		seen := readerModel{positions: map[string][]wire.BatchResultRow{}, ended: map[string]bool{}}
		for step := 0; step < 60; step++ {
			if _, err := apply(machine, store, randomCommand(random)); err != nil {
				return err
			}
			if random.Intn(10) == 0 {
				restored := New()
				if err := restored.Restore(store); err != nil {
					return err
				}
				if err := sameProgress(machine, restored); err != nil {
					return errors.Wrapf(err, "step %d", step)
				}
				machine = restored
			}
			if err := seen.check(machine, store); err != nil {
				return errors.Wrapf(err, "step %d", step)
			}
		}
		return nil
	})
}

// sameProgress returns an error if the items of a restored machine have other texts.
func sameProgress(machine, restored *Machine) error {
	for id, job := range machine.jobs {
		for number := range job.Items {
			before, after := &job.Items[number], &restored.jobs[id].Items[number]
			if !job.Ended && before.State == wire.ItemWaiting && (before.Saved != after.Saved || before.Recorded.Events != after.Recorded.Events || before.Failures != after.Failures) {
				return fmt.Errorf("item %d of %s was %+v and is restored as %+v", number, id, before, after)
			}
		}
	}
	return nil
}

func randomCommand(random *rand.Rand) *wire.BatchCommand {
	id := fmt.Sprintf("job-%d", random.Intn(4))
	switch random.Intn(10) {
	case 0, 1:
		return submitCommand(id, 1+random.Intn(4), int64(random.Intn(50)), 150)
	case 8, 9:
		from := random.Intn(3)
		return saveCommand(wire.ItemRecord{Job: id, Item: random.Intn(5) - 1, From: from, Events: from + 1, Text: fmt.Sprint(random.Intn(100)), Chain: uint64(random.Intn(3)), Opens: random.Intn(2) == 0, Restarts: random.Intn(4) == 0})
	case 2:
		if random.Intn(3) == 0 {
			return &wire.BatchCommand{End: &wire.BatchName{ID: id}}
		}
	}
	return recordCommand(id, random.Intn(5)-1, wire.ItemState(random.Intn(3)), fmt.Sprint(random.Intn(100)))
}

func (m *readerModel) check(machine *Machine, store *storage.Memory) error {
	var waiting int64
	var failed error
	machine.EachJob(func(job *Job) {
		read, err := machine.Read(store, job.ID, 0, 1<<20)
		if err != nil {
			failed = err
			return
		}
		previous := m.positions[job.ID]
		if len(read.Results) < len(previous) {
			failed = fmt.Errorf("%s had %d results, now %d", job.ID, len(previous), len(read.Results))
			return
		}
		items := map[string]bool{}
		for position, row := range read.Results {
			if position < len(previous) && previous[position] != row {
				failed = fmt.Errorf("%s position %d was %+v, now %+v", job.ID, position, previous[position], row)
			}
			if items[row.ID] {
				failed = fmt.Errorf("%s has two results of item %s", job.ID, row.ID)
			}
			items[row.ID] = true
		}
		if m.ended[job.ID] && len(read.Results) > len(previous) {
			failed = fmt.Errorf("%s took a result after its end", job.ID)
		}
		m.positions[job.ID], m.ended[job.ID] = read.Results, job.Ended
		for number := range job.Items {
			if job.Ended || job.Items[number].State != wire.ItemWaiting {
				continue
			}
			waiting += job.Items[number].Tokens
			if content, err := machine.Content(store, job.ID, number); err != nil || string(content.Body) != job.ID {
				failed = fmt.Errorf("%s has lost the body of item %d: %v", job.ID, number, err)
			}
		}
	})
	if failed == nil && waiting != machine.WaitingTokens("r") {
		return fmt.Errorf("%d tokens wait, the machine says %d", waiting, machine.WaitingTokens("r"))
	}
	if failed == nil && waiting > 150 {
		return fmt.Errorf("%d tokens wait, over the quota", waiting)
	}
	return failed
}
