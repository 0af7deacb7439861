package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// BatchJob describes a batch job whose results can be checked.
type BatchJob struct {
	Model     string
	Items     int
	MaxTokens int
	// Words is the length of the shared part of each prompt, in words.
	Words int
	// Name is part of each prompt, so that the prompts of two jobs differ.
	Name string
	// Key is the job's idempotency key. If it is empty, the gateway uses the file's id.
	Key string
}

const pollInterval = 100 * time.Millisecond

func (j *BatchJob) customID(item int) string { return fmt.Sprintf("%s-item-%d", j.Name, item) }

func (j *BatchJob) text(item int) string {
	return SharedPrompt("tally", j.Words) + fmt.Sprintf(" sheet %d of %s", item, j.Name)
}

// Write writes the job's input file.
func (j *BatchJob) Write(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	for item := 0; item < j.Items; item++ {
		line := struct {
			CustomID string   `json:"custom_id"`
			Method   string   `json:"method"`
			URL      string   `json:"url"`
			Body     chatBody `json:"body"`
		}{
			CustomID: j.customID(item),
			Method:   "POST",
			URL:      "/v1/chat/completions",
			Body:     newChatBody(&Request{Model: j.Model, Text: j.text(item), MaxTokens: j.MaxTokens}),
		}
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// Submit uploads the job's input file and creates the job, with retries.
func (j *BatchJob) Submit(ctx context.Context, client *Client) (*Batch, error) {
	var fileID string
	err := Retry(ctx, func() (err error) {
		fileID, err = client.Upload(ctx, j.Write)
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "upload")
	}
	var batch *Batch
	err = Retry(ctx, func() (err error) {
		batch, err = client.CreateBatch(ctx, fileID, j.Key)
		return err
	})
	return batch, errors.Wrap(err, "create")
}

// Retry repeats an idempotent action until it succeeds, fails with a kind other than NotRun and
// OutcomeUnknown, or ctx ends.
func Retry(ctx context.Context, action func() error) error {
	for {
		err := action()
		if err == nil || ctx.Err() != nil {
			return err
		}
		kind := failure.KindOf(err)
		if kind != failure.NotRun && kind != failure.OutcomeUnknown {
			return err
		}
		wait := max(failure.From(err).RetryAfter, pollInterval)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait):
		}
	}
}

// WaitBatch polls a job until its status is no longer in_progress.
func WaitBatch(ctx context.Context, client *Client, id string) (*Batch, error) {
	for {
		var batch *Batch
		err := Retry(ctx, func() (err error) {
			batch, err = client.Batch(ctx, id)
			return err
		})
		if err != nil || batch.Status != "in_progress" {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return batch, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// resultLine is a line of a job's output file.
type resultLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		Body chatChunk `json:"body"`
	} `json:"response"`
	Error *failure.Detail `json:"error"`
}

// Check reads a completed job's results and compares them with what the engines must have
// generated: one result for each item with the complete text, and no others.
func (j *BatchJob) Check(ctx context.Context, client *Client, batch *Batch) error {
	if batch.Status != "completed" || batch.RequestCounts.Completed != j.Items || batch.RequestCounts.Failed != 0 {
		return errors.Newf("job %s: status %s, %d completed, %d failed of %d", batch.ID, batch.Status, batch.RequestCounts.Completed, batch.RequestCounts.Failed, j.Items)
	}
	expected := make(map[string]string, j.Items)
	for item := 0; item < j.Items; item++ {
		expected[j.customID(item)] = ExpectedText(j.Model, j.text(item), j.MaxTokens)
	}
	err := client.ReadFile(ctx, batch.OutputFileID, func(data []byte) error {
		var line resultLine
		if err := json.Unmarshal(data, &line); err != nil {
			return err
		}
		want, found := expected[line.CustomID]
		if !found {
			return errors.Newf("item %s has an unknown id or more than one result", line.CustomID)
		}
		delete(expected, line.CustomID)
		if line.Response == nil || line.Response.Body.Choices[0].Message.Content != want {
			return errors.Newf("item %s has a wrong or incomplete text", line.CustomID)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if len(expected) > 0 {
		return errors.Newf("%d items have no result", len(expected))
	}
	return nil
}
