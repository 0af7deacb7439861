package batchstore

import (
	"context"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// batchDelay is how long a record waits for other records with which to share a log entry.
	// Callers poll for results twice a second, and each entry costs a sync and calls to all
	// replicas.
	batchDelay = 25 * time.Millisecond
	// maxRecords and maxRecordBytes bound one log entry.
	maxRecords       = 1024
	maxRecordBytes   = 1 << 20
	recordRetryDelay = 50 * time.Millisecond
	// maxRecordAttempts bounds how often records are proposed. After that the runner plans
	// their items anew.
	maxRecordAttempts = 20
)

// itemRecord is a record on its way to the log. saves is set for progress, which the log keeps apart
// from results.
type itemRecord struct {
	wire.ItemRecord
	saves bool
}

// recordLoop writes progress and results to the log in batches.
func (r *runner) recordLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.records:
			r.commitRecords(ctx, r.collectRecords(first))
		}
	}
}

func (r *runner) collectRecords(first itemRecord) []itemRecord {
	records := []itemRecord{first}
	size := len(first.Text)
	timeout := time.NewTimer(batchDelay)
	defer timeout.Stop()
	for len(records) < maxRecords && size < maxRecordBytes {
		select {
		case next := <-r.records:
			records = append(records, next)
			size += len(next.Text)
		case <-timeout.C:
			return records
		}
	}
	return records
}

// commitRecords commits records through the log. The outcome of progress is not reported to the
// runner, because a run whose progress is not saved goes on and has its whole text.
func (r *runner) commitRecords(ctx context.Context, batch []itemRecord) {
	command, records := &wire.BatchCommand{}, []wire.ItemRecord(nil)
	for i := range batch {
		if !batch[i].saves {
			records = append(records, batch[i].ItemRecord)
			continue
		}
		if command.Save == nil {
			command.Save = &wire.RecordItems{}
		}
		command.Save.Items = append(command.Save.Items, batch[i].ItemRecord)
	}
	if len(records) > 0 {
		command.Record = &wire.RecordItems{Items: records}
	}
	failed := make([]bool, len(records))
	for i := range failed {
		failed[i] = true
	}
	defer func() { r.notifyRecorded(ctx, records, failed) }()
	for attempt := 0; attempt < maxRecordAttempts && ctx.Err() == nil; attempt++ {
		result, err := r.group.propose(ctx, command)
		if err == nil {
			clear(failed)
			for _, dropped := range result.Dropped {
				failed[dropped] = true
			}
			return
		}
		logging.Warn(r.store.logger, "record_failed", "records", len(batch), "error", err)
		if failure.Is(err, failure.NotRun) {
			// Another store leads now and runs the items itself.
			return
		}
		time.Sleep(recordRetryDelay)
	}
}

func (r *runner) notifyRecorded(ctx context.Context, records []wire.ItemRecord, failed []bool) {
	for i := range records {
		outcome := recordOutcome{
			key:    itemKey{records[i].Job, records[i].Item},
			chain:  records[i].Chain,
			final:  records[i].State != wire.ItemWaiting,
			failed: failed[i],
		}
		if !outcome.final && !outcome.failed {
			continue
		}
		select {
		case r.recorded <- outcome:
		case <-ctx.Done():
			return
		}
	}
}
