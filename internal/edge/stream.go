package edge

import (
	"net/http"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/origin"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxCallerTime is how long a caller that sends no time left may wait. minCallerTime is how long
	// any caller may have waited for a stream, over all its requests.
	maxCallerTime = time.Minute
	minCallerTime = 10 * time.Second
	// originRetryAfter is when a caller may take up a stream whose origin was not found: a hub that is
	// starting, or a coordinator that is being elected, may answer then.
	originRetryAfter = 300 * time.Millisecond
	// boundWait is how long a stream waits while no worker of its origin takes it: they may be full, or
	// about to restart. boundInterval is the time between two tries.
	boundWait     = 500 * time.Millisecond
	boundInterval = 100 * time.Millisecond
	// callerTimeMargin covers the time for which a caller's requests are under way.
	callerTimeMargin = 2 * time.Second
)

// streamState is what a call knows about the origin of its stream. The origin is the pool and the
// software version of the worker that sent the first event; only its workers may continue the stream.
type streamState struct {
	// resumes is the id of the caller's request that brought the first event, empty if the caller
	// named none. resumedAfter is the id of the last event that the caller has from earlier
	// requests; valid if resumed is set.
	resumes      string
	resumedAfter int64
	resumed      bool
	// origin is the origin that another request has shared, the zero value if none is known.
	origin origin.Origin
	// callerTime is how long the caller waits from this request on.
	callerTime time.Duration
	// worker is the worker whose events were passed on last.
	worker string
	// bound is set once the stream has an event. The call's demand then names the origin; without a
	// version there, the origin is unknown.
	bound bool
	// rejectedBy are the workers that did not run the request. waited is how long the call has waited
	// for a worker of the origin.
	rejectedBy []string
	waited     time.Duration
}

func (e *Edge) newStreamState(header http.Header, lastEventID int64, hasLastEvent bool) streamState {
	return streamState{
		resumes:      header.Get(e.headerNames.Resumes),
		resumedAfter: lastEventID,
		resumed:      hasLastEvent,
		callerTime:   httpheader.ParseTimeLeft(header.Get(e.headerNames.Deadline), maxCallerTime),
	}
}

// takesUpStream reports whether the caller has events of the stream from an earlier request.
func (c *call) takesUpStream() bool {
	return c.route.Kind == routetable.KindStream && (c.stream.resumed || c.stream.resumes != "")
}

// bind binds the stream to its origin in the demand's pool. Unknown versions may differ, so no
// worker can continue a stream with an unknown version.
func (c *call) bind(version incarnation.Version) {
	c.stream.bound, c.demand.Version = true, version
}

// awaitBoundWorker waits a moment for a worker of the stream's origin, and reports whether to try again.
// Unlike a new stream, this one can't go to another version.
func (c *call) awaitBoundWorker() bool {
	if !c.stream.bound || c.hasLostOrigin() || c.stream.waited >= boundWait {
		return false
	}
	select {
	case <-c.context.Done():
		return false
	case <-time.After(boundInterval):
	}
	c.stream.waited += boundInterval
	for _, worker := range c.stream.rejectedBy {
		delete(c.demand.Exclude, worker)
	}
	c.stream.rejectedBy = nil
	return true
}

// hasLostOrigin reports whether no worker may continue the stream, because its origin is unknown.
func (c *call) hasLostOrigin() bool { return c.stream.bound && c.demand.Version == "" }

// rejectedByOrigin binds a request that takes up a stream to the stream's origin. It rejects the
// request if the origin is not known, or has no worker.
func (c *call) rejectedByOrigin() bool {
	if !c.takesUpStream() {
		return false
	}
	known := c.originKnowledge()
	decision := origin.Decide(known)
	if decision.Source != origin.Unknown {
		c.bind(decision.Version)
		if !c.edge.workers.VersionListed(c.demand.Pool, c.demand.Version) {
			decision.Source, decision.RetryHelps = origin.Gone, !known.ListIsCurrent()
		}
	}
	c.edge.metrics.resumed.WithLabelValues(decision.Source.String()).Inc()
	logging.Info(c.edge.logger, "stream_taken_up", "id", c.id, "resumes", c.stream.resumes, "after_event", c.stream.resumedAfter, "origin", decision.Source, "complete", known.HubsAnswered, "pool", c.demand.Pool, "version", string(c.demand.Version), "ms", c.elapsed())
	err := originError(decision.Source, &c.demand)
	if err == nil {
		return false
	}
	if decision.RetryHelps {
		err = err.WithRetryAfter(originRetryAfter)
	}
	c.lastErr = err
	c.reject(err)
	return true
}

