package coordinator

import (
	"context"
	"fmt"
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
	return atLeader[wire.QuarantineAnswer](ctx, c, wire.MethodQuarantine, request, func(ctx context.Context) (*wire.QuarantineAnswer, error) {
		return c.takeReportHere(ctx, request)
	})
}

func (c *Coordinator) takeReportHere(ctx context.Context, request *wire.QuarantineReport) (*wire.QuarantineAnswer, error) {
	answer := &wire.QuarantineAnswer{}
	command := &wire.QuarantineCommand{Runs: request.Runs}
	before := map[uint64]bool{}
	if err := c.passedOver(); err != nil {
		return nil, err
	}
	err := c.readLeader(func(now time.Time, _ *fleetview.View) {
		command.AtMillis = now.UnixMilli()
		for _, run := range request.Runs {
			before[run.Request] = c.quarantines(run.Request)
		}
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
		for run, was := range before {
			c.logStanding(run, was)
		}
	})
	return answer, err
}

// quarantines reports whether a request is refused now.
func (c *Coordinator) quarantines(request uint64) bool {
	entry := c.machine.Quarantine().Entry(quarantine.Fingerprint(request))
	return entry != nil && entry.Refused
}

// logStanding writes a line where a report has changed whether a request is refused.
func (c *Coordinator) logStanding(request uint64, was bool) {
	if c.quarantines(request) == was {
		return
	}
	var workers []uint32
	if entry := c.machine.Quarantine().Entry(quarantine.Fingerprint(request)); entry != nil {
		for _, end := range entry.Ends {
			workers = append(workers, end.Worker)
		}
	}
	logging.Info(c.logger, "quarantine_changed", "request", quarantine.Fingerprint(request), "refused", !was, "workers_ended", fmt.Sprint(workers), "revision", c.machine.Quarantine().Revision())
}

// Quarantined is a request under which workers ended, as operators see it.
type Quarantined struct {
	// Request is its identity, as it stands in the logs of edges and stores.
	Request string `json:"request"`
	Ends    int    `json:"ends"`
	Refused bool   `json:"refused"`
	Trials  int    `json:"trials"`
}

// Quarantine lists the requests under which workers ended, those that are refused first.
func (c *Coordinator) Quarantine(ctx context.Context) ([]Quarantined, error) {
	answer, err := atLeader[wire.QuarantineList](ctx, c, methodQuarantineList, &wire.Empty{}, c.quarantineHere)
	if err != nil {
		return nil, err
	}
	list := make([]Quarantined, 0, len(answer.Entries))
	for i := range answer.Entries {
		entry := &answer.Entries[i]
		list = append(list, Quarantined{Request: quarantine.Fingerprint(entry.Request).String(), Ends: len(entry.Ends), Refused: entry.Refused, Trials: entry.Trials})
	}
	return list, nil
}

func (c *Coordinator) quarantineHere(context.Context) (*wire.QuarantineList, error) {
	list := &wire.QuarantineList{}
	err := c.readLeader(func(time.Time, *fleetview.View) { list.Entries = c.machine.Quarantine().Entries() })
	return list, err
}

// Release lets a refused request in again, and forgets the ends under it. It fails with
// NotFound where nothing is known of it.
func (c *Coordinator) Release(ctx context.Context, request quarantine.Fingerprint) error {
	release := &wire.QuarantineRelease{Request: uint64(request)}
	_, err := atLeader[wire.FleetResult](ctx, c, methodQuarantineRelease, release, func(ctx context.Context) (*wire.FleetResult, error) {
		return c.releaseHere(ctx, release)
	})
	return err
}

func (c *Coordinator) releaseHere(ctx context.Context, release *wire.QuarantineRelease) (*wire.FleetResult, error) {
	if err := c.passedOver(); err != nil {
		return nil, err
	}
	result, err := c.propose(ctx, &wire.FleetCommand{Quarantine: &wire.QuarantineCommand{Expired: []uint64{release.Request}}})
	if err != nil {
		return nil, err
	}
	request := quarantine.Fingerprint(release.Request)
	logging.Info(c.logger, "quarantine_released", "request", request, "known", result.Changed)
	if !result.Changed {
		return nil, failure.New(failure.NotFound, "list the requests first", "no worker is known to have ended under request %s", request)
	}
	return result, nil
}

func (c *Coordinator) decideTrial(now time.Time, request quarantine.Fingerprint, command *wire.QuarantineCommand, answer *wire.QuarantineAnswer) {
	granted, wait := c.warden.GrantTrial(now, c.machine.Quarantine(), request)
	answer.Granted, answer.WaitMillis = granted, wait.Milliseconds()
	trials := 0
	if entry := c.machine.Quarantine().Entry(request); granted && entry != nil {
		command.Trial, trials = uint64(request), entry.Trials
	}
	logging.Info(c.logger, "quarantine_trial", "request", request, "granted", granted, "trials", trials, "wait_ms", answer.WaitMillis)
}

// applied wakes the calls that wait for news, after a command. Nobody waits for what tells
// only of suspects: in a row of workers' ends each edge reports, and waking 330 watches for
// each report would take more of a small machine than the reports.
func (c *Coordinator) applied() {
	table, before := c.machine.Quarantine(), c.quarantineAt
	c.quarantineAt = quarantineMark{table.Revision(), table.UrgentRevision()}
	if c.quarantineAt.revision != before.revision && c.quarantineAt.urgent == before.urgent {
		return
	}
	c.notify()
}

// quarantineMark is how far the quarantine has come.
type quarantineMark struct{ revision, urgent uint64 }

// mustKnow reports whether a process that knows a revision of the quarantine must be told
// at once.
func (c *Coordinator) mustKnow(known uint64) bool {
	table := c.machine.Quarantine()
	return known < table.UrgentRevision() || known > table.Revision()
}

// tellQuarantine fills in what the caller of a watch does not know of requests under which
// workers ended.
func (c *Coordinator) tellQuarantine(request *wire.WatchRequest, response *wire.WatchResponse) {
	if table := c.machine.Quarantine(); request.Quarantine != table.Revision() {
		news := table.Since(request.Quarantine)
		response.Quarantine = &news
	}
}

// keepQuarantine carries out what follows from the time that has passed.
func (c *Coordinator) keepQuarantine(ctx context.Context) {
	var command *wire.QuarantineCommand
	err := c.readLeader(func(now time.Time, _ *fleetview.View) {
		command = c.gate.Command(c.warden.Tick(now, c.machine.Quarantine()), c.machine.Quarantine())
	})
	if err != nil || command == nil {
		return
	}
	_, err = c.propose(ctx, &wire.FleetCommand{Quarantine: command})
	if command.Restated != nil && err == nil {
		c.mutex.Lock()
		c.gate.RecordRestatement()
		c.mutex.Unlock()
	}
	logging.Info(c.logger, "quarantine_kept", "settled", len(command.Settled), "expired", len(command.Expired), "restated", command.Restated != nil, "error", err)
}

// noteGenerations takes in the builds of the coordinators known.
func (c *Coordinator) noteGenerations(processes []wire.Process) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.gate.ApplyProcesses(processes) {
		logging.Info(c.logger, "quarantine_replicated", "possible", c.gate.OlderProcess() == "", "older_build_at", c.gate.OlderProcess())
	}
}

// passedOver returns the refusal of commands of the quarantine while a coordinator would
// pass over them, or nil.
func (c *Coordinator) passedOver() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.gate.Err()
}
