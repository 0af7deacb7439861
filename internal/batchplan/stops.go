package batchplan

import "time"

// Worker is how many requests a worker has.
type Worker struct {
	Slots  int
	Online int
	// Items counts items that are not about to stop.
	Items int
}

// RequiredStops returns how many items at a worker must stop so that the online requests
// that wait there come to run within patience. A stop is not free: the prompt and
// what was made are read again. Where online requests hold most slots, one of them
// ends soon; where items do, none does, because items run for long. hold is how
// long an online request holds a slot; where it is unknown, nobody is to wait.
func RequiredStops(place Worker, hold, patience time.Duration) int {
	over := place.Online + place.Items - place.Slots
	stops := 0
	for ; stops < min(over, place.Items); stops++ {
		waiting := over - stops
		running := place.Slots - (place.Items - stops)
		if hold > 0 && running > 0 && hold*time.Duration(waiting) <= patience*time.Duration(running) {
			break
		}
	}
	return stops
}
