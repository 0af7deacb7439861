package jobstate

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

func (m *Machine) createJob(now int64, request *wire.CreateJobRequest) (*wire.JobResponse, error) {
	file, err := m.findFile(request.Tenant, request.FileID)
	key := idempotencyKey{request.Tenant, request.IdempotencyKey}
	if first, found := m.jobIDs[key]; found {
		return m.answerRepeat(first, file, request)
	}
	if err != nil {
		return nil, err
	}
	if !file.Complete {
		return nil, failure.New(failure.Conflict, "finish the upload first", "file %s is not complete", file.ID)
	}
	if count := m.runningCount(request.Tenant); request.MaxRunning > 0 && count >= request.MaxRunning {
		return nil, failure.New(failure.OverLimit, "wait until a job ends, or ask for a higher running_jobs", "%d jobs of the tenant are running", count).WithRetryAfter(overLimitRetryAfter)
	}
	created := &job{finished: newBitmap(file.Lines), record: wire.JobRecord{
		ID:             m.nextID(jobKind),
		Tenant:         request.Tenant,
		IdempotencyKey: request.IdempotencyKey,
		Digest:         jobDigest(file, request),
		FileID:         file.ID,
		Model:          file.Model,
		Adapter:        file.Adapter,
		Endpoint:       request.Endpoint,
		Rank:           request.Rank,
		Items:          file.Lines,
		CreatedMillis:  now,
		DeadlineMillis: now + request.WindowMillis,
		Metadata:       request.Metadata,
	}}
	m.jobs[created.record.ID] = created
	m.running[created.record.ID] = created
	m.jobIDs[key] = created.record.ID
	if created.record.Items == 0 {
		m.endJob(created, now, wire.JobCompleted)
	}
	return m.storeJob(created), nil
}

// overLimitRetryAfter is the time after which the caller may resend a job that was over the tenant's
// limit of running jobs.
const overLimitRetryAfter = 30 * time.Second

func (m *Machine) runningCount(tenant string) int {
	count := 0
	for _, candidate := range m.running {
		if candidate.record.Tenant == tenant {
			count++
		}
	}
	return count
}

// answerRepeat answers a request whose idempotency key was used before: with the existing job if the
// content is the same, with a conflict otherwise. A nil file means that the file in the request no
// longer exists. The content then counts as the same if the job was created from a file with that id.
func (m *Machine) answerRepeat(id string, file *wire.FileRecord, request *wire.CreateJobRequest) (*wire.JobResponse, error) {
	first := m.jobs[id]
	same := first.record.FileID == request.FileID && file == nil
	if file != nil {
		same = jobDigest(file, request) == first.record.Digest
	}
	if !same {
		return nil, failure.New(failure.Conflict, "use a new idempotency key for other content", "the key was used for job %s with other content", id).WithField("Idempotency-Key")
	}
	return &wire.JobResponse{Job: first.record, Repeated: true}, nil
}

// jobDigest identifies the content of a job. It leaves out the file's id and the tenant's defaults:
// a resend may name another upload of the same lines, and the defaults may have changed since.
func jobDigest(file *wire.FileRecord, request *wire.CreateJobRequest) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%s\n%s\n%d\n%s", file.Digest, request.Endpoint, request.RequestedMillis, request.Metadata)
	return hex.EncodeToString(hash.Sum(nil))
}

func (m *Machine) cancelJob(now int64, request *wire.CancelJobRequest) (*wire.JobResponse, error) {
	found, err := m.findJob(request.Tenant, request.JobID)
	if err != nil {
		return nil, err
	}
	if found.record.State != wire.JobRunning {
		return &wire.JobResponse{Job: found.record, Repeated: true}, nil
	}
	m.endJob(found, now, wire.JobCancelled)
	return m.storeJob(found), nil
}

