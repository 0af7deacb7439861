package batchstore

import (
	"context"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/storeclient"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// methodIndex asks a group's leader for the log index up to which another replica must have applied
// the entries to be up to date.
const methodIndex = "batch_index"

func (s *Store) register() {
	server := s.daemon.Server
	rpc.Handle(server, replication.MethodHello, func(ctx context.Context, hello *wire.Hello) (msgp.Marshaler, error) {
		return s.host.HandleHello(ctx, hello)
	})
	rpc.Handle(server, replication.MethodMessages, func(ctx context.Context, batch *wire.PeerBatch) (msgp.Marshaler, error) {
		return &wire.Empty{}, s.host.Receive(ctx, batch)
	})
	rpc.Handle(server, storeclient.MethodSubmit, s.submit)
	rpc.Handle(server, storeclient.MethodRead, s.results)
	rpc.Handle(server, storeclient.MethodBody, s.body)
	rpc.Handle(server, storeclient.MethodEnd, s.end)
	rpc.Handle(server, methodIndex, s.index)
}

func (s *Store) submit(ctx context.Context, job *wire.SubmitBatch) (msgp.Marshaler, error) {
	g, err := s.groupOf(job.ID)
	if err != nil {
		return nil, err
	}
	job.Limit = s.groupLimit(clock.Now(), g.number, batchstate.AccountName(tenancy.Name(job.Owner), job.Route), job.Limit)
	repeated := false
	// Check first, so that a job that would be rejected is not written to the log.
	err = g.read(func(storage.Reader) error {
		if _, missing := g.machine.Job(job.ID); missing == nil {
			repeated = true
			return nil
		}
		return g.machine.CheckQuota(job)
	})
	result := &wire.BatchResult{Repeated: repeated}
	if err == nil && !repeated {
		result, err = g.propose(ctx, &wire.BatchCommand{Submit: job})
	}
	s.metrics.jobs.WithLabelValues(submitOutcome(err)).Inc()
	logging.Info(s.logger, "job_submitted", "job", job.ID, "group", g.number, "route", job.Route, "tenant", job.Owner, "items", len(job.Items), "limit", job.Limit, "repeated", repeated, "error", err)
	if err != nil {
		return nil, err
	}
	return result, nil
}

// submitOutcome returns the metric label for the result of a submission.
func submitOutcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return failure.KindOf(err).String()
}

func (s *Store) end(ctx context.Context, request *wire.BatchName) (msgp.Marshaler, error) {
	g, err := s.groupOf(request.ID)
	if err != nil {
		return nil, err
	}
	result, err := g.propose(ctx, &wire.BatchCommand{End: request})
	logging.Info(s.logger, "job_ended", "job", request.ID, "error", err)
	if err != nil {
		return nil, err
	}
	return result, nil
}
