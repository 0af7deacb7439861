package loadshare

import (
	"math"
	"time"
)

const (
	// healthHalfLife is the time in which the weight of an answer halves.
	healthHalfLife = 2 * time.Second
	// minFailedWeight is the weight of failures at which a worker counts as failing, if they are
	// also at least the fraction minFailedFraction of its answers.
	minFailedWeight   = 1.5
	minFailedFraction = 0.2
	// An avoided worker is readmitted without probes once the weight of its failures has fallen
	// below negligibleWeight and no request has failed for timedReadmitDelay. This readmits a
	// worker to which no probe could be sent: timedReadmitDelay is longer than the time between two
	// failed probes, so it does not pass while probes are sent and fail. negligibleWeight is also
	// the weight of successes below which a rating may be dropped.
	negligibleWeight  = 0.3
	timedReadmitDelay = maxProbeInterval + 2*probeTimeout
	// probeWeight is the weight of a successful probe relative to a successful request that was
	// sent before the worker was avoided: a worker that fails some requests answers others.
	probeWeight = 4
	// readmitWeight is the weight of consecutive successes that readmits a worker, equal to a few
	// probes. Each relapse requires one more probe, up to maxRelapses, because a worker that fails
	// some requests passes a few probes by chance.
	readmitWeight = 3 * probeWeight
	maxRelapses   = 5
	// relapseWindow is the time after readmission within which a new failure counts as a relapse,
	// that is, as a continuation of the earlier failure.
	relapseWindow = 10 * time.Second
	// readmittedFailedWeight caps the failure weight of a readmitted worker: one more failure makes
	// it failing again.
	readmittedFailedWeight = minFailedWeight / 2
)

// health rates the recent answers of a worker to all processes. A worker may fail some of its
// requests while its own health checks pass, and a worker that fails fast looks idle and would
// attract requests. The zero value is ready for use.
type health struct {
	updatedAt time.Time
	succeeded float64
	failed    float64
	avoided   bool
	// goodStreak is the weight of consecutive successes since the worker was avoided.
	goodStreak int
	// unhealthySince is when the worker started failing, readmitted when it was last readmitted,
	// and relapses how often it failed again within relapseWindow.
	unhealthySince time.Time
	readmitted     time.Time
	relapses       int
	// lastFailure is when a request last failed.
	lastFailure time.Time
	// readmittedByTime is set when the worker was readmitted without probes, until that change is
	// recorded.
	readmittedByTime bool
}

// outcomes counts a worker's answers since the last report: successful requests, failed ones and
// successful probes. fromZoneHub is set if a zone's hub sent the report; only processes with online
// requests report to zones' hubs.
type outcomes struct {
	succeeded, failed, probesSucceeded int
	fromZoneHub                        bool
}

// applyOutcomes adds the outcomes of requests and returns how the rating changed.
func (h *health) applyOutcomes(now time.Time, observed outcomes) Change {
	h.decay(now)
	h.succeeded += float64(observed.succeeded)
	h.failed += float64(observed.failed)
	if observed.failed > 0 {
		h.lastFailure = now
	}
	switch {
	case h.avoided && observed.failed > 0:
		h.goodStreak = 0
	case h.avoided:
		h.goodStreak += observed.succeeded + probeWeight*observed.probesSucceeded
		if h.goodStreak >= readmitWeight+probeWeight*h.relapses {
			h.readmit(now)
			return Readmitted
		}
	case h.failed >= minFailedWeight && h.failed >= minFailedFraction*(h.succeeded+h.failed):
		h.avoid(now)
		return Avoided
	}
	return Unchanged
}

func (h *health) avoid(now time.Time) {
	h.avoided, h.goodStreak = true, 0
	if h.readmitted.IsZero() || now.Sub(h.readmitted) > relapseWindow {
		h.unhealthySince, h.relapses = now, 0
		return
	}
	h.relapses = min(h.relapses+1, maxRelapses)
}

func (h *health) readmit(now time.Time) {
	h.avoided, h.readmitted = false, now
	// Successes from before the failure don't excuse a relapse.
	h.failed, h.succeeded = min(h.failed, readmittedFailedWeight), 0
}

func (h *health) decay(now time.Time) {
	if !h.updatedAt.IsZero() {
		weight := math.Exp2(-float64(now.Sub(h.updatedAt)) / float64(healthHalfLife))
		h.succeeded *= weight
		h.failed *= weight
	}
	h.updatedAt = now
}

// failing reports whether the worker has to be avoided. It readmits an avoided worker once its
// earlier failures have decayed and no request has failed for timedReadmitDelay.
func (h *health) failing(now time.Time) bool {
	h.decay(now)
	if h.avoided && h.failed < negligibleWeight && now.Sub(h.lastFailure) > timedReadmitDelay {
		h.readmit(now)
		h.readmittedByTime = true
	}
	return h.avoided
}

// stale reports whether the rating can be dropped.
func (h *health) stale(now time.Time) bool {
	mayRelapse := !h.readmitted.IsZero() && now.Sub(h.readmitted) <= relapseWindow
	return !h.failing(now) && h.succeeded < negligibleWeight && !mayRelapse
}
