package routetable

// Splitter distributes the requests of routes over their pools by weight, with
// smooth weighted round robin: over any series of requests the count of each part
// deviates from its share by less than one request per part. Its state is kept
// when the configuration changes, so that a change doesn't restart the rounds.
type Splitter struct {
	credits map[splitKey]int
}

// splitKey identifies a part of a route by its index in the list, because a pool
// may be listed twice.
type splitKey struct {
	route string
	part  int
}

// NewSplitter returns a splitter without any requests counted.
func NewSplitter() *Splitter { return &Splitter{credits: map[splitKey]int{}} }

// Next returns the pool for the route's next request. It skips the pools that
// are not usable, and returns an empty string if none is.
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
