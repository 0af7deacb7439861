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
	// ownTime is how long this process remembers an end that no coordinator has taken in.
	ownTime = time.Minute
	// maxOwn bounds the reports that wait for a coordinator: 16 KB.
	maxOwn = 1024
)

// Cache is what a process knows of the requests under which workers ended: what the
// coordinators tell, and what it saw itself and they have not taken in yet. A process that
// hears no coordinator refuses by what it has. It is safe for concurrent use.
type Cache struct {
	// used is set while anything at all is known; otherwise no request is looked up.
	used atomic.Bool

	mutex    sync.Mutex
	revision uint64
	told     map[Fingerprint]wire.QuarantineRow
	own      []ownRun
	// sent is how many of own, from the first, are on their way.
	sent int
	// waits holds until when not to ask for a trial of a refused request again.
	waits map[Fingerprint]time.Time
	// lost counts reports for which there was no room.
	lost    uint64
	pending chan struct{}
}

// ownRun is a run that this process saw. It began at began, zero for unknown, and at is
// when its end was seen.
type ownRun struct {
	report wire.RunReport
	at     time.Time
	began  time.Time
}

// NewCache returns an empty book.
func NewCache() *Cache {
	return &Cache{told: map[Fingerprint]wire.QuarantineRow{}, waits: map[Fingerprint]time.Time{}, pending: make(chan struct{}, 1)}
}

// Standing is how a request is known.
type Standing uint8

const (
	// Unknown means that no worker ended under the request.
	Unknown Standing = iota
	// Suspect means that some did: whether it comes to a good end is to be told.
	Suspect
	// Refused means that it must not go to a worker.
	Refused
)

// InUse reports whether any request is known. While none is, no fingerprint is needed.
func (b *Cache) InUse() bool { return b.used.Load() }

// Standing returns how the request is known at now.
func (b *Cache) Standing(now time.Time, request Fingerprint) Standing {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.standing(now, request)
}

func (b *Cache) standing(now time.Time, request Fingerprint) Standing {
	row := b.told[request]
	told := map[uint32]int{}
	for _, worker := range row.Ended {
		told[worker]++
	}
	own := map[uint32]ownEnds{}
	for i := range b.own {
		run := &b.own[i]
		switch {
		case run.report.Request != uint64(request) || now.Sub(run.at) > ownTime:
		case run.report.Worker == 0:
			row.Refused = false
			clear(told)
			clear(own)
		default:
			own[run.report.Worker] = own[run.report.Worker].with(run)
		}
	}
	// What was told may hold what this process reported.
	ends := 0
	for worker, seen := range own {
		told[worker] = max(told[worker], seen.count)
	}
	for _, count := range told {
		ends += count
	}
	switch {
	case row.Refused || ends >= Threshold:
		return Refused
	case ends > 0:
		return Suspect
	}
	return Unknown
}

// ownEnds counts the ends of a worker that this process saw.
type ownEnds struct {
	count int
	last  time.Time
}

// with counts a run that broke off: it tells of another end where it began after the last.
func (e ownEnds) with(run *ownRun) ownEnds {
	if e.count == 0 || run.began.After(e.last) {
		e.count++
	}
	e.last = run.at
	return e
}

// WorkerHash returns the short name of a worker in reports; it is never zero.
func WorkerHash(id string) uint32 { return max(uint32(xxhash.Sum64String(id)), 1) }

// RecordExit takes in that the worker ended under a run of the request that began at began, zero
// for unknown.
func (b *Cache) RecordExit(now time.Time, request Fingerprint, worker string, began time.Time) {
	b.add(ownRun{wire.RunReport{Request: uint64(request), Worker: WorkerHash(worker)}, now, began})
}

// RecordSuccess takes in that a run of the request came to a good end. It is told only where some
// worker is known to have ended under the request.
func (b *Cache) RecordSuccess(now time.Time, request Fingerprint) {
	if b.Standing(now, request) != Unknown {
		b.add(ownRun{wire.RunReport{Request: uint64(request)}, now, time.Time{}})
	}
}

