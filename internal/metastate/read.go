package metastate

import (
	"sort"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// Revision returns the revision of the latest accepted change.
func (m *Machine) Revision() uint64 { return m.revision }

// ChangedSince returns the documents, including deleted ones, that were changed after the known
// revision. It returns nil if the known revision is the latest. For revision zero it returns the
// full configuration without the deleted documents.
func (m *Machine) ChangedSince(known uint64) *wire.ConfigDelta {
	if known >= m.revision {
		return nil
	}
	delta := &wire.ConfigDelta{Revision: m.revision, Full: known == 0}
	for _, document := range m.documents {
		if document.Revision <= known || (delta.Full && document.Deleted) {
			continue
		}
		delta.Documents = append(delta.Documents, document)
	}
	sortDocuments(delta.Documents)
	return delta
}

// Documents returns the current documents of the kind and name; an empty kind or name matches all.
func (m *Machine) Documents(kind, name string) []wire.Document {
	var found []wire.Document
	for key, document := range m.documents {
		if document.Deleted || (kind != "" && key.kind != kind) || (name != "" && key.name != name) {
			continue
		}
		found = append(found, document)
	}
	sortDocuments(found)
	return found
}

func sortDocuments(documents []wire.Document) {
	sort.Slice(documents, func(a, b int) bool {
		if documents[a].Kind != documents[b].Kind {
			return documents[a].Kind < documents[b].Kind
		}
		return documents[a].Name < documents[b].Name
	})
}

// History returns at most limit changes, newest first.
func (m *Machine) History(limit int) []wire.Change {
	var changes []wire.Change
	for i := len(m.history) - 1; i >= 0 && len(changes) < limit; i-- {
		changes = append(changes, *m.history[i])
	}
	return changes
}
