package fairshare

import "time"

// ticketTTL is the minimum time for which the answer to a ticket is kept. It is longer than the
// time for which an edge repeats a query.
const ticketTTL = 500 * time.Millisecond

// tickets holds the answers to recent queries, by the ticket that identifies the request. current
// holds the answers since rotatedAt, previous holds those of the period before rotatedAt. The zero
// value is ready for use.
type tickets struct {
	rotatedAt time.Time
	current   map[uint64]Standing
	previous  map[uint64]Standing
}

// find returns the answer that an earlier query with the ticket got, and whether there was one.
func (t *tickets) find(now time.Time, ticket uint64) (Standing, bool) {
	if t.current == nil || now.Sub(t.rotatedAt) >= ticketTTL {
		if t.previous == nil {
			t.previous = map[uint64]Standing{}
		}
		// The maps are swapped so that their memory is reused.
		t.previous, t.current, t.rotatedAt = t.current, t.previous, now
		clear(t.current)
	}
	if standing, found := t.current[ticket]; found {
		return standing, true
	}
	standing, found := t.previous[ticket]
	return standing, found
}

func (t *tickets) add(ticket uint64, standing Standing) { t.current[ticket] = standing }
