package quarantine

import (
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// Local is the quarantine of a process that owns its workers and shares no observations with
// other processes: a Table with its Timers. It is safe for concurrent use.
type Local struct {
	mutex  sync.Mutex
	table  *Table
	timers *Timers
}

// NewLocal returns an empty quarantine.
func NewLocal() *Local { return &Local{table: NewTable(), timers: NewTimers()} }

// RecordExit records that a worker exited during a run of the request that started at startedAt.
func (l *Local) RecordExit(now time.Time, request Fingerprint, worker string, startedAt time.Time) {
	run := ownRun{wire.RunReport{Request: uint64(request), Worker: WorkerHash(worker)}, now, startedAt}
	l.apply(now, run.reportAt(now))
}

// RecordSuccess records that a run of the request succeeded.
func (l *Local) RecordSuccess(now time.Time, request Fingerprint) {
	l.apply(now, wire.RunReport{Request: uint64(request)})
}

func (l *Local) apply(now time.Time, report wire.RunReport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.table.Apply(&wire.QuarantineCommand{AtMillis: now.UnixMilli(), Runs: []wire.RunReport{report}})
}

// InUse reports whether any request is known.
func (l *Local) InUse() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.table.rows) > 0
}

// MayRun reports whether the request may be sent to a worker, as a trial if it is refused. If
// not, it returns after which time the caller may retry.
func (l *Local) MayRun(now time.Time, request Fingerprint) (bool, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if command := l.timers.Tick(now, l.table); command != nil {
		l.table.Apply(command)
	}
	allowed, wait := l.timers.GrantTrial(now, l.table, request)
	if allowed {
		l.table.Apply(&wire.QuarantineCommand{Trial: uint64(request)})
	}
	return allowed, wait
}
