// Package jobstate is the replicated state machine of a job group: uploaded files, jobs, item results
// and idempotency keys. It is deterministic: the result of Apply depends on the state and the command
// only, so that all replicas reach the same state.
//
// Input lines and results are kept in storage. In memory a job takes its record and, while it runs,
// one bit per item.
//
// Invariants:
//   - the content of a job and its input lines never change once the job has been accepted;
//   - an item has at most one result, the first that was committed;
//   - a job that has ended accepts no result;
//   - one pair of tenant and idempotency key names at most one job.
package jobstate

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Machine holds the state of one job group: files and jobs by id.
type Machine struct {
	group    int
	sequence uint64
	files    map[string]*wire.FileRecord
	jobs     map[string]*job
	running  map[string]*job
	// jobIDs holds the job ids by idempotency key.
	jobIDs map[idempotencyKey]string
	// mutations are the storage changes of the command that is being applied.
	mutations []storage.Mutation
}

// idempotencyKey identifies a job by the key that its tenant chose.
type idempotencyKey struct {
	tenant string
	key    string
}

// job holds a job's record and, while it runs, the set of its finished items.
type job struct {
	record   wire.JobRecord
	finished bitmap
}

// New returns an empty state machine for the group with the given number.
func New(group int) *Machine {
	return &Machine{
		group:   group,
		files:   map[string]*wire.FileRecord{},
		jobs:    map[string]*job{},
		running: map[string]*job{},
		jobIDs:  map[idempotencyKey]string{},
	}
}

// Apply executes one encoded wire.JobCommand. It returns the encoded wire.JobResult and the mutations
// that the caller must commit to storage.
func (m *Machine) Apply(encoded []byte) ([]byte, []storage.Mutation) {
	m.mutations = nil
	var command wire.JobCommand
	result := wire.JobResult{}
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

func (m *Machine) execute(command *wire.JobCommand, result *wire.JobResult) (err error) {
	now := command.AtMillis
	switch {
	case command.BeginFile != nil:
		result.File, err = m.beginFile(now, command.BeginFile)
	case command.AppendFile != nil:
		result.File, err = m.appendFile(now, command.AppendFile)
	case command.CompleteFile != nil:
		result.File, err = m.completeFile(now, command.CompleteFile)
	case command.DeleteFile != nil:
		result.File, err = m.deleteFile(command.DeleteFile)
	case command.CreateJob != nil:
		result.Job, err = m.createJob(now, command.CreateJob)
	case command.CancelJob != nil:
		result.Job, err = m.cancelJob(now, command.CancelJob)
	case command.Complete != nil:
		result.Complete = m.completeItems(now, command.Complete)
	case command.Expire:
		m.expire(now)
	default:
		err = failure.New(failure.Internal, "upgrade every replica first", "the command is empty")
	}
	return err
}

func (m *Machine) nextID(kind string) string {
	m.sequence++
	m.put(sequenceKey, encodeUint64(m.sequence))
	return fmt.Sprintf("%s-g%d-%d", kind, m.group, m.sequence)
}

func (m *Machine) put(key, value []byte) {
	m.mutations = append(m.mutations, storage.Mutation{Key: key, Value: value})
}

func (m *Machine) putMessage(key []byte, message interface {
	MarshalMsg([]byte) ([]byte, error)
}) {
	value, err := message.MarshalMsg(nil)
	if err != nil {
		panic(errors.Wrap(err, "a generated encoder failed on a plain structure"))
	}
	m.put(key, value)
}

// Restore replaces the state by the one in storage.
func (m *Machine) Restore(reader storage.Reader) error {
	*m = *New(m.group)
	sequence, err := reader.Get(sequenceKey)
	if err != nil {
		return err
	}
	m.sequence = decodeUint64(sequence)
	if err := m.restoreFiles(reader); err != nil {
		return err
	}
	if err := m.restoreJobs(reader); err != nil {
		return err
	}
	for id, restored := range m.running {
		if err := restored.restoreFinished(reader, id); err != nil {
			return err
		}
	}
	return nil
}

func (m *Machine) restoreFiles(reader storage.Reader) error {
	var decodeErr error
	err := scanPrefix(reader, filePrefix, func(_, value []byte) bool {
		record := &wire.FileRecord{}
		if _, decodeErr = record.UnmarshalMsg(value); decodeErr != nil {
			return false
		}
		m.files[record.ID] = record
		return true
	})
	return errors.CombineErrors(err, decodeErr)
}

func (m *Machine) restoreJobs(reader storage.Reader) error {
	var decodeErr error
	err := scanPrefix(reader, jobPrefix, func(_, value []byte) bool {
		restored := &job{}
		if _, decodeErr = restored.record.UnmarshalMsg(value); decodeErr != nil {
			return false
		}
		record := &restored.record
		m.jobs[record.ID] = restored
		if record.State == wire.JobRunning {
			m.running[record.ID] = restored
		}
		m.jobIDs[idempotencyKey{record.Tenant, record.IdempotencyKey}] = record.ID
		return true
	})
	return errors.CombineErrors(err, decodeErr)
}

func (j *job) restoreFinished(reader storage.Reader, id string) error {
	j.finished = newBitmap(j.record.Items)
	return scanPrefix(reader, resultKeyPrefix(id), func(key, _ []byte) bool {
		j.finished.set(itemOfKey(key))
		return true
	})
}
