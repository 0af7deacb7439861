package admission

import "time"

// Claim is what a request brings to the order in which scarce room is given out.
type Claim struct {
	// Rank goes first where it is smaller: the tenant's, or else the route's.
	Rank int
	// Over is set where its tenant has more than its share of the room.
	Over bool
	// Due is until when the first event is in time, counted from the caller's first attempt,
	// and Leaves until when the caller waits at all.
	Due    time.Time
	Leaves time.Time
	// Returned is set where the caller was sent back before.
	Returned bool
}
