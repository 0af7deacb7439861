package coordinator

import (
	"context"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxReportRuns bounds the runs of one report.
const maxReportRuns = 4096

// takeReport takes in what a process saw of runs, and decides on the trial that it asks
// for. It answers once that is committed.
func (c *Coordinator) takeReport(ctx context.Context, request *wire.QuarantineReport) (*wire.QuarantineAnswer, error) {
	if len(request.Runs) > maxReportRuns {
		return nil, failure.New(failure.BadRequest, "send fewer at a time", "the report has %d runs, %d may be", len(request.Runs), maxReportRuns)
	}
	return atLeader[wire.QuarantineAnswer](ctx, c, MethodQuarantine, request, func(ctx context.Context) (*wire.QuarantineAnswer, error) {
		return c.takeReportHere(ctx, request)
	})
}

func (c *Coordinator) takeReportHere(ctx context.Context, request *wire.QuarantineReport) (*wire.QuarantineAnswer, error) {
	answer := &wire.QuarantineAnswer{}
	command := &wire.QuarantineCommand{Runs: request.Runs}
	err := c.readLeader(func(now time.Time, _ *fleetview.View) {
		command.AtMillis = now.UnixMilli()
		if request.Trial != 0 {
			c.decideTrial(now, quarantine.Fingerprint(request.Trial), command, answer)
		}
	})
	if err == nil && (len(command.Runs) > 0 || command.Trial != 0) {
		_, err = c.propose(ctx, &wire.FleetCommand{Quarantine: command})
	}
	if err != nil {
		return nil, err
	}
	err = c.readLeader(func(time.Time, *fleetview.View) {
		answer.News = c.machine.Quarantine().Since(request.Known)
	})
	return answer, err
}

func (c *Coordinator) decideTrial(now time.Time, request quarantine.Fingerprint, command *wire.QuarantineCommand, answer *wire.QuarantineAnswer) {
	granted, wait := c.warden.Trial(now, c.machine.Quarantine(), request)
	answer.Granted, answer.WaitMillis = granted, wait.Milliseconds()
	trials := 0
	if entry := c.machine.Quarantine().Entry(request); granted && entry != nil {
		command.Trial, trials = uint64(request), entry.Trials
	}
	logging.Info(c.logger, "quarantine_trial", "request", request, "granted", granted, "trials", trials, "wait_ms", answer.WaitMillis)
}

// tellQuarantine fills in what the caller of a watch does not know of requests under which
// workers ended, and reports whether it must know at once.
func (c *Coordinator) tellQuarantine(request *wire.WatchRequest, response *wire.WatchResponse) bool {
	table := c.machine.Quarantine()
	if request.Quarantine == table.Revision() {
		return false
	}
	news := table.Since(request.Quarantine)
	response.Quarantine = &news
	return request.Quarantine < table.Urgent() || request.Quarantine > table.Revision()
}

// keepQuarantine carries out what follows from the time that has passed.
func (c *Coordinator) keepQuarantine(ctx context.Context) {
	var command *wire.QuarantineCommand
	err := c.readLeader(func(now time.Time, _ *fleetview.View) {
		command = c.warden.Look(now, c.machine.Quarantine())
	})
	if err != nil || command == nil {
		return
	}
	_, err = c.propose(ctx, &wire.FleetCommand{Quarantine: command})
	logging.Info(c.logger, "quarantine_kept", "settled", len(command.Settled), "expired", len(command.Expired), "error", err)
}
