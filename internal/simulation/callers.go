package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	simulatedModel   = "heron-8b"
	simulatedTenant  = "school"
	onlineDeadline   = 20 * time.Second
	callerTimeout    = 25 * time.Second
	submitTimeout    = 5 * time.Second
	resendDelay      = 300 * time.Millisecond
	readResultsLimit = 1024
	jobWindow        = 24 * time.Hour
)

// newCaller returns a client of the fleet. Clients are outside every zone and never fail.
func (w *World) newCaller(name string) *process {
	return &process{name: name, zone: clientZone, alive: true}
}

// onlineCaller sends online requests at random intervals.
func (w *World) onlineCaller(number int, until time.Time) {
	p := w.newCaller(fmt.Sprintf("caller%d", number))
	count := 0
	var sendNext func()
	sendNext = func() {
		if w.clock.now.After(until) {
			return
		}
		count++
		w.sendOnline(p, fmt.Sprintf("r%d.%d", number, count))
		w.timer(p, time.Duration(w.workload.ExpFloat64()*float64(w.profile.OnlineInterval)), sendNext)
	}
	w.timer(p, w.profile.WarmUp, sendNext)
}

// sendOnline sends one online request through a random gateway and records its outcome.
func (w *World) sendOnline(p *process, id string) {
	words, tokens := w.requestShape(w.workload)
	prompt := promptOf(id, words)
	request := wire.GenerateRequest{
		RequestID:      id,
		Tenant:         simulatedTenant,
		Class:          wire.Online,
		Rank:           5,
		Model:          simulatedModel,
		Prompt:         prompt,
		MaxTokens:      tokens,
		TimeLeftMillis: onlineDeadline.Milliseconds(),
		NotRepeatable:  w.workload.IntN(4) == 0,
	}
	expected := emulator.NewAnswer(simulatedModel, "", prompt).Text(request.MaxTokens)
	record := w.ledger.requestSent(&request, expected)
	record.experiment = w.experiment
	g := w.gateways[w.workload.IntN(len(w.gateways))]
	w.timer(p, callerTimeout, func() { record.finish(w, failure.New(failure.OutcomeUnknown, "ask again", "no answer")) })
	w.transmit(p, &g.process, func() {
		send := w.connect(&g.process, p).send
		g.streams = append(g.streams, func() {
			record.finish(w, failure.New(failure.OutcomeUnknown, "ask again", "the connection broke"))
		})
		g.serve(request, func(text string) {
			send(func() { record.receiveText(text) })
		}, func(err error) {
			send(func() { record.finish(w, err) })
		})
	}, func() {
		record.finish(w, failure.New(failure.NotRun, "try another gateway", "no connection"))
	})
}

// viaGateway sends a caller's call through a random gateway to the leader of a group.
func viaGateway[Answer any](w *World, p *process, group int, serve func(*controlProcess, reply[Answer]), done reply[Answer]) {
	g := w.gateways[w.workload.IntN(len(w.gateways))]
	call(w, p, &g.process, submitTimeout, func(answer reply[Answer]) {
		if g.stopping || !g.session.serves() {
			var zero Answer
			answer(zero, failure.New(failure.NotRun, "send it again", "the gateway takes no new work"))
			return
		}
		callControl(w, &g.process, g.session.leaders, group, submitTimeout, serve, answer)
	}, done)
}

// batchCaller submits jobs, resends some, cancels some, and reads their results.
func (w *World) batchCaller(number int, until time.Time) {
	p := w.newCaller(fmt.Sprintf("batch%d", number))
	count := 0
	var submitNext func()
	submitNext = func() {
		if w.clock.now.After(until) {
			return
		}
		count++
		job := w.ledger.newJob(w, fmt.Sprintf("heap-%d-%d", number, count), 2+w.workload.IntN(w.profile.JobItems))
		w.submit(p, job)
		if w.workload.IntN(2) == 0 {
			// Submits the job again as if the response was late or lost.
			w.timer(p, time.Duration(w.workload.Int64N(int64(4*time.Second))), func() { w.submit(p, job) })
		}
		if w.workload.IntN(4) == 0 {
			w.timer(p, time.Duration(w.workload.Int64N(int64(6*time.Second))), func() { w.cancelJob(p, job) })
		}
		w.timer(p, time.Duration((0.5+w.workload.Float64())*float64(w.profile.JobInterval)), submitNext)
	}
	w.timer(p, w.profile.WarmUp, submitNext)
	w.every(p, time.Second, func() { w.readRandomJob(p, number) })
}

