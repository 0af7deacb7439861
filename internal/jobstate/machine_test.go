package jobstate

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/proptest"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// harness applies commands to a machine and commits their mutations to a store, as a replica does.
type harness struct {
	machine *Machine
	store   *storage.Memory
	now     int64
}

func newHarness() *harness { return &harness{machine: New(1), store: storage.NewMemory(), now: 1000} }

func (h *harness) apply(command *wire.JobCommand) *wire.JobResult {
	h.now++
	command.AtMillis = h.now
	encoded, err := command.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	answer, mutations := h.machine.Apply(encoded)
	if err := h.store.Commit(mutations, false); err != nil {
		panic(err)
	}
	result := &wire.JobResult{}
	if _, err := result.UnmarshalMsg(answer); err != nil {
		panic(err)
	}
	return result
}

func (h *harness) uploadFile(tenant, digest string, lines int) string {
	id := h.apply(&wire.JobCommand{BeginFile: &wire.BeginFileRequest{Tenant: tenant}}).File.File.ID
	batch := make([]wire.BatchLine, lines)
	for i := range batch {
		batch[i] = wire.BatchLine{CustomID: fmt.Sprint(i), Prompt: digest}
	}
	h.apply(&wire.JobCommand{AppendFile: &wire.AppendFileRequest{FileID: id, Tenant: tenant, Lines: batch}})
	h.apply(&wire.JobCommand{CompleteFile: &wire.CompleteFileRequest{FileID: id, Tenant: tenant, Model: "m", Lines: uint32(lines), Digest: digest}})
	return id
}

func (h *harness) createJob(tenant, key, file string) *wire.JobResult {
	return h.apply(&wire.JobCommand{CreateJob: &wire.CreateJobRequest{Tenant: tenant, IdempotencyKey: key, FileID: file, WindowMillis: 1 << 40, Rank: 5}})
}

func (h *harness) completeItem(job string, item uint32, text string) *wire.CompleteItemsResponse {
	return h.apply(&wire.JobCommand{Complete: &wire.CompleteItemsRequest{Results: []wire.ItemResult{{JobID: job, Item: item, Text: text}}}}).Complete
}

func TestResentJobIsTheSameJob(t *testing.T) {
	h := newHarness()
	first := h.createJob("t", "k", h.uploadFile("t", "same", 3))
	again := h.createJob("t", "k", h.uploadFile("t", "same", 3))
	if again.Failure != nil || again.Job.Job.ID != first.Job.Job.ID || !again.Job.Repeated {
		t.Errorf("a resend with equal content returned %+v, want the first job, marked as repeated", again)
	}
	other := h.createJob("t", "k", h.uploadFile("t", "other", 3))
	if other.Failure == nil || failure.Kind(other.Failure.Kind) != failure.Conflict {
		t.Errorf("a resend with other content returned %+v, want a conflict", other)
	}
	if foreign := h.createJob("u", "k", h.uploadFile("u", "same", 3)); foreign.Job.Job.ID == first.Job.Job.ID {
		t.Error("two tenants with the same key got the same job")
	}
}

func TestFirstCompletionWins(t *testing.T) {
	h := newHarness()
	job := h.createJob("t", "k", h.uploadFile("t", "d", 2)).Job.Job.ID
	if got := h.completeItem(job, 0, "first"); got.Accepted != 1 {
		t.Fatalf("the first completion returned %+v, want it accepted", got)
	}
	if got := h.completeItem(job, 0, "second"); got.Duplicates != 1 {
		t.Fatalf("the second completion returned %+v, want a duplicate", got)
	}
	page, err := ReadResults(h.store, &wire.ReadResultsRequest{JobID: job, Limit: 10})
	if err != nil || len(page.Results) != 1 || page.Results[0].Text != "first" {
		t.Errorf("the results are %+v (%v), want the text of the first completion", page, err)
	}
}

