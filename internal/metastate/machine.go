// Package metastate is the replicated state machine of the meta group: the
// configuration with its revisions and history, and the assignment of workers
// to dispatchers with fencing epochs. It is pure.
//
// Invariants:
//   - revisions grow by one with every accepted change and never repeat;
//   - a change id is accepted at most once, and a resend gets the first answer;
//   - a worker's epoch never falls, and no two assignments share one;
//   - every tenant in force resolves against its template.
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

// historyLimit is the number of changes whose ids and digests are kept; at the
// target's 1,700 changes a day that is more than five days.
const historyLimit = 10_000

// documentKey names a document.
type documentKey struct {
	kind string
	name string
}

func (k documentKey) String() string { return k.kind + "/" + k.name }

// Machine is the state of the meta group.
type Machine struct {
	revision    uint64
	documents   map[documentKey]wire.Document
	changes     map[string]*wire.Change
	history     []*wire.Change
	assignments map[string]wire.Assignment
	// epoch is the highest fencing epoch given out so far.
	epoch     uint64
	mutations []storage.Mutation
}

// New returns the empty state.
func New() *Machine {
	return &Machine{
		documents:   map[documentKey]wire.Document{},
		changes:     map[string]*wire.Change{},
		assignments: map[string]wire.Assignment{},
	}
}

// Apply executes one encoded wire.MetaCommand. It returns the encoded
// wire.MetaResult and the changes of stored state that go with it.
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
	next, err := m.checkDocuments(request.Documents)
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
	for _, document := range next {
		document.Revision = m.revision
		m.putDocument(document)
		change.Documents = append(change.Documents, document.Kind+"/"+document.Name)
	}
	m.remember(change)
	return &wire.ApplyResponse{Revision: m.revision}, nil
}

// changeDigest identifies a change's content. The revision it is based on is
// part of it: the same documents on another base are another change.
func changeDigest(request *wire.ApplyRequest) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%d\n", request.ExpectedRevision)
	for _, document := range request.Documents {
		fmt.Fprintf(hash, "%s/%s %t %d\n%s\n", document.Kind, document.Name, document.Deleted, len(document.Body), document.Body)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// checkDocuments returns the documents in canonical form if the configuration
// with them is valid as a whole.
func (m *Machine) checkDocuments(documents []wire.Document) ([]wire.Document, error) {
	if len(documents) == 0 {
		return nil, failure.New(failure.BadRequest, "send at least one document", "the change is empty").WithField("documents")
	}
	next := make([]wire.Document, 0, len(documents))
	overlay := map[documentKey]wire.Document{}
	for _, document := range documents {
		key := documentKey{document.Kind, document.Name}
		if _, twice := overlay[key]; twice {
			return nil, failure.New(failure.BadRequest, "send each document once", "%s stands twice in the change", key).WithField(key.String())
		}
		canonical, err := CheckDocument(document)
		if err != nil {
			return nil, err
		}
		if current := m.documents[key]; document.Deleted && (current.Body == nil) {
			return nil, failure.New(failure.NotFound, "check the name", "there is no %s", key).WithField(key.String())
		}
		document.Body = canonical
		overlay[key] = document
		next = append(next, document)
	}
	return next, m.checkReferences(overlay)
}

// checkReferences resolves every tenant that the overlay touches, by itself or
// through its template.
func (m *Machine) checkReferences(overlay map[documentKey]wire.Document) error {
	for _, key := range m.tenantsTouched(overlay) {
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

func (m *Machine) tenantsTouched(overlay map[documentKey]wire.Document) []documentKey {
	templateTouched := false
	touched := map[string]bool{}
	for key, document := range overlay {
		templateTouched = templateTouched || key.kind == KindTemplate
		if key.kind == KindTenant && !document.Deleted {
			touched[key.name] = true
		}
	}
	if templateTouched {
		for key, document := range m.documents {
			_, replaced := overlay[key]
			if key.kind == KindTenant && !document.Deleted && !replaced {
				touched[key.name] = true
			}
		}
	}
	var keys []documentKey
	for _, name := range sortedNames(touched) {
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

func (m *Machine) remember(change *wire.Change) {
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
