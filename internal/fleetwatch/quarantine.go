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
	// reportTime bounds one call with what was seen of runs: an election of the
	// coordinators fits in.
	reportTime = time.Second
	// trialTime bounds the question for a trial, which a caller waits for.
	trialTime = 150 * time.Millisecond
	// unheardWait is when to come back with a refused request while no coordinator answers.
	unheardWait = time.Second
)

// Quarantine returns what this process knows of the requests under which workers ended.
func (w *Watcher) Quarantine() *quarantine.Cache { return w.book }

// reportRuns tells the coordinators what this process saw of runs, until ctx ends: at once,
// and again until one has taken it in.
func (w *Watcher) reportRuns(ctx context.Context) {
	failing := false
	for turn := 0; ctx.Err() == nil; {
		report := w.book.Report(clock.Now())
		if report == nil {
			select {
			case <-ctx.Done():
			case <-w.book.Pending():
			}
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, reportTime)
		answer, err := w.callQuarantine(callContext, turn, report)
		cancel()
		if err == nil {
			w.book.RecordAnswer(&answer.News)
			if failing {
				failing = false
				logging.Info(w.logger, "runs_reported", "runs", len(report.Runs), "lost", w.book.DroppedReportCount(), "turns", turn)
			}
			turn = 0
			continue
		}
		w.book.RecordAnswer(nil)
		turn++
		if !failing {
			failing = true
			logging.Warn(w.logger, "runs_not_reported", "runs", len(report.Runs), "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// callQuarantine asks the coordinator that answered last, or another one at each second
// turn; each hands on to the leader.
func (w *Watcher) callQuarantine(ctx context.Context, turn int, report *wire.QuarantineReport) (*wire.QuarantineAnswer, error) {
	last := ""
	if leader := w.leader.Load(); leader != nil {
		last = *leader
	}
	target := reportTarget(turn, last, w.addresses())
	return rpc.Call[wire.QuarantineAnswer](ctx, w.client, target, wire.MethodQuarantine, report)
}

// reportTarget returns whom to ask at a turn: the one that answered last, if there is one,
// and between each of the addresses in their order, so that none is left out.
func reportTarget(turn int, last string, addresses []string) string {
	if last == "" {
		return addresses[turn%len(addresses)]
	}
	if turn%2 == 0 {
		return last
	}
	return addresses[turn/2%len(addresses)]
}

// RequestTrial reports whether a refused request may be tried, once, by this process, and else
// after which time it may come back.
func (w *Watcher) RequestTrial(ctx context.Context, request quarantine.Fingerprint) (bool, time.Duration) {
	now := clock.Now()
	if wait := w.book.TrialDelay(now, request); wait > 0 {
		return false, wait
	}
	ctx, cancel := context.WithTimeout(ctx, trialTime)
	defer cancel()
	answer, err := w.callQuarantine(ctx, 0, &wire.QuarantineReport{Trial: uint64(request), Known: w.book.Revision()})
	if err != nil {
		logging.Info(w.logger, "trial_not_asked", "request", request, "error", err)
		w.book.DenyTrial(now, request, unheardWait)
		return false, unheardWait
	}
	w.book.Apply(&answer.News)
	wait := time.Duration(answer.WaitMillis) * time.Millisecond
	if !answer.Granted {
		w.book.DenyTrial(now, request, wait)
	}
	return answer.Granted, wait
}
