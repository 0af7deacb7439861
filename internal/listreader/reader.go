// Package listreader reads a platform's paginated list of workers. The list may be long, rows
// may shift between pages while it is read, and calls may be rejected. A reading loses no
// row that stays on the list, contains none twice, and keeps the known rows of a zone that
// can't be read.
package listreader

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// retryInterval is the time between two attempts at a page. maxPageAttempts is the largest
	// number of attempts. The platform stops rejecting calls over its rate limit within a fraction
	// of a second.
	retryInterval   = 60 * time.Millisecond
	maxPageAttempts = 4
	// pageTimeout bounds one attempt at a page.
	pageTimeout = 600 * time.Millisecond
	// pagesPerZone is the average number of pages per zone from which on the zones are read
	// separately and concurrently. A shorter list takes fewer calls if it is read as one.
	pagesPerZone = 2
	// allZones is the zone name that stands for the list of all zones.
	allZones = ""
	// maxMisses is the number of consecutive unstable readings without a row after which the
	// row is dropped. If 25 of 10,000 rows are removed per second, a reading of 0.1 s misses
	// a row that is still there with a probability of 1 in 4,000; that all of these readings
	// miss it has a probability of 1 in 10^21.
	maxMisses = 3
)

// Page is one page of the list.
type Page struct {
	Rows []wire.PoolWorker
	// Next is the name of the next page, empty on the last page.
	Next string
	// Invalid is the number of entries that can't be used, because another writer made them
	// or they can't be decoded. InvalidErr describes the last one.
	Invalid    int
	InvalidErr error
}

// AddInvalid counts an entry that can't be used, for the given reason.
func (p *Page) AddInvalid(reason error) {
	p.Invalid++
	p.InvalidErr = reason
}

// Pager reads one page of the list of a zone, or of all zones if the zone is empty. The name
// of the first page is empty.
type Pager interface {
	Page(ctx context.Context, zone, name string) (Page, error)
}

// Reading is the result of reading the list once.
type Reading struct {
	// Rows are the workers, each once, in no particular order.
	Rows []wire.PoolWorker
	// ReadAt is when the oldest reading began that confirmed a row that is not leaving: a zone that
	// can't be read, a missing row or a contradiction keeps rows of earlier readings.
	ReadAt time.Time
	// Calls is the number of calls for pages. StaleZones are the zones that could not be
	// read; their rows are those of the last reading.
	Calls      int
	StaleZones []string
	// Invalid is the number of entries that can't be used, InvalidErr describes the last one.
	Invalid    int
	InvalidErr error
}

// Reader reads the list repeatedly. It must be used by one goroutine.
type Reader struct {
	pages Pager
	zones []string
	// OnPage, if set, is called with the rows of each page of a first reading when the page
	// arrives. Several goroutines may call it at the same time.
	OnPage func(rows []wire.PoolWorker)
	// byZones is set once the list was long enough to read its zones separately.
	byZones bool
	// known holds the rows of the last reading by zone, or all of them under allZones. misses
	// holds, by worker id, the number of consecutive readings that lacked a known row.
	known  map[string]rowsByID
	misses map[string]int
	// readAt holds, by zone as in known, when its last successful reading began. keptFrom holds, by
	// worker id, when the last reading began that confirmed a row, for rows that the last reading kept.
	readAt   map[string]time.Time
	keptFrom map[string]time.Time
	// contradictions holds, by worker id, the number of consecutive readings in which the list
	// contradicted the known incarnation of the worker.
	contradictions map[string]int
}

// rowsByID holds rows by worker id, which is the same for all incarnations of a worker.
type rowsByID map[string]wire.PoolWorker

// New returns a reader of the pages. zones are the zones that workers may be in. If it is
// empty, or a row has another zone, the list is read as one.
func New(pages Pager, zones []string) *Reader {
	r := &Reader{pages: pages, zones: zones}
	r.Reset()
	return r
}

// Reset drops the known rows, so that the next reading doesn't depend on earlier ones. It is for
// a process that has not read the list for a while.
func (r *Reader) Reset() {
	r.known, r.misses, r.contradictions = map[string]rowsByID{}, map[string]int{}, map[string]int{}
	r.readAt, r.keptFrom = map[string]time.Time{}, map[string]time.Time{}
}

