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

// maxReportRuns bounds the number of runs in one report.
const maxReportRuns = 4096

// handleReport records the runs of requests that a process observed. If the process asks for a
// trial, handleReport also decides whether to grant it. It returns once the runs and a granted
// trial are committed.
func (c *Coordinator) handleReport(ctx context.Context, request *wire.QuarantineReport) (*wire.QuarantineAnswer, error) {
	if len(request.Runs) > maxReportRuns {
		return nil, failure.New(failure.BadRequest, "send fewer at a time", "the report has %d runs, %d may be", len(request.Runs), maxReportRuns)
	}
	return runAtLeader[wire.QuarantineAnswer](ctx, c, wire.MethodQuarantine, request, func(ctx context.Context) (*wire.QuarantineAnswer, error) {
		return c.handleReportLocal(ctx, request)
	})
}

func (c *Coordinator) handleReportLocal(ctx context.Context, request *wire.QuarantineReport) (*wire.QuarantineAnswer, error) {
	answer := &wire.QuarantineAnswer{}
	command := &wire.QuarantineCommand{Runs: request.Runs}
	var trial []quarantine.Fingerprint
	refusedBefore := map[uint64]bool{}
	if err := c.checkQuarantineSupport(); err != nil {
		return nil, err
	}
	err := c.readLeader(func(now time.Time, _ *fleetview.View) {
		command.AtMillis = now.UnixMilli()
		for _, run := range request.Runs {
			refusedBefore[run.Request] = c.isRefused(run.Request)
		}
		if request.Trial != 0 {
			trial = c.decideTrial(now, quarantine.Fingerprints(request.RequestedTrial()), request.Owed, answer)
		}
	})
	if err == nil && len(command.Runs) > 0 {
		_, err = c.propose(ctx, &wire.FleetCommand{Quarantine: command})
	}
	for i := 0; err == nil && i < len(trial); i++ {
		_, err = c.propose(ctx, &wire.FleetCommand{Quarantine: &wire.QuarantineCommand{AtMillis: command.AtMillis, Trial: uint64(trial[i])}})
	}
	if err != nil {
		return nil, err
	}
	err = c.readLeader(func(time.Time, *fleetview.View) {
		answer.News = c.machine.Quarantine().Since(request.Known)
		for id, before := range refusedBefore {
			c.logRefusalChange(id, before)
		}
	})
	return answer, err
}

// isRefused reports whether the quarantine refuses a request now.
func (c *Coordinator) isRefused(request uint64) bool {
	entry := c.machine.Quarantine().Entry(quarantine.Fingerprint(request))
	return entry != nil && entry.Refused
}

// logRefusalChange logs a line if a report has changed whether a request is refused.
func (c *Coordinator) logRefusalChange(request uint64, before bool) {
	if c.isRefused(request) == before {
		return
	}
	var workers []uint32
	if entry := c.machine.Quarantine().Entry(quarantine.Fingerprint(request)); entry != nil {
		for _, exit := range entry.Ends {
			workers = append(workers, exit.Worker)
		}
	}
	logging.Info(c.logger, "quarantine_changed", "request", quarantine.Fingerprint(request), "refused", !before, "workers_ended", fmt.Sprint(workers), "revision", c.machine.Quarantine().Revision())
}

// Quarantined describes to operators a request under which workers exited.
type Quarantined struct {
	// Request is the fingerprint of the request, as in the logs of edges and stores.
	Request string `json:"request"`
	Ends    int    `json:"ends"`
	Refused bool   `json:"refused"`
	Trials  int    `json:"trials"`
}

