package wire

import "slices"

//msgp:limit arrays:65536 maps:65536

// RunReport tells of one run of a request: its worker ended under it, or it came to a good
// end.
//
//msgp:tuple RunReport
type RunReport struct {
	// Request is the request's quarantine.Fingerprint.
	Request uint64
	// Worker is the hash of the worker's id, where it ended under the request; zero means
	// a good end.
	Worker uint32
	// AgoMillis is how long before the report the run began, zero for unknown. A run that
	// began after an end of the worker tells of another end: the worker was back.
	AgoMillis uint32
}

// QuarantineReport is what a process tells the coordinators of runs, and asks of them.
type QuarantineReport struct {
	// Runs are in the order in which they ended.
	Runs []RunReport `msg:"runs"`
	// Trial, where it is not zero, asks whether the refused request may be tried now.
	Trial uint64 `msg:"trial"`
	// Known is the revision that the process knows.
	Known uint64 `msg:"known"`
}

// QuarantineAnswer is the answer to a QuarantineReport.
type QuarantineAnswer struct {
	News QuarantineNews `msg:"news"`
	// Granted is set where the request may be tried, by the asker, once; otherwise
	// WaitMillis is after which time to ask again.
	Granted    bool  `msg:"granted"`
	WaitMillis int64 `msg:"wait_millis"`
}

// QuarantineNews tells what has changed since a revision.
type QuarantineNews struct {
	Revision uint64 `msg:"revision"`
	// Whole is set where Rows are all there are, and not only what differs.
	Whole bool            `msg:"whole"`
	Rows  []QuarantineRow `msg:"rows"`
}

// Urgent reports whether the news change what is refused: what tells only of suspects may
// wait for the next answer.
func (n *QuarantineNews) Urgent() bool {
	return n.Whole || slices.ContainsFunc(n.Rows, func(row QuarantineRow) bool { return row.Refused || len(row.Ended) == 0 })
}

// QuarantineRow is what is known of a request. One without any worker is
// known no more.
//
//msgp:tuple QuarantineRow
type QuarantineRow struct {
	Request uint64
	// Ended holds the hashes of the workers that ended under it since its last good end.
	Ended   []uint32
	Refused bool
}

// QuarantineCommand changes what the fleet group knows of requests.
type QuarantineCommand struct {
	// AtMillis is the leader's time by package clock, which only tells two ends of one
	// worker apart.
	AtMillis int64       `msg:"at_millis"`
	Runs     []RunReport `msg:"runs"`
	// Trial names a refused request that is tried, zero for none.
	Trial uint64 `msg:"trial"`
	// Settled names refused requests whose ends are no longer held against others, Expired
	// those to be forgotten.
	Settled []uint64 `msg:"settled"`
	Expired []uint64 `msg:"expired"`
	// Restated, where it is set, is all that is known, in place of the rest: replicas of
	// GenerationFirst passed over earlier commands.
	Restated *QuarantineState `msg:"restated,omitempty"`
}

// QuarantineState is all that is known at a revision.
type QuarantineState struct {
	Revision uint64            `msg:"revision"`
	Entries  []QuarantineEntry `msg:"entries"`
}

// QuarantineEntry is the stored record of a request.
type QuarantineEntry struct {
	Request  uint64      `msg:"request"`
	Ends     []WorkerEnd `msg:"ends"`
	Refused  bool        `msg:"refused"`
	Trials   int         `msg:"trials"`
	Settled  bool        `msg:"settled"`
	Revision uint64      `msg:"revision"`
}

// WorkerEnd is the end of a worker.
//
//msgp:tuple WorkerEnd
type WorkerEnd struct {
	Worker   uint32
	AtMillis int64
}

// QuarantineList is all that is known of requests under which workers ended.
type QuarantineList struct {
	Entries []QuarantineEntry `msg:"entries"`
}

// QuarantineRelease lets a request in again.
type QuarantineRelease struct {
	Request uint64 `msg:"request"`
}
