package quarantine

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// ownRunTTL is how long this process remembers a run that no coordinator has acknowledged.
	ownRunTTL = time.Minute
	// maxOwnRuns bounds the runs that wait for a coordinator: 16 KB.
	maxOwnRuns = 1024
)

// Cache is one process's view of the requests under which workers exited: the rows reported by the
// coordinators, and the runs that the process observed itself and that no coordinator has
// acknowledged yet. While no coordinator can be reached, the process refuses requests based on the
// rows and runs that it has. Cache is safe for concurrent use.
type Cache struct {
	// inUse is set while any request is known. Otherwise lookups are skipped.
	inUse atomic.Bool

	mutex    sync.Mutex
	revision uint64
	rows     map[Fingerprint]wire.QuarantineRow
	ownRuns  []ownRun
	// inFlight is the number of runs at the start of ownRuns that are in flight: the last Report
	// returned them, and RecordAnswer has not handled them yet.
	inFlight int
	// lastExitAt is when this process last learned of an exit.
	lastExitAt time.Time
	// credits holds the parts of prompts with a recent success at this process.
	credits credits
	// trialNotBefore holds, by refused fingerprints, see combine, the earliest time of the next trial
	// request.
	trialNotBefore map[Fingerprint]time.Time
	// dropped counts the runs that were discarded because ownRuns was full.
	dropped uint64
	pending chan struct{}
}

// ownRun is a run that this process observed. startedAt is zero if the start is unknown;
// observedAt is when the process saw the run's outcome.
type ownRun struct {
	report     wire.RunReport
	observedAt time.Time
	startedAt  time.Time
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{rows: map[Fingerprint]wire.QuarantineRow{}, trialNotBefore: map[Fingerprint]time.Time{}, pending: make(chan struct{}, 1)}
}

// Standing says whether a request is suspected of making workers exit.
type Standing uint8

const (
	// Unknown means that no worker is known to have exited under the request.
	Unknown Standing = iota
	// Suspect means that workers exited under the request, but fewer than Threshold. The outcome
	// of its next run must be reported.
	Suspect
	// Refused means that the request must not be sent to a worker.
	Refused
)

// InUse reports whether any request is known. If none is, callers need not compute fingerprints.
func (c *Cache) InUse() bool { return c.inUse.Load() }

// Standing returns the request's standing at now.
func (c *Cache) Standing(now time.Time, request Fingerprint) Standing {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.standingLocked(now, request)
}

// Refused returns which of the request and the parts of its prompt must not be sent to a worker.
func (c *Cache) Refused(now time.Time, s *Subject) []Fingerprint {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var refused []Fingerprint
	for _, fingerprint := range s.all() {
		if c.standingLocked(now, fingerprint) == Refused {
			refused = append(refused, fingerprint)
		}
	}
	return refused
}

func (c *Cache) standingLocked(now time.Time, fingerprint Fingerprint) Standing {
	row := c.rows[fingerprint]
	total, refused := len(row.Ended), row.Refused
	if slices.ContainsFunc(c.ownRuns, func(run ownRun) bool { return run.report.Request == uint64(fingerprint) }) {
		var exits map[uint32]int
		exits, refused = c.exitsLocked(now, fingerprint)
		total = 0
		for _, count := range exits {
			total += count
		}
	}
	switch {
	case refused || total >= Threshold:
		return Refused
	case total > 0:
		return Suspect
	}
	return Unknown
}

// exitsLocked returns how often each worker is known to have exited under the fingerprint since its
// last success, and whether the coordinators refuse it.
func (c *Cache) exitsLocked(now time.Time, fingerprint Fingerprint) (exits map[uint32]int, refused bool) {
	row := c.rows[fingerprint]
	refused = row.Refused
	exits = map[uint32]int{}
	for _, worker := range row.Ended {
		exits[worker]++
	}
	observed := map[uint32]observedExits{}
	for i := range c.ownRuns {
		run := &c.ownRuns[i]
		switch {
		case run.report.Request != uint64(fingerprint) || now.Sub(run.observedAt) > ownRunTTL:
		case run.report.Worker == 0:
			refused = false
			clear(exits)
			clear(observed)
		default:
			observed[run.report.Worker] = observed[run.report.Worker].add(run)
		}
	}
	// The rows of the coordinators may include exits that this process reported, so for each worker
	// the larger of the two counts applies, not their sum.
	for worker, seen := range observed {
		exits[worker] = max(exits[worker], seen.count)
	}
	return exits, refused
}

