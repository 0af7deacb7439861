package batchstate

import (
	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Restore loads the state from storage, replacing the present one.
func (m *Machine) Restore(reader storage.Reader) error {
	*m = *New()
	if err := m.restoreJobs(reader); err != nil {
		return err
	}
	if err := m.restoreRecords(reader, sectionProgress, (*Job).restoreProgress); err != nil {
		return err
	}
	if err := m.restoreRecords(reader, sectionSaved, (*Job).restoreSaved); err != nil {
		return err
	}
	if err := m.restoreRecords(reader, sectionResult, (*Job).restoreResult); err != nil {
		return err
	}
	for _, job := range m.jobs {
		if job.Ended {
			continue
		}
		for i := range job.Items {
			if job.Items[i].State == wire.ItemWaiting {
				m.addWaiting(job, job.Items[i].Tokens)
			}
		}
	}
	return nil
}

func (m *Machine) restoreJobs(reader storage.Reader) error {
	lower, upper := sectionBounds(sectionJob)
	var decodeErr error
	err := reader.Scan(lower, upper, func(_, value []byte) bool {
		var meta wire.BatchMeta
		if _, decodeErr = meta.UnmarshalMsg(value); decodeErr != nil {
			return false
		}
		job := newJob(&meta)
		job.Ended = meta.Ended
		for i := range meta.Items {
			job.addItem(&meta.Items[i])
		}
		m.jobs[job.ID] = job
		m.lastSequence = max(m.lastSequence, job.Sequence)
		return true
	})
	return errors.CombineErrors(err, decodeErr)
}

func (m *Machine) restoreRecords(reader storage.Reader, section byte, restore func(*Job, *wire.ItemRecord)) error {
	lower, upper := sectionBounds(section)
	var decodeErr error
	err := reader.Scan(lower, upper, func(_, value []byte) bool {
		var record wire.ItemRecord
		if _, decodeErr = record.UnmarshalMsg(value); decodeErr != nil {
			return false
		}
		if job := m.jobs[record.Job]; job != nil {
			restore(job, &record)
		}
		return true
	})
	return errors.CombineErrors(err, decodeErr)
}

func (j *Job) restoreProgress(record *wire.ItemRecord) {
	item := &j.Items[record.Item]
	item.Failures = max(item.Failures, record.Failures)
	item.Recorded.appendRecord(record)
}

// restoreSaved does not check the chain of a record, whose predecessor may have been overwritten: a record
// without events has the same key as the next one.
func (j *Job) restoreSaved(record *wire.ItemRecord) {
	item := &j.Items[record.Item]
	item.Failures = max(item.Failures, record.Failures)
	if item.Recorded.Events == 0 && record.From == item.Saved.Events {
		item.Saved.appendRecord(record)
	}
}

func (j *Job) restoreResult(record *wire.ItemRecord) {
	j.Items[record.Item].State = record.State
	j.Items[record.Item].dropProgress()
	j.Results++
}

// Read returns results from a position on: at least one if there is one, and otherwise as many as
// fit into maxBytes.
func (m *Machine) Read(reader storage.Reader, id string, since, maxBytes int) (*wire.BatchReadResponse, error) {
	job, err := m.Job(id)
	if err != nil {
		return nil, err
	}
	response := &wire.BatchReadResponse{Total: len(job.Items)}
	size := 0
	for position := max(since, 0); position < job.Results; position++ {
		var record wire.ItemRecord
		if err := loadValue(reader, resultKey(id, position), &record); err != nil {
			return nil, err
		}
		size += len(record.Text) + resultOverhead
		if len(response.Results) > 0 && size > maxBytes {
			break
		}
		row := wire.BatchResultRow{ID: job.Items[record.Item].ID, State: record.State, Text: record.Text}
		response.Results = append(response.Results, row)
	}
	return response, nil
}

// resultOverhead is the size of a result besides its text, in bytes.
const resultOverhead = 128

// Content returns the request of an item that has no result.
func (m *Machine) Content(reader storage.Reader, id string, item int) (*wire.ItemContent, error) {
	content := &wire.ItemContent{}
	return content, loadValue(reader, contentKey(id, item), content)
}

func loadValue(reader storage.Reader, key []byte, message msgp.Unmarshaler) error {
	value, err := reader.Get(key)
	if err != nil {
		return err
	}
	if value == nil {
		return failure.New(failure.NotFound, "read its result", "nothing is stored under %q", key)
	}
	_, err = message.UnmarshalMsg(value)
	return err
}
