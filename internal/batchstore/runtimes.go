package batchstore

import (
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
)

// runTimes is how long items take and how many events they have, learnt by the runners of
// all groups.
type runTimes struct {
	mutex   sync.Mutex
	mean    batchplan.RunTime
	lengths batchplan.Lengths
}

// add takes in how long an item ran that was never stopped, and its events.
func (r *runTimes) add(run time.Duration, events int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mean.Add(run, events)
}

// addLength takes in an item that is done: the tokens that its caller expected, and its
// events.
func (r *runTimes) addLength(expected int64, events int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lengths.Add(float64(expected), float64(events))
}

// remaining returns how long an item takes that has so many events.
func (r *runTimes) remaining(events int, expected int64) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.mean.Remaining(events, r.lengths.Expect(float64(expected)))
}
