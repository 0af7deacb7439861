package edge

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/intake"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	maxItems = 200
	// storeTimeout limits calls to the stores for which a caller waits.
	storeTimeout = 2500 * time.Millisecond
	// readTimeout limits a read, not counting the time for which it waits for results. maxReadBytes
	// limits the texts of one read. maxPollWait limits the wait for results.
	readTimeout  = 1200 * time.Millisecond
	maxReadBytes = 900 << 10
	maxPollWait  = time.Second
)

// SubmitJob submits the job in the request, and fills in its route, owner and limit. If it
// returns nil, the job is stored; an error of kind NotRun, OverLimit, Unauthenticated or
// BadRequest means that no part of the job runs.
func (e *Edge) SubmitJob(request *http.Request, table *routetable.Table, route *routetable.Route, job *wire.SubmitBatch) error {
	tenant, err := e.identify(clock.Now(), table, route.Public, request)
	if err != nil {
		return err
	}
	if err := e.checkNewKey(clock.Now(), table, request); err != nil {
		return err
	}
	job.Route, job.Limit, job.Owner = route.Name, route.MaxQueuedTokens, string(tenant.Owner())
	job.Accepted = table.Configuration.Version
	if err := validateJob(job); err != nil {
		return err
	}
	e.setExpectedTokens(job)
	job.ID = tenancy.ScopedName(tenant.Owner(), job.ID)
	ctx, cancel := context.WithTimeout(request.Context(), storeTimeout)
	defer cancel()
	_, err = e.Stores.Submit(ctx, job)
	return err
}

// setExpectedTokens sets how many output tokens the caller expects for each item.
func (e *Edge) setExpectedTokens(job *wire.SubmitBatch) {
	for i := range job.Items {
		item := &job.Items[i]
		_, maxTokens := httpheader.ParseTokenCounts(httpheader.Value(item.Headers, e.headerNames.Tokens))
		item.Expected = httpheader.ParseExpected(httpheader.Value(item.Headers, e.headerNames.LengthHint), maxTokens)
	}
}

// validateJob returns the first error in a job.
func validateJob(job *wire.SubmitBatch) error {
	if job.ID == "" || !tenancy.IsPlainText(job.ID) {
		return failure.New(failure.BadRequest, "send its id, without control characters, in the header for request ids", "the job has no id").WithField("id")
	}
	if len(job.Items) == 0 || len(job.Items) > maxItems {
		return itemCountError(strconv.Itoa(len(job.Items)))
	}
	seen := make(map[string]bool, len(job.Items))
	for i := range job.Items {
		item := &job.Items[i]
		if seen[item.ID] {
			return failure.New(failure.BadRequest, "give every item an id of its own", "%q stands twice", item.ID).WithField(fmt.Sprintf("items.%d.id", i))
		}
		seen[item.ID] = true
		if err := validateItem(fmt.Sprintf("items.%d", i), item); err != nil {
			return err
		}
	}
	return nil
}

func itemCountError(count string) error {
	return failure.New(failure.BadRequest, "send 1 to 200", "a job can't have %s items", count).WithField("items")
}

func validateItem(fieldPath string, item *wire.BatchItem) error {
	switch {
	case item.ID == "":
		return failure.New(failure.BadRequest, "give every item an id of its own", "the id is empty").WithField(fieldPath + ".id")
	case !strings.HasPrefix(item.Path, "/") || strings.ContainsAny(item.Path, " \r\n"):
		return failure.New(failure.BadRequest, "begin the path with a slash", "%q is no path", item.Path).WithField(fieldPath + ".path")
	case item.Tokens < 0:
		return failure.New(failure.BadRequest, "use 0 or more", "%d is no count", item.Tokens).WithField(fieldPath + ".tokens")
	}
	for _, field := range item.Headers {
		if strings.ContainsAny(field.Name+field.Value, "\r\n") {
			return failure.New(failure.BadRequest, "send headers of one line", "header %q has a line break", field.Name).WithField(fieldPath + ".headers")
		}
	}
	return nil
}

// ReadJob reads results of a job from position since on, for a request of its owner. If there are
// none, it waits for up to hold.
func (e *Edge) ReadJob(request *http.Request, id string, since int, hold time.Duration) (*wire.BatchReadResponse, error) {
	hold = min(max(hold, 0), maxPollWait)
	return callAsOwner(e, request, id, func(ctx context.Context, name string) (*wire.BatchReadResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout+hold)
		defer cancel()
		response, err := e.Stores.Read(ctx, &wire.BatchReadRequest{ID: name, Since: since, WaitMillis: hold.Milliseconds(), MaxBytes: maxReadBytes})
		if err != nil {
			return nil, retryableReadError(err)
		}
		// The results, and the document that is made of them.
		return response, intake.Hold(ctx, 2*int64(response.Msgsize()))
	})
}

// ItemBody reads the body of an item that has no result yet, for a request of the job's owner.
func (e *Edge) ItemBody(request *http.Request, job, item string) ([]byte, error) {
	return callAsOwner(e, request, job, func(ctx context.Context, name string) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		response, err := e.Stores.Body(ctx, &wire.ItemBodyRequest{Job: name, Item: item})
		if err != nil {
			return nil, retryableReadError(err)
		}
		return response.Body, intake.Hold(ctx, int64(len(response.Body)))
	})
}

// EndJob ends a job, for a request of its owner. It is idempotent.
func (e *Edge) EndJob(request *http.Request, id string) error {
	_, err := callAsOwner(e, request, id, func(ctx context.Context, name string) (*wire.BatchResult, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return e.Stores.EndJob(ctx, name)
	})
	return err
}

// callAsOwner calls call with the name under which the stores keep the job of the request's
// owner. The owner is part of that name, so jobs of other tenants are not found. A job that was
// submitted without a key has no owner, and any authenticated caller may access it.
func callAsOwner[Answer any](e *Edge, request *http.Request, id string, call func(ctx context.Context, name string) (Answer, error)) (Answer, error) {
	var zero Answer
	owner, err := e.jobOwner(clock.Now(), request)
	if err != nil {
		return zero, err
	}
	if !tenancy.IsPlainText(id) {
		return zero, failure.New(failure.NotFound, "check the id", "no job has such an id")
	}
	answer, err := call(request.Context(), tenancy.ScopedName(owner, id))
	switch {
	case !failure.Is(err, failure.NotFound):
	case owner != "":
		return call(request.Context(), id)
	default:
		if newKey := e.checkNewKey(clock.Now(), e.Table(), request); newKey != nil {
			return zero, newKey
		}
	}
	return answer, err
}

// retryableReadError converts an ambiguous failure of a read to one that the caller may retry:
// reads have no side effects, so their outcome is never in doubt.
func retryableReadError(err error) error {
	if failure.Is(err, failure.OutcomeUnknown) || failure.Is(err, failure.Internal) {
		return failure.Wrap(err, failure.NotRun, "try again", "the stores can't be read now").WithRetryAfter(readTimeout / 4)
	}
	return err
}
