package listreader

import (
	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// lifeReadings is after how many readings in a row, 5 s at two a second, a list is believed
// that names an earlier life than was known, or calls a leaving worker ready: an old message
// is gone by then, and a worker's clock may have been set back.
const lifeReadings = 10

// settleLives compares the rows read of a zone with those known: an earlier life is an old
// message, and a worker that was leaving and is ready again has started anew.
func (r *Reader) settleLives(p *part) {
	for id, row := range p.rows {
		known, found := p.known[id]
		if !found {
			continue
		}
		settled, odd := r.settle(id, &known, &row)
		if odd != nil {
			p.odd++
			p.oddity = odd
		}
		p.rows[id] = settled
	}
	for id := range r.doubted {
		if _, found := p.rows[id]; !found && p.known[id].ID != "" {
			delete(r.doubted, id)
		}
	}
}

// settle returns the row to use of a worker, and what is odd of the one that was read.
func (r *Reader) settle(id string, known, row *wire.PoolWorker) (wire.PoolWorker, error) {
	was, is := incarnation.StartTime(known.ID), incarnation.StartTime(row.ID)
	settled := *row
	if is == 0 {
		// The list tells no starts: it is the life that was known, but for what follows.
		settled.ID, is = known.ID, was
	}
	older := is < was
	again := is == was && known.Leaving && !row.Leaving
	if !older && !again {
		delete(r.doubted, id)
		return settled, nil
	}
	if r.doubted[id]++; r.doubted[id] < lifeReadings {
		if older {
			return *known, errors.Newf("%s is listed as of an earlier life", id)
		}
		return *known, nil
	}
	delete(r.doubted, id)
	if again {
		settled.ID = incarnation.Name(id, max(clock.Now().UnixMilli(), was+1))
	}
	return settled, nil
}
