package capacity

import "time"

// Sum is what some workers can carry together.
type Sum struct {
	// Slots counts their slots, and Worth does so in slots of a worker of the middle speed.
	Slots int
	Worth float64
	// At is when what it rests on was told.
	At time.Time
}

// Add adds a worker that takes requests.
func (s *Sum) Add(slots int, slowness float64) {
	s.Slots += slots
	s.Worth += float64(slots) / Believable(slowness)
}

// Plus returns the sum of both, as old as the older.
func (s Sum) Plus(other Sum) Sum {
	at := s.At
	if other.At.Before(at) {
		at = other.At
	}
	return Sum{Slots: s.Slots + other.Slots, Worth: s.Worth + other.Worth, At: at}
}

// Speed is the mean speed of the slots, 1 where all are of the middle one or there are none.
func (s Sum) Speed() float64 {
	if s.Slots == 0 || s.Worth <= 0 {
		return 1
	}
	return s.Worth / float64(s.Slots)
}
