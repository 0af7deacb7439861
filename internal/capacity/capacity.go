// Package capacity models what workers can serve: how many requests each runs at once, how fast, and
// when one more would start. It is pure.
package capacity

// Report is the state that a worker reports in the header of an answer, as of the time at which it
// was sent.
type Report struct {
	// Running and Waiting are the numbers of its requests that run and wait.
	Running int
	Waiting int
	// Slots is how many requests it runs at once, zero if it does not report that.
	Slots int
	// Pace is the time that work takes at present, in percent of the usual time; zero if the worker
	// does not report it.
	Pace int
}
