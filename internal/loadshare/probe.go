package loadshare

import "time"

const (
	// probeIntervalDivisor sets the time between two probes to 1/probeIntervalDivisor of the time
	// that the worker has been failing. A recovered worker is thus readmitted late by at most that
	// fraction, and the number of probes grows with the logarithm of the time.
	probeIntervalDivisor = 5
	// minProbeInterval and maxProbeInterval bound the time between probes. With a shorter minimum,
	// the report on the last probe may still be in transit; with a longer maximum, a recovered
	// worker stays idle for long. Each failed probe costs its request a second attempt elsewhere.
	minProbeInterval = 4 * Interval
	maxProbeInterval = 4 * time.Second
	// probeTimeout is how long the answer to a probe, including its report, may take before another
	// probe is sent. The probe interval is added to it, for workers whose first events are slow.
	probeTimeout = time.Second
)

// Change is a change in the health rating of a worker.
type Change uint8

const (
	// Unchanged means that the rating did not change.
	Unchanged Change = iota
	// Avoided means that from now on only probes are sent to the worker.
	Avoided
	// Probed means that one request is sent to the worker to test whether it has recovered.
	Probed
	// Readmitted means that the worker receives requests as any other.
	Readmitted
)

// String returns the change as used in logs and metrics.
func (c Change) String() string {
	return [...]string{"unchanged", "avoided", "probed", "readmitted"}[c]
}

// HealthChange is a change in the health rating of a worker, with the values it rests on.
type HealthChange struct {
	// Worker is the hash of the worker.
	Worker uint32
	Change Change
	// Failed and Answered are the weights of failures and successes, which halve after each
	// healthHalfLife. Relapses is how often the worker failed again soon after it was readmitted.
	Failed   float64
	Answered float64
	Relapses int
	// GoodStreak is the weight of consecutive successes while the worker was avoided.
	GoodStreak int
	// UnhealthyFor is the time since the worker started failing.
	UnhealthyFor time.Duration
}

// probation schedules the probes of an avoided worker, one in flight at a time. The schedule is
// shared, so processes that send no probes don't avoid the worker for longer than others.
type probation struct {
	startedAt time.Time
	nextProbe time.Time
	// inFlight is set while a probe is in flight. unprobedByItems is set once batch items should
	// have reported on the worker and did not: none of the waiting items can probe it. A report on
	// an item clears it, a report on online requests does not.
	inFlight        bool
	unprobedByItems bool
}

func newProbation(now time.Time) *probation {
	p := &probation{startedAt: now}
	p.nextProbe = now.Add(p.probeInterval(now))
	return p
}

// probeInterval returns the time from a failure to the next probe.
func (p *probation) probeInterval(now time.Time) time.Duration {
	return min(max(now.Sub(p.startedAt)/probeIntervalDivisor, minProbeInterval), maxProbeInterval)
}

// recordProbe records that a probe is sent. Unless its outcome is reported, the next probe is due
// after probeTimeout plus the probe interval.
func (p *probation) recordProbe(now time.Time) {
	p.unprobedByItems = p.unprobedByItems || p.inFlight
	p.inFlight, p.nextProbe = true, now.Add(probeTimeout+p.probeInterval(now))
}

// lacksItemProbes reports whether batch items don't probe the worker: either a probe was not
// answered by its deadline, or none was sent within probeTimeout of being due.
func (p *probation) lacksItemProbes(now time.Time) bool {
	deadline := p.nextProbe
	if !p.inFlight {
		deadline = deadline.Add(probeTimeout)
	}
	p.unprobedByItems = p.unprobedByItems || !now.Before(deadline)
	return p.unprobedByItems
}

// applyOutcomes updates the schedule with the outcomes of requests at the worker.
func (p *probation) applyOutcomes(now time.Time, observed outcomes) {
	if observed.failed > 0 || observed.probesSucceeded > 0 {
		p.inFlight = false
		p.unprobedByItems = p.unprobedByItems && observed.fromZoneHub
	}
	switch {
	case observed.failed > 0:
		p.nextProbe = now.Add(p.probeInterval(now))
	case observed.probesSucceeded > 0:
		p.nextProbe = now
	}
}

