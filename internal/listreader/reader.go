// Package listreader reads a platform's list of workers that comes in pages. Rows may move
// from page to page while it is read, calls may be refused, and the list may be long: a
// reading of it loses no row that is there, names none twice, and keeps what was known of
// a zone that can't be read now.
package listreader

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// retryPause is the time before a page that failed is asked for again, pageTries how
	// often it is: a refusal over the platform's rate is over within a part of a second.
	retryPause = 60 * time.Millisecond
	pageTries  = 4
	// pagesPerZone is from how many pages a zone on a list is read by zones, all at the
	// same time. A short list takes fewer calls whole.
	pagesPerZone = 2
	// wholeZone stands for all zones.
	wholeZone = ""
	// mostMisses is in how many readings a row may be missing that was not seen to be gone
	// in a calm one: with 25 rows of 10,000 leaving each second one that is there slips
	// from a reading of 0.1 s in 1 of 4,000, and so from all of these in 1 of 10^21.
	mostMisses = 3
)

// Page is a part of the list.
type Page struct {
	Rows []wire.PoolWorker
	// Next names the page that follows, empty for none.
	Next string
	// Invalid counts entries that name no worker to use, and Oddity says why the last one
	// does not: they come from another writer, or can't be read.
	Invalid    int
	InvalidErr error
}

// AddInvalid counts an entry that names no worker to use.
func (p *Page) AddInvalid(why error) {
	p.Invalid++
	p.InvalidErr = why
}

// Pager reads one page of the list of a zone, of all zones where that is empty. The first
// page has the empty name.
type Pager interface {
	Page(ctx context.Context, zone, name string) (Page, error)
}

// Reading is what came of reading the list.
type Reading struct {
	// Rows are the workers, by no special order, each once.
	Rows []wire.PoolWorker
	// Calls is how many pages were asked for. Kept names zones that could not be read,
	// whose rows are those of the last reading.
	Calls      int
	StaleZones []string
	// Invalid counts entries that name no worker to use, Oddity says why the last one does not.
	Invalid    int
	InvalidErr error
}

// Reader reads the list again and again. It is used by one goroutine.
type Reader struct {
	pages Pager
	zones []string
	// OnPage, if set, is called with the rows of each page of a first reading as it comes. It
	// is called by several goroutines.
	OnPage func(rows []wire.PoolWorker)
	// byZones is set once the list has been found to be long.
	byZones bool
	// known holds the rows of the last reading by zone, or all under wholeZone, and missed
	// in how many readings in a row some of them were missing.
	known  map[string]rowsByID
	missed map[string]int
	// doubted holds in how many readings in a row the list has contradicted what is known of
	// a worker's life.
	doubted map[string]int
}

// rowsByID holds rows by the ids of the workers, whatever life of theirs is listed.
type rowsByID map[string]wire.PoolWorker

// New returns a reader of the pages. zones are the zones that workers may be in; where
// there are none, or a row has another one, the list is read whole.
func New(pages Pager, zones []string) *Reader {
	return &Reader{pages: pages, zones: zones, known: map[string]rowsByID{}, missed: map[string]int{}, doubted: map[string]int{}}
}

// Reset drops what was known, so that the next reading stands for itself: for a process
// that has not read the list for a while.
func (r *Reader) Reset() {
	r.known, r.missed, r.doubted = map[string]rowsByID{}, map[string]int{}, map[string]int{}
}

// Read reads the list. It fails with what the platform's call failed with while any zone
// has never been read.
func (r *Reader) Read(ctx context.Context) (*Reading, error) {
	zones := []string{wholeZone}
	if r.byZones {
		zones = r.zones
	}
	parts := make([]part, len(zones))
	var readings sync.WaitGroup
	for i, zone := range zones {
		parts[i] = part{zone: zone, known: r.known[zone], came: r.OnPage}
		readings.Go(func() { parts[i].read(ctx, r.pages) })
	}
	readings.Wait()
	reading := &Reading{}
	for i := range parts {
		if err := r.take(reading, &parts[i]); err != nil {
			return nil, err
		}
	}
	if !r.byZones {
		r.look(reading)
	}
	return reading, nil
}

// take takes in what came of a zone.
func (r *Reader) take(reading *Reading, p *part) error {
	reading.Calls += p.calls
	if p.err != nil {
		if p.known == nil {
			return p.err
		}
		reading.StaleZones = append(reading.StaleZones, p.zone)
		p.rows = p.known
	}
	r.settleLives(p)
	reading.Invalid += p.odd
	if p.oddity != nil {
		reading.InvalidErr = p.oddity
	}
	r.keepMissing(p)
	r.known[p.zone] = p.rows
	reading.Rows = slices.AppendSeq(reading.Rows, maps.Values(p.rows))
	return nil
}

