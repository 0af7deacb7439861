package routetable

// Splitter shares the requests of routes out to their parts by weight: over any
// run of requests a part's share is off its weight's by less than one request
// per part (smooth weighted round robin). Its state outlives configurations, so
// that a change does not begin the round anew.
type Splitter struct {
	credits map[splitKey]int
}

// splitKey names a part of a route by its place in the list, because a pool may
// stand there twice.
type splitKey struct {
	route string
	part  int
}

// NewSplitter returns a splitter at the start of all rounds.
func NewSplitter() *Splitter { return &Splitter{credits: map[splitKey]int{}} }

// Next returns the pool of the route's next request. Parts that the usable
// function turns down get none; where it turns down all, the result is empty.
func (s *Splitter) Next(route *Route, usable func(pool string) bool) string {
	best, total := -1, 0
	for i, part := range route.Parts {
		if part.Weight <= 0 || !usable(part.Pool) {
			continue
		}
		key := splitKey{route.Name, i}
		s.credits[key] += part.Weight
		total += part.Weight
		if best < 0 || s.credits[key] > s.credits[splitKey{route.Name, best}] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.credits[splitKey{route.Name, best}] -= total
	return route.Parts[best].Pool
}
