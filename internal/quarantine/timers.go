package quarantine

import (
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// settleDelay is the time from a request's refusal until it is settled: exits that it shares
	// with requests that are not refused then no longer count against those requests. The delay is
	// long enough for another request that ran on the same workers to be refused as well.
	settleDelay = 1500 * time.Millisecond
	// firstTrialDelay is the time from a request's refusal to its first trial. By then, requests
	// that ran on the same workers by coincidence have succeeded elsewhere. The trial readmits a
	// harmless request; a harmful one makes one more worker exit.
	firstTrialDelay = time.Second
	// secondTrialDelay is the time from the first failed trial to the next one. It is short because
	// the worker of the first trial may have exited for another reason. thirdTrialDelay follows the
	// second failed trial. Each further delay is twice as long, up to maxTrialDelay, so that a harmful
	// request makes four more workers exit in the first quarter of an hour, and later one per hour.
	secondTrialDelay = 2500 * time.Millisecond
	thirdTrialDelay  = time.Minute
	maxTrialDelay    = time.Hour
	// jointTrialDelay is how much later a request is tried for which several fingerprints are refused.
	// Until then, requests for which only one of them is refused may show that this one is harmless.
	jointTrialDelay = 2 * time.Second
	// trialTimeout is the usual upper bound of the time until a trial's outcome is known.
	// trialPollInterval is the time after which a caller asks again while a trial runs. It is short
	// because the request is readmitted if the trial succeeds.
	trialTimeout      = 2 * time.Second
	trialPollInterval = 300 * time.Millisecond
	// maxListWait is how long the outcome of a trial in calm waits for a reading of the list of workers.
	maxListWait = 10 * time.Second
	// suspectTTL is how long the exits of a request that is not refused are remembered. refusedTTL
	// is how long a refused request is remembered after its last change.
	suspectTTL = time.Minute
	refusedTTL = 24 * time.Hour
)

// Timers tracks the deadlines of a table's rows while its process leads. A deadline counts from the
// time, by package clock, at which this leader first saw the row's state. So a new leader starts
// all deadlines again, and no deadline is shorter than intended. Timers is not safe for concurrent
// use.
type Timers struct {
	rowTimers map[Fingerprint]*rowTimer
	// onTrial are the fingerprints that were last granted a trial, and trialStartedAt is when the
	// trial was granted. exitsBeforeTrial are their last exits before the trial.
	onTrial          []Fingerprint
	trialStartedAt   time.Time
	exitsBeforeTrial []wire.WorkerEnd
	// exits are the exits that this leader has seen in reports of runs. A new leader counts all known ones
	// as new. listedExits are those that the list of workers has shown, and listReadAt is when its last
	// reading began, zero for none.
	exits       recentExits
	listedExits recentExits
	listReadAt  time.Time
}

// rowTimer holds when this leader first saw the present state of a row, and the times of its
// trials.
type rowTimer struct {
	revision  uint64
	changedAt time.Time
	// refusedAt is when this leader first saw that the row is refused. nextTrialAt is the earliest
	// time at which its next trial may start.
	refusedAt   time.Time
	nextTrialAt time.Time
	trials      int
	// grantedAt is the time of the last granted trial.
	grantedAt time.Time
	// lastExit is the row's last exit that was seen.
	lastExit wire.WorkerEnd
	// calmTrialAt is when the last trial was granted in calm, zero once its outcome is counted.
	// exitBefore is the row's last exit before it. calmFailed is set if one has failed, and notCalm if one
	// was broken off while other workers exited, too.
	calmTrialAt time.Time
	exitBefore  wire.WorkerEnd
	calmFailed  bool
	notCalm     bool
}

// NewTimers returns the timers of a new leader.
func NewTimers() *Timers { return &Timers{rowTimers: map[Fingerprint]*rowTimer{}} }

