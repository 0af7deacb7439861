package fleetwatch

import (
	"context"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// reportTimeout bounds one call that reports runs. It is longer than an election of the
	// coordinators takes.
	reportTimeout = time.Second
	// trialTimeout bounds the request for a trial, for which a caller waits.
	trialTimeout = 150 * time.Millisecond
	// owedTrialTimeout bounds the request for a trial of an item, for which no caller waits.
	owedTrialTimeout = time.Second
	// unreachableRetryAfter is the time after which a caller may retry a refused request while no
	// coordinator answers.
	unreachableRetryAfter = time.Second
)

// Quarantine returns this process's view of the requests under which workers exited.
func (w *Watcher) Quarantine() *quarantine.Cache { return w.quarantineCache }

// reportRuns reports the runs that this process observed to the coordinators until ctx ends. It
// reports at once and retries until a coordinator has acknowledged the report.
func (w *Watcher) reportRuns(ctx context.Context) {
	failing := false
	for attempt := 0; ctx.Err() == nil; {
		report := w.quarantineCache.Report(clock.Now())
		if report == nil {
			select {
			case <-ctx.Done():
			case <-w.quarantineCache.Pending():
			}
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, reportTimeout)
		answer, err := w.callQuarantine(callContext, attempt, report)
		cancel()
		if err == nil {
			w.quarantineCache.RecordAnswer(clock.Now(), &answer.News)
			if failing {
				failing = false
				logging.Info(w.logger, "runs_reported", "runs", len(report.Runs), "lost", w.quarantineCache.DroppedReportCount(), "turns", attempt)
			}
			attempt = 0
			continue
		}
		w.quarantineCache.RecordAnswer(clock.Now(), nil)
		attempt++
		if !failing {
			failing = true
			logging.Warn(w.logger, "runs_not_reported", "runs", len(report.Runs), "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// callQuarantine calls the coordinator that answered last, or on every second attempt another
// one. Each coordinator forwards the call to the leader.
func (w *Watcher) callQuarantine(ctx context.Context, attempt int, report *wire.QuarantineReport) (*wire.QuarantineAnswer, error) {
	lastAnswered := ""
	if leader := w.lastAnswered.Load(); leader != nil {
		lastAnswered = *leader
	}
	target := reportTarget(attempt, lastAnswered, w.addresses())
	return rpc.Call[wire.QuarantineAnswer](ctx, w.client, target, wire.MethodQuarantine, report)
}

// reportTarget returns the address to call on an attempt. Even attempts go to the coordinator
// that answered last, if there is one; odd ones go to each of the addresses in turn, so that
// none is left out.
func reportTarget(attempt int, lastAnswered string, addresses []string) string {
	if lastAnswered == "" {
		return addresses[attempt%len(addresses)]
	}
	if attempt%2 == 0 {
		return lastAnswered
	}
	return addresses[attempt/2%len(addresses)]
}

// RequestTrial reports whether this process may try a request once for which the given fingerprints
// are refused. If not, it returns after which time the caller may retry. owed is set for an item of a
// batch job.
func (w *Watcher) RequestTrial(ctx context.Context, refused []quarantine.Fingerprint, owed bool) (bool, time.Duration) {
	now := clock.Now()
	timeout, reserved := trialTimeout, time.Duration(0)
	if owed {
		// One request is enough for all items for which the same fingerprints are refused.
		timeout, reserved = owedTrialTimeout, owedTrialTimeout
	}
	if wait := w.quarantineCache.ReserveTrial(now, refused, reserved); wait > 0 {
		return false, wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report := &wire.QuarantineReport{Known: w.quarantineCache.Revision(), Owed: owed}
	report.RequestTrial(quarantine.Uint64s(refused))
	answer, err := w.callQuarantine(ctx, 0, report)
	if err != nil {
		logging.Info(w.logger, "trial_not_asked", "request", quarantine.Format(refused), "error", err)
		w.quarantineCache.DenyTrial(now, refused, unreachableRetryAfter)
		return false, unreachableRetryAfter
	}
	w.quarantineCache.Apply(clock.Now(), &answer.News)
	wait := time.Duration(answer.WaitMillis) * time.Millisecond
	if !answer.Granted {
		w.quarantineCache.DenyTrial(now, refused, wait)
	}
	return answer.Granted, wait
}
