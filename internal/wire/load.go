package wire

// LoadReport tells how many requests a process has at each worker. It travels as
// a datagram, so it is packed without names.
//
//msgp:tuple LoadReport
type LoadReport struct {
	// Source is the hash of the sender's name.
	Source  uint32
	Workers []WorkerLoad
}

// WorkerLoad is the load of one worker.
//
//msgp:tuple WorkerLoad
type WorkerLoad struct {
	// Worker is the hash of the worker's id.
	Worker uint32
	// Online and Batch count requests of each kind.
	Online uint16
	Batch  uint16
	// Unread counts prompt tokens that are still to be read.
	Unread uint32
	// Told is set in reports to the hub: one more than the requests that the
	// worker said it has, where it has said so since the last report.
	Told uint16
	// Answered and Failed are set in reports to the hub: how many requests the
	// worker has answered since the last one, and how many it failed or was
	// silent at.
	Answered uint16
	Failed   uint16
	// Steps and StepMicros are set in reports to the hub: how many times between
	// events the sender has seen at the worker since the last one, and their sum.
	Steps      uint16
	StepMicros uint32
	// Step is set by the hub: the worker's mean time between events, in
	// microseconds; zero means unknown.
	Step uint32
	// Rate is set by the hub: how many online requests the worker answers in ten
	// seconds.
	Rate uint16
	// Orphans is set by the hub: how many requests the worker seems to have
	// that no living process answers for.
	Orphans uint16
	// Failing is set by the hub where the worker fails too many requests.
	Failing bool
}
