package capacity

import "time"

// Sum is the total capacity of some workers.
type Sum struct {
	// Slots is the number of the workers' slots. NormalizedSlots is the same capacity in slots of a
	// worker of median speed.
	Slots           int
	NormalizedSlots float64
	// AsOf is when the data behind the sum was reported.
	AsOf time.Time
}

// Add adds a worker that accepts requests.
func (s *Sum) Add(slots int, slowness float64) {
	s.Slots += slots
	s.NormalizedSlots += float64(slots) / ClampSlowness(slowness)
}

// Plus returns the sum of both, with the older AsOf.
func (s Sum) Plus(other Sum) Sum {
	asOf := s.AsOf
	if other.AsOf.Before(asOf) {
		asOf = other.AsOf
	}
	return Sum{Slots: s.Slots + other.Slots, NormalizedSlots: s.NormalizedSlots + other.NormalizedSlots, AsOf: asOf}
}

// Speed returns the mean speed of the slots relative to the median, 1 if there are none.
func (s Sum) Speed() float64 {
	if s.Slots == 0 || s.NormalizedSlots <= 0 {
		return 1
	}
	return s.NormalizedSlots / float64(s.Slots)
}