// keepMissing keeps rows of a zone that are missing but may only have slipped.
func (r *Reader) keepMissing(p *part) {
	for id, row := range p.known {
		if _, found := p.rows[id]; found || p.calm {
			delete(r.missed, id)
			continue
		}
		if r.missed[id]++; r.missed[id] >= mostMisses {
			delete(r.missed, id)
			continue
		}
		p.rows[id] = row
	}
}

// look decides how to read from now on.
func (r *Reader) look(reading *Reading) {
	if len(r.zones) < 2 || reading.Calls < pagesPerZone*len(r.zones) {
		return
	}
	parts := map[string]rowsByID{}
	for _, zone := range r.zones {
		parts[zone] = rowsByID{}
	}
	for _, row := range reading.Rows {
		if parts[row.Zone] == nil {
			return
		}
		parts[row.Zone][incarnation.WorkerID(row.ID)] = row
	}
	r.byZones, r.known = true, parts
}

// part is the reading of one zone.
type part struct {
	zone  string
	known rowsByID
	rows  rowsByID
	came  func(rows []wire.PoolWorker)
	// disputed holds the ids that two entries of a reading give to different places.
	disputed map[string]bool
	// calm is set where the list did not move while it was read: what is missing is gone.
	calm  bool
	calls int
	err   error
	// odd and oddity are those of the pages read.
	odd    int
	oddity error
}

// read reads the zone. Where the list has pages, a row that leaves moves those behind it
// forward, and one of them may slip from a page that comes into one that was read. So
// where a row is missing the zone is read a second time: if both readings are alike,
// nothing moved. Else a row of either is there.
func (p *part) read(ctx context.Context, pages Pager) {
	pageCount := 0
	p.rows, pageCount, p.err = p.readOnce(ctx, pages)
	if p.err != nil {
		return
	}
	p.calm = pageCount == 1
	if p.calm || !p.misses() {
		return
	}
	again, _, err := p.readOnce(ctx, pages)
	if err != nil {
		return
	}
	p.calm = sameIDs(p.rows, again)
	maps.Copy(p.rows, again)
}

func sameIDs(a, b rowsByID) bool {
	return len(a) == len(b) && !slices.ContainsFunc(slices.Collect(maps.Keys(a)), func(id string) bool { _, found := b[id]; return !found })
}

// misses reports whether a row that was known has not been read.
func (p *part) misses() bool {
	for id := range p.known {
		if _, found := p.rows[id]; !found {
			return true
		}
	}
	return false
}

// readOnce reads all pages one after the other.
func (p *part) readOnce(ctx context.Context, pages Pager) (rowsByID, int, error) {
	rows := rowsByID{}
	p.odd, p.oddity, p.disputed = 0, nil, map[string]bool{}
	name, count := "", 0
	for {
		page, err := p.page(ctx, pages, name)
		if err != nil {
			return nil, count, err
		}
		count++
		p.noteOdd(&page)
		for i := range page.Rows {
			p.add(rows, &page.Rows[i])
		}
		if p.known == nil && p.came != nil {
			p.came(page.Rows)
		}
		if page.Next == "" {
			return rows, count, nil
		}
		name = page.Next
	}
}

// page reads a page, again where that fails.
func (p *part) page(ctx context.Context, pages Pager, name string) (Page, error) {
	for try := 1; ; try++ {
		p.calls++
		page, err := pages.Page(ctx, p.zone, name)
		if err == nil || try == pageTries {
			return page, err
		}
		select {
		case <-ctx.Done():
			return Page{}, failure.Wrap(err, failure.NotRun, "wait for the platform", "the list can't be read in time")
		case <-time.After(retryPause):
		}
	}
}

const (
	// ratePart is the part of the calls a second that the platform takes, one in so many,
	// that readings may use: others read the list, too.
	ratePart = 10
	// longestPause bounds the time between readings: a worker that is to end may get
	// requests for some seconds after it is listed as leaving, and the news go on from here.
	longestPause = 1500 * time.Millisecond
)

// PollInterval returns the time to the next reading after one of so many calls: interval, or
// longer where the platform takes so few calls a second (0 for unknown). At 430 calls a
// second it is 1.2 s for the 51 pages of 10,000 workers.
func PollInterval(interval time.Duration, calls int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return interval
	}
	paced := time.Duration(float64(calls*ratePart) / perSecond * float64(time.Second))
	return max(interval, min(paced, longestPause))
}
