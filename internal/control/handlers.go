package control

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/coordination"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/replication"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

func (c *Control) register() {
	server := c.daemon.Server
	rpc.Handle(server, replication.MethodHello, func(ctx context.Context, hello *wire.Hello) (msgp.Marshaler, error) {
		return c.host.HandleHello(ctx, hello)
	})
	rpc.Handle(server, replication.MethodMessages, func(ctx context.Context, batch *wire.PeerBatch) (msgp.Marshaler, error) {
		return &wire.Empty{}, c.host.Receive(ctx, batch)
	})
	rpc.Handle(server, controlclient.MethodHeartbeat, c.heartbeat)
	rpc.Handle(server, controlclient.MethodStatus, c.status)
	rpc.Handle(server, controlclient.MethodApply, c.apply)
	rpc.Handle(server, controlclient.MethodDocuments, c.documents)
	rpc.Handle(server, controlclient.MethodHistory, c.history)
	rpc.Handle(server, controlclient.MethodBeginFile, c.beginFile)
	rpc.Handle(server, controlclient.MethodAppendFile, c.appendFile)
	rpc.Handle(server, controlclient.MethodCompleteFile, c.completeFile)
	rpc.Handle(server, controlclient.MethodDeleteFile, c.deleteFile)
	rpc.Handle(server, controlclient.MethodGetFile, c.getFile)
	rpc.Handle(server, controlclient.MethodReadLines, c.readLines)
	rpc.Handle(server, controlclient.MethodCreateJob, c.createJob)
	rpc.Handle(server, controlclient.MethodGetJob, c.getJob)
	rpc.Handle(server, controlclient.MethodListJobs, c.listJobs)
	rpc.Handle(server, controlclient.MethodCancelJob, c.cancelJob)
	rpc.Handle(server, controlclient.MethodReadResults, c.readResults)
	rpc.Handle(server, controlclient.MethodLeaseItems, c.leaseItems)
	rpc.Handle(server, controlclient.MethodComplete, c.completeItems)
}

func (c *Control) apply(ctx context.Context, request *wire.ApplyRequest) (msgp.Marshaler, error) {
	command := &wire.MetaCommand{AtMillis: time.Now().UnixMilli(), Apply: request}
	result, err := propose[wire.MetaResult](ctx, c, controlclient.MetaGroup, command)
	if err != nil {
		return nil, err
	}
	if result.Failure != nil {
		return nil, result.Failure.Err()
	}
	logging.Info(c.logger, "configuration_accepted", "revision", result.Apply.Revision, "change", request.ChangeID, "operator", request.Operator, "repeated", result.Apply.Repeated)
	return result.Apply, nil
}

func (c *Control) documents(_ context.Context, request *wire.GetDocumentsRequest) (msgp.Marshaler, error) {
	response := &wire.GetDocumentsResponse{}
	err := c.readMeta(func(_ time.Time, _ *coordination.MetaLeader, machine *metastate.Machine) error {
		response.Revision = machine.Revision()
		response.Documents = machine.Documents(request.Kind, request.Name)
		return nil
	})
	return response, err
}

func (c *Control) history(_ context.Context, request *wire.HistoryRequest) (msgp.Marshaler, error) {
	response := &wire.HistoryResponse{}
	err := c.readMeta(func(_ time.Time, _ *coordination.MetaLeader, machine *metastate.Machine) error {
		response.Changes = machine.History(request.Limit)
		return nil
	})
	return response, err
}

// proposeJob commits a command to the group and returns its result.
func (c *Control) proposeJob(ctx context.Context, group int, command *wire.JobCommand) (*wire.JobResult, error) {
	command.AtMillis = time.Now().UnixMilli()
	result, err := propose[wire.JobResult](ctx, c, group, command)
	if err != nil {
		return nil, err
	}
	return result, result.Failure.Err()
}

func (c *Control) proposeFile(ctx context.Context, fileID string, command *wire.JobCommand) (msgp.Marshaler, error) {
	group, err := jobstate.GroupOf(fileID)
	if err != nil {
		return nil, err
	}
	result, err := c.proposeJob(ctx, group, command)
	if err != nil {
		return nil, err
	}
	return result.File, nil
}

func (c *Control) beginFile(ctx context.Context, request *wire.BeginFileRequest) (msgp.Marshaler, error) {
	group := jobstate.GroupOfTenant(request.Tenant, len(c.groups))
	result, err := c.proposeJob(ctx, group, &wire.JobCommand{BeginFile: request})
	if err != nil {
		return nil, err
	}
	return result.File, nil
}

