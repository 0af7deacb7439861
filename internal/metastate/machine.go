// Package metastate is the replicated state machine of the meta group: the configuration with its
// revisions and history, and the assignment of workers to dispatchers with fencing epochs. It is
// deterministic: the result of Apply depends on the state and the command only.
//
// Invariants:
//   - every accepted change increases the revision by one;
//   - a change id is accepted at most once, and a resend is answered with the revision of the first;
//   - a worker's epoch never decreases, and no two assignments have the same epoch;
//   - every tenant that is not deleted can be resolved with its template.
package metastate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// historyLimit is the number of changes whose ids and digests are kept. At the target of 1,700
// changes a day, this is more than five days in which a change may be resent.
const historyLimit = 10_000

// documentKey identifies a document.
type documentKey struct {
	kind string
	name string
}

func (k documentKey) String() string { return k.kind + "/" + k.name }

// Machine holds the state of the meta group.
type Machine struct {
	revision    uint64
	documents   map[documentKey]wire.Document
	changes     map[string]*wire.Change
	history     []*wire.Change
	assignments map[string]wire.Assignment
	// epoch is the highest fencing epoch that was assigned.
	epoch uint64
	// mutations are the storage changes of the command that is being applied.
	mutations []storage.Mutation
}

// New returns an empty state machine.
func New() *Machine {
	return &Machine{
		documents:   map[documentKey]wire.Document{},
		changes:     map[string]*wire.Change{},
		assignments: map[string]wire.Assignment{},
	}
}

// Apply executes one encoded wire.MetaCommand. It returns the encoded wire.MetaResult and the
// mutations that the caller must commit to storage.
func (m *Machine) Apply(encoded []byte) ([]byte, []storage.Mutation) {
	m.mutations = nil
	var command wire.MetaCommand
	result := wire.MetaResult{}
	if _, err := command.UnmarshalMsg(encoded); err != nil {
		result.Failure = wire.NewFailure(failure.Wrap(err, failure.Internal, "upgrade every replica first", "the command does not decode"))
	} else if err := m.execute(&command, &result); err != nil {
		result.Failure = wire.NewFailure(err)
	}
	answer, err := result.MarshalMsg(nil)
	if err != nil {
		panic(errors.Wrap(err, "a generated encoder failed on a plain structure"))
	}
	return answer, m.mutations
}

func (m *Machine) execute(command *wire.MetaCommand, result *wire.MetaResult) (err error) {
	switch {
	case command.Apply != nil:
		result.Apply, err = m.applyChange(command.AtMillis, command.Apply)
	case command.Assign != nil:
		result.Assignments = m.assign(command.Assign)
	default:
		err = failure.New(failure.Internal, "upgrade every replica first", "the command is empty")
	}
	return err
}

func (m *Machine) applyChange(now int64, request *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	if request.ChangeID == "" {
		return nil, failure.New(failure.BadRequest, "give every change an id of its own", "the change has no id").WithField("change_id")
	}
	digest := changeDigest(request)
	if first := m.changes[request.ChangeID]; first != nil {
		if first.Digest != digest {
			return nil, failure.New(failure.Conflict, "use a new change id for other content", "change %q was accepted at revision %d with other content", request.ChangeID, first.Revision)
		}
		return &wire.ApplyResponse{Revision: first.Revision, Repeated: true}, nil
	}
	if request.ExpectedRevision != m.revision {
		return nil, failure.New(failure.Conflict, "read the current revision, look at what changed, and apply again", "the change is based on revision %d, the current one is %d", request.ExpectedRevision, m.revision)
	}
	canonical, err := m.checkDocuments(request.Documents)
	if err != nil {
		return nil, err
	}
	m.revision++
	change := &wire.Change{
		Revision: m.revision,
		ChangeID: request.ChangeID,
		Digest:   digest,
		Operator: request.Operator,
		AtMillis: now,
	}
	for _, document := range canonical {
		document.Revision = m.revision
		m.putDocument(document)
		change.Documents = append(change.Documents, document.Kind+"/"+document.Name)
	}
	m.recordChange(change)
	return &wire.ApplyResponse{Revision: m.revision}, nil
}