// ProbeDue reports whether one request may be sent to an avoided worker to test whether it has
// recovered.
func (h *Hub) ProbeDue(now time.Time, worker uint32) bool {
	if !h.avoids(now, worker) {
		delete(h.probations, worker)
		return false
	}
	p := h.probations[worker]
	if p == nil {
		p = newProbation(now)
		h.probations[worker] = p
	}
	return !now.Before(p.nextProbe)
}

// RecordProbe records that a probe is sent to the worker.
func (h *Hub) RecordProbe(now time.Time, worker uint32) {
	p := h.probations[worker]
	if p == nil {
		return
	}
	p.recordProbe(now)
	h.recordChange(now, worker, Probed)
}

// OnlineProbes returns the avoided worker to which one repeatable online request may be sent as a
// probe, or nil. Batch items are the better probes because no caller waits for them, so it returns
// a worker only if no items run or the parent hub says that they don't probe it. Only workers that
// the parent hub calls failing and for which near returns true count, so that a single hub decides
// on each. The probe counts as sent.
func (h *Hub) OnlineProbes(now time.Time, near func(worker uint32) bool) []uint32 {
	if !h.hasParentLoads(now) {
		return nil
	}
	for _, worker := range h.parentFailing {
		if h.itemsRunning && !h.parentUnprobed[worker] {
			continue
		}
		if near(worker) && h.ProbeDue(now, worker) {
			h.RecordProbe(now, worker)
			return []uint32{worker}
		}
	}
	return nil
}

// UpdateForHub returns what UpdateFor does, for a zone's hub: Start is set for an avoided worker
// that batch items don't probe, so that one online request may start there.
func (h *Hub) UpdateForHub(now time.Time, except uint32) Update {
	update := h.UpdateFor(now, except)
	for i := range update.Rows {
		if row := &update.Rows[i]; row.Failing && h.lacksItemProbes(now, row.Worker) {
			row.Start = 1
		}
	}
	return update
}

// lacksItemProbes reports whether batch items don't probe an avoided worker, see
// probation.lacksItemProbes.
func (h *Hub) lacksItemProbes(now time.Time, worker uint32) bool {
	// Starts the probation of a worker for which ProbeDue was not called before.
	h.ProbeDue(now, worker)
	p := h.probations[worker]
	return p != nil && p.lacksItemProbes(now)
}

// avoids reports whether the worker is avoided, according to the parent hub if its loads are
// valid.
func (h *Hub) avoids(now time.Time, worker uint32) bool {
	if h.hasParentLoads(now) {
		return h.parentLoads[worker].Failing
	}
	stats := h.stats[worker]
	return stats != nil && stats.health.failing(now)
}

// recordChange keeps a change until HealthChanges returns it. At most maxHealthChanges are kept.
func (h *Hub) recordChange(now time.Time, worker uint32, change Change) {
	if change == Unchanged || len(h.healthChanges) >= maxHealthChanges {
		return
	}
	recorded := HealthChange{Worker: worker, Change: change}
	if stats := h.stats[worker]; stats != nil {
		recorded.Failed, recorded.Answered = stats.health.failed, stats.health.succeeded
		recorded.Relapses, recorded.GoodStreak = stats.health.relapses, stats.health.goodStreak
		if !stats.health.unhealthySince.IsZero() {
			recorded.UnhealthyFor = now.Sub(stats.health.unhealthySince)
		}
	}
	h.healthChanges = append(h.healthChanges, recorded)
}

// maxHealthChanges limits the changes kept between two calls of HealthChanges.
const maxHealthChanges = 256

// HealthChanges returns the changes since the last call.
func (h *Hub) HealthChanges() []HealthChange {
	changes := h.healthChanges
	h.healthChanges = nil
	return changes
}