func TestCancelledJobTakesNoResult(t *testing.T) {
	h := newHarness()
	job := h.createJob("t", "k", h.uploadFile("t", "d", 2)).Job.Job.ID
	h.completeItem(job, 0, "kept")
	h.apply(&wire.JobCommand{CancelJob: &wire.CancelJobRequest{JobID: job, Tenant: "t"}})
	if got := h.completeItem(job, 1, "late"); got.Refused != 1 {
		t.Errorf("a completion after the cancellation returned %+v, want it refused", got)
	}
	page, err := ReadResults(h.store, &wire.ReadResultsRequest{JobID: job, Limit: 10})
	if err != nil || len(page.Results) != 1 {
		t.Errorf("the results after the cancellation are %+v (%v), want one", page, err)
	}
}

func TestAppendIsIdempotent(t *testing.T) {
	h := newHarness()
	id := h.apply(&wire.JobCommand{BeginFile: &wire.BeginFileRequest{Tenant: "t"}}).File.File.ID
	chunk := &wire.AppendFileRequest{FileID: id, Tenant: "t", Lines: make([]wire.BatchLine, 4)}
	for range 3 {
		if got := h.apply(&wire.JobCommand{AppendFile: chunk}); got.File.File.Lines != 4 {
			t.Fatalf("after a resend the file has %d lines, want 4", got.File.File.Lines)
		}
	}
	gap := &wire.AppendFileRequest{FileID: id, Tenant: "t", FirstLine: 9, Lines: make([]wire.BatchLine, 1)}
	if got := h.apply(&wire.JobCommand{AppendFile: gap}); got.Failure == nil {
		t.Error("a chunk that leaves a gap in the lines was accepted")
	}
}

func TestExpiryEndsJobsAndStaleUploads(t *testing.T) {
	h := newHarness()
	job := h.createJob("t", "k", h.uploadFile("t", "d", 2)).Job.Job.ID
	h.apply(&wire.JobCommand{BeginFile: &wire.BeginFileRequest{Tenant: "t"}})
	h.now = 1 << 41
	if !h.machine.ExpiryDue(h.now) {
		t.Fatal("ExpiryDue is false after the deadline of the job")
	}
	h.apply(&wire.JobCommand{Expire: true})
	record, err := h.machine.Job("t", job)
	if err != nil || record.State != wire.JobExpired || h.machine.ExpiryDue(h.now) {
		t.Errorf("the job is %+v (%v) after expiry, want it expired and nothing due", record, err)
	}
}

// TestRandomCommands compares the machine, and a copy restored from storage, with a model that holds
// for each job the first text of each finished item and whether the job was cancelled.
func TestRandomCommands(t *testing.T) {
	type model struct {
		items     int
		texts     map[uint32]string
		cancelled bool
	}
	proptest.Run(t, "commands against a model", func(random *rand.Rand) error {
		h := newHarness()
		jobs := map[string]*model{}
		var ids []string
		for step := 0; step < 150; step++ {
			if len(ids) == 0 || random.Intn(12) == 0 {
				items := 1 + random.Intn(70)
				id := h.createJob("t", fmt.Sprint(step), h.uploadFile("t", fmt.Sprint(step), items)).Job.Job.ID
				jobs[id] = &model{items: items, texts: map[uint32]string{}}
				ids = append(ids, id)
				continue
			}
			id := ids[random.Intn(len(ids))]
			job := jobs[id]
			if random.Intn(25) == 0 {
				h.apply(&wire.JobCommand{CancelJob: &wire.CancelJobRequest{JobID: id, Tenant: "t"}})
				job.cancelled = job.cancelled || len(job.texts) < job.items
				continue
			}
			item, text := uint32(random.Intn(job.items)), fmt.Sprint(step)
			_, known := job.texts[item]
			accepted := h.completeItem(id, item, text).Accepted == 1
			if want := !known && !job.cancelled; accepted != want {
				return fmt.Errorf("step %d: accepted %t, want %t", step, accepted, want)
			}
			if accepted {
				job.texts[item] = text
			}
		}
		restored := New(1)
		if err := restored.Restore(h.store); err != nil {
			return err
		}
		for id, job := range jobs {
			for _, machine := range []*Machine{h.machine, restored} {
				record, err := machine.Job("t", id)
				if err != nil {
					return err
				}
				ended := len(job.texts) == job.items
				if int(record.Succeeded) != len(job.texts) || (record.State == wire.JobCompleted) != ended || (record.State == wire.JobCancelled) != job.cancelled {
					return fmt.Errorf("job %s is %+v", id, record)
				}
				if found := machine.jobs[id]; found.finished != nil && int(found.finished.count()) != len(job.texts) {
					return fmt.Errorf("the bitmap of job %s has %d finished items", id, found.finished.count())
				}
			}
			page, err := ReadResults(h.store, &wire.ReadResultsRequest{JobID: id, Limit: 1000})
			if err != nil || len(page.Results) != len(job.texts) {
				return fmt.Errorf("job %s has %d results (%v)", id, len(page.Results), err)
			}
			for _, result := range page.Results {
				if job.texts[result.Item] != result.Text {
					return fmt.Errorf("the result of item %d of job %s was overwritten", result.Item, id)
				}
			}
		}
		return nil
	})
}

