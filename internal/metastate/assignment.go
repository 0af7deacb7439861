package metastate

import (
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// assign stores the assignments, each with a new epoch, and removes those of the workers to forget.
// The epoch counter stays when an assignment is removed, so that a worker's epoch never decreases.
func (m *Machine) assign(command *wire.AssignCommand) []wire.Assignment {
	assigned := make([]wire.Assignment, 0, len(command.Assignments))
	for _, assignment := range command.Assignments {
		m.epoch++
		assignment.Epoch = m.epoch
		m.assignments[assignment.Worker] = assignment
		m.putMessage(assignmentKey(assignment.Worker), &assignment)
		assigned = append(assigned, assignment)
	}
	for _, worker := range command.Forget {
		delete(m.assignments, worker)
		m.mutations = append(m.mutations, storage.Mutation{Key: assignmentKey(worker), Delete: true})
	}
	m.put(epochKey, encodeUint64(m.epoch))
	return assigned
}

// Assignments returns the assignments by worker. The caller must not change the map.
func (m *Machine) Assignments() map[string]wire.Assignment { return m.assignments }

// Epoch returns the highest fencing epoch that was assigned.
func (m *Machine) Epoch() uint64 { return m.epoch }

// AssignmentsOf returns the assignments of a dispatcher, sorted by the worker's name.
func (m *Machine) AssignmentsOf(dispatcher string) []wire.Assignment {
	var owned []wire.Assignment
	for _, assignment := range m.SortedAssignments() {
		if assignment.Dispatcher == dispatcher {
			owned = append(owned, assignment)
		}
	}
	return owned
}

// SortedAssignments returns all assignments, sorted by the worker's name.
func (m *Machine) SortedAssignments() []wire.Assignment {
	assignments := make([]wire.Assignment, 0, len(m.assignments))
	for _, worker := range sortedNames(m.assignments) {
		assignments = append(assignments, m.assignments[worker])
	}
	return assignments
}
