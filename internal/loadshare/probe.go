package loadshare

import "time"

const (
	// illParts is the part of the time that a worker has been ill, one in so many, that
	// passes between two probes: that is by how much too late a worker that is well again is
	// readmitted at most, and the number of probes grows with the logarithm of the time.
	illParts = 5
	// leastProbePause and mostProbePause bound that: in less a report of how the last probe
	// ended may still be under way; in more a worker would stay idle for long after it is
	// well. Each probe that fails costs its request a second attempt elsewhere.
	leastProbePause = 4 * Interval
	mostProbePause  = 4 * time.Second
	// answerTime is how long an answer to a probe takes at most, to be reported too, before
	// another is sent. It grows with the pause, for workers whose answers begin late.
	answerTime = time.Second
)

// Change is how the judgement of a worker changed.
type Change uint8

const (
	// Unchanged means that it did not change.
	Unchanged Change = iota
	// Avoided means that no requests but probes go to the worker from now on.
	Avoided
	// Probed means that one request goes there to learn whether it is well.
	Probed
	// Readmitted means that requests go there as to any other.
	Readmitted
)

// String returns the change as used in logs and metrics.
func (c Change) String() string {
	return [...]string{"unchanged", "avoided", "probed", "readmitted"}[c]
}

// HealthChange is a change in the judgement of a worker, with what it rests on.
type HealthChange struct {
	// Worker is the worker's short name.
	Worker uint32
	Change Change
	// Failed and Answered are the weights of failures and good answers, which count half
	// after each healthHalf, and Relapses how often it was readmitted too soon.
	Failed   float64
	Answered float64
	Relapses int
	// GoodStreak is the weight of the good answers in a row while it was avoided.
	GoodStreak int
	// UnhealthyFor is for how long it has been ill.
	UnhealthyFor time.Duration
}

// probation is when an avoided worker is probed. Processes that send no probes don't avoid
// it for longer: one probe is under way at a time.
type probation struct {
	since time.Time
	due   time.Time
	// granted is set while a probe is under way. unprobed is set once items bring no news of
	// the worker though they should: none of those that wait can be the probe. News of an item
	// ends that, news of online requests don't.
	granted  bool
	unprobed bool
}

func newProbation(now time.Time) *probation {
	p := &probation{since: now}
	p.due = now.Add(p.pause(now))
	return p
}

// pause is the time from a failure to the next probe.
func (p *probation) pause(now time.Time) time.Duration {
	return min(max(now.Sub(p.since)/illParts, leastProbePause), mostProbePause)
}

// sent takes in that a probe is sent. Without any answer it is given up.
func (p *probation) sent(now time.Time) {
	p.unprobed = p.unprobed || p.granted
	p.granted, p.due = true, now.Add(answerTime+p.pause(now))
}

// lacksItems reports whether items don't probe the worker: a probe brought nothing by its due
// time, or none was sent for as long.
func (p *probation) lacksItems(now time.Time) bool {
	last := p.due
	if !p.granted {
		last = last.Add(answerTime)
	}
	p.unprobed = p.unprobed || !now.Before(last)
	return p.unprobed
}

// take takes in how requests at the worker ended.
func (p *probation) take(now time.Time, got outcomes) {
	if got.failed > 0 || got.proofs > 0 {
		p.granted = false
		p.unprobed = p.unprobed && got.online
	}
	switch {
	case got.failed > 0:
		p.due = now.Add(p.pause(now))
	case got.proofs > 0:
		p.due = now
	}
}

// ProbeDue reports whether one request may be sent to an avoided worker, to learn whether it
// is well again.
func (h *Hub) ProbeDue(now time.Time, worker uint32) bool {
	if !h.avoids(now, worker) {
		delete(h.probations, worker)
		return false
	}
	known := h.probations[worker]
	if known == nil {
		known = newProbation(now)
		h.probations[worker] = known
	}
	return !now.Before(known.due)
}

// RecordProbe takes in that a probe is sent to the worker.
func (h *Hub) RecordProbe(now time.Time, worker uint32) {
	known := h.probations[worker]
	if known == nil {
		return
	}
	known.sent(now)
	h.judged(now, worker, Probed)
}

// OnlineProbes returns the avoided workers to one of which an online request may go that may
// run more than once. Items are the better probes, since nobody waits for them; so this is for
// when none run, or where the hub above has said that they bring no news of the worker. Only
// workers that the hub above calls failing are named, of those for which near returns true, so
// that one hub alone decides on each.
func (h *Hub) OnlineProbes(now time.Time, near func(worker uint32) bool) []uint32 {
	if !h.knowsAbove(now) {
		return nil
	}
	for _, worker := range h.failingAbove {
		if h.itemsRun && !h.unprobedAbove[worker] {
			continue
		}
		if near(worker) && h.ProbeDue(now, worker) {
			h.RecordProbe(now, worker)
			return []uint32{worker}
		}
	}
	return nil
}

// UpdateForHub returns what Loaded does, for a zone's hub: Start is set at an avoided worker
// that items don't probe, so that one request may start there.
func (h *Hub) UpdateForHub(now time.Time, except uint32) Update {
	told := h.UpdateFor(now, except)
	for i := range told.Rows {
		if row := &told.Rows[i]; row.Failing && h.lacksItems(now, row.Worker) {
			row.Start = 1
		}
	}
	return told
}

// lacksItems reports whether items don't probe an avoided worker (probation.lacksItems).
func (h *Hub) lacksItems(now time.Time, worker uint32) bool {
	// This begins the probation of a worker that no runner has asked for.
	h.ProbeDue(now, worker)
	known := h.probations[worker]
	return known != nil && known.lacksItems(now)
}

// avoids reports whether the worker is avoided, by what the hub above told if it is heard.
func (h *Hub) avoids(now time.Time, worker uint32) bool {
	if h.knowsAbove(now) {
		return h.above[worker].Failing
	}
	known := h.watched[worker]
	return known != nil && known.health.failing(now)
}

// judged keeps a change until it is taken.
func (h *Hub) judged(now time.Time, worker uint32, change Change) {
	if change == Unchanged || len(h.judgements) >= mostJudgements {
		return
	}
	judgement := HealthChange{Worker: worker, Change: change}
	if known := h.watched[worker]; known != nil {
		judgement.Failed, judgement.Answered = known.health.failed, known.health.answered
		judgement.Relapses, judgement.GoodStreak = known.health.relapses, known.health.good
		if !known.health.since.IsZero() {
			judgement.UnhealthyFor = now.Sub(known.health.since)
		}
	}
	h.judgements = append(h.judgements, judgement)
}

// mostJudgements bounds the changes that are kept for who writes them down.
const mostJudgements = 256

// HealthChanges returns what has changed since the last call.
func (h *Hub) HealthChanges() []HealthChange {
	changed := h.judgements
	h.judgements = nil
	return changed
}
