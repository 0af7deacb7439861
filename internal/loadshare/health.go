package loadshare

import (
	"math"
	"time"
)

const (
	// healthHalf is the time after which an answer counts half.
	healthHalf = 2 * time.Second
	// leastFailed is how many failures, by weight, make a worker a failing one,
	// if they are failedPart of its answers or more.
	leastFailed = 1.5
	failedPart  = 0.2
	// forgiven is the weight of failures below which it is tried again where no probe
	// could be sent there for forgiveTime: longer than from one failed probe to the next.
	forgiven    = 0.3
	forgiveTime = mostProbePause + 2*answerTime
	// proofWeight is what a good answer to a probe weighs against one to a request that was
	// sent before the worker was avoided: a worker that fails some requests answers others.
	proofWeight = 4
	// readmitWeight is the weight of good answers in a row that lifts the avoidance, that of a
	// few probes. Each relapse asks for one probe more, up to mostRelapses, because a worker
	// that fails some requests passes a few probes by chance.
	readmitWeight = 3 * proofWeight
	mostRelapses  = 5
	// relapseTime is for how long a readmitted worker that fails again counts as one that was
	// ill all the time.
	relapseTime = 10 * time.Second
	// doubtWeight is the weight of failures that a readmitted worker begins with: one more
	// makes it a failing one again.
	doubtWeight = leastFailed / 2
)

// health is how a worker has answered lately, over all processes. A worker may
// fail a part of its requests while its own checks are good, and a worker that
// fails fast looks idle: without this it would draw requests. The zero value is
// ready for use.
type health struct {
	at       time.Time
	answered float64
	failed   float64
	avoided  bool
	// good is the weight of the good answers in a row since it was avoided.
	good int
	// since is when it fell ill, readmitted when probes lifted the avoidance last, relapses
	// how often it failed again soon after that.
	since      time.Time
	readmitted time.Time
	relapses   int
	// failedAt is when it failed last.
	failedAt time.Time
	// lapsed is set once time alone has lifted the avoidance, until that is written down.
	lapsed bool
}

// outcomes is how a worker answered since the last report: requests that were answered well,
// those that failed, and well answered probes. online is set where a zone's hub told of them,
// to whom only processes with online requests report.
type outcomes struct {
	well, failed, proofs int
	online               bool
}

// take takes in how requests were answered. It returns what this changed.
func (h *health) take(now time.Time, got outcomes) Change {
	h.age(now)
	h.answered += float64(got.well)
	h.failed += float64(got.failed)
	if got.failed > 0 {
		h.failedAt = now
	}
	switch {
	case h.avoided && got.failed > 0:
		h.good = 0
	case h.avoided:
		h.good += got.well + proofWeight*got.proofs
		if h.good >= readmitWeight+proofWeight*h.relapses {
			h.readmit(now)
			return Readmitted
		}
	case h.failed >= leastFailed && h.failed >= failedPart*(h.answered+h.failed):
		h.avoid(now)
		return Avoided
	}
	return Unchanged
}

func (h *health) avoid(now time.Time) {
	h.avoided, h.good = true, 0
	if h.readmitted.IsZero() || now.Sub(h.readmitted) > relapseTime {
		h.since, h.relapses = now, 0
		return
	}
	h.relapses = min(h.relapses+1, mostRelapses)
}

func (h *health) readmit(now time.Time) {
	h.avoided, h.readmitted = false, now
	// What it answered well before it fell ill doesn't excuse a relapse.
	h.failed, h.answered = min(h.failed, doubtWeight), 0
}

func (h *health) age(now time.Time) {
	if !h.at.IsZero() {
		weight := math.Exp2(-float64(now.Sub(h.at)) / float64(healthHalf))
		h.answered *= weight
		h.failed *= weight
	}
	h.at = now
}

// failing reports whether the worker is to be avoided.
func (h *health) failing(now time.Time) bool {
	h.age(now)
	if h.avoided && h.failed < forgiven && now.Sub(h.failedAt) > forgiveTime {
		h.readmit(now)
		h.lapsed = true
	}
	return h.avoided
}

// stale reports whether nothing is left to remember.
func (h *health) stale(now time.Time) bool {
	relapse := !h.readmitted.IsZero() && now.Sub(h.readmitted) <= relapseTime
	return !h.failing(now) && h.answered < forgiven && !relapse
}
