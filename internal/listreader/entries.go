package listreader

import (
	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// noteOdd takes in what is odd of a page.
func (p *part) noteOdd(page *Page) {
	p.odd += page.Invalid
	if page.InvalidErr != nil {
		p.oddity = page.InvalidErr
	}
}

// add adds a row to those read. A row may stand twice where the list moves while it is
// read. Of two lives of a worker the later one counts. Two entries of one id in different
// places are not of one writer: what was known before holds, and else neither is used.
func (p *part) add(rows rowsByID, row *wire.PoolWorker) {
	id := incarnation.WorkerID(row.ID)
	if p.disputed[id] {
		return
	}
	before, twice := rows[id]
	switch {
	case !twice || samePlace(&before, row) && incarnation.StartTime(row.ID) == incarnation.StartTime(before.ID):
		rows[id] = *row
	case incarnation.StartTime(row.ID) != incarnation.StartTime(before.ID):
		if incarnation.StartTime(row.ID) > incarnation.StartTime(before.ID) {
			rows[id] = *row
		}
	default:
		p.dispute(rows, id, &before, row)
	}
}

// dispute takes in that two entries give a worker different places.
func (p *part) dispute(rows rowsByID, id string, first, second *wire.PoolWorker) {
	p.odd++
	p.oddity = errors.Newf("%s is at %s and at %s", id, first.Address, second.Address)
	p.disputed[id] = true
	delete(rows, id)
	known, found := p.known[id]
	if found && (samePlace(&known, first) || samePlace(&known, second)) {
		rows[id] = known
	}
}

// samePlace reports whether two rows name a worker of the same pool at the same place.
func samePlace(a, b *wire.PoolWorker) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone
}
