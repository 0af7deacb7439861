package wire

import "slices"

//msgp:limit arrays:65536 maps:65536

// RunReport is the outcome of one run of a request: the worker process exited during the run,
// or the run succeeded.
//
//msgp:tuple RunReport
type RunReport struct {
	// Request is the quarantine.Fingerprint of the request, or of a part of its prompt.
	Request uint64
	// Worker is the hash of the worker's id if the worker exited; zero means that the run
	// succeeded.
	Worker uint32
	// AgoMillis is the time between the start of the run and the report, zero if unknown. If
	// the run started after a known exit of the worker, the worker had restarted, so the
	// report is of another exit.
	AgoMillis uint32
}

// QuarantineReport reports the outcomes of runs to the coordinators, and may request a trial of a
// rejected request.
type QuarantineReport struct {
	// Runs holds the outcomes in the order in which the runs ended.
	Runs []RunReport `msg:"runs"`
	// Trial is the fingerprint of a rejected request or prompt part, to ask whether a request with it
	// may be tried now; zero for none. TrialWith lists the other rejected fingerprints of that request.
	Trial     uint64   `msg:"trial"`
	TrialWith []uint64 `msg:"trial_with,omitempty"`
	// Known is the revision of the quarantine that the process has.
	Known uint64 `msg:"known"`
	// Owed is set if the trial is for an item of a batch job.
	Owed bool `msg:"owed,omitempty"`
}

// RequestTrial sets the fingerprints of the request that the process wants to try.
func (r *QuarantineReport) RequestTrial(refused []uint64) {
	if len(refused) > 0 {
		r.Trial, r.TrialWith = refused[0], refused[1:]
	}
}

// RequestedTrial returns the fingerprints of the request that the process wants to try, none if it
// does not ask for a trial.
func (r *QuarantineReport) RequestedTrial() []uint64 {
	if r.Trial == 0 {
		return nil
	}
	return append([]uint64{r.Trial}, r.TrialWith...)
}

// QuarantineAnswer is the response to a QuarantineReport.
type QuarantineAnswer struct {
	News QuarantineNews `msg:"news"`
	// Granted is set if the requesting process may try the request once. Otherwise WaitMillis
	// is the time after which it may ask again.
	Granted    bool  `msg:"granted"`
	WaitMillis int64 `msg:"wait_millis"`
}

// QuarantineNews holds the changes of the quarantine since a revision.
type QuarantineNews struct {
	Revision uint64 `msg:"revision"`
	// Whole is set if Rows holds all entries, not only the changed ones.
	Whole bool            `msg:"whole"`
	Rows  []QuarantineRow `msg:"rows"`
}

// Urgent reports whether the update may change which requests are rejected. Changes of requests
// that are only suspected can wait for the next response.
func (n *QuarantineNews) Urgent() bool {
	return n.Whole || slices.ContainsFunc(n.Rows, func(row QuarantineRow) bool { return row.Refused || len(row.Ended) == 0 })
}

// QuarantineRow is the state of a request in the quarantine. A row with an empty Ended removes
// the request. Refused is set if the request is rejected.
//
//msgp:tuple QuarantineRow
type QuarantineRow struct {
	Request uint64
	// Ended holds the hashes of the workers that exited while running the request, since its
	// last successful run.
	Ended   []uint32
	Refused bool
}

// QuarantineCommand changes the quarantine in the fleet group's state.
type QuarantineCommand struct {
	// AtMillis is the leader's time by package clock. It is used only to distinguish two exits
	// of one worker.
	AtMillis int64       `msg:"at_millis"`
	Runs     []RunReport `msg:"runs"`
	// Trial is the fingerprint of a rejected request whose trial was granted, zero for none.
	Trial uint64 `msg:"trial"`
	// Settled lists rejected requests that are now held responsible for the worker exits during
	// their runs: other requests are no longer suspected because of these exits. Expired lists
	// requests to remove.
	Settled []uint64 `msg:"settled"`
	Expired []uint64 `msg:"expired"`
	// Restated is the whole quarantine. If it is set, it replaces the state and the other
	// fields are ignored. It is needed because replicas of GenerationFirst ignored earlier
	// commands.
	Restated *QuarantineState `msg:"restated,omitempty"`
}

// QuarantineState is the whole quarantine at a revision.
type QuarantineState struct {
	Revision uint64            `msg:"revision"`
	Entries  []QuarantineEntry `msg:"entries"`
}

// QuarantineEntry is the stored record of a request. Ends holds the worker exits during its runs.
// Refused is set if the request is rejected. Trials is the number of granted trials. Settled is set
// once the exits are attributed to the request; see QuarantineCommand.
type QuarantineEntry struct {
	Request  uint64      `msg:"request"`
	Ends     []WorkerEnd `msg:"ends"`
	Refused  bool        `msg:"refused"`
	Trials   int         `msg:"trials"`
	Settled  bool        `msg:"settled"`
	Revision uint64      `msg:"revision"`
}

// WorkerEnd is the exit of a worker process. Worker is the hash of the worker's id.
//
//msgp:tuple WorkerEnd
type WorkerEnd struct {
	Worker   uint32
	AtMillis int64
}

// QuarantineList lists all requests in the quarantine.
type QuarantineList struct {
	Entries []QuarantineEntry `msg:"entries"`
}

// QuarantineRelease readmits a request.
type QuarantineRelease struct {
	Request uint64 `msg:"request"`
}
