// Package balance chooses workers for opaque requests by the load at each worker, measured in
// requests in flight and pending prompt tokens. The load is the sum of this process's own and that
// which its peers reported. The package does no I/O and takes its time and randomness from the
// caller; a lock makes it safe for concurrent use.
package balance

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxParts is the number of prompt parts remembered for one worker above which old ones are
	// dropped.
	maxParts = 4096
	// blockTime is how long a worker gets no requests after another worker answered at its address.
	// The list is usually corrected within this time. If the worker itself restarts at that address
	// under its old id, it gets requests again after blockTime; if another worker still answers
	// there, one request has to be sent elsewhere.
	blockTime = 5 * time.Second
	// suspectTime is how long a worker is avoided after it gave no answer.
	suspectTime = time.Second
)

// worker holds what this process knows of one worker.
type worker struct {
	listed wire.PoolWorker
	// version is the version in the name of the incarnation.
	version incarnation.Version
	// hash is the worker's short name. point is its position on the ring.
	hash  uint32
	point uint64
	// groupIndex is the worker's index in its group, valid while inGroup is set.
	groupIndex int
	inGroup    bool
	// busy, hasPeerLoad and hasOrder are set while the worker is in the table's lists busy,
	// peerLoaded and withOrders.
	busy        bool
	hasPeerLoad bool
	hasOrder    bool
	// inFlight counts this process's requests here, including batch items. batch counts only the
	// batch items. pendingTokens counts the prompt tokens of requests without a first event.
	inFlight      int
	batch         int
	pendingTokens int64
	// stopping counts the items that are about to stop.
	stopping int
	// startGrants is how many items the batch planner lets start here. pendingStops is how many
	// items it wants stopped here.
	startGrants  int
	pendingStops int
	// blocked is set after another worker answered at the address, until blockedUntil, and for
	// good once the worker is no longer listed.
	blocked      bool
	blockedUntil time.Time
	// peerLoad is the load of other processes here, as received at peerLoadAt.
	peerLoad     wire.WorkerLoad
	peerLoadAt   time.Time
	suspectUntil time.Time
	// parts maps the ids of prompt parts processed here to the count of uses at their last use.
	parts map[string]uint64
	uses  uint64
	// reportedRequests is one more than the number of requests that the worker reported, 0 if
	// there is nothing to pass on.
	reportedRequests int
	// answered and failed count answers since the last call of Loads.
	answered int
	failed   int
	// intervals counts the measured times between events since the last call of Loads;
	// intervalSum is their sum.
	intervals   int
	intervalSum time.Duration
	// slowFactor is the event interval here relative to the median of the pool, 1 if below
	// slownessThreshold, as measured at slowFactorAt.
	slowFactor   float64
	slowFactorAt time.Time
	// probeSuccesses counts the probes answered well since the last call of ProbeResults.
	// activeProbes counts the probes in progress. unansweredProbes counts the consecutive probes
	// without an answer.
	probeSuccesses   int
	activeProbes     int
	unansweredProbes int
	// intervalRatio is the event interval here relative to the median of the pool, as measured at
	// intervalRatioAt; zero if unknown.
	intervalRatio   float64
	intervalRatioAt time.Time
	// reportedSlots is the number of slots that the worker reported, zero if none.
	reportedSlots int
	// mismatchReported is set once reportedSlots was found to differ from the list.
	mismatchReported bool
}

// usable reports whether the worker may get new requests.
func (w *worker) usable() bool { return !w.listed.Leaving && !w.blocked }

// unlisted reports whether the worker is no longer in the list.
func (w *worker) unlisted(t *Table) bool { return t.workers[w.listed.ID] != w }

// nothingToReport reports whether this process has no requests at the worker and nothing to
// report about it.
func (w *worker) nothingToReport() bool {
	return w.inFlight == 0 && w.reportedRequests == 0 && w.answered == 0 && w.failed == 0 && w.intervals == 0 && w.probeSuccesses == 0
}

// recordParts records that the worker now processes the parts.
func (w *worker) recordParts(parts []string) {
	w.uses++
	if w.parts == nil && len(parts) > 0 {
		w.parts = map[string]uint64{}
	}
	for _, part := range parts {
		w.parts[part] = w.uses
	}
	if len(w.parts) <= maxParts {
		return
	}
	for part, use := range w.parts {
		if use+maxParts/2 < w.uses {
			delete(w.parts, part)
		}
	}
}
