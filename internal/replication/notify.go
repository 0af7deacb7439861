package replication

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/sedgemast/sedgemast/internal/storage"
)

// NotifyingStateMachine is a state machine that tells of every applied command, before the
// command's effects are stored.
type NotifyingStateMachine struct {
	StateMachine
	Notify func()
}

// Apply implements StateMachine.
func (n *NotifyingStateMachine) Apply(command []byte) ([]byte, []storage.Mutation) {
	defer n.Notify()
	return n.StateMachine.Apply(command)
}

// NewID returns the identity of an empty data folder. It must never be
// given twice, hence the system's source of randomness.
func NewID() uint64 {
	var identity [8]byte
	// Read never fails, by its documentation.
	_, _ = rand.Read(identity[:])
	return binary.BigEndian.Uint64(identity[:]) | 1
}