// RecordList records a reading of the list of workers that began at readAt, and the ids of the workers
// that it shows to have exited. Reports of runs may lack these exits: the more requests are refused, the
// fewer run.
func (tm *Timers) RecordList(now, readAt time.Time, exited []string) {
	for _, worker := range exited {
		tm.listedExits.record(now, WorkerHash(worker))
	}
	tm.listReadAt = readAt
}

// Tick updates the timers from the table and returns the command with the rows that are due to
// settle or to expire, nil for none.
func (tm *Timers) Tick(now time.Time, t *Table) *wire.QuarantineCommand {
	command := &wire.QuarantineCommand{}
	for request, row := range t.rows {
		timer := tm.rowTimer(now, request, row)
		switch age := now.Sub(timer.changedAt); {
		case row.Refused && age > refusedTTL, !row.Refused && age > suspectTTL:
			command.Expired = append(command.Expired, uint64(request))
		case row.Refused && !row.Settled && now.Sub(timer.refusedAt) >= settleDelay:
			command.Settled = append(command.Settled, uint64(request))
		}
	}
	for request := range tm.rowTimers {
		if t.rows[request] == nil {
			delete(tm.rowTimers, request)
		}
	}
	if len(command.Expired)+len(command.Settled) == 0 {
		return nil
	}
	slices.Sort(command.Expired)
	slices.Sort(command.Settled)
	return command
}

// rowTimer returns the timer of a row, updated to the row's state.
func (tm *Timers) rowTimer(now time.Time, request Fingerprint, row *wire.QuarantineEntry) *rowTimer {
	timer := tm.rowTimers[request]
	if timer == nil {
		timer = &rowTimer{}
		tm.rowTimers[request] = timer
	}
	if last := lastExit(row); last != timer.lastExit && last.Worker != 0 {
		timer.lastExit = last
		tm.exits.record(now, last.Worker)
	}
	if timer.changedAt.IsZero() || timer.revision != row.Revision {
		timer.revision, timer.changedAt = row.Revision, now
	}
	if row.Refused && (timer.refusedAt.IsZero() || timer.trials != row.Trials) {
		if timer.refusedAt.IsZero() {
			timer.refusedAt = now
		}
		timer.trials = row.Trials
		timer.nextTrialAt = now.Add(trialDelay(row.Trials))
	}
	return timer
}

// trialDelay returns the time to the next trial after the given number of trials.
func trialDelay(trials int) time.Duration {
	switch trials {
	case 0:
		return firstTrialDelay
	case 1:
		return secondTrialDelay
	}
	delay := thirdTrialDelay
	for range trials - 2 {
		if delay = 2 * delay; delay >= maxTrialDelay {
			return maxTrialDelay
		}
	}
	return delay
}

// GrantTrial reports whether a request may be tried now for which the given fingerprints are refused,
// and if not, after which time to ask again. owed is set for an item of a batch job, which may also be
// tried once the workers are calm. The caller must commit a granted trial for each fingerprint before it
// answers the process that asked.
func (tm *Timers) GrantTrial(now time.Time, t *Table, fingerprints []Fingerprint, owed bool) (granted bool, wait time.Duration) {
	refused := t.refused(fingerprints)
	if len(refused) == 0 {
		return true, 0
	}
	for fingerprint, row := range t.rows {
		tm.rowTimer(now, fingerprint, row)
	}
	inCalm := false
	for _, fingerprint := range refused {
		usual := tm.trialWait(now, fingerprint, t.rows[fingerprint], len(refused) > 1)
		if calm, possible := tm.calmWait(now, fingerprint, t.rows[fingerprint]); owed && possible && calm < usual {
			usual, inCalm = calm, true
		}
		wait = max(wait, usual)
	}
	if wait > 0 {
		return false, wait
	}
	if tm.otherTrialRuns(now, t, refused) {
		return false, trialPollInterval
	}
	tm.onTrial, tm.trialStartedAt, tm.exitsBeforeTrial = refused, now, nil
	for _, fingerprint := range refused {
		row := t.rows[fingerprint]
		timer := tm.rowTimer(now, fingerprint, row)
		timer.nextTrialAt, timer.grantedAt = now.Add(trialDelay(row.Trials+1)), now
		tm.exitsBeforeTrial = append(tm.exitsBeforeTrial, lastExit(row))
		if inCalm {
			timer.calmTrialAt, timer.exitBefore = now, lastExit(row)
		}
	}
	return true, 0
}

