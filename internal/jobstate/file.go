package jobstate

import (
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// uploadTimeoutMillis is the time after its last appended chunk at which an incomplete upload is
// deleted.
const uploadTimeoutMillis = 60 * 60 * 1000

func (m *Machine) beginFile(now int64, request *wire.BeginFileRequest) (*wire.FileResponse, error) {
	record := &wire.FileRecord{
		ID:            m.nextID(fileKind),
		Tenant:        request.Tenant,
		Filename:      request.Filename,
		Purpose:       request.Purpose,
		CreatedMillis: now,
		UpdatedMillis: now,
	}
	m.files[record.ID] = record
	return m.storeFile(record), nil
}

func (m *Machine) appendFile(now int64, request *wire.AppendFileRequest) (*wire.FileResponse, error) {
	record, err := m.findFile(request.Tenant, request.FileID)
	if err != nil {
		return nil, err
	}
	if record.Complete {
		return nil, failure.New(failure.Conflict, "upload the lines as a new file", "file %s is complete", record.ID)
	}
	end := request.FirstLine + uint32(len(request.Lines))
	if end <= record.Lines {
		// The chunk was stored before: the caller resends it because the response was lost.
		return &wire.FileResponse{File: *record}, nil
	}
	if request.FirstLine != record.Lines {
		return nil, failure.New(failure.Conflict, "go on at the line that the record names", "file %s has %d lines, the chunk begins at %d", record.ID, record.Lines, request.FirstLine)
	}
	for i := range request.Lines {
		m.putMessage(lineKey(record.ID, request.FirstLine+uint32(i)), &request.Lines[i])
	}
	record.Lines = end
	record.Bytes += request.Bytes
	record.UpdatedMillis = now
	return m.storeFile(record), nil
}

func (m *Machine) completeFile(now int64, request *wire.CompleteFileRequest) (*wire.FileResponse, error) {
	record, err := m.findFile(request.Tenant, request.FileID)
	if err != nil {
		return nil, err
	}
	if record.Complete && record.Digest == request.Digest {
		return &wire.FileResponse{File: *record}, nil
	}
	if record.Complete || record.Lines != request.Lines {
		return nil, failure.New(failure.Conflict, "upload the file again", "file %s has %d lines, %d were sent", record.ID, record.Lines, request.Lines)
	}
	record.Complete = true
	record.Digest = request.Digest
	record.Model = request.Model
	record.Adapter = request.Adapter
	record.UpdatedMillis = now
	return m.storeFile(record), nil
}

func (m *Machine) deleteFile(request *wire.DeleteFileRequest) (*wire.FileResponse, error) {
	record, err := m.findFile(request.Tenant, request.FileID)
	if err != nil {
		return nil, err
	}
	for id, candidate := range m.jobs {
		if candidate.record.FileID == record.ID && candidate.record.State == wire.JobRunning {
			return nil, failure.New(failure.Conflict, "cancel the job first", "file %s is used by job %s", record.ID, id)
		}
	}
	m.dropFile(record.ID)
	return &wire.FileResponse{File: *record}, nil
}

func (m *Machine) dropFile(id string) {
	delete(m.files, id)
	m.mutations = append(m.mutations,
		storage.Mutation{Key: fileKey(id), Delete: true},
		storage.Mutation{Key: lineKeyPrefix(id), DeletePrefix: true})
}

func (m *Machine) storeFile(record *wire.FileRecord) *wire.FileResponse {
	m.putMessage(fileKey(record.ID), record)
	return &wire.FileResponse{File: *record}
}

func (m *Machine) findFile(tenant, id string) (*wire.FileRecord, error) {
	record, found := m.files[id]
	if !found || record.Tenant != tenant {
		return nil, failure.New(failure.NotFound, "list the tenant's files", "there is no file %q", id)
	}
	return record, nil
}

// File returns the record of a tenant's file.
func (m *Machine) File(tenant, id string) (wire.FileRecord, error) {
	record, err := m.findFile(tenant, id)
	if err != nil {
		return wire.FileRecord{}, err
	}
	return *record, nil
}
