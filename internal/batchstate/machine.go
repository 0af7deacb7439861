// Package batchstate is the replicated state machine of the batch group: jobs of
// opaque items, their progress and their results at lasting positions. It is
// pure. Requests and texts live in storage; in memory an item costs its id and a
// few numbers.
//
// Invariants:
//   - a job's items never change once it has been accepted;
//   - an item has at most one result, the first that was committed, at one
//     position, and a position holds one result for good;
//   - an ended job takes no result;
//   - a text goes from one chain of runs to another only where the second began
//     from the last event of the first that is in the text;
//   - the waiting tokens of an owner on a route are the sum over the items of the
//     owner's open jobs there that have no result.
package batchstate

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Machine is the state of the batch group.
type Machine struct {
	jobs  map[string]*Job
	order uint64
	// waiting holds the waiting tokens by Job.Account; what is not named has none.
	waiting   map[string]int64
	mutations []storage.Mutation
}

// Job is a job as it is kept in memory. Callers must not change it.
type Job struct {
	ID    string
	Route string
	Host  string
	// Owner is the tenant that the job belongs to, empty for nobody.
	Owner tenancy.Name
	// Sequence numbers jobs as they were accepted.
	Sequence uint64
	Ended    bool
	Items    []Item
	// Results counts the items with a result, which is the next position.
	Results int
	byID    map[string]int
}

// Item is an item as it is kept in memory.
type Item struct {
	ID     string
	Tokens int64
	// Expected is how many tokens the caller expects to be made, zero if unknown.
	Expected int64
	State    wire.ItemState
	// Failures counts attempts that failed.
	Failures int
	// Events and LastEvent say how far the text goes that is kept until there is
	// a result.
	Events    int
	LastEvent int64
	Text      string
	// Chain is the chain of runs that the text comes from.
	Chain uint64
}

// Open reports whether the job still takes results.
func (j *Job) Open() bool { return !j.Ended && j.Results < len(j.Items) }

// Account names what the job's waiting tokens count against: its route, for its owner.
func (j *Job) Account() string { return AccountName(j.Owner, j.Route) }

// AccountName names the account of an owner on a route.
func AccountName(owner tenancy.Name, route string) string { return tenancy.ScopedName(owner, route) }

// FindItem returns the number of the item with the id.
func (j *Job) FindItem(id string) (int, bool) {
	number, found := j.byID[id]
	return number, found
}

// New returns the empty state.
func New() *Machine {
	return &Machine{jobs: map[string]*Job{}, waiting: map[string]int64{}}
}