// trialWait returns after which time to ask again for a trial of a refused row, zero if it is due.
func (tm *Timers) trialWait(now time.Time, fingerprint Fingerprint, row *wire.QuarantineEntry, joint bool) time.Duration {
	timer := tm.rowTimer(now, fingerprint, row)
	due := timer.nextTrialAt
	if joint {
		due = due.Add(jointTrialDelay)
	}
	wait := max(due.Sub(now), 0)
	if now.Sub(timer.grantedAt) < trialTimeout {
		wait = min(wait, trialPollInterval)
	}
	return wait
}

// calmWait returns after which time an owed item may ask again for a trial of a refused row, because
// the workers are calm by then. It is not possible once a trial in calm has shown that the row is
// harmful. The exits of a burst show nothing, however many trials they broke off. After the first such
// trial the list must show calm, too, before the next one.
func (tm *Timers) calmWait(now time.Time, fingerprint Fingerprint, row *wire.QuarantineEntry) (wait time.Duration, possible bool) {
	timer := tm.rowTimer(now, fingerprint, row)
	if age := now.Sub(timer.calmTrialAt); !timer.calmTrialAt.IsZero() && age >= trialTimeout {
		brokenOff := lastExit(row) != timer.exitBefore
		calm := !tm.othersExitedSince(timer.calmTrialAt, lastExit(row).Worker)
		if brokenOff && calm && tm.listIsBefore(timer.calmTrialAt.Add(trialTimeout)) && age < maxListWait {
			return trialPollInterval, true
		}
		timer.calmFailed, timer.notCalm = brokenOff && calm, timer.notCalm || brokenOff && !calm
		timer.calmTrialAt = time.Time{}
	}
	if timer.calmFailed {
		return 0, false
	}
	wait = max(tm.exits.lastAt().Add(CalmTime).Sub(now), 0)
	if timer.notCalm {
		wait = max(wait, tm.listedExits.lastAt().Add(CalmTime).Sub(now))
	}
	if !timer.grantedAt.IsZero() {
		wait = max(wait, timer.grantedAt.Add(trialTimeout).Sub(now))
	}
	return wait, true
}

// othersExitedSince reports whether another worker than the given one exited since the time.
func (tm *Timers) othersExitedSince(since time.Time, worker uint32) bool {
	return tm.exits.othersSince(since, worker) || tm.listedExits.othersSince(since, worker)
}

// listIsBefore reports whether the list of workers is known, but was last read before the given time.
func (tm *Timers) listIsBefore(at time.Time) bool {
	return !tm.listReadAt.IsZero() && tm.listReadAt.Before(at)
}

// otherTrialRuns reports whether another request is on trial. Requests that were refused together
// are also due for a trial together. If their trials ran on the same worker, a harmful request
// would make the worker exit, and a harmless one would be taken for harmful again and have to wait
// for thirdTrialDelay.
func (tm *Timers) otherTrialRuns(now time.Time, t *Table, refused []Fingerprint) bool {
	if now.Sub(tm.trialStartedAt) >= trialTimeout || slices.Equal(tm.onTrial, refused) {
		return false
	}
	for i, fingerprint := range tm.onTrial {
		row := t.rows[fingerprint]
		if row == nil || !row.Refused || lastExit(row) != tm.exitsBeforeTrial[i] {
			return false
		}
	}
	return len(tm.onTrial) > 0
}

// lastExit returns the row's last exit, the zero value if there is none.
func lastExit(row *wire.QuarantineEntry) wire.WorkerEnd {
	if len(row.Ends) == 0 {
		return wire.WorkerEnd{}
	}
	return row.Ends[len(row.Ends)-1]
}
