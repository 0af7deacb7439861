package listreader

import (
	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxContradictions is how many consecutive readings must contradict the known incarnation of a
// worker before the list is accepted. A reading contradicts it if the list names an earlier
// incarnation, or lists a worker as ready that is known to be leaving. At two readings a second
// this takes 5 s, after which stale entries have disappeared from the list: the worker's clock must
// have been set back, or the worker has restarted.
const maxContradictions = 10

// reconcileZone compares the rows read in a zone with the known ones: an earlier incarnation is
// a stale entry, and a worker that was leaving and is ready again has restarted.
func (r *Reader) reconcileZone(z *zoneReading) {
	for id, row := range z.rows {
		known, found := z.known[id]
		if !found {
			continue
		}
		resolved, kept, err := r.reconcile(id, &known, &row)
		if err != nil {
			z.invalid++
			z.invalidErr = err
		}
		z.rows[id] = resolved
		if kept {
			z.kept[id] = true
		}
	}
	for id := range r.contradictions {
		if _, found := z.rows[id]; !found && z.known[id].ID != "" {
			delete(r.contradictions, id)
		}
	}
}

// reconcile returns the row to use for a worker, whether that is the known one although the row read
// contradicts it, and an error if the row read is a stale entry.
func (r *Reader) reconcile(id string, known, row *wire.PoolWorker) (resolved wire.PoolWorker, kept bool, err error) {
	knownStart, listedStart := incarnation.StartTime(known.ID), incarnation.StartTime(row.ID)
	resolved = *row
	if listedStart == 0 {
		// The list has no start times: assume the known incarnation, unless the worker was
		// leaving and is ready again, or runs another version.
		listedStart = knownStart
	}
	version := incarnation.VersionOf(row.ID)
	if version == "" && listedStart == knownStart {
		version = incarnation.VersionOf(known.ID)
	}
	resolved.ID = incarnation.Name(id, listedStart, version)
	earlier := listedStart < knownStart
	restarted := listedStart == knownStart && known.Leaving && !row.Leaving
	if !earlier && !restarted {
		delete(r.contradictions, id)
		return resolved, false, nil
	}
	if r.contradictions[id]++; r.contradictions[id] < maxContradictions {
		if earlier {
			return *known, true, errors.Newf("%s is listed as of an earlier life", id)
		}
		return *known, true, nil
	}
	delete(r.contradictions, id)
	if restarted {
		resolved.ID = incarnation.Name(id, max(clock.Now().UnixMilli(), knownStart+1), incarnation.VersionOf(row.ID))
	}
	return resolved, false, nil
}