func (m *Machine) completeItems(now int64, request *wire.CompleteItemsRequest) *wire.CompleteItemsResponse {
	response := &wire.CompleteItemsResponse{}
	touched := map[string]*job{}
	for i := range request.Results {
		result := &request.Results[i]
		found := m.jobs[result.JobID]
		switch {
		case found == nil || result.Item >= found.record.Items:
			response.Refused++
		case found.record.State == wire.JobCompleted:
			response.Duplicates++
		case found.record.State != wire.JobRunning:
			response.Refused++
		case found.finished.has(result.Item):
			response.Duplicates++
		default:
			response.Accepted++
			m.acceptResult(now, found, result)
			touched[result.JobID] = found
		}
	}
	for _, id := range sortedKeys(touched) {
		m.storeJob(touched[id])
	}
	return response
}

func (m *Machine) acceptResult(now int64, found *job, result *wire.ItemResult) {
	m.putMessage(ResultKey(result.JobID, result.Item), result)
	found.finished.set(result.Item)
	if result.Failure == nil {
		found.record.Succeeded++
	} else {
		found.record.Failed++
	}
	if found.record.Succeeded+found.record.Failed == found.record.Items {
		m.endJob(found, now, wire.JobCompleted)
	}
}

func (m *Machine) endJob(ended *job, now int64, state wire.JobState) {
	ended.record.State = state
	ended.record.EndedMillis = now
	ended.finished = nil
	delete(m.running, ended.record.ID)
}

func (m *Machine) expire(now int64) {
	for _, id := range sortedKeys(m.running) {
		candidate := m.running[id]
		if candidate.record.DeadlineMillis <= now {
			m.endJob(candidate, now, wire.JobExpired)
			m.storeJob(candidate)
		}
	}
	for _, id := range sortedKeys(m.files) {
		if file := m.files[id]; !file.Complete && file.UpdatedMillis+uploadTimeoutMillis <= now {
			m.dropFile(id)
		}
	}
}

// ExpiryDue reports whether an Expire command at now, in Unix milliseconds, would change anything.
func (m *Machine) ExpiryDue(now int64) bool {
	for _, candidate := range m.running {
		if candidate.record.DeadlineMillis <= now {
			return true
		}
	}
	for _, file := range m.files {
		if !file.Complete && file.UpdatedMillis+uploadTimeoutMillis <= now {
			return true
		}
	}
	return false
}

func sortedKeys[Value any](from map[string]Value) []string {
	keys := make([]string, 0, len(from))
	for key := range from {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (m *Machine) storeJob(stored *job) *wire.JobResponse {
	m.putMessage(jobKey(stored.record.ID), &stored.record)
	return &wire.JobResponse{Job: stored.record}
}

func (m *Machine) findJob(tenant, id string) (*job, error) {
	found := m.jobs[id]
	if found == nil || (tenant != "" && found.record.Tenant != tenant) {
		return nil, failure.New(failure.NotFound, "list the tenant's batches", "there is no batch %q", id)
	}
	return found, nil
}

// Job returns the record of a tenant's job. An empty tenant, as operators use it, finds the jobs of
// all tenants.
func (m *Machine) Job(tenant, id string) (wire.JobRecord, error) {
	found, err := m.findJob(tenant, id)
	if err != nil {
		return wire.JobRecord{}, err
	}
	return found.record, nil
}

// Jobs returns at most limit jobs of a tenant, newest first; an empty tenant means all tenants.
func (m *Machine) Jobs(tenant string, limit int) []wire.JobRecord {
	var records []wire.JobRecord
	for _, candidate := range m.jobs {
		if tenant == "" || candidate.record.Tenant == tenant {
			records = append(records, candidate.record)
		}
	}
	SortNewestFirst(records)
	if len(records) > limit {
		records = records[:limit]
	}
	return records
}

// SortNewestFirst sorts jobs by the time they were created, newest first.
func SortNewestFirst(records []wire.JobRecord) {
	sort.Slice(records, func(a, b int) bool {
		if records[a].CreatedMillis != records[b].CreatedMillis {
			return records[a].CreatedMillis > records[b].CreatedMillis
		}
		return records[a].ID > records[b].ID
	})
}