// Continue makes the next reading continue from rows that another process read at readAt. It is for a
// process that takes over.
func (r *Reader) Continue(rows []wire.PoolWorker, readAt time.Time) {
	r.Reset()
	r.byZones = false
	known := make(rowsByID, len(rows))
	for i := range rows {
		known[incarnation.WorkerID(rows[i].ID)] = rows[i]
	}
	r.known[allZones], r.readAt[allZones] = known, readAt
}

// Read reads the list. If a zone can't be read and never was before, it returns the error of
// the platform's call.
func (r *Reader) Read(ctx context.Context) (*Reading, error) {
	zones := []string{allZones}
	if r.byZones {
		zones = r.zones
	}
	startedAt := clock.Now()
	zoneReadings := make([]zoneReading, len(zones))
	var group sync.WaitGroup
	for i, zone := range zones {
		zoneReadings[i] = zoneReading{zone: zone, known: r.known[zone], kept: map[string]bool{}, onPage: r.OnPage}
		group.Go(func() { zoneReadings[i].read(ctx, r.pages) })
	}
	group.Wait()
	reading := &Reading{ReadAt: startedAt}
	for i := range zoneReadings {
		if err := r.merge(reading, &zoneReadings[i], startedAt); err != nil {
			return nil, err
		}
	}
	if !r.byZones && len(reading.StaleZones) == 0 {
		r.chooseMode(reading, startedAt)
	}
	return reading, nil
}

// merge adds the rows read in a zone since startedAt to the reading, or the known rows if the zone
// can't be read.
func (r *Reader) merge(reading *Reading, z *zoneReading, startedAt time.Time) error {
	reading.Calls += z.calls
	if z.err != nil {
		if z.known == nil {
			return z.err
		}
		reading.StaleZones = append(reading.StaleZones, z.zone)
		reading.Rows = slices.AppendSeq(reading.Rows, maps.Values(z.known))
		reading.confirmedFrom(r.readAt[z.zone])
		return nil
	}
	r.reconcileZone(z)
	reading.Invalid += z.invalid
	if z.invalidErr != nil {
		reading.InvalidErr = z.invalidErr
	}
	r.keepMissing(z)
	r.recordKept(reading, z, startedAt)
	r.known[z.zone] = z.rows
	reading.Rows = slices.AppendSeq(reading.Rows, maps.Values(z.rows))
	return nil
}

// keepMissing keeps the known rows of a zone that may be missing only because the list shifted
// between pages.
func (r *Reader) keepMissing(z *zoneReading) {
	for id, row := range z.known {
		if _, found := z.rows[id]; found || z.stable {
			delete(r.misses, id)
			continue
		}
		if r.misses[id]++; r.misses[id] >= maxMisses {
			delete(r.misses, id)
			continue
		}
		z.rows[id] = row
		z.kept[id] = true
	}
}

// confirmedFrom records that a reading that began at readAt is the last one that confirmed some row.
func (r *Reading) confirmedFrom(readAt time.Time) {
	if readAt.Before(r.ReadAt) {
		r.ReadAt = readAt
	}
}

// recordKept records which rows the reading that began at startedAt kept from earlier readings. A
// kept row that is leaving may be of any age, because it can only stay so.
func (r *Reader) recordKept(reading *Reading, z *zoneReading, startedAt time.Time) {
	for id, row := range z.known {
		if !z.kept[id] {
			delete(r.keptFrom, id)
			continue
		}
		if _, found := r.keptFrom[id]; !found {
			r.keptFrom[id] = r.readAt[z.zone]
		}
		if !row.Leaving {
			reading.confirmedFrom(r.keptFrom[id])
		}
	}
	r.readAt[z.zone] = startedAt
}

// chooseMode decides whether later readings read the zones separately.
func (r *Reader) chooseMode(reading *Reading, startedAt time.Time) {
	if len(r.zones) < 2 || reading.Calls < pagesPerZone*len(r.zones) {
		return
	}
	rowsByZone := map[string]rowsByID{}
	for _, zone := range r.zones {
		rowsByZone[zone] = rowsByID{}
	}
	for _, row := range reading.Rows {
		if rowsByZone[row.Zone] == nil {
			return
		}
		rowsByZone[row.Zone][incarnation.WorkerID(row.ID)] = row
	}
	r.byZones, r.known = true, rowsByZone
	for _, zone := range r.zones {
		r.readAt[zone] = startedAt
	}
}

