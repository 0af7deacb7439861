// Package batchstate is the replicated state machine of a batch group: jobs of opaque items,
// their progress, and their results at permanent positions. It is pure: a result depends only on
// the command and the state. Requests and results are kept in storage; in memory an item costs its
// id, a few numbers, and its text until it has a result.
//
// Invariants:
//   - a job's items never change once it has been accepted;
//   - an item has at most one result, the first that was committed, at one position, and a
//     position never changes its result;
//   - an ended job takes no result;
//   - if two chains of runs follow each other in a text, the second chain began from the last
//     event in the text that the first chain wrote;
//   - the waiting tokens of an owner on a route are the sum over the items without a result of
//     the owner's open jobs on that route.
package batchstate

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Machine is the state of a batch group.
type Machine struct {
	jobs         map[string]*Job
	lastSequence uint64
	// waiting holds the waiting tokens by Job.Account. Accounts without an entry have none.
	waiting   map[string]int64
	mutations []storage.Mutation
}

// Job is a job as it is kept in memory. Callers must not change it.
type Job struct {
	ID    string
	Route string
	Host  string
	// Owner is the tenant that the job belongs to, empty if it belongs to none.
	Owner tenancy.Name
	// Sequence numbers the jobs in the order in which they were accepted.
	Sequence uint64
	// Accepted is the version of the configuration under which the job was accepted, zero if
	// unknown.
	Accepted uint64
	Ended    bool
	Items    []Item
	// Results is the number of items with a result, and so the position of the next result.
	Results int
	byID    map[string]int
}

// Item is an item as it is kept in memory.
type Item struct {
	ID     string
	Tokens int64
	// Expected is the number of tokens that the caller expects as output, zero if unknown.
	Expected int64
	State    wire.ItemState
	// Failures is the number of attempts that failed.
	Failures int
	// Saved is the progress from which a run may continue the item, until there is a result.
	// Recorded is the progress of an item that a build before wire.BatchCommand.Save ran: its text
	// is the beginning of the result, whatever follows. Saved is unused then.
	Saved    Progress
	Recorded Progress
}

// Progress is the beginning of an item's text.
type Progress struct {
	// Events and LastEvent are the number of events in Text and the id of the last one.
	Events    int
	LastEvent int64
	Text      string
	// Chain identifies the chain of runs that the text comes from. A chain is a series of runs at
	// one store, each of which continued from the run before it.
	Chain uint64
	// Version is the software version of the workers that wrote the text, empty if unknown.
	Version incarnation.Version
}

// Open reports whether the job still takes results.
func (j *Job) Open() bool { return !j.Ended && j.Results < len(j.Items) }

// Account returns the account that the job's waiting tokens count against.
func (j *Job) Account() string { return AccountName(j.Owner, j.Route) }

// AccountName returns the name of an owner's account on a route.
func AccountName(owner tenancy.Name, route string) string { return tenancy.ScopedName(owner, route) }

// FindItem returns the index of the item with the id.
func (j *Job) FindItem(id string) (int, bool) {
	number, found := j.byID[id]
	return number, found
}

// New returns an empty state.
func New() *Machine {
	return &Machine{jobs: map[string]*Job{}, waiting: map[string]int64{}}
}

// Apply executes one encoded wire.BatchCommand. It returns the encoded wire.BatchResult and the
// mutations of the stored state.
func (m *Machine) Apply(encoded []byte) ([]byte, []storage.Mutation) {
	m.mutations = nil
	var command wire.BatchCommand
	result := wire.BatchResult{}
	if _, err := command.UnmarshalMsg(encoded); err != nil {
		result.Failure = wire.NewFailure(failure.Wrap(err, failure.Internal, "upgrade every replica first", "the command does not decode"))
	} else if err := m.execute(&command, &result); err != nil {
		result.Failure = wire.NewFailure(err)
	}
	return encode(&result), m.mutations
}

func (m *Machine) execute(command *wire.BatchCommand, result *wire.BatchResult) error {
	switch {
	case command.Submit != nil:
		return m.submit(command.Submit, result)
	case command.Record != nil || command.Save != nil:
		if command.Save != nil {
			for i := range command.Save.Items {
				m.save(&command.Save.Items[i])
			}
		}
		if command.Record != nil {
			for i := range command.Record.Items {
				if !m.record(&command.Record.Items[i]) {
					result.Dropped = append(result.Dropped, i)
				}
			}
		}
	case command.End != nil:
		return m.end(command.End.ID)
	case command.Forget != nil:
		m.forget(command.Forget.ID)
	}
	return nil
}