// observedExits counts the exits of one worker that this process observed.
type observedExits struct {
	count  int
	lastAt time.Time
}

// add adds a run that an exit of the worker broke off. The run counts as a further exit only if it
// started after this process observed the end of the run that was added before it (lastAt).
// Otherwise the same exit may have broken off both runs.
func (e observedExits) add(run *ownRun) observedExits {
	if e.count == 0 || run.startedAt.After(e.lastAt) {
		e.count++
	}
	e.lastAt = run.observedAt
	return e
}

// WorkerHash returns the hash that identifies a worker in reports. It is never zero, because zero
// stands for a run without an exit.
func WorkerHash(id string) uint32 { return max(uint32(xxhash.Sum64String(id)), 1) }

// RecordExit records that the worker exited during a run of the subject. startedAt is when that run
// started, zero if unknown.
func (c *Cache) RecordExit(now time.Time, s *Subject, worker string, startedAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastExitAt = now
	hash := WorkerHash(worker)
	exitsOf := func(fingerprint Fingerprint) map[uint32]int {
		exits, _ := c.exitsLocked(now, fingerprint)
		return exits
	}
	for _, fingerprint := range c.credits.blamed(now, s, exitsOf) {
		c.addRunLocked(ownRun{wire.RunReport{Request: uint64(fingerprint), Worker: hash}, now, startedAt})
	}
}

// LastExitAt returns when this process last learned of the exit of a worker, zero for never.
func (c *Cache) LastExitAt() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lastExitAt
}

// RecordSuccess records that a run of the subject succeeded. The success is reported only for those
// fingerprints under which a worker is known to have exited. If InUse is not set, the request's
// fingerprint may be missing.
func (c *Cache) RecordSuccess(now time.Time, s *Subject) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.credits.add(now, s.Parts)
	for _, fingerprint := range s.all() {
		if c.standingLocked(now, fingerprint) != Unknown {
			c.addRunLocked(ownRun{wire.RunReport{Request: uint64(fingerprint)}, now, time.Time{}})
		}
	}
}

func (c *Cache) addRunLocked(run ownRun) {
	if len(c.ownRuns) >= maxOwnRuns {
		// Keep the newest runs, because the next requests are judged by them. Runs in flight
		// stay in place, because RecordAnswer removes them by their count.
		c.dropped++
		if c.inFlight >= len(c.ownRuns) {
			return
		}
		c.ownRuns = slices.Delete(c.ownRuns, c.inFlight, c.inFlight+1)
	}
	c.ownRuns = append(c.ownRuns, run)
	c.inUse.Store(true)
	select {
	case c.pending <- struct{}{}:
	default:
		// The sender has a wake-up signal already.
	}
}

// Pending returns a channel that signals the sender that there are runs to report.
func (c *Cache) Pending() <-chan struct{} { return c.pending }

// DroppedReportCount returns how many runs were discarded because coordinators did not
// acknowledge earlier ones in time.
func (c *Cache) DroppedReportCount() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dropped
}

// Report returns the report to send to a coordinator, nil if there is none. Each call must be
// followed by RecordAnswer.
func (c *Cache) Report(now time.Time) *wire.QuarantineReport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kept := c.ownRuns[:0]
	for _, run := range c.ownRuns {
		if now.Sub(run.observedAt) <= ownRunTTL {
			kept = append(kept, run)
		}
	}
	c.ownRuns = kept
	c.updateInUse()
	if c.inFlight = len(c.ownRuns); c.inFlight == 0 {
		return nil
	}
	report := &wire.QuarantineReport{Known: c.revision}
	for i := range c.ownRuns {
		report.Runs = append(report.Runs, c.ownRuns[i].reportAt(now))
	}
	return report
}

// reportAt returns the report of the run with the age of its start at now.
func (r *ownRun) reportAt(now time.Time) wire.RunReport {
	report := r.report
	if !r.startedAt.IsZero() {
		report.AgoMillis = uint32(min(max(now.Sub(r.startedAt).Milliseconds(), 1), math.MaxUint32))
	}
	return report
}

// RecordAnswer handles the answer to the last Report: it removes the acknowledged runs and
// applies the update. A nil update means that no coordinator answered, so the runs are reported
// again.
func (c *Cache) RecordAnswer(now time.Time, update *wire.QuarantineNews) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if update != nil {
		c.ownRuns = append([]ownRun(nil), c.ownRuns[c.inFlight:]...)
	}
	c.inFlight = 0
	if update != nil {
		c.applyLocked(now, update)
	}
	c.updateInUse()
}

