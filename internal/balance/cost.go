package balance

import (
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/httpheader"
)

const (
	// tieMargin is the difference below which two costs count as equal.
	tieMargin = 1e-9
	// unreadShare is the part of a worker's memory that, as prompt tokens still
	// to be read, weighs as much as all its slots taken: a long prompt holds
	// back the first events of others.
	unreadShare = 1.0 / 16
	// defaultMemory stands in where a pool does not tell its memory.
	defaultMemory = 100_000
	// zoneCost is what another zone costs, in parts of a slot: enough to decide
	// between workers of equal load, and no more.
	zoneCost = 2.0
	// batchCost is what an item of a job costs an online request, in slots: it
	// gives way, but not at once and not for nothing.
	batchCost = 0.9
)

// cost rates a worker for a demand: the lower the better, in slots.
func (t *Table) cost(now time.Time, candidate *worker, demand *Request) float64 {
	slots := float64(max(candidate.listed.Slots, 1))
	memory := t.memoryOf(demand.Pool)
	cost := float64(candidate.inFlight)
	unread := float64(candidate.unread)
	if others, known := t.toldByOthers(now, candidate); known {
		cost += float64(others.Online) + batchCost*float64(others.Batch)
		unread += float64(others.Unread)
	}
	cost += float64(t.orphaned(now, candidate))
	cost += slots * unread / (float64(memory) * unreadShare)
	// All that is there takes so many times as long, and so does the request.
	slow := candidate.slowness(now)
	cost = slow*(cost+slots) - slots
	if candidate.listed.Zone != t.zone {
		cost += zoneCost
	}
	// What the worker need not read again is saved like a prompt that nobody waits for.
	return cost - slots*float64(t.cachedTokens(candidate, demand))/(float64(memory)*unreadShare)
}

// memoryOf returns how many tokens a worker of the pool holds.
func (t *Table) memoryOf(pool string) int64 {
	if memory := t.memory[pool]; memory > 0 {
		return memory
	}
	return defaultMemory
}

// shared returns the ids of the parts that other requests may have too: all but
// the last.
func shared(parts []httpheader.Part) []string {
	ids := make([]string, 0, len(parts))
	for i := 0; i+1 < len(parts); i++ {
		ids = append(ids, parts[i].ID)
	}
	return ids
}

// coldTime is how long after it began to choose a process that has heard no news of loads
// may still be about to hear some. One that hears none for longer has no hub.
const coldTime = 2 * time.Second

// isCold reports whether this process has just begun and knows nothing of what others send.
// All that began with it are as blind, and would crowd the homes of prompts.
func (t *Table) isCold(now time.Time) bool {
	return t.allAt.IsZero() && t.nearAt.IsZero() && len(t.told) == 0 && now.Sub(t.beganAt) < coldTime
}

// cachedTokens returns how many tokens of the prompt's beginning the worker has
// probably read before: what this process sent there, or what all send there because
// it is the prompt's home.
func (t *Table) cachedTokens(candidate *worker, demand *Request) int64 {
	var sent, sharedTokens int64
	broken := false
	for i, part := range demand.Parts {
		_, known := candidate.parts[part.ID]
		broken = broken || !known
		if !broken {
			sent += part.Tokens
		}
		if i < len(demand.Parts)-1 {
			sharedTokens += part.Tokens
		}
	}
	// The second home has read them where the first one was busy: perhaps.
	if home := slices.Index(t.homes, candidate); home >= 0 && !t.cold {
		return max(sent, sharedTokens>>home)
	}
	return sent
}