func encode(message msgp.Marshaler) []byte {
	data, err := message.MarshalMsg(nil)
	if err != nil {
		panic(errors.Wrap(err, "a generated encoder failed on a plain structure"))
	}
	return data
}

func (m *Machine) put(key []byte, message msgp.Marshaler) {
	m.mutations = append(m.mutations, storage.Mutation{Key: key, Value: encode(message)})
}

func (m *Machine) remove(key []byte) {
	m.mutations = append(m.mutations, storage.Mutation{Key: key, Delete: true})
}

func (m *Machine) removeAll(prefix []byte) {
	m.mutations = append(m.mutations, storage.Mutation{Key: prefix, DeletePrefix: true})
}

// quotaRetryAfter is when a job that exceeds its quota may be sent again. It is short because
// items finish all the time.
const quotaRetryAfter = time.Second

// CheckQuota returns an error if the job does not fit its owner's quota on the route now.
func (m *Machine) CheckQuota(job *wire.SubmitBatch) error {
	if job.Limit <= 0 {
		return nil
	}
	var tokens int64
	for i := range job.Items {
		tokens += job.Items[i].Tokens
	}
	if waiting := m.waiting[AccountName(tenancy.Name(job.Owner), job.Route)]; waiting+tokens > job.Limit {
		return failure.New(failure.OverLimit, "send it again when fewer tokens wait", "%d tokens of tenant %q wait on route %s, and %d more than %d may", waiting, job.Owner, job.Route, tokens, job.Limit).WithRetryAfter(quotaRetryAfter)
	}
	return nil
}

func (m *Machine) submit(submit *wire.SubmitBatch, result *wire.BatchResult) error {
	if m.jobs[submit.ID] != nil {
		result.Repeated = true
		return nil
	}
	if err := m.CheckQuota(submit); err != nil {
		return err
	}
	m.lastSequence++
	meta := wire.BatchMeta{ID: submit.ID, Route: submit.Route, Host: submit.Host, Owner: submit.Owner, Order: m.lastSequence, Accepted: submit.Accepted}
	job := newJob(&meta)
	for i := range submit.Items {
		item := &submit.Items[i]
		row := wire.BatchItemMeta{ID: item.ID, Tokens: item.Tokens, Expected: item.Expected}
		job.addItem(&row)
		meta.Items = append(meta.Items, row)
		m.addWaiting(job, item.Tokens)
		m.put(contentKey(submit.ID, i), &wire.ItemContent{Path: item.Path, Headers: item.Headers, Body: item.Body})
	}
	m.jobs[submit.ID] = job
	// A build that doesn't know Save leaves saved progress behind when it forgets a job of this id.
	m.removeAll(savedPrefix(submit.ID))
	m.put(jobKey(submit.ID), &meta)
	return nil
}

func newJob(meta *wire.BatchMeta) *Job {
	return &Job{ID: meta.ID, Route: meta.Route, Host: meta.Host, Owner: tenancy.Name(meta.Owner), Sequence: meta.Order, Accepted: meta.Accepted, byID: map[string]int{}}
}

// addWaiting adds tokens, which may be negative, to the account of the job.
func (m *Machine) addWaiting(job *Job, tokens int64) {
	account := job.Account()
	m.waiting[account] += tokens
	if m.waiting[account] == 0 {
		delete(m.waiting, account)
	}
}

func (j *Job) addItem(row *wire.BatchItemMeta) {
	j.byID[row.ID] = len(j.Items)
	j.Items = append(j.Items, Item{ID: row.ID, Tokens: row.Tokens, Expected: row.Expected})
}

// waitingItem returns the item of a record, or nil if it has a result or can't get one any more.
func (m *Machine) waitingItem(record *wire.ItemRecord) (*Job, *Item) {
	job := m.jobs[record.Job]
	if job == nil || job.Ended || record.Item < 0 || record.Item >= len(job.Items) {
		return nil, nil
	}
	item := &job.Items[record.Item]
	if item.State != wire.ItemWaiting {
		return nil, nil
	}
	return job, item
}

// save applies a record of progress. Records that come too late, or that don't continue from the
// saved progress, are dropped.
func (m *Machine) save(record *wire.ItemRecord) {
	job, item := m.waitingItem(record)
	if item == nil {
		return
	}
	item.Failures = max(item.Failures, record.Failures)
	restarts := record.Restarts && record.Opens && record.From == 0
	if item.Recorded.Events > 0 || !restarts && !item.Saved.follows(record) {
		return
	}
	if restarts {
		item.Saved = Progress{}
		m.removeAll(itemSavedPrefix(job.ID, record.Item))
	}
	item.Saved.appendRecord(record)
	m.put(savedKey(job.ID, record.Item, record.From), record)
}

