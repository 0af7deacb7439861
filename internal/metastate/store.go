package metastate

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

var (
	documentPrefix   = []byte("document/")
	changePrefix     = []byte("change/")
	assignmentPrefix = []byte("assignment/")
	epochKey         = []byte("epoch")
)

func changeKey(revision uint64) []byte {
	return binary.BigEndian.AppendUint64(append([]byte{}, changePrefix...), revision)
}

func assignmentKey(worker string) []byte {
	return append(append([]byte{}, assignmentPrefix...), worker...)
}

func encodeUint64(value uint64) []byte { return binary.BigEndian.AppendUint64(nil, value) }

func (m *Machine) put(key, value []byte) {
	m.mutations = append(m.mutations, storage.Mutation{Key: key, Value: value})
}

func (m *Machine) putMessage(key []byte, message msgp.Marshaler) {
	value, err := message.MarshalMsg(nil)
	if err != nil {
		panic(errors.Wrap(err, "a generated encoder failed on a plain structure"))
	}
	m.put(key, value)
}

// putDocument stores a document. A deleted document stays as a tombstone, so that a daemon that has
// it gets the deletion, however many revisions it has missed.
func (m *Machine) putDocument(document wire.Document) {
	key := documentKey{document.Kind, document.Name}
	m.documents[key] = document
	m.putMessage(append(append([]byte{}, documentPrefix...), key.String()...), &document)
}

// Restore replaces the state by the one in storage.
func (m *Machine) Restore(reader storage.Reader) error {
	*m = *New()
	epoch, err := reader.Get(epochKey)
	if err != nil {
		return err
	}
	if len(epoch) == 8 {
		m.epoch = binary.BigEndian.Uint64(epoch)
	}
	err = restoreEach(reader, documentPrefix, func(document *wire.Document) {
		m.documents[documentKey{document.Kind, document.Name}] = *document
	})
	if err != nil {
		return err
	}
	err = restoreEach(reader, changePrefix, func(change *wire.Change) {
		m.changes[change.ChangeID] = change
		m.history = append(m.history, change)
		m.revision = change.Revision
	})
	if err != nil {
		return err
	}
	return restoreEach(reader, assignmentPrefix, func(assignment *wire.Assignment) {
		m.assignments[assignment.Worker] = *assignment
	})
}

// restoreEach decodes every value whose key begins with prefix and calls accept, in the order of
// keys.
func restoreEach[Message any, Pointer interface {
	*Message
	msgp.Unmarshaler
}](reader storage.Reader, prefix []byte, accept func(*Message)) error {
	var decodeErr error
	err := reader.Scan(prefix, storage.PrefixEnd(prefix), func(_, value []byte) bool {
		message := new(Message)
		if _, decodeErr = Pointer(message).UnmarshalMsg(value); decodeErr != nil {
			return false
		}
		accept(message)
		return true
	})
	return errors.CombineErrors(err, decodeErr)
}
