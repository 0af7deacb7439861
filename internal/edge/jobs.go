package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	maxItems = 200
	// storeTime bounds the calls to the stores that a caller waits for.
	storeTime = 2500 * time.Millisecond
	// readTime bounds a read beside the time that it may be held, readBytes its
	// texts, maxHold that time.
	readTime  = 1200 * time.Millisecond
	readBytes = 900 << 10
	maxHold   = time.Second
)

// SubmitJob hands in a job that the request brings. The job's route, owner and limit are
// filled in. Once it returns without a failure the job is kept; a failure of kind NotRun,
// OverLimit, Unauthenticated or BadRequest says that none of it runs.
func (e *Edge) SubmitJob(request *http.Request, table *routetable.Table, route *routetable.Route, job *wire.SubmitBatch) error {
	tenant, err := e.identify(clock.Now(), table, route.Public, request)
	if err != nil {
		return err
	}
	job.Route, job.Limit, job.Owner = route.Name, route.MaxQueuedTokens, string(tenant.Owner())
	if err := checkJob(job); err != nil {
		return err
	}
	e.expect(job)
	job.ID = tenancy.ScopedName(tenant.Owner(), job.ID)
	ctx, cancel := context.WithTimeout(request.Context(), storeTime)
	defer cancel()
	_, err = e.Stores.Submit(ctx, job)
	return err
}

// expect fills in how many tokens the caller expects of each item.
func (e *Edge) expect(job *wire.SubmitBatch) {
	for i := range job.Items {
		item := &job.Items[i]
		_, most := httpheader.ParseTokenCounts(httpheader.Value(item.Headers, e.dialect.Tokens))
		item.Expected = httpheader.ParseExpected(httpheader.Value(item.Headers, e.dialect.LengthHint), most)
	}
}

// checkJob returns the first fault of a job.
func checkJob(job *wire.SubmitBatch) error {
	if job.ID == "" || !tenancy.IsPlainText(job.ID) {
		return failure.New(failure.BadRequest, "send its id, without control characters, in the header for request ids", "the job has no id").WithField("id")
	}
	if len(job.Items) == 0 || len(job.Items) > maxItems {
		return failure.New(failure.BadRequest, "send 1 to 200", "a job can't have %d items", len(job.Items)).WithField("items")
	}
	seen := make(map[string]bool, len(job.Items))
	for i := range job.Items {
		item := &job.Items[i]
		if seen[item.ID] {
			return failure.New(failure.BadRequest, "give every item an id of its own", "%q stands twice", item.ID).WithField(fmt.Sprintf("items.%d.id", i))
		}
		seen[item.ID] = true
		if err := checkItem(fmt.Sprintf("items.%d", i), item); err != nil {
			return err
		}
	}
	return nil
}

func checkItem(place string, item *wire.BatchItem) error {
	switch {
	case item.ID == "":
		return failure.New(failure.BadRequest, "give every item an id of its own", "the id is empty").WithField(place + ".id")
	case !strings.HasPrefix(item.Path, "/") || strings.ContainsAny(item.Path, " \r\n"):
		return failure.New(failure.BadRequest, "begin the path with a slash", "%q is no path", item.Path).WithField(place + ".path")
	case item.Tokens < 0:
		return failure.New(failure.BadRequest, "use 0 or more", "%d is no count", item.Tokens).WithField(place + ".tokens")
	}
	for _, field := range item.Headers {
		if strings.ContainsAny(field.Name+field.Value, "\r\n") {
			return failure.New(failure.BadRequest, "send headers of one line", "header %q has a line break", field.Name).WithField(place + ".headers")
		}
	}
	return nil
}

// ReadJob reads results of a job from a position on, for a request of its owner. Where
// there are none it waits, for hold at most.
func (e *Edge) ReadJob(request *http.Request, id string, since int, hold time.Duration) (*wire.BatchReadResponse, error) {
	hold = min(max(hold, 0), maxHold)
	return ofOwner(e, request, id, func(ctx context.Context, name string) (*wire.BatchReadResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, readTime+hold)
		defer cancel()
		response, err := e.Stores.Read(ctx, &wire.BatchReadRequest{ID: name, Since: since, WaitMillis: hold.Milliseconds(), MaxBytes: readBytes})
		return response, readFailure(err)
	})
}

// ItemBody reads the body of an item without a result, for a request of its job's owner.
func (e *Edge) ItemBody(request *http.Request, job, item string) ([]byte, error) {
	return ofOwner(e, request, job, func(ctx context.Context, name string) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, readTime)
		defer cancel()
		response, err := e.Stores.Body(ctx, &wire.ItemBodyRequest{Job: name, Item: item})
		if err != nil {
			return nil, readFailure(err)
		}
		return response.Body, nil
	})
}

// EndJob ends a job, for a request of its owner. It may be repeated.
func (e *Edge) EndJob(request *http.Request, id string) error {
	_, err := ofOwner(e, request, id, func(ctx context.Context, name string) (*wire.BatchResult, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTime)
		defer cancel()
		return e.Stores.End(ctx, name)
	})
	return err
}

// ofOwner calls call with the name by which the stores know a job of the request's
// owner. A job's owner is part of its name, so what another tenant has is not found. What
// was handed in without a key belongs to nobody, and anybody who is let in may read it.
func ofOwner[Answer any](e *Edge, request *http.Request, id string, call func(ctx context.Context, name string) (Answer, error)) (Answer, error) {
	var none Answer
	owner, err := e.jobOwner(clock.Now(), request)
	if err != nil {
		return none, err
	}
	if !tenancy.IsPlainText(id) {
		return none, failure.New(failure.NotFound, "check the id", "no job has such an id")
	}
	answer, err := call(request.Context(), tenancy.ScopedName(owner, id))
	if owner != "" && failure.Is(err, failure.NotFound) {
		return call(request.Context(), id)
	}
	return answer, err
}

// readFailure makes a failure of a read one that the caller may repeat: reads run
// nothing, so their outcome is never in doubt.
func readFailure(err error) error {
	if failure.Is(err, failure.OutcomeUnknown) || failure.Is(err, failure.Internal) {
		return failure.Wrap(err, failure.NotRun, "try again", "the stores can't be read now").WithRetryAfter(readTime / 4)
	}
	return err
}