// zoneReading is the reading of one zone, or of all zones as one.
type zoneReading struct {
	zone   string
	known  rowsByID
	rows   rowsByID
	onPage func(rows []wire.PoolWorker)
	// kept holds the ids of the workers whose row is that of an earlier reading.
	kept map[string]bool
	// conflicting holds the worker ids for which the reading has different endpoints.
	conflicting map[string]bool
	// stable is set if the list did not shift while it was read: rows that are missing have
	// been removed.
	stable bool
	calls  int
	err    error
	// invalid is the number of entries that can't be used, invalidErr describes the last one.
	invalid    int
	invalidErr error
}

// read reads the zone. The removal of a row shifts the rows behind it forward, so that one of them
// may move from a page that has not been read to one that has. Therefore the zone is read a second
// time if a known row is missing: if both readings have the same workers, the list did not shift.
// Otherwise the rows of both readings are used.
func (z *zoneReading) read(ctx context.Context, pages Pager) {
	pageCount := 0
	z.rows, pageCount, z.err = z.readOnce(ctx, pages)
	if z.err != nil {
		return
	}
	z.stable = pageCount == 1
	if z.stable || !z.missesKnown() {
		return
	}
	keptBefore := z.kept
	second, _, err := z.readOnce(ctx, pages)
	if err != nil {
		z.kept = keptBefore
		return
	}
	for id := range keptBefore {
		if _, found := second[id]; !found {
			z.kept[id] = true
		}
	}
	z.stable = sameIDs(z.rows, second)
	for id, row := range second {
		if before, found := z.rows[id]; found && before.ID == row.ID {
			row.Leaving = row.Leaving || before.Leaving
		}
		z.rows[id] = row
	}
}

func sameIDs(a, b rowsByID) bool {
	return len(a) == len(b) && !slices.ContainsFunc(slices.Collect(maps.Keys(a)), func(id string) bool { _, found := b[id]; return !found })
}

// missesKnown reports whether the rows read lack a known row.
func (z *zoneReading) missesKnown() bool {
	for id := range z.known {
		if _, found := z.rows[id]; !found {
			return true
		}
	}
	return false
}

// readOnce reads all pages in sequence and returns their rows and number.
func (z *zoneReading) readOnce(ctx context.Context, pages Pager) (rowsByID, int, error) {
	rows := rowsByID{}
	z.invalid, z.invalidErr, z.conflicting, z.kept = 0, nil, map[string]bool{}, map[string]bool{}
	name, count := "", 0
	for {
		page, err := z.page(ctx, pages, name)
		if err != nil {
			return nil, count, err
		}
		count++
		z.recordInvalid(&page)
		for i := range page.Rows {
			z.add(rows, &page.Rows[i])
		}
		if z.known == nil && z.onPage != nil {
			z.onPage(page.Rows)
		}
		if page.Next == "" {
			return rows, count, nil
		}
		name = page.Next
	}
}

// page reads a page, with up to maxPageAttempts attempts. The time is limited for each page, not for
// the reading, so that a reading of a long list or at a slow platform comes to its end.
func (z *zoneReading) page(ctx context.Context, pages Pager, name string) (Page, error) {
	for attempt := 1; ; attempt++ {
		z.calls++
		pageContext, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err := pages.Page(pageContext, z.zone, name)
		cancel()
		if err == nil || attempt == maxPageAttempts {
			return page, err
		}
		select {
		case <-ctx.Done():
			return Page{}, failure.Wrap(err, failure.NotRun, "wait for the platform", "the list can't be read in time")
		case <-time.After(retryInterval):
		}
	}
}

const (
	// rateDivisor limits readings to 1/rateDivisor of the platform's call rate, because other
	// clients read the list, too.
	rateDivisor = 10
	// maxPollInterval bounds the time between readings. A worker may be sent requests only
	// for some seconds after it is listed as leaving, and the update to the other processes
	// takes part of that time.
	maxPollInterval = 1500 * time.Millisecond
)

// PollInterval returns the time between a reading that took the given number of calls and the
// next one. It is interval, or longer, up to maxPollInterval, if the platform's rate limit
// of perSecond calls per second requires that; 0 means that the limit is unknown. At 430
// calls per second it is 1.2 s for the 51 pages of 10,000 workers.
func PollInterval(interval time.Duration, calls int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return interval
	}
	paced := time.Duration(float64(calls*rateDivisor) / perSecond * float64(time.Second))
	return max(interval, min(paced, maxPollInterval))
}