// groupOf returns the job group that stores the job.
func groupOf(job *jobRecord) int { return jobstate.GroupOfTenant(job.tenant, jobGroups) }

// submit submits a job, with retries until it is accepted or the recovery deadline has passed.
func (w *World) submit(p *process, job *jobRecord) {
	group := groupOf(job)
	viaGateway(w, p, group, func(c *controlProcess, answer reply[*wire.JobResponse]) {
		c.uploadAndCreate(group, job, answer)
	}, func(response *wire.JobResponse, err error) {
		if err == nil {
			w.ledger.jobAccepted(w, job, response)
			return
		}
		w.ledger.jobRejected(job, err)
		if w.clock.now.Before(w.recoveryDeadline) {
			w.timer(p, resendDelay, func() { w.submit(p, job) })
		}
	})
}

// uploadAndCreate proposes the commands that a gateway sends for an uploaded job: begin the file,
// append its lines, complete it, create the job.
func (c *controlProcess) uploadAndCreate(group int, job *jobRecord, answer reply[*wire.JobResponse]) {
	fail := func(err error) { answer(nil, err) }
	c.proposeJob(group, &wire.JobCommand{BeginFile: &wire.BeginFileRequest{Tenant: job.tenant, Filename: job.key}}, func(result *wire.JobResult, err error) {
		if err != nil {
			fail(err)
			return
		}
		id := result.File.File.ID
		c.proposeJob(group, &wire.JobCommand{AppendFile: &wire.AppendFileRequest{Tenant: job.tenant, FileID: id, Lines: job.lines}}, func(_ *wire.JobResult, err error) {
			if err != nil {
				fail(err)
				return
			}
			c.proposeJob(group, &wire.JobCommand{CompleteFile: &wire.CompleteFileRequest{Tenant: job.tenant, FileID: id, Lines: uint32(len(job.lines)), Digest: job.key, Model: simulatedModel}}, func(_ *wire.JobResult, err error) {
				if err != nil {
					fail(err)
					return
				}
				c.proposeJob(group, &wire.JobCommand{CreateJob: &wire.CreateJobRequest{Tenant: job.tenant, IdempotencyKey: job.key, FileID: id, Rank: 5, WindowMillis: jobWindow.Milliseconds()}}, func(result *wire.JobResult, err error) {
					if err != nil {
						fail(err)
						return
					}
					answer(result.Job, nil)
				})
			})
		})
	})
}

// cancelJob cancels a job, with retries until the cancel is answered or the recovery deadline has
// passed.
func (w *World) cancelJob(p *process, job *jobRecord) {
	if job.id == "" {
		return
	}
	group := groupOf(job)
	job.cancelRequested = true
	viaGateway(w, p, group, func(c *controlProcess, answer reply[*wire.JobResult]) {
		c.proposeJob(group, &wire.JobCommand{CancelJob: &wire.CancelJobRequest{Tenant: job.tenant, JobID: job.id}}, answer)
	}, func(result *wire.JobResult, err error) {
		if err == nil {
			w.ledger.jobCancelled(w, job, result.Job.Job.State)
			return
		}
		if w.clock.now.Before(w.recoveryDeadline) {
			w.timer(p, resendDelay, func() { w.cancelJob(p, job) })
		}
	})
}

// readRandomJob reads a random accepted job of the caller with its results.
func (w *World) readRandomJob(p *process, number int) {
	var accepted []*jobRecord
	for _, job := range w.ledger.jobs {
		if job.id != "" && strings.HasPrefix(job.key, fmt.Sprintf("heap-%d-", number)) {
			accepted = append(accepted, job)
		}
	}
	if len(accepted) == 0 {
		return
	}
	w.readJob(p, accepted[w.workload.IntN(len(accepted))])
}

// readJob reads a job with its results and checks them against what was read before.
func (w *World) readJob(p *process, job *jobRecord) {
	group := groupOf(job)
	viaGateway(w, p, group, func(c *controlProcess, answer reply[jobView]) {
		c.readJob(group, job.tenant, job.id, answer)
	}, func(view jobView, err error) {
		if err == nil || failure.Is(err, failure.NotFound) {
			w.ledger.jobRead(job, view, err)
		}
	})
}
