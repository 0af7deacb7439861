// Package configuration is a daemon's copy of the configuration in force. It
// only ever moves to a higher revision.
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

// Tenant is a tenant as requests see it.
type Tenant struct {
	Name     string
	Spec     metastate.TenantSpec
	Disabled bool
}

// Identity is whom a key belongs to. Exactly one of the names is set.
type Identity struct {
	Tenant   string
	Operator string
	KeyID    string
}

// Snapshot is the configuration at one revision. It is never changed.
type Snapshot struct {
	Revision uint64
	Tenants  map[string]*Tenant
	Draining map[string]bool
	keys     map[string]Identity
	// ReservePercent is the highest reserve that a tenant asks for, in percent.
	ReservePercent int
}

// Identify returns whom a key belongs to.
func (s *Snapshot) Identify(secret string) (Identity, bool) {
	identity, found := s.keys[Digest(secret)]
	return identity, found
}

// Digest returns the digest under which a key is kept.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// documentKey names a document.
type documentKey struct {
	kind string
	name string
}

// Store holds the current snapshot. Apply is called by one goroutine only;
// Current by any.
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

// Current returns the configuration in force.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Apply moves to the delta's revision and reports whether anything changed. A
// delta that is not newer than the current revision is ignored.
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

// build resolves every tenant. Control has checked the documents already, so an
// error here means that control and this daemon differ in version.
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
		if err := snapshot.add(key, document, templates); err != nil {
			return nil, errors.Wrapf(err, "%s %s", key.kind, key.name)
		}
	}
	return snapshot, nil
}

func (s *Snapshot) add(key documentKey, document wire.Document, templates map[string]*metastate.Template) error {
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
