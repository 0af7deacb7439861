// Package configuration holds a daemon's copy of the configuration. Its revision never decreases.
package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Tenant holds a tenant's resolved specification, by which its requests are checked.
type Tenant struct {
	Name     string
	Spec     metastate.TenantSpec
	Disabled bool
}

// Identity is the owner of a key. Either Tenant or Operator is set.
type Identity struct {
	Tenant   string
	Operator string
	KeyID    string
}

// Snapshot is the configuration at one revision. It is immutable.
type Snapshot struct {
	Revision uint64
	Tenants  map[string]*Tenant
	Draining map[string]bool
	// keys holds the owners of keys by the keys' digests.
	keys map[string]Identity
	// ReservePercent is the highest reserve percentage of all tenants.
	ReservePercent int
}

// Identify returns the owner of a key, and whether the key is known.
func (s *Snapshot) Identify(secret string) (Identity, bool) {
	identity, found := s.keys[Digest(secret)]
	return identity, found
}

// Digest returns the digest of a key in hexadecimal, as it is stored in documents.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// documentKey identifies a document.
type documentKey struct {
	kind string
	name string
}

// Store holds the current snapshot. Apply must be called by one goroutine only; Current may be
// called by any.
type Store struct {
	documents map[documentKey]wire.Document
	current   atomic.Pointer[Snapshot]
}

// NewStore returns a store at revision zero.
func NewStore() *Store {
	store := &Store{documents: map[documentKey]wire.Document{}}
	store.current.Store(newSnapshot(0))
	return store
}

func newSnapshot(revision uint64) *Snapshot {
	return &Snapshot{
		Revision: revision,
		Tenants:  map[string]*Tenant{},
		Draining: map[string]bool{},
		keys:     map[string]Identity{},
	}
}

// Current returns the current configuration.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Apply applies a delta and reports whether the configuration changed. A delta that is nil or not
// newer than the current revision is ignored. On an error the configuration stays as it was.
func (s *Store) Apply(delta *wire.ConfigDelta) (bool, error) {
	if delta == nil || delta.Revision <= s.Current().Revision {
		return false, nil
	}
	documents := map[documentKey]wire.Document{}
	if !delta.Full {
		for key, document := range s.documents {
			documents[key] = document
		}
	}
	for _, document := range delta.Documents {
		key := documentKey{document.Kind, document.Name}
		if document.Deleted {
			delete(documents, key)
		} else {
			documents[key] = document
		}
	}
	snapshot, err := build(delta.Revision, documents)
	if err != nil {
		return false, err
	}
	s.documents = documents
	s.current.Store(snapshot)
	return true, nil
}

// build returns the snapshot of the documents, with all tenants resolved. Control has already checked
// the documents, so an error means that control and this daemon run different versions.
func build(revision uint64, documents map[documentKey]wire.Document) (*Snapshot, error) {
	snapshot := newSnapshot(revision)
	templates := map[string]*metastate.Template{}
	for key, document := range documents {
		if key.kind == metastate.KindTemplate {
			template := &metastate.Template{}
			if err := json.Unmarshal(document.Body, template); err != nil {
				return nil, errors.Wrapf(err, "template %s", key.name)
			}
			templates[key.name] = template
		}
	}
	for key, document := range documents {
		if err := snapshot.addDocument(key, document, templates); err != nil {
			return nil, errors.Wrapf(err, "%s %s", key.kind, key.name)
		}
	}
	return snapshot, nil
}

func (s *Snapshot) addDocument(key documentKey, document wire.Document, templates map[string]*metastate.Template) error {
	switch key.kind {
	case metastate.KindTenant:
		return s.addTenant(key.name, document, templates)
	case metastate.KindOperator:
		var operator metastate.Operator
		if err := json.Unmarshal(document.Body, &operator); err != nil {
			return err
		}
		for _, candidate := range operator.Keys {
			s.keys[candidate.SHA256] = Identity{Operator: key.name, KeyID: candidate.ID}
		}
	case metastate.KindDrain:
		s.Draining[key.name] = true
	}
	return nil
}

func (s *Snapshot) addTenant(name string, document wire.Document, templates map[string]*metastate.Template) error {
	var tenant metastate.Tenant
	if err := json.Unmarshal(document.Body, &tenant); err != nil {
		return err
	}
	template := templates[tenant.Template]
	if template == nil {
		return errors.Newf("there is no template %q", tenant.Template)
	}
	spec, err := metastate.Resolve("tenant/"+name, template, &tenant)
	if err != nil {
		return err
	}
	s.Tenants[name] = &Tenant{Name: name, Spec: spec, Disabled: tenant.Disabled}
	s.ReservePercent = max(s.ReservePercent, spec.ReservePercent)
	for _, candidate := range tenant.Keys {
		s.keys[candidate.SHA256] = Identity{Tenant: name, KeyID: candidate.ID}
	}
	return nil
}
