package batchstore

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/logging"
)

const (
	// minVersionWait is how long an item waits at least for room at a worker of its text's version
	// before it starts again at another one.
	minVersionWait = time.Second
	// maxRecordedWait is how long an item that can't start again waits until its pool has a single
	// version.
	maxRecordedWait = 5 * time.Second
)

// acquire leases a worker for an item that continues from the progress. Only a worker of the text's
// version may continue it. If the version has no usable worker, or none had room for as long as the
// text took to write, the item starts again at any worker, and acquire drops the text.
func (r *runner) acquire(now time.Time, key itemKey, request *balance.Request, resumed *progress) *balance.Lease {
	if resumed.events == 0 {
		return r.store.workers.Acquire(now, request)
	}
	if resumed.recorded {
		return r.acquireRecorded(now, key, request)
	}
	request.Version = resumed.version
	if resumed.version != "" && r.store.workers.VersionUsable(request, "") {
		lease := r.store.workers.Acquire(now, request)
		if lease != nil {
			delete(r.versionWaits, key)
			return lease
		}
		if !r.waitedForVersion(now, key, max(resumed.runTime, minVersionWait)) {
			return nil
		}
	}
	request.Version = ""
	lease := r.store.workers.Acquire(now, request)
	if lease == nil {
		return nil
	}
	delete(r.versionWaits, key)
	r.store.metrics.restarted.Inc()
	logging.Info(r.store.logger, "item_restarted", "job", key.job, "item", key.item, "events", resumed.events, "began", string(resumed.version), "worker", lease.Endpoint.ID)
	resumed.discard()
	return lease
}

// acquireRecorded leases a worker for an item whose text an earlier build recorded as part of the
// result, without its version. Such an item can't start again. It waits for a while if the pool has
// workers of several versions.
func (r *runner) acquireRecorded(now time.Time, key itemKey, request *balance.Request) *balance.Lease {
	request.Version, _ = r.store.workers.SoleVersion(request.Pool)
	if request.Version == "" && !r.waitedForVersion(now, key, maxRecordedWait) {
		return nil
	}
	return r.store.workers.Acquire(now, request)
}

// waitedForVersion reports whether the item has waited for a worker of its version for longer than
// limit.
func (r *runner) waitedForVersion(now time.Time, key itemKey, limit time.Duration) bool {
	since, found := r.versionWaits[key]
	if !found {
		r.versionWaits[key] = now
		return false
	}
	return now.Sub(since) > limit
}