// originError returns the error for a request that takes up a stream whose origin was found in the
// given way, nil if the stream goes on.
func originError(source origin.Source, demand *balance.Request) *failure.Error {
	switch source {
	case origin.Unknown:
		return failure.New(failure.NotRun, "send the request anew, without the events received", "it is not known at which worker version the stream began")
	case origin.Gone:
		return failure.New(failure.NotRun, "send the request anew, without the events received", "pool %q has no worker of version %q, at which the stream began", demand.Pool, demand.Version)
	}
	return nil
}

// originKnowledge returns what this process and the hubs know of the stream that the caller takes up.
// If the route leads to the pool of the origin, that pool becomes the call's. If an operator has moved
// the route since the stream began, workers of the same version in its present pool continue the stream.
func (c *call) originKnowledge() *origin.Knowledge {
	snapshot := c.edge.watcher.Current()
	known := &origin.Knowledge{
		HubsAnswered: true,
		StreamAge:    c.maxStreamAge(),
		ListAge:      clock.Since(snapshot.LeaderSeenAt),
		ListWhole:    snapshot.Fleet.Listed,
	}
	c.lookupOrigin(known)
	if known.Source == origin.Unknown {
		c.addSoleVersion(known)
		return known
	}
	c.stream.origin = known.Found
	if slices.ContainsFunc(c.route.Parts, func(part routetable.PoolWeight) bool { return part.Pool == known.Found.Pool }) {
		c.demand.Pool = known.Found.Pool
	}
	return known
}

// lookupOrigin looks up the stream's origin here and at the hubs.
func (c *call) lookupOrigin(known *origin.Knowledge) {
	if c.stream.resumes == "" {
		return
	}
	key := c.originKey(c.stream.resumes)
	if found, held := c.edge.origins.get(key); held {
		known.Found, known.Source = found, origin.Local
		return
	}
	row, complete := c.edge.loads.LookupOrigin(c.context, uint64(key))
	known.HubsAnswered = complete
	if row != nil && row.Pool != "" && row.Version != "" {
		known.Found, known.Source = origin.Origin{Pool: row.Pool, Version: incarnation.Version(row.Version)}, origin.Hub
	}
}

// addSoleVersion adds the version of all listed workers that the route leads to, if there is only one.
func (c *call) addSoleVersion(known *origin.Knowledge) {
	for i, part := range c.route.Parts {
		version, since := c.edge.workers.SoleVersion(part.Pool)
		if i == 0 {
			known.Sole, known.SoleFor = version, clock.Since(since)
			continue
		}
		if version != known.Sole {
			known.Sole = ""
		}
		known.SoleFor = min(known.SoleFor, clock.Since(since))
	}
}

// maxStreamAge returns how long ago the caller can have begun the stream.
func (c *call) maxStreamAge() time.Duration {
	total := max(c.route.Timeout(), c.stream.callerTime, minCallerTime)
	if c.stream.callerTime >= maxCallerTime {
		return total + callerTimeMargin
	}
	return total + callerTimeMargin - c.stream.callerTime
}

func (c *call) originKey(requestID string) origin.Key {
	return origin.KeyOf(c.tenant.Owner(), requestID)
}

// shareOrigin makes the origin of the stream known to other processes, which need it if the caller
// takes the stream up there. A stream that was taken up is shared again under the id that its caller
// names, as hubs may have lost it.
func (c *call) shareOrigin() {
	id, began := c.id, c.stream.origin
	if c.takesUpStream() {
		id = c.stream.resumes
	}
	if !began.Known() {
		began = origin.Origin{Pool: c.demand.Pool, Version: c.demand.Version}
	}
	if id == "" || !c.route.Resumable || !began.Known() {
		return
	}
	key, keep := c.originKey(id), c.stream.callerTime+callerTimeMargin
	c.edge.origins.put(key, began, keep)
	c.edge.loads.SendOrigins([]wire.StreamOrigin{originRow(key, began, keep)})
}

// recordStreamWorker records that an event of the worker is about to be passed on. The origin is
// shared before the caller has the first event.
func (c *call) recordStreamWorker(lease *balance.Lease) {
	s := &c.stream
	if s.worker == lease.Endpoint.ID {
		return
	}
	before, version := s.worker, incarnation.VersionOf(lease.Endpoint.ID)
	s.worker = lease.Endpoint.ID
	if !s.bound {
		c.bind(version)
	}
	if before == "" {
		c.shareOrigin()
	}
	if before == "" && !s.resumed {
		return
	}
	by, compared := "edge", "other"
	if before == "" {
		by = "caller"
	}
	if version == c.demand.Version {
		compared = "same"
	}
	if version == "" || c.demand.Version == "" {
		compared = "unknown"
	}
	c.edge.metrics.continued.WithLabelValues(by, compared).Inc()
	logging.Info(c.edge.logger, "stream_continued", "id", c.id, "by", by, "resumes", s.resumes, "after_event", c.lastEventID, "before", before, "worker", s.worker, "version", compared)
}
