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
	// forgiven is the weight of failures below which it is tried again. A worker
	// that is avoided answers nothing, so only time brings it there.
	forgiven = 0.3
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
}

// take takes in how many requests were answered well, and how many failed.
func (h *health) take(now time.Time, answered, failed int) {
	h.age(now)
	h.answered += float64(answered)
	h.failed += float64(failed)
	if h.failed >= leastFailed && h.failed >= failedPart*(h.answered+h.failed) {
		h.avoided = true
	}
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
	if h.failed < forgiven {
		h.avoided = false
	}
	return h.avoided
}

// stale reports whether nothing is left to remember.
func (h *health) stale(now time.Time) bool { return !h.failing(now) && h.answered < forgiven }
