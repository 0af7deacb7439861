package edge

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/routetable"
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

// SubmitJob hands a job to the stores. The job's route and limit are filled in.
// Once it returns without a failure the job is kept; a failure of kind NotRun,
// OverLimit or BadRequest says that none of it runs.
func (e *Edge) SubmitJob(ctx context.Context, route *routetable.Route, job *wire.SubmitBatch) error {
	job.Route, job.Limit = route.Name, route.MaxQueuedTokens
	if err := checkJob(job); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	_, err := e.Stores.Submit(ctx, job)
	return err
}

// checkJob returns the first fault of a job.
func checkJob(job *wire.SubmitBatch) error {
	if job.ID == "" || strings.Contains(job.ID, "\x00") {
		return failure.New(failure.BadRequest, "send its id in the header for request ids", "the job has no id").WithField("id")
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

// ReadJob reads results from a position on. Where there are none it waits, for
// hold at most.
func (e *Edge) ReadJob(ctx context.Context, id string, since int, hold time.Duration) (*wire.BatchReadResponse, error) {
	hold = min(max(hold, 0), maxHold)
	ctx, cancel := context.WithTimeout(ctx, readTime+hold)
	defer cancel()
	response, err := e.Stores.Read(ctx, &wire.BatchReadRequest{ID: id, Since: since, WaitMillis: hold.Milliseconds(), MaxBytes: readBytes})
	return response, readFailure(err)
}

// ItemBody reads the body of an item without a result.
func (e *Edge) ItemBody(ctx context.Context, job, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	response, err := e.Stores.Body(ctx, &wire.ItemBodyRequest{Job: job, Item: item})
	if err != nil {
		return nil, readFailure(err)
	}
	return response.Body, nil
}

// EndJob ends a job. It may be repeated.
func (e *Edge) EndJob(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	_, err := e.Stores.End(ctx, id)
	return err
}

// readFailure makes a failure of a read one that the caller may repeat: reads run
// nothing, so their outcome is never in doubt.
func readFailure(err error) error {
	if failure.Is(err, failure.OutcomeUnknown) || failure.Is(err, failure.Internal) {
		return failure.Wrap(err, failure.NotRun, "try again", "the stores can't be read now").WithRetryAfter(readTime / 4)
	}
	return err
}