var models = []string{"m"}

func TestLeasesHandOutEachItemOnce(t *testing.T) {
	h := newHarness()
	h.createJob("t", "k", h.uploadFile("t", "d", 20))
	h.createJob("u", "k", h.uploadFile("u", "d", 20))
	now := time.UnixMilli(h.now)
	leases := NewLeases(h.machine, time.Second, 0, now)
	first := leases.Grant(now, "a", 1, 16, models)
	tenants := map[string]int{}
	for _, ref := range first {
		record, _ := h.machine.Job("", ref.JobID)
		tenants[record.Tenant]++
	}
	if tenants["t"] != 8 || tenants["u"] != 8 {
		t.Errorf("the tenants got %v of 16 items, want 8 each", tenants)
	}
	seen := map[wire.ItemRef]bool{}
	for _, ref := range append(first, leases.Grant(now, "b", 1, 100, models)...) {
		if seen[ref] {
			t.Errorf("item %v was granted twice", ref)
		}
		seen[ref] = true
	}
	if len(seen) != 40 {
		t.Errorf("%d of 40 items were granted", len(seen))
	}
	if other := leases.Grant(now, "c", 1, 10, []string{"other"}); len(other) != 0 {
		t.Errorf("items of another model were granted: %v", other)
	}
}

func TestLeasesReturnAndStop(t *testing.T) {
	h := newHarness()
	job := h.createJob("t", "k", h.uploadFile("t", "d", 3)).Job.Job.ID
	now := time.UnixMilli(h.now)
	leases := NewLeases(h.machine, time.Second, 0, now)
	held := leases.Grant(now, "a", 1, 3, models)
	if stop := leases.Renew(now, "a", 1, held); len(stop) != 0 {
		t.Errorf("the renewal by the holder stopped %v", stop)
	}
	if stop := leases.Renew(now, "b", 1, held); len(stop) != 3 {
		t.Errorf("a renewal by another holder stopped %v, want all 3 items", stop)
	}
	leases.Renew(now, "a", 1, held[:1])
	if again := leases.Grant(now, "b", 1, 3, models); len(again) != 2 {
		t.Errorf("%d items were granted again after the renewal of one, want 2", len(again))
	}
	later := now.Add(2 * time.Second)
	leases.Expire(later)
	if again := leases.Grant(later, "c", 1, 3, models); len(again) != 3 {
		t.Errorf("%d items were granted again after expiry, want 3", len(again))
	}
	h.apply(&wire.JobCommand{CancelJob: &wire.CancelJobRequest{JobID: job, Tenant: "t"}})
	if stop := leases.Renew(later, "c", 1, held); len(stop) != 3 {
		t.Errorf("%d items of a cancelled job were stopped, want 3", len(stop))
	}
}

func TestGroupOf(t *testing.T) {
	for id, want := range map[string]int{"batch-g3-17": 3, "file-g1-1": 1, "output-g12-2": 12} {
		if got, err := GroupOf(id); err != nil || got != want {
			t.Errorf("GroupOf(%q) = %d, %v", id, got, err)
		}
	}
	for _, id := range []string{"", "batch", "batch-3-17", "batch-g0-1", "batch-gx-1", "batch-g1-1-1"} {
		if _, err := GroupOf(id); err == nil {
			t.Errorf("GroupOf(%q) returned no error", id)
		}
	}
}