func (b *Cache) add(run ownRun) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.own) >= maxOwn {
		// The newest are those that coming requests are judged by. What is on its way stays
		// where it is, because the answer takes as many off.
		b.lost++
		if b.sent >= len(b.own) {
			return
		}
		b.own = slices.Delete(b.own, b.sent, b.sent+1)
	}
	b.own = append(b.own, run)
	b.used.Store(true)
	select {
	case b.pending <- struct{}{}:
	default:
		// Whoever sends is awake already.
	}
}

// Pending wakes whoever sends reports.
func (b *Cache) Pending() <-chan struct{} { return b.pending }

// DroppedReportCount returns how many reports were dropped, because no coordinator took any for long.
func (b *Cache) DroppedReportCount() uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.lost
}

// Report returns what a coordinator is to be told, nil for nothing. It must be followed by
// Sent.
func (b *Cache) Report(now time.Time) *wire.QuarantineReport {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fresh := b.own[:0]
	for _, run := range b.own {
		if now.Sub(run.at) <= ownTime {
			fresh = append(fresh, run)
		}
	}
	b.own = fresh
	b.look()
	if b.sent = len(b.own); b.sent == 0 {
		return nil
	}
	report := &wire.QuarantineReport{Known: b.revision}
	for i := range b.own {
		report.Runs = append(report.Runs, b.own[i].reportAt(now))
	}
	return report
}

// reportAt returns the report of a run as it is sent at now.
func (r *ownRun) reportAt(now time.Time) wire.RunReport {
	report := r.report
	if !r.began.IsZero() {
		report.AgoMillis = uint32(min(max(now.Sub(r.began).Milliseconds(), 1), math.MaxUint32))
	}
	return report
}

// RecordAnswer takes in the answer to the last Report; nil means that there was none.
func (b *Cache) RecordAnswer(news *wire.QuarantineNews) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if news != nil {
		b.own = append([]ownRun(nil), b.own[b.sent:]...)
		b.learn(news)
	}
	b.sent = 0
	b.look()
}

// Revision returns the revision that this process knows.
func (b *Cache) Revision() uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.revision
}

// Apply takes in what a coordinator tells.
func (b *Cache) Apply(news *wire.QuarantineNews) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.learn(news)
	b.look()
}

func (b *Cache) learn(news *wire.QuarantineNews) {
	if news.Revision < b.revision && !news.Whole {
		// Answers may overtake one another. Only coordinators that have lost what they
		// knew tell all of an earlier revision.
		return
	}
	b.revision = news.Revision
	if news.Whole {
		clear(b.told)
	}
	for _, row := range news.Rows {
		request := Fingerprint(row.Request)
		if len(row.Ended) == 0 {
			delete(b.told, request)
		} else {
			b.told[request] = row
		}
		if !row.Refused {
			delete(b.waits, request)
		}
	}
}

// UpdateSince returns all that the coordinators have told, for a process that knows a revision of
// it; nil where that one is as new. A process that knows more than the coordinators lost
// hears of it from the leader, never from who only follows it.
func (b *Cache) UpdateSince(known uint64) *wire.QuarantineNews {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.revision <= known {
		return nil
	}
	news := &wire.QuarantineNews{Revision: b.revision, Whole: true, Rows: make([]wire.QuarantineRow, 0, len(b.told))}
	for _, row := range b.told {
		news.Rows = append(news.Rows, row)
	}
	slices.SortFunc(news.Rows, func(a, b wire.QuarantineRow) int { return cmp.Compare(a.Request, b.Request) })
	return news
}

func (b *Cache) look() { b.used.Store(len(b.told)+len(b.own) > 0) }

// reportPause is when to come back with a request of which the coordinators have not taken
// in yet what this process saw.
const reportPause = 150 * time.Millisecond

// TrialDelay returns after which time a trial of a refused request may be asked for, zero for now.
func (b *Cache) TrialDelay(now time.Time, request Fingerprint) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i := range b.own {
		if b.own[i].report.Request == uint64(request) && b.own[i].report.Worker != 0 {
			return reportPause
		}
	}
	return max(b.waits[request].Sub(now), 0)
}

// DenyTrial takes in that a refused request is not to be tried before the wait is over.
func (b *Cache) DenyTrial(now time.Time, request Fingerprint, wait time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.waits) >= maxRows {
		clear(b.waits)
	}
	b.waits[request] = now.Add(wait)
}
