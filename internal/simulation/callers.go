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
	simulatedModel  = "heron-8b"
	simulatedTenant = "school"
	onlineDeadline  = 20 * time.Second
	callerPatience  = 25 * time.Second
	submitTimeout   = 5 * time.Second
	resendDelay     = 300 * time.Millisecond
	maxItems        = 1024
	jobWindow       = 24 * time.Hour
)

// callers are the clients of the fleet: outside every zone, and never failing.
func (w *World) newCaller(name string) *process {
	return &process{name: name, zone: clientZone, alive: true}
}

// onlineCaller sends online requests at random moments.
func (w *World) onlineCaller(number int, until time.Time) {
	p := w.newCaller(fmt.Sprintf("caller%d", number))
	count := 0
	var again func()
	again = func() {
		if w.clock.now.After(until) {
			return
		}
		count++
		w.ask(p, fmt.Sprintf("r%d.%d", number, count))
		w.timer(p, time.Duration(w.workload.ExpFloat64()*float64(w.profile.OnlineInterval)), again)
	}
	w.timer(p, w.profile.WarmUp, again)
}

// ask sends one online request through a random gateway.
func (w *World) ask(p *process, id string) {
	words, tokens := w.questionShape(w.workload)
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
	want := emulator.NewAnswer(simulatedModel, "", prompt).Text(request.MaxTokens)
	record := w.ledger.asked(&request, want)
	record.experiment = w.experiment
	g := w.gateways[w.workload.IntN(len(w.gateways))]
	w.timer(p, callerPatience, func() { record.ended(w, failure.New(failure.OutcomeUnknown, "ask again", "no answer")) })
	w.transmit(p, &g.process, func() {
		send := w.connect(&g.process, p).send
		g.streams = append(g.streams, func() {
			record.ended(w, failure.New(failure.OutcomeUnknown, "ask again", "the connection broke"))
		})
		g.chat(request, func(text string) {
			send(func() { record.heard(text) })
		}, func(err error) {
			send(func() { record.ended(w, err) })
		})
	}, func() {
		record.ended(w, failure.New(failure.NotRun, "try another gateway", "no connection"))
	})
}

// viaGateway runs a caller's call through a random gateway to a control group.
func viaGateway[Answer any](w *World, p *process, group int, serve func(*controlProcess, reply[Answer]), done reply[Answer]) {
	g := w.gateways[w.workload.IntN(len(w.gateways))]
	call(w, p, &g.process, submitTimeout, func(answer reply[Answer]) {
		if g.stopping || !g.session.serves() {
			var none Answer
			answer(none, failure.New(failure.NotRun, "send it again", "the gateway takes no new work"))
			return
		}
		callControl(w, &g.process, g.session.leaders, group, submitTimeout, serve, answer)
	}, done)
}

// batchCaller submits jobs, resends them, cancels some, and reads their results.
func (w *World) batchCaller(number int, until time.Time) {
	p := w.newCaller(fmt.Sprintf("batch%d", number))
	count := 0
	var again func()
	again = func() {
		if w.clock.now.After(until) {
			return
		}
		count++
		job := w.ledger.newJob(w, fmt.Sprintf("heap-%d-%d", number, count), 2+w.workload.IntN(w.profile.JobItems))
		w.submit(p, job)
		if w.workload.IntN(2) == 0 {
			// A resend of a job whose answer is still on its way, or was lost.
			w.timer(p, time.Duration(w.workload.Int64N(int64(4*time.Second))), func() { w.submit(p, job) })
		}
		if w.workload.IntN(4) == 0 {
			w.timer(p, time.Duration(w.workload.Int64N(int64(6*time.Second))), func() { w.cancelJob(p, job) })
		}
		w.timer(p, time.Duration((0.5+w.workload.Float64())*float64(w.profile.JobInterval)), again)
	}
	w.timer(p, w.profile.WarmUp, again)
	w.every(p, time.Second, func() { w.readBack(p, number) })
}

func groupOf(job *jobRecord) int { return jobstate.GroupOfTenant(job.tenant, jobGroups) }

func (w *World) submit(p *process, job *jobRecord) {
	group := groupOf(job)
	viaGateway(w, p, group, func(c *controlProcess, answer reply[*wire.JobResponse]) {
		c.uploadAndCreate(group, job, answer)
	}, func(response *wire.JobResponse, err error) {
		if err == nil {
			w.ledger.jobAccepted(w, job, response)
			return
		}
		w.ledger.jobRefused(job, err)
		if w.clock.now.Before(w.settleEnd) {
			w.timer(p, resendDelay, func() { w.submit(p, job) })
		}
	})
}

// uploadAndCreate is what a gateway does for an uploaded job: the file's lines,
// its end, then the job.
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

func (w *World) cancelJob(p *process, job *jobRecord) {
	if job.id == "" {
		return
	}
	group := groupOf(job)
	job.cancelling = true
	viaGateway(w, p, group, func(c *controlProcess, answer reply[*wire.JobResult]) {
		c.proposeJob(group, &wire.JobCommand{CancelJob: &wire.CancelJobRequest{Tenant: job.tenant, JobID: job.id}}, answer)
	}, func(result *wire.JobResult, err error) {
		if err == nil {
			w.ledger.jobCancelled(w, job, result.Job.Job.State)
			return
		}
		if w.clock.now.Before(w.settleEnd) {
			w.timer(p, resendDelay, func() { w.cancelJob(p, job) })
		}
	})
}

// readBack reads a random accepted job of the caller with its results.
func (w *World) readBack(p *process, number int) {
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
