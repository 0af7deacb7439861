package listreader

import (
	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// recordInvalid adds the page's invalid entries to those of the zone.
func (z *zoneReading) recordInvalid(page *Page) {
	z.invalid += page.Invalid
	if page.InvalidErr != nil {
		z.invalidErr = page.InvalidErr
	}
}

// add adds a row to those read. A row may occur twice if the list shifts while it is read.
// Of two incarnations of a worker the later one is used. Two entries of the same incarnation
// with different endpoints or versions come from different writers and are a conflict.
func (z *zoneReading) add(rows rowsByID, row *wire.PoolWorker) {
	id := incarnation.WorkerID(row.ID)
	if z.conflicting[id] {
		return
	}
	before, found := rows[id]
	switch {
	case !found:
		rows[id] = *row
	case sameEndpoint(&before, row) && sameIncarnation(before.ID, row.ID):
		// The list may shift while it is read, or have two writers. A worker does not return from
		// leaving, so the entry that says so is right.
		merged := *row
		if incarnation.VersionOf(row.ID) == "" {
			merged = before
		}
		merged.Leaving = before.Leaving || row.Leaving
		rows[id] = merged
	case incarnation.StartTime(row.ID) != incarnation.StartTime(before.ID):
		if incarnation.StartTime(row.ID) > incarnation.StartTime(before.ID) {
			rows[id] = *row
		}
	default:
		z.recordConflict(rows, id, &before, row)
	}
}

// recordConflict handles two entries that give a worker different endpoints: it keeps the row
// of the previous reading if that agrees with either entry, or else uses neither.
func (z *zoneReading) recordConflict(rows rowsByID, id string, first, second *wire.PoolWorker) {
	z.invalid++
	z.invalidErr = errors.Newf("%s is at %s and at %s", id, first.Address, second.Address)
	z.conflicting[id] = true
	delete(rows, id)
	known, found := z.known[id]
	if !found {
		return
	}
	for _, entry := range []*wire.PoolWorker{first, second} {
		if sameEndpoint(&known, entry) {
			known.Leaving = known.Leaving || entry.Leaving
			rows[id] = known
			z.kept[id] = true
		}
	}
}

// sameIncarnation reports whether two names of a worker may mean the same incarnation: they have the
// same start time, and not two different versions.
func sameIncarnation(a, b string) bool {
	versions := [2]incarnation.Version{incarnation.VersionOf(a), incarnation.VersionOf(b)}
	return incarnation.StartTime(a) == incarnation.StartTime(b) && (versions[0] == versions[1] || versions[0] == "" || versions[1] == "")
}

// sameEndpoint reports whether two rows have the same pool, address and zone.
func sameEndpoint(a, b *wire.PoolWorker) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone
}
