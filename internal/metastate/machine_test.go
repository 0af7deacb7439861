package metastate

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
	"testing"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/proptest"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// apply applies a command and commits its mutations, as a replica does.
func apply(t interface{ Fatal(...any) }, machine *Machine, store *storage.Memory, command *wire.MetaCommand) *wire.MetaResult {
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, mutations := machine.Apply(encoded)
	if err := store.Commit(mutations, false); err != nil {
		t.Fatal(err)
	}
	result := &wire.MetaResult{}
	if _, err := result.UnmarshalMsg(answer); err != nil {
		t.Fatal(err)
	}
	return result
}

func drain(id string, revision uint64, name string) *wire.MetaCommand {
	return &wire.MetaCommand{Apply: &wire.ApplyRequest{
		ChangeID:         id,
		ExpectedRevision: revision,
		Documents:        []wire.Document{{Kind: KindDrain, Name: name, Body: []byte(`{}`)}},
	}}
}

func TestOperatorsRaceWithEqualRevisions(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	if first := apply(t, machine, store, drain("a", 0, "x")); first.Failure != nil || first.Apply.Revision != 1 {
		t.Fatalf("the first change returned %+v, want revision 1", first)
	}
	if second := apply(t, machine, store, drain("b", 0, "y")); second.Failure == nil || failure.Kind(second.Failure.Kind) != failure.Conflict {
		t.Errorf("a second change based on the same revision returned %+v, want a conflict", second)
	}
	apply(t, machine, store, drain("c", 1, "z"))
	if resent := apply(t, machine, store, drain("a", 0, "x")); resent.Failure != nil || resent.Apply.Revision != 1 || !resent.Apply.Repeated {
		t.Errorf("a resend returned %+v, want revision 1, marked as repeated", resent)
	}
	if other := apply(t, machine, store, drain("a", 2, "other")); other.Failure == nil || failure.Kind(other.Failure.Kind) != failure.Conflict {
		t.Errorf("a change with a used id and other content returned %+v, want a conflict", other)
	}
	if machine.Revision() != 2 {
		t.Errorf("the revision is %d, want 2", machine.Revision())
	}
}

func TestTemplateChangeChecksItsTenants(t *testing.T) {
	machine, store := New(), storage.NewMemory()
	document := func(kind, name string, body any) wire.Document {
		encoded, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		return wire.Document{Kind: kind, Name: name, Body: encoded}
	}
	template := Template{Parameters: map[string]Parameter{"online_rank": {Maximum: json.RawMessage(`9`)}}}
	tenant := Tenant{Template: "school", Values: map[string]json.RawMessage{"online_rank": json.RawMessage(`8`)}}
	change := func(id string, revision uint64, documents ...wire.Document) *wire.MetaResult {
		return apply(t, machine, store, &wire.MetaCommand{Apply: &wire.ApplyRequest{ChangeID: id, ExpectedRevision: revision, Documents: documents}})
	}
	if got := change("a", 0, document(KindTenant, "t", tenant), document(KindTemplate, "school", template)); got.Failure != nil {
		t.Fatalf("a change with a template and its tenant was rejected: %v", got.Failure.Err())
	}
	template.Parameters["online_rank"] = Parameter{Maximum: json.RawMessage(`7`)}
	if got := change("b", 1, document(KindTemplate, "school", template)); got.Failure == nil {
		t.Error("a template whose maximum is below the value of a tenant was accepted")
	}
}

func TestRandomChanges(t *testing.T) {
	proptest.Run(t, "revisions, ids and epochs", func(random *rand.Rand) error {
		machine, store := New(), storage.NewMemory()
		accepted := map[string]uint64{}
		epochs := map[uint64]bool{}
		for step := 0; step < 120; step++ {
			if random.Intn(4) == 0 {
				worker := fmt.Sprint(random.Intn(5))
				result := apply(t, machine, store, &wire.MetaCommand{Assign: &wire.AssignCommand{Assignments: []wire.Assignment{{Worker: worker, Dispatcher: "d"}}}})
				epoch := result.Assignments[0].Epoch
				if epochs[epoch] || epoch != machine.Epoch() {
					return fmt.Errorf("epoch %d was assigned twice or is not the highest", epoch)
				}
				epochs[epoch] = true
				continue
			}
			number := random.Intn(40)
			id := fmt.Sprint("change-", number)
			revision := machine.Revision() - uint64(random.Intn(2))*min(1, machine.Revision())
			first, known := accepted[id]
			before := machine.Revision()
			result := apply(t, machine, store, drain(id, revision, fmt.Sprint("n", number)))
			switch {
			case result.Failure != nil && machine.Revision() != before:
				return fmt.Errorf("a rejected change altered the revision")
			case result.Failure != nil:
			case known && result.Apply.Revision != first:
				return fmt.Errorf("change %s has revisions %d and %d", id, first, result.Apply.Revision)
			case !known && result.Apply.Revision != before+1:
				return fmt.Errorf("revision %d follows %d", result.Apply.Revision, before)
			default:
				accepted[id] = result.Apply.Revision
			}
		}
		restored := New()
		if err := restored.Restore(store); err != nil {
			return err
		}
		same := restored.Revision() == machine.Revision() && restored.Epoch() == machine.Epoch() &&
			reflect.DeepEqual(restored.Documents("", ""), machine.Documents("", "")) &&
			reflect.DeepEqual(restored.SortedAssignments(), machine.SortedAssignments())
		if !same {
			return fmt.Errorf("the restored state differs")
		}
		return nil
	})
}
