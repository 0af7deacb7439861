package balance

import (
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/httpheader"
)

const (
	// tieMargin is the difference below which two costs, or two scores, count as equal.
	tieMargin = 1e-9
	// pendingTokensShare is the share of a worker's memory at which pending prompt tokens cost as
	// much as all of its slots in use: a long prompt delays the first events of other requests.
	pendingTokensShare = 1.0 / 16
	// defaultMemory is the number of tokens assumed for a worker if its pool has no configured
	// memory.
	defaultMemory = 100_000
	// zoneSlotPenalty is the cost of a worker in another zone, in slots: enough to decide between
	// workers of equal load, and no more.
	zoneSlotPenalty = 2.0
	// batchCost is the cost of a batch item to an online request, in slots. It is below 1 because
	// items are preempted, but preemption takes time and is not free.
	batchCost = 0.9
)

// cost rates a worker for a request, in slots; lower is better.
func (t *Table) cost(now time.Time, candidate *worker, request *Request) float64 {
	slots := float64(max(candidate.listed.Slots, 1))
	memory := t.memoryOf(request.Pool)
	cost := float64(candidate.inFlight)
	pending := float64(candidate.pendingTokens)
	if load, ok := t.peerLoadOf(now, candidate); ok {
		cost += float64(load.Online) + batchCost*float64(load.Batch)
		pending += float64(load.Unread)
	}
	cost += float64(t.orphansAt(now, candidate))
	cost += slots * pending / (float64(memory) * pendingTokensShare)
	// On a slow worker both the requests already there and the new one take longer by this factor.
	slowness := candidate.thresholdedSlowness(now)
	cost = slowness*(cost+slots) - slots
	if candidate.listed.Zone != t.zone {
		cost += zoneSlotPenalty
	}
	// A cached token saves what a pending token costs.
	return cost - slots*float64(t.cachedTokens(candidate, request))/(float64(memory)*pendingTokensShare)
}

// memoryOf returns the number of tokens that a worker of the pool holds.
func (t *Table) memoryOf(pool string) int64 {
	if memory := t.memory[pool]; memory > 0 {
		return memory
	}
	return defaultMemory
}

// sharedPartIDs returns the ids of the prompt parts that other requests may share: all but the
// last.
func sharedPartIDs(parts []httpheader.Part) []string {
	ids := make([]string, 0, len(parts))
	for i := 0; i+1 < len(parts); i++ {
		ids = append(ids, parts[i].ID)
	}
	return ids
}

// coldStartTime is how long after Start a process without any peer loads may still expect to
// receive some. A process that has received none after this time has no hub.
const coldStartTime = 2 * time.Second

// isColdStart reports whether this process has just started and has no peer loads yet. Processes
// that started at the same time have no peer loads either; if all of them preferred the affinity
// workers of prompts, they would overload these workers.
func (t *Table) isColdStart(now time.Time) bool {
	return t.allLoadsAt.IsZero() && t.zoneLoadsAt.IsZero() && len(t.peerLoaded) == 0 && now.Sub(t.startedAt) < coldStartTime
}

// cachedTokens estimates how many tokens of the prompt's beginning the worker has cached: those
// that this process sent there, or those that all processes send there because the worker is an
// affinity worker of the prompt.
func (t *Table) cachedTokens(candidate *worker, request *Request) int64 {
	var sent, sharedTokens int64
	missed := false
	for i, part := range request.Parts {
		_, cached := candidate.parts[part.ID]
		missed = missed || !cached
		if !missed {
			sent += part.Tokens
		}
		if i < len(request.Parts)-1 {
			sharedTokens += part.Tokens
		}
	}
	// The first affinity worker is assumed to have cached all shared tokens. The second gets only
	// the requests that found the first one busy, so half of the tokens are assumed.
	if rank := slices.Index(t.affinity, candidate); rank >= 0 && !t.coldStart {
		return max(sent, sharedTokens>>rank)
	}
	return sent
}
