package capacity

import "time"

// Sum is what some workers can carry together.
type Sum struct {
	// Slots counts their slots, and Worth does so in slots of a worker of the middle speed.
	Slots           int
	NormalizedSlots float64
	// AsOf is when what it rests on was told.
	AsOf time.Time
}

// Add adds a worker that takes requests.
func (s *Sum) Add(slots int, slowness float64) {
	s.Slots += slots
	s.NormalizedSlots += float64(slots) / ClampSlowness(slowness)
}

// Plus returns the sum of both, as old as the older.
func (s Sum) Plus(other Sum) Sum {
	at := s.AsOf
	if other.AsOf.Before(at) {
		at = other.AsOf
	}
	return Sum{Slots: s.Slots + other.Slots, NormalizedSlots: s.NormalizedSlots + other.NormalizedSlots, AsOf: at}
}

// Speed is the mean speed of the slots, 1 where all are of the middle one or there are none.
func (s Sum) Speed() float64 {
	if s.Slots == 0 || s.NormalizedSlots <= 0 {
		return 1
	}
	return s.NormalizedSlots / float64(s.Slots)
}