// Apply executes one encoded wire.BatchCommand. It returns the encoded
// wire.BatchResult and the changes of stored state that go with it.
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
	case command.Record != nil:
		for i := range command.Record.Items {
			if !m.record(&command.Record.Items[i]) {
				result.Dropped = append(result.Dropped, i)
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

// quotaRetry is when a job that does not fit may come again: items end all the
// time.
const quotaRetry = time.Second

// CheckQuota returns the refusal of a job that does not fit its owner's quota on the route
// now, or nil.
func (m *Machine) CheckQuota(job *wire.SubmitBatch) error {
	if job.Limit <= 0 {
		return nil
	}
	var tokens int64
	for i := range job.Items {
		tokens += job.Items[i].Tokens
	}
	if waiting := m.waiting[AccountName(tenancy.Name(job.Owner), job.Route)]; waiting+tokens > job.Limit {
		return failure.New(failure.OverLimit, "send it again when fewer tokens wait", "%d tokens of tenant %q wait on route %s, and %d more than %d may", waiting, job.Owner, job.Route, tokens, job.Limit).WithRetryAfter(quotaRetry)
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
	m.order++
	meta := wire.BatchMeta{ID: submit.ID, Route: submit.Route, Host: submit.Host, Owner: submit.Owner, Order: m.order}
	job := newJob(&meta)
	for i := range submit.Items {
		item := &submit.Items[i]
		row := wire.BatchItemMeta{ID: item.ID, Tokens: item.Tokens, Expected: item.Expected}
		job.add(&row)
		meta.Items = append(meta.Items, row)
		m.count(job, item.Tokens)
		m.put(contentKey(submit.ID, i), &wire.ItemContent{Path: item.Path, Headers: item.Headers, Body: item.Body})
	}
	m.jobs[submit.ID] = job
	m.put(jobKey(submit.ID), &meta)
	return nil
}

func newJob(meta *wire.BatchMeta) *Job {
	return &Job{ID: meta.ID, Route: meta.Route, Host: meta.Host, Owner: tenancy.Name(meta.Owner), Sequence: meta.Order, byID: map[string]int{}}
}

// count adds waiting tokens of a job to its account, or takes them off.
func (m *Machine) count(job *Job, tokens int64) {
	account := job.Account()
	m.waiting[account] += tokens
	if m.waiting[account] == 0 {
		delete(m.waiting, account)
	}
}

func (j *Job) add(row *wire.BatchItemMeta) {
	j.byID[row.ID] = len(j.Items)
	j.Items = append(j.Items, Item{ID: row.ID, Tokens: row.Tokens, Expected: row.Expected})
}

// record takes in the news of one item and reports whether they were: news that
// come too late, or that don't follow on what there is, are dropped.
func (m *Machine) record(news *wire.ItemRecord) bool {
	job := m.jobs[news.Job]
	if job == nil || job.Ended || news.Item < 0 || news.Item >= len(job.Items) {
		return false
	}
	item := &job.Items[news.Item]
	if item.State != wire.ItemWaiting {
		return false
	}
	item.Failures = max(item.Failures, news.Failures)
	switch {
	case news.State == wire.ItemAbandoned:
		m.finish(job, item, news)
	case !item.follows(news):
		return false
	case news.State == wire.ItemWaiting:
		item.add(news)
		m.put(progressKey(job.ID, news.Item, news.From), news)
	default:
		m.finish(job, item, news)
	}
	return true
}

// follows reports whether the news go on where the item stands: from its last
// event, and either in the chain of runs that brought it there or in a new one
// that began from there. Equal events alone prove nothing, because the news of
// two chains may cross each other.
func (i *Item) follows(news *wire.ItemRecord) bool {
	return news.From == i.Events && (news.Opens || news.Chain == i.Chain)
}

func (i *Item) add(news *wire.ItemRecord) {
	i.Events, i.LastEvent, i.Chain = news.Events, news.LastEvent, news.Chain
	i.Text += news.Text
}

func (m *Machine) finish(job *Job, item *Item, news *wire.ItemRecord) {
	stored := *news
	stored.From = 0
	stored.Text = item.Text + news.Text
	if stored.State == wire.ItemAbandoned {
		stored.Text = ""
	}
	item.State, item.Text = news.State, ""
	m.count(job, -item.Tokens)
	m.put(resultKey(job.ID, job.Results), &stored)
	job.Results++
	m.removeAll(itemProgressPrefix(job.ID, news.Item))
	m.remove(contentKey(job.ID, news.Item))
}

func (m *Machine) end(id string) error {
	job := m.jobs[id]
	if job == nil {
		return unknownJob(id)
	}
	if job.Ended {
		return nil
	}
	m.release(job)
	job.Ended = true
	for i := range job.Items {
		job.Items[i].Text = ""
	}
	meta := wire.BatchMeta{ID: id, Route: job.Route, Host: job.Host, Owner: string(job.Owner), Order: job.Sequence, Ended: true}
	for i := range job.Items {
		meta.Items = append(meta.Items, wire.BatchItemMeta{ID: job.Items[i].ID, Tokens: job.Items[i].Tokens, Expected: job.Items[i].Expected})
	}
	m.put(jobKey(id), &meta)
	m.removeAll(contentPrefix(id))
	m.removeAll(progressPrefix(id))
	return nil
}

// release takes the job's waiting tokens off its account.
func (m *Machine) release(job *Job) {
	if job.Ended {
		return
	}
	for i := range job.Items {
		if job.Items[i].State == wire.ItemWaiting {
			m.count(job, -job.Items[i].Tokens)
		}
	}
}

func (m *Machine) forget(id string) {
	job := m.jobs[id]
	if job == nil {
		return
	}
	m.release(job)
	delete(m.jobs, id)
	m.remove(jobKey(id))
	m.removeAll(contentPrefix(id))
	m.removeAll(progressPrefix(id))
	m.removeAll(resultPrefix(id))
}

func unknownJob(id string) error {
	return failure.New(failure.NotFound, "check the id", "there is no job %q", id)
}

// Job returns a job.
func (m *Machine) Job(id string) (*Job, error) {
	job := m.jobs[id]
	if job == nil {
		return nil, unknownJob(id)
	}
	return job, nil
}

// EachJob calls visit with every job, in no order.
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
