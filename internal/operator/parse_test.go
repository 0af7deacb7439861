package operator

import (
	"testing"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// FuzzDocuments passes arbitrary files to ParseDocuments, and the documents that it returns to the
// check that control makes. Neither may fail with an internal error.
func FuzzDocuments(f *testing.F) {
	f.Add([]byte("kind: drain\nname: engine-1\nspec: {reason: test}\n---\nkind: drain\nname: engine-2\ndelete: true\n"))
	f.Add([]byte("kind: template\nname: school\nspec:\n  parameters:\n    online_rank: {default: 5, minimum: 1}\n"))
	f.Add([]byte("kind: tenant\nname: a\nspec: {template: school, keys: [{id: x, sha256: 00}]}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		documents, err := ParseDocuments(data)
		if err != nil {
			if kind := failure.KindOf(err); kind == failure.Internal {
				t.Errorf("rejected with an internal error: %v", err)
			}
			return
		}
		for _, document := range documents {
			checked := wire.Document{Kind: document.Kind, Name: document.Name, Body: document.Spec, Deleted: document.Delete}
			if _, err := metastate.CheckDocument(checked); err != nil && failure.KindOf(err) == failure.Internal {
				t.Errorf("rejected with an internal error: %v", err)
			}
		}
	})
}
