package quarantine

import (
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// Local is the quarantine of a process that owns its workers and shares no observations with
// other processes: a Table with its Timers. It is safe for concurrent use.
type Local struct {
	mutex   sync.Mutex
	table   *Table
	timers  *Timers
	credits credits
}

// NewLocal returns an empty quarantine.
func NewLocal() *Local { return &Local{table: NewTable(), timers: NewTimers()} }

// RecordExit records that a worker exited during a run of the subject that started at startedAt.
func (l *Local) RecordExit(now time.Time, s *Subject, worker string, startedAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var runs []wire.RunReport
	for _, fingerprint := range l.credits.blamed(now, s, l.table.exits) {
		run := ownRun{wire.RunReport{Request: uint64(fingerprint), Worker: WorkerHash(worker)}, now, startedAt}
		runs = append(runs, run.reportAt(now))
	}
	l.table.Apply(&wire.QuarantineCommand{AtMillis: now.UnixMilli(), Runs: runs})
}

// RecordSuccess records that a run of the subject succeeded.
func (l *Local) RecordSuccess(now time.Time, s *Subject) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.credits.add(now, s.Parts)
	if len(l.table.rows) == 0 {
		return
	}
	var runs []wire.RunReport
	for _, fingerprint := range s.all() {
		runs = append(runs, wire.RunReport{Request: uint64(fingerprint)})
	}
	l.table.Apply(&wire.QuarantineCommand{AtMillis: now.UnixMilli(), Runs: runs})
}

// InUse reports whether any request is known.
func (l *Local) InUse() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.table.rows) > 0
}

// MayRun reports whether the subject may be sent to a worker, as a trial if it is refused. If
// not, it returns after which time the caller may retry. owed is set for an item of a batch job.
func (l *Local) MayRun(now time.Time, s *Subject, owed bool) (bool, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if command := l.timers.Tick(now, l.table); command != nil {
		l.table.Apply(command)
	}
	refused := l.table.refused(s.all())
	allowed, wait := l.timers.GrantTrial(now, l.table, refused, owed)
	if allowed {
		for _, fingerprint := range refused {
			l.table.Apply(&wire.QuarantineCommand{Trial: uint64(fingerprint)})
		}
	}
	return allowed, wait
}
