package quarantine

import (
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// Local is the quarantine of a process that owns its workers and shares with no other what
// it sees: a Table with its Warden. It is safe for concurrent use.
type Local struct {
	mutex  sync.Mutex
	table  *Table
	warden *Timers
}

// NewLocal returns an empty quarantine.
func NewLocal() *Local { return &Local{table: NewTable(), warden: NewTimers()} }

// RecordExit takes in that a worker ended under a run of the request that began at began.
func (l *Local) RecordExit(now time.Time, request Fingerprint, worker string, began time.Time) {
	run := ownRun{wire.RunReport{Request: uint64(request), Worker: WorkerHash(worker)}, now, began}
	l.take(now, run.reportAt(now))
}

// RecordSuccess takes in that the request came to a good end.
func (l *Local) RecordSuccess(now time.Time, request Fingerprint) {
	l.take(now, wire.RunReport{Request: uint64(request)})
}

func (l *Local) take(now time.Time, report wire.RunReport) {
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

// MayRun reports whether the request may go to a worker, as a trial if it is refused, and
// else after which time it may come back.
func (l *Local) MayRun(now time.Time, request Fingerprint) (bool, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if command := l.warden.Tick(now, l.table); command != nil {
		l.table.Apply(command)
	}
	may, wait := l.warden.GrantTrial(now, l.table, request)
	if may {
		l.table.Apply(&wire.QuarantineCommand{Trial: uint64(request)})
	}
	return may, wait
}
