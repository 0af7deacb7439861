package batchstore

import (
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
)

// runTimes holds the run times and event counts of finished items, learned by the runners of all
// groups.
type runTimes struct {
	mutex       sync.Mutex
	mean        batchplan.RunTime
	eventCounts batchplan.Lengths
}

// addRun adds the run time and events of an item that ran without interruption.
func (r *runTimes) addRun(run time.Duration, events int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mean.Add(run, events)
}

// addEventCount adds a completed item: the tokens that its caller expected, and its events.
func (r *runTimes) addEventCount(expected int64, events int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.eventCounts.Add(float64(expected), float64(events))
}

// remaining returns the estimated time until an item with the given number of events finishes.
// expected is the number of tokens that its caller expects.
func (r *runTimes) remaining(events int, expected int64) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.mean.Remaining(events, r.eventCounts.Expect(float64(expected)))
}
