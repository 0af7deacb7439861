// Package fleetstate is the replicated state machine of the fleet group: the configuration of
// routes, the initial voters of the store groups, the stores to drain, and the requests under
// which workers exited. It performs no I/O.
//
// Invariants:
//   - the version in force never decreases, and the content under a version never changes;
//   - the initial voters of the store groups are set once.
package fleetstate

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

var (
	routesKey    = []byte("routes")
	bootstrapKey = []byte("form")
	retirePrefix = []byte("retire/")

	quarantinePrefix      = []byte("quarantine/")
	quarantineRevisionKey = []byte("quarantine-revision")
)

// Machine is the state of the fleet group.
type Machine struct {
	routes        wire.ApplyRoutes
	initialVoters [][]wire.Replica
	retirements   map[string]bool
	quarantine    *quarantine.Table
	mutations     []storage.Mutation
}

// New returns the empty state.
func New() *Machine {
	return &Machine{retirements: map[string]bool{}, quarantine: quarantine.NewTable()}
}

// Apply executes an encoded wire.FleetCommand. It returns the encoded wire.FleetResult and the
// changes to write to storage with it.
func (m *Machine) Apply(encoded []byte) ([]byte, []storage.Mutation) {
	m.mutations = nil
	var command wire.FleetCommand
	result := wire.FleetResult{}
	if _, err := command.UnmarshalMsg(encoded); err != nil {
		result.Failure = wire.NewFailure(failure.Wrap(err, failure.Internal, "upgrade every replica first", "the command does not decode"))
	} else if err := m.checkRetirement(command.Retire); err != nil {
		result.Failure = wire.NewFailure(err)
	} else {
		result.Changed = m.execute(&command)
	}
	result.Version = m.routes.Version
	return encode(&result), m.mutations
}

func (m *Machine) execute(command *wire.FleetCommand) bool {
	switch {
	case command.Apply != nil:
		return m.applyRoutes(command.Apply)
	case command.Form != nil:
		return m.bootstrap(command.Form)
	case command.Retire != nil:
		return m.retire(command.Retire.Name, false)
	case command.Retired != nil:
		return m.retire(command.Retired.Name, true)
	case command.Quarantine != nil:
		return m.applyQuarantine(command.Quarantine)
	}
	return false
}

func (m *Machine) applyRoutes(apply *wire.ApplyRoutes) bool {
	if m.routes.Source != nil && apply.Version <= m.routes.Version {
		return false
	}
	m.routes = *apply
	m.put(routesKey, apply)
	return true
}

func (m *Machine) bootstrap(form *wire.FormStores) bool {
	if len(m.initialVoters) > 0 {
		return false
	}
	m.initialVoters = form.Groups
	m.put(bootstrapKey, form)
	return true
}

// checkRetirement rejects a store's retirement if another retirement has been committed since this
// one was checked, because both together may leave too few stores.
func (m *Machine) checkRetirement(retire *wire.RetireStore) error {
	if retire == nil || retire.Counted == len(m.retirements) {
		return nil
	}
	if _, known := m.retirements[retire.Name]; known {
		return nil
	}
	return failure.New(failure.NotRun, "try again", "another store was asked to be emptied at the same time")
}

func (m *Machine) retire(name string, drained bool) bool {
	wasDrained, known := m.retirements[name]
	if known && (wasDrained || wasDrained == drained) {
		return false
	}
	m.retirements[name] = drained
	m.put(append(append([]byte{}, retirePrefix...), name...), &wire.Retirement{Name: name, Done: drained})
	return true
}

func (m *Machine) applyQuarantine(command *wire.QuarantineCommand) bool {
	before := m.quarantine.Revision()
	changed := m.quarantine.Apply(command)
	if m.quarantine.Revision() == before {
		return false
	}
	for _, request := range changed {
		key := quarantineKey(request)
		if entry := m.quarantine.Entry(request); entry != nil {
			m.put(key, entry)
		} else {
			m.mutations = append(m.mutations, storage.Mutation{Key: key, Delete: true})
		}
	}
	m.put(quarantineRevisionKey, &wire.QuarantineNews{Revision: m.quarantine.Revision()})
	return true
}

func quarantineKey(request quarantine.Fingerprint) []byte {
	return binary.BigEndian.AppendUint64(slices.Clone(quarantinePrefix), uint64(request))
}

func (m *Machine) put(key []byte, message msgp.Marshaler) {
	m.mutations = append(m.mutations, storage.Mutation{Key: key, Value: encode(message)})
}

func encode(message msgp.Marshaler) []byte {
	data, err := message.MarshalMsg(nil)
	if err != nil {
		panic(errors.Wrap(err, "a generated encoder failed on a plain structure"))
	}
	return data
}

// Restore replaces the state with the stored one.
func (m *Machine) Restore(reader storage.Reader) error {
	*m = *New()
	if err := read(reader, routesKey, &m.routes); err != nil {
		return err
	}
	var form wire.FormStores
	if err := read(reader, bootstrapKey, &form); err != nil {
		return err
	}
	m.initialVoters = form.Groups
	var decodeErr error
	err := reader.Scan(retirePrefix, storage.PrefixEnd(retirePrefix), func(_, value []byte) bool {
		var retirement wire.Retirement
		if _, decodeErr = retirement.UnmarshalMsg(value); decodeErr != nil {
			return false
		}
		m.retirements[retirement.Name] = retirement.Done
		return true
	})
	if err := errors.CombineErrors(err, decodeErr); err != nil {
		return err
	}
	return m.restoreQuarantine(reader)
}

func (m *Machine) restoreQuarantine(reader storage.Reader) error {
	var last wire.QuarantineNews
	if err := read(reader, quarantineRevisionKey, &last); err != nil {
		return err
	}
	var entries []wire.QuarantineEntry
	var decodeErr error
	err := reader.Scan(quarantinePrefix, storage.PrefixEnd(quarantinePrefix), func(_, value []byte) bool {
		var entry wire.QuarantineEntry
		if _, decodeErr = entry.UnmarshalMsg(value); decodeErr != nil {
			return false
		}
		entries = append(entries, entry)
		return true
	})
	m.quarantine.Restore(last.Revision, entries)
	return errors.CombineErrors(err, decodeErr)
}

func read(reader storage.Reader, key []byte, message msgp.Unmarshaler) error {
	value, err := reader.Get(key)
	if err != nil || value == nil {
		return err
	}
	_, err = message.UnmarshalMsg(value)
	return err
}

// Routes returns the configuration in force; its Source is nil before the first one. The caller
// must not change it.
func (m *Machine) Routes() wire.ApplyRoutes { return m.routes }

// Quarantine returns the requests under which workers exited. The caller must not change it.
func (m *Machine) Quarantine() *quarantine.Table { return m.quarantine }

// InitialVoters returns the initial voters of each store group, nil before they are set.
func (m *Machine) InitialVoters() [][]wire.Replica { return m.initialVoters }

// Retirement reports whether the store is to be drained, and whether it is drained already.
func (m *Machine) Retirement(name string) (retiring, drained bool) {
	drained, retiring = m.retirements[name]
	return retiring, drained
}

// Retiring returns the names of all stores that are to be drained or are drained, in order.
func (m *Machine) Retiring() []string {
	names := make([]string, 0, len(m.retirements))
	for name := range m.retirements {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
