package batchstate

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestSavedTextOfTwoVersions guards against progress that joins the texts of two chains, one of which
// started the item again at another worker version.
func TestSavedTextOfTwoVersions(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	mustApply(t, machine, store, submitCommand("a", 1, 1, 0))
	for _, step := range []struct {
		record wire.ItemRecord
		// text is the saved text after the step.
		text string
	}{
		{wire.ItemRecord{From: 0, Events: 0, Chain: 1, Opens: true}, ""},
		{wire.ItemRecord{From: 0, Events: 2, Text: "1 2", Chain: 1, Version: "v1"}, "1 2"},
		{wire.ItemRecord{From: 2, Events: 3, Text: " 3", Chain: 1, Version: "v1"}, "1 2 3"},
		{wire.ItemRecord{From: 0, Events: 1, Text: "A", Chain: 2, Opens: true, Version: "v2"}, "1 2 3"},
		{wire.ItemRecord{From: 0, Events: 1, Text: "A", Chain: 2, Restarts: true, Version: "v2"}, "1 2 3"},
		{wire.ItemRecord{From: 0, Events: 1, Text: "A", Chain: 2, Opens: true, Restarts: true, Version: "v2"}, "A"},
		{wire.ItemRecord{From: 3, Events: 4, Text: " 4", Chain: 1, Version: "v1"}, "A"},
		{wire.ItemRecord{From: 1, Events: 4, Text: " 2 3 4", Chain: 1, Version: "v1"}, "A"},
		{wire.ItemRecord{From: 1, Events: 2, Text: " B", Chain: 2, Version: "v2"}, "A B"},
	} {
		step.record.Job, step.record.LastEvent, step.record.Failures = "a", int64(step.record.Events), 1
		mustApply(t, machine, store, saveCommand(step.record))
		restored := New()
		if err := restored.Restore(store); err != nil {
			t.Fatal(err)
		}
		if err := sameProgress(machine, restored); err != nil {
			t.Error(err)
		}
		if saved := restored.jobs["a"].Items[0].Saved; saved.Text != step.text {
			t.Errorf("after %+v: saved %+v, want the text %q", step.record, saved, step.text)
		}
	}
	saved := machine.jobs["a"].Items[0].Saved
	if saved.Events != 2 || saved.LastEvent != 2 || saved.Version != "v2" {
		t.Errorf("saved %+v", saved)
	}
	mustApply(t, machine, store, recordCommand("a", 0, wire.ItemCompleted, "A B C"))
	if read, err := machine.Read(store, "a", 0, 1<<20); err != nil || len(read.Results) != 1 || read.Results[0].Text != "A B C" {
		t.Errorf("%+v, %v", read, err)
	}
	if left, _ := store.Get(savedKey("a", 0, 0)); left != nil {
		t.Error("the progress of an item with a result is still stored")
	}
}

// TestRecordedTextIsKept checks that an item whose text an earlier build recorded takes no saved
// progress, also after a restart.
func TestRecordedTextIsKept(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	mustApply(t, machine, store, submitCommand("a", 1, 1, 0))
	mustApply(t, machine, store, saveCommand(wire.ItemRecord{Job: "a", Events: 1, LastEvent: 1, Text: "x", Chain: 1, Opens: true, Version: "v1"}))
	mustApply(t, machine, store, &wire.BatchCommand{Record: &wire.RecordItems{Items: []wire.ItemRecord{{Job: "a", Events: 2, LastEvent: 2, Text: "1 2", Chain: 2, Opens: true}}}})
	mustApply(t, machine, store, saveCommand(wire.ItemRecord{Job: "a", Events: 1, LastEvent: 1, Text: "y", Chain: 3, Opens: true, Restarts: true, Failures: 2}))
	restored := New()
	if err := restored.Restore(store); err != nil {
		t.Fatal(err)
	}
	if item := restored.jobs["a"].Items[0]; item.Recorded.Text != "1 2" || item.Recorded.Events != 2 {
		t.Errorf("%+v", item)
	}
	mustApply(t, restored, store, &wire.BatchCommand{Record: &wire.RecordItems{Items: []wire.ItemRecord{{Job: "a", From: 2, Events: 3, State: wire.ItemCompleted, Text: " 3", Chain: 4, Opens: true}}}})
	if read, err := restored.Read(store, "a", 0, 1<<20); err != nil || len(read.Results) != 1 || read.Results[0].Text != "1 2 3" {
		t.Errorf("%+v, %v", read, err)
	}
}
