// Package capacity says what workers can carry: how many requests each runs at once, how
// fast, and when one more would begin. It is pure.
package capacity

// Report is what a worker says of itself in the head of an answer. It is true of the moment
// at which the worker said it.
type Report struct {
	// Running and Waiting count its requests.
	Running int
	Waiting int
	// Slots is how many requests it runs at once, zero where it does not tell.
	Slots int
	// Pace is how long work takes there now, in hundredths of the usual; zero where it does
	// not tell.
	Pace int
}
