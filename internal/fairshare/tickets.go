package fairshare

import "time"

// ticketTime is how long a request's question is remembered at least: for longer than an
// edge goes on asking it.
const ticketTime = 500 * time.Millisecond

// tickets remembers the questions of late. The zero value is ready for use.
type tickets struct {
	began   time.Time
	current map[uint64]Standing
	before  map[uint64]Standing
}

// find returns the answer to a question that was asked before.
func (t *tickets) find(now time.Time, ticket uint64) (Standing, bool) {
	if t.current == nil || now.Sub(t.began) >= ticketTime {
		if t.before == nil {
			t.before = map[uint64]Standing{}
		}
		// The maps are used in turn, so that they needn't grow again.
		t.before, t.current, t.began = t.current, t.before, now
		clear(t.current)
	}
	if standing, found := t.current[ticket]; found {
		return standing, true
	}
	standing, found := t.before[ticket]
	return standing, found
}

func (t *tickets) add(ticket uint64, standing Standing) { t.current[ticket] = standing }
