package batchstore

import (
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/origin"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxOriginTime limits for how long an origin is kept, whatever its report says.
const maxOriginTime = 5 * time.Minute

// origins holds the origins of the streams that edges reported to this process.
type origins struct {
	mutex    sync.Mutex
	registry *origin.Registry
	// unwritten holds the origins that are not in the origin log yet.
	unwritten []wire.StreamOrigin
}

// maxUnwritten bounds the origins that wait while the disk is slow. Later ones are not stored.
const maxUnwritten = 1 << 16

func newOrigins() *origins { return &origins{registry: origin.NewRegistry()} }

// isOriginReport reports whether a report is only about origins.
func isOriginReport(report *wire.LoadReport) bool {
	return len(report.Origins)+len(report.Lookups) > 0
}

// put stores origins. The caller holds the mutex.
func (o *origins) put(now time.Time, rows []wire.StreamOrigin) {
	for i := range rows {
		row := &rows[i]
		began := origin.Origin{Pool: row.Pool, Version: incarnation.Version(row.Version)}
		o.registry.Put(now, origin.Key(row.Stream), began, min(time.Duration(row.KeepMillis)*time.Millisecond, maxOriginTime))
	}
}

// restore stores the origins that were in the origin log when this process started.
func (o *origins) restore(now time.Time, rows []wire.StreamOrigin) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.put(now, rows)
}

// takeUnwritten returns the origins to write to the origin log.
func (o *origins) takeUnwritten() []wire.StreamOrigin {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	rows := o.unwritten
	o.unwritten = nil
	return rows
}

// answer stores the origins in a report and returns those that it asks for, nil if it asks for none.
func (o *origins) answer(now time.Time, report *wire.LoadReport) *wire.LoadReport {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.put(now, report.Origins)
	if len(o.unwritten) < maxUnwritten {
		o.unwritten = append(o.unwritten, report.Origins...)
	}
	if len(report.Lookups) == 0 {
		return nil
	}
	answer := &wire.LoadReport{}
	for _, stream := range report.Lookups {
		if found, known := o.registry.Get(now, origin.Key(stream)); known {
			answer.Origins = append(answer.Origins, wire.StreamOrigin{Stream: stream, Pool: found.Pool, Version: string(found.Version)})
		} else {
			answer.Unknown = append(answer.Unknown, stream)
		}
	}
	return answer
}
