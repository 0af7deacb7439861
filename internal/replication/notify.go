package replication

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/sedgemast/sedgemast/internal/storage"
)

// NotifyingStateMachine wraps a state machine and calls Notify after each applied command,
// before the effects of the command are stored.
type NotifyingStateMachine struct {
	StateMachine
	Notify func()
}

// Apply implements StateMachine.
func (n *NotifyingStateMachine) Apply(command []byte) ([]byte, []storage.Mutation) {
	defer n.Notify()
	return n.StateMachine.Apply(command)
}

// NewID returns an identity for an empty data folder. Identities must be unique, hence the
// random numbers of the operating system.
func NewID() uint64 {
	var identity [8]byte
	// Read never returns an error; see its documentation.
	_, _ = rand.Read(identity[:])
	return binary.BigEndian.Uint64(identity[:]) | 1
}