// changeDigest identifies the content of a change. The expected revision is part of it: the same
// documents based on another revision are another change.
func changeDigest(request *wire.ApplyRequest) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%d\n", request.ExpectedRevision)
	for _, document := range request.Documents {
		fmt.Fprintf(hash, "%s/%s %t %d\n%s\n", document.Kind, document.Name, document.Deleted, len(document.Body), document.Body)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// checkDocuments returns the documents in canonical form, or an error if one of them or the
// configuration with them is not valid.
func (m *Machine) checkDocuments(documents []wire.Document) ([]wire.Document, error) {
	if len(documents) == 0 {
		return nil, failure.New(failure.BadRequest, "send at least one document", "the change is empty").WithField("documents")
	}
	checked := make([]wire.Document, 0, len(documents))
	overlay := map[documentKey]wire.Document{}
	for _, document := range documents {
		key := documentKey{document.Kind, document.Name}
		if _, repeated := overlay[key]; repeated {
			return nil, failure.New(failure.BadRequest, "send each document once", "%s stands twice in the change", key).WithField(key.String())
		}
		body, err := CheckDocument(document)
		if err != nil {
			return nil, err
		}
		if current := m.documents[key]; document.Deleted && (current.Body == nil) {
			return nil, failure.New(failure.NotFound, "check the name", "there is no %s", key).WithField(key.String())
		}
		document.Body = body
		overlay[key] = document
		checked = append(checked, document)
	}
	return checked, m.checkReferences(overlay)
}

// checkReferences checks that every tenant affected by the overlay can be resolved: those in the
// overlay and, if a template is in the overlay, all others.
func (m *Machine) checkReferences(overlay map[documentKey]wire.Document) error {
	for _, key := range m.affectedTenants(overlay) {
		document := m.lookup(overlay, key)
		var tenant Tenant
		if err := json.Unmarshal(document.Body, &tenant); err != nil {
			return errors.Wrap(err, "a stored tenant does not decode")
		}
		path := key.String()
		templateDocument := m.lookup(overlay, documentKey{KindTemplate, tenant.Template})
		if templateDocument.Body == nil {
			return invalid(path+".template", "apply the template first, or in the same change", "there is no template %q", tenant.Template)
		}
		var template Template
		if err := json.Unmarshal(templateDocument.Body, &template); err != nil {
			return errors.Wrap(err, "a stored template does not decode")
		}
		if _, err := Resolve(path, &template, &tenant); err != nil {
			return err
		}
	}
	return nil
}

func (m *Machine) affectedTenants(overlay map[documentKey]wire.Document) []documentKey {
	templateChanged := false
	affected := map[string]bool{}
	for key, document := range overlay {
		templateChanged = templateChanged || key.kind == KindTemplate
		if key.kind == KindTenant && !document.Deleted {
			affected[key.name] = true
		}
	}
	if templateChanged {
		for key, document := range m.documents {
			_, replaced := overlay[key]
			if key.kind == KindTenant && !document.Deleted && !replaced {
				affected[key.name] = true
			}
		}
	}
	var keys []documentKey
	for _, name := range sortedNames(affected) {
		keys = append(keys, documentKey{KindTenant, name})
	}
	return keys
}

func (m *Machine) lookup(overlay map[documentKey]wire.Document, key documentKey) wire.Document {
	if document, found := overlay[key]; found {
		return document
	}
	return m.documents[key]
}

func (m *Machine) recordChange(change *wire.Change) {
	m.changes[change.ChangeID] = change
	m.history = append(m.history, change)
	m.putMessage(changeKey(change.Revision), change)
	if len(m.history) > historyLimit {
		oldest := m.history[0]
		m.history = m.history[1:]
		delete(m.changes, oldest.ChangeID)
		m.mutations = append(m.mutations, storage.Mutation{Key: changeKey(oldest.Revision), Delete: true})
	}
}