// Quarantine lists the requests under which workers exited; refused requests come first.
func (c *Coordinator) Quarantine(ctx context.Context) ([]Quarantined, error) {
	answer, err := runAtLeader[wire.QuarantineList](ctx, c, methodQuarantineList, &wire.Empty{}, c.quarantineLocal)
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

func (c *Coordinator) quarantineLocal(context.Context) (*wire.QuarantineList, error) {
	list := &wire.QuarantineList{}
	err := c.readLeader(func(time.Time, *fleetview.View) { list.Entries = c.machine.Quarantine().Entries() })
	return list, err
}

// Release readmits a refused request and forgets the worker exits under it. It
// fails with NotFound if the request is not in the quarantine.
func (c *Coordinator) Release(ctx context.Context, request quarantine.Fingerprint) error {
	release := &wire.QuarantineRelease{Request: uint64(request)}
	_, err := runAtLeader[wire.FleetResult](ctx, c, methodQuarantineRelease, release, func(ctx context.Context) (*wire.FleetResult, error) {
		return c.releaseLocal(ctx, release)
	})
	return err
}

func (c *Coordinator) releaseLocal(ctx context.Context, release *wire.QuarantineRelease) (*wire.FleetResult, error) {
	if err := c.checkQuarantineSupport(); err != nil {
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

// decideTrial decides whether a request may be tried on a worker for which the given fingerprints are
// refused, and fills in the answer. It returns those for which a trial must be committed.
func (c *Coordinator) decideTrial(now time.Time, refused []quarantine.Fingerprint, owed bool, answer *wire.QuarantineAnswer) []quarantine.Fingerprint {
	granted, wait := c.timers.GrantTrial(now, c.machine.Quarantine(), refused, owed)
	answer.Granted, answer.WaitMillis = granted, wait.Milliseconds()
	var trial []quarantine.Fingerprint
	trials := 0
	for _, fingerprint := range refused {
		if entry := c.machine.Quarantine().Entry(fingerprint); granted && entry != nil {
			trial, trials = append(trial, fingerprint), max(trials, entry.Trials)
		}
	}
	logging.Info(c.logger, "quarantine_trial", "request", quarantine.Format(refused), "granted", granted, "owed", owed, "trials", trials, "wait_ms", answer.WaitMillis)
	return trial
}

// onApplied wakes the watches after a command, unless the command only changed which requests are
// suspected: during a series of worker exits every edge sends reports, and waking 330 watches
// for each report would cost a small machine more than the reports themselves.
func (c *Coordinator) onApplied() {
	table, before := c.machine.Quarantine(), c.appliedQuarantine
	c.appliedQuarantine = quarantineRevisions{table.Revision(), table.UrgentRevision()}
	if c.appliedQuarantine.current != before.current && c.appliedQuarantine.urgent == before.urgent {
		return
	}
	c.notify()
}

// quarantineRevisions holds the current revision of the quarantine and the last urgent one.
type quarantineRevisions struct{ current, urgent uint64 }

// needsUrgentUpdate reports whether a process that knows the given revision of the quarantine must
// get an update immediately.
func (c *Coordinator) needsUrgentUpdate(known uint64) bool {
	table := c.machine.Quarantine()
	return known < table.UrgentRevision() || known > table.Revision()
}

// fillQuarantine adds the changes of the quarantine that the caller of a watch does not know to
// the response.
func (c *Coordinator) fillQuarantine(request *wire.WatchRequest, response *wire.WatchResponse) {
	if table := c.machine.Quarantine(); request.Quarantine != table.Revision() {
		update := table.Since(request.Quarantine)
		response.Quarantine = &update
	}
}

// maintainQuarantine commits the changes to the quarantine that are due with the passing of time,
// or restates the whole quarantine if the gate requires that because a coordinator of an older
// build may have ignored commands.
func (c *Coordinator) maintainQuarantine(ctx context.Context) {
	var command *wire.QuarantineCommand
	err := c.readLeader(func(now time.Time, _ *fleetview.View) {
		command = c.gate.Command(c.timers.Tick(now, c.machine.Quarantine()), c.machine.Quarantine())
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

// applyGenerations updates the gate with the builds of the known coordinators.
func (c *Coordinator) applyGenerations(processes []wire.Process) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.gate.ApplyProcesses(processes) {
		logging.Info(c.logger, "quarantine_replicated", "possible", c.gate.OlderProcess() == "", "older_build_at", c.gate.OlderProcess())
	}
}

// checkQuarantineSupport returns an error while a coordinator of an older build would ignore
// commands of the quarantine.
func (c *Coordinator) checkQuarantineSupport() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.gate.Err()
}
