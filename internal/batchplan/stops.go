package batchplan

import "time"

// Worker holds the slots of a worker and the requests that it has.
type Worker struct {
	Slots  int
	Online int
	// Items counts the items that have not been told to stop.
	Items int
}

// RequiredStops returns how many items at a worker must be preempted so that the online requests
// that wait there get a slot within maxWait. A preemption has a cost: when the item resumes, the
// worker processes the prompt and the output so far again. If online requests hold most slots,
// one of them soon frees its slot and fewer items need to stop; slots held by items stay
// occupied, because items run for long. holdTime is how long an online request holds a slot; if
// it is zero (unknown), no online request may wait.
func RequiredStops(worker Worker, holdTime, maxWait time.Duration) int {
	excess := worker.Online + worker.Items - worker.Slots
	stops := 0
	for ; stops < min(excess, worker.Items); stops++ {
		waiting := excess - stops
		running := worker.Slots - (worker.Items - stops)
		if holdTime > 0 && running > 0 && holdTime*time.Duration(waiting) <= maxWait*time.Duration(running) {
			break
		}
	}
	return stops
}