func (c *Control) appendFile(ctx context.Context, request *wire.AppendFileRequest) (msgp.Marshaler, error) {
	return c.proposeFile(ctx, request.FileID, &wire.JobCommand{AppendFile: request})
}

func (c *Control) completeFile(ctx context.Context, request *wire.CompleteFileRequest) (msgp.Marshaler, error) {
	return c.proposeFile(ctx, request.FileID, &wire.JobCommand{CompleteFile: request})
}

func (c *Control) deleteFile(ctx context.Context, request *wire.DeleteFileRequest) (msgp.Marshaler, error) {
	return c.proposeFile(ctx, request.FileID, &wire.JobCommand{DeleteFile: request})
}

func (c *Control) createJob(ctx context.Context, request *wire.CreateJobRequest) (msgp.Marshaler, error) {
	group := jobstate.GroupOfTenant(request.Tenant, len(c.groups))
	if fileGroup, err := jobstate.GroupOf(request.FileID); err != nil || fileGroup != group {
		return nil, failure.New(failure.NotFound, "upload the file first", "there is no file %q", request.FileID).WithField("input_file_id")
	}
	result, err := c.proposeJob(ctx, group, &wire.JobCommand{CreateJob: request})
	if err != nil {
		return nil, err
	}
	logging.Info(c.logger, "job_accepted", "job", result.Job.Job.ID, "tenant", request.Tenant, "items", result.Job.Job.Items, "repeated", result.Job.Repeated)
	return result.Job, nil
}

func (c *Control) cancelJob(ctx context.Context, request *wire.CancelJobRequest) (msgp.Marshaler, error) {
	group, err := jobstate.GroupOf(request.JobID)
	if err != nil {
		return nil, err
	}
	result, err := c.proposeJob(ctx, group, &wire.JobCommand{CancelJob: request})
	if err != nil {
		return nil, err
	}
	logging.Info(c.logger, "job_cancelled", "job", request.JobID, "state", result.Job.Job.State)
	return result.Job, nil
}

// readGroup calls read with the group that the ID of a file or job names.
func (c *Control) readGroup(id string, read func(group *jobGroup, reader storage.Reader) error) error {
	number, err := jobstate.GroupOf(id)
	if err != nil {
		return err
	}
	return c.host.Read(number, func(_ uint64, reader storage.Reader) error {
		return read(c.groups[number-1], reader)
	})
}

func (c *Control) getFile(_ context.Context, request *wire.GetFileRequest) (msgp.Marshaler, error) {
	response := &wire.FileResponse{}
	err := c.readGroup(request.FileID, func(group *jobGroup, _ storage.Reader) (err error) {
		response.File, err = group.machine.File(request.Tenant, request.FileID)
		return err
	})
	return response, err
}

func (c *Control) readLines(_ context.Context, request *wire.ReadLinesRequest) (msgp.Marshaler, error) {
	response := &wire.ReadLinesResponse{}
	err := c.readGroup(request.FileID, func(group *jobGroup, reader storage.Reader) (err error) {
		if _, err = group.machine.File(request.Tenant, request.FileID); err != nil {
			return err
		}
		response.Lines, err = jobstate.ReadLines(reader, request.FileID, request.From, request.Limit)
		return err
	})
	return response, err
}

func (c *Control) getJob(_ context.Context, request *wire.GetJobRequest) (msgp.Marshaler, error) {
	response := &wire.JobResponse{}
	err := c.readGroup(request.JobID, func(group *jobGroup, _ storage.Reader) (err error) {
		response.Job, err = group.machine.Job(request.Tenant, request.JobID)
		return err
	})
	return response, err
}

func (c *Control) listJobs(_ context.Context, request *wire.ListJobsRequest) (msgp.Marshaler, error) {
	number := request.Group
	if number == 0 {
		number = jobstate.GroupOfTenant(request.Tenant, len(c.groups))
	}
	response := &wire.ListJobsResponse{}
	err := c.host.Read(number, func(uint64, storage.Reader) error {
		response.Jobs = c.groups[number-1].machine.Jobs(request.Tenant, request.Limit)
		return nil
	})
	return response, err
}

func (c *Control) readResults(_ context.Context, request *wire.ReadResultsRequest) (msgp.Marshaler, error) {
	var response *wire.ReadResultsResponse
	err := c.readGroup(request.JobID, func(group *jobGroup, reader storage.Reader) (err error) {
		if _, err = group.machine.Job(request.Tenant, request.JobID); err != nil {
			return err
		}
		response, err = jobstate.ReadResults(reader, request)
		return err
	})
	return response, err
}