// record applies the record of one item and reports whether it was accepted. Records that come
// too late, or that don't continue from the item's state, are dropped.
func (m *Machine) record(record *wire.ItemRecord) bool {
	job, item := m.waitingItem(record)
	if item == nil {
		return false
	}
	item.Failures = max(item.Failures, record.Failures)
	switch {
	case record.State == wire.ItemAbandoned:
		m.finish(job, item, record)
	case !item.Recorded.follows(record):
		return false
	case record.State == wire.ItemWaiting:
		item.Recorded.appendRecord(record)
		m.put(progressKey(job.ID, record.Item, record.From), record)
	default:
		m.finish(job, item, record)
	}
	return true
}

// follows reports whether the record continues from the progress. The record must continue from the
// last event, and it must belong either to the chain of runs that wrote that event or to a new chain
// that began there. An equal number of events is not enough, because the records of two chains may
// be interleaved.
func (p *Progress) follows(record *wire.ItemRecord) bool {
	return record.From == p.Events && (record.Opens || record.Chain == p.Chain)
}

func (p *Progress) appendRecord(record *wire.ItemRecord) {
	p.Events, p.LastEvent, p.Chain = record.Events, record.LastEvent, record.Chain
	p.Version = incarnation.Version(record.Version)
	p.Text += record.Text
}

func (m *Machine) finish(job *Job, item *Item, record *wire.ItemRecord) {
	stored := *record
	stored.From = 0
	stored.Text = item.Recorded.Text + record.Text
	if stored.State == wire.ItemAbandoned {
		stored.Text = ""
	}
	item.State = record.State
	item.dropProgress()
	m.addWaiting(job, -item.Tokens)
	m.put(resultKey(job.ID, job.Results), &stored)
	job.Results++
	m.removeAll(itemProgressPrefix(job.ID, record.Item))
	m.removeAll(itemSavedPrefix(job.ID, record.Item))
	m.remove(contentKey(job.ID, record.Item))
}

// dropProgress drops the texts, which are of no use once the item has a result or its job has ended.
func (i *Item) dropProgress() { i.Saved.Text, i.Recorded.Text = "", "" }

func (m *Machine) end(id string) error {
	job := m.jobs[id]
	if job == nil {
		return unknownJob(id)
	}
	if job.Ended {
		return nil
	}
	m.releaseTokens(job)
	job.Ended = true
	for i := range job.Items {
		job.Items[i].dropProgress()
	}
	meta := wire.BatchMeta{ID: id, Route: job.Route, Host: job.Host, Owner: string(job.Owner), Order: job.Sequence, Ended: true, Accepted: job.Accepted}
	for i := range job.Items {
		meta.Items = append(meta.Items, wire.BatchItemMeta{ID: job.Items[i].ID, Tokens: job.Items[i].Tokens, Expected: job.Items[i].Expected})
	}
	m.put(jobKey(id), &meta)
	m.removeAll(contentPrefix(id))
	m.removeAll(progressPrefix(id))
	m.removeAll(savedPrefix(id))
	return nil
}

// releaseTokens takes the job's waiting tokens off its account.
func (m *Machine) releaseTokens(job *Job) {
	if job.Ended {
		return
	}
	for i := range job.Items {
		if job.Items[i].State == wire.ItemWaiting {
			m.addWaiting(job, -job.Items[i].Tokens)
		}
	}
}

func (m *Machine) forget(id string) {
	job := m.jobs[id]
	if job == nil {
		return
	}
	m.releaseTokens(job)
	delete(m.jobs, id)
	m.remove(jobKey(id))
	m.removeAll(contentPrefix(id))
	m.removeAll(progressPrefix(id))
	m.removeAll(savedPrefix(id))
	m.removeAll(resultPrefix(id))
}

func unknownJob(id string) error {
	return failure.New(failure.NotFound, "check the id", "there is no job %q", id)
}

// Job returns the job with the id, or a NotFound error.
func (m *Machine) Job(id string) (*Job, error) {
	job := m.jobs[id]
	if job == nil {
		return nil, unknownJob(id)
	}
	return job, nil
}

// EachJob calls visit with every job, in no particular order.
func (m *Machine) EachJob(visit func(job *Job)) {
	for _, job := range m.jobs {
		visit(job)
	}
}

// WaitingTokens returns the tokens that wait on the account.
func (m *Machine) WaitingTokens(account string) int64 { return m.waiting[account] }

// EachAccount calls visit with each account on which tokens wait.
func (m *Machine) EachAccount(visit func(account string, tokens int64)) {
	for account, tokens := range m.waiting {
		visit(account, tokens)
	}
}