// Revision returns the revision of the coordinators' table that this process has.
func (c *Cache) Revision() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.revision
}

// Apply applies an update from a coordinator.
func (c *Cache) Apply(now time.Time, update *wire.QuarantineNews) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.applyLocked(now, update)
	c.updateInUse()
}

func (c *Cache) applyLocked(now time.Time, update *wire.QuarantineNews) {
	if update.Revision < c.revision && !update.Whole {
		// Answers may arrive out of order. A full update of an older revision is applied: it
		// comes only from coordinators that have lost state.
		return
	}
	c.revision = update.Revision
	before := c.rows
	if update.Whole {
		c.rows = map[Fingerprint]wire.QuarantineRow{}
	}
	for _, row := range update.Rows {
		request := Fingerprint(row.Request)
		if len(row.Ended) > 0 && !slices.Equal(row.Ended, before[request].Ended) {
			c.lastExitAt = now
		}
		if len(row.Ended) == 0 {
			delete(c.rows, request)
		} else {
			c.rows[request] = row
		}
		if !row.Refused {
			delete(c.trialNotBefore, request)
		} else if c.credits.has(now, request) {
			// The exits came from processes that lack the successes of this one.
			c.addRunLocked(ownRun{wire.RunReport{Request: row.Request}, now, time.Time{}})
		}
	}
}

// UpdateSince returns a full update with the coordinators' rows for a process that has the known
// revision, nil if that revision is not older than this cache's. A process with a newer
// revision, because the coordinators have lost state, gets its update from the leader
// (Table.Since), never from a process that follows the leader.
func (c *Cache) UpdateSince(known uint64) *wire.QuarantineNews {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.revision <= known {
		return nil
	}
	update := &wire.QuarantineNews{Revision: c.revision, Whole: true, Rows: make([]wire.QuarantineRow, 0, len(c.rows))}
	for _, row := range c.rows {
		update.Rows = append(update.Rows, row)
	}
	slices.SortFunc(update.Rows, func(a, b wire.QuarantineRow) int { return cmp.Compare(a.Request, b.Request) })
	return update
}

func (c *Cache) updateInUse() { c.inUse.Store(len(c.rows)+len(c.ownRuns) > 0) }

// reportRetryAfter is the time after which a caller may retry a request while the coordinators
// have not acknowledged the exits that this process observed under it.
const reportRetryAfter = 150 * time.Millisecond

// TrialDelay returns how long to wait before requesting a trial of a request for which the given
// fingerprints are refused. It returns zero if the trial may be requested now.
func (c *Cache) TrialDelay(now time.Time, refused []Fingerprint) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.trialDelayLocked(now, refused)
}

// ReserveTrial returns the delay of TrialDelay. If it is zero, no other trial for the same fingerprints
// may be requested for the given time.
func (c *Cache) ReserveTrial(now time.Time, refused []Fingerprint, reserved time.Duration) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delay := c.trialDelayLocked(now, refused)
	if delay == 0 && reserved > 0 {
		c.denyTrialLocked(now, refused, reserved)
	}
	return delay
}

func (c *Cache) trialDelayLocked(now time.Time, refused []Fingerprint) time.Duration {
	for i := range c.ownRuns {
		report := &c.ownRuns[i].report
		if report.Worker != 0 && slices.Contains(refused, Fingerprint(report.Request)) {
			return reportRetryAfter
		}
	}
	delay := max(c.trialNotBefore[combine(refused)].Sub(now), 0)
	for _, fingerprint := range refused {
		delay = max(delay, c.trialNotBefore[fingerprint].Sub(now))
	}
	return delay
}

// DenyTrial records that no trial of a request for which the given fingerprints are refused may be
// requested before wait is over.
func (c *Cache) DenyTrial(now time.Time, refused []Fingerprint, wait time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.denyTrialLocked(now, refused, wait)
}

func (c *Cache) denyTrialLocked(now time.Time, refused []Fingerprint, wait time.Duration) {
	if len(c.trialNotBefore) >= maxRows {
		clear(c.trialNotBefore)
	}
	c.trialNotBefore[combine(refused)] = now.Add(wait)
}

// combine returns a key for a set of fingerprints; for a single one, the fingerprint itself.
func combine(fingerprints []Fingerprint) Fingerprint {
	var key Fingerprint
	for _, fingerprint := range fingerprints {
		key ^= fingerprint
	}
	return key
}
