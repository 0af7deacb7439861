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
	// callerTimeMargin covers the time for which a caller's requests are under way.
	callerTimeMargin = 2 * time.Second
	// maxListAge is how old the leader's last answer may be if the list of workers is to show that a
	// pool has a single version. Coordinators answer each poll within 0.5 s, and changes at once.
	maxListAge = 700 * time.Millisecond
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

// hasLostOrigin reports whether no worker may continue the stream, because its origin is unknown.
func (c *call) hasLostOrigin() bool { return c.stream.bound && c.demand.Version == "" }

// rejectedByOrigin binds a request that takes up a stream to the stream's origin. It rejects the
// request if the origin is not known, or has no worker.
func (c *call) rejectedByOrigin() bool {
	if !c.takesUpStream() {
		return false
	}
	source, complete := c.findOrigin()
	var err *failure.Error
	switch {
	case source == originUnknown && complete:
		err = failure.New(failure.NotRun, "send the request anew, without the events received", "no process knows at which worker version the stream began")
	case source == originUnknown:
		err = failure.New(failure.NotRun, "try again", "it is not known now at which worker version the stream began").WithRetryAfter(shortRetryAfter)
	case !c.edge.workers.VersionUsable(&c.demand, ""):
		source = originGone
		err = failure.New(failure.NotRun, "send the request anew, without the events received", "pool %q has no worker of version %q, at which the stream began", c.demand.Pool, c.demand.Version)
		if !c.edge.listIsCurrent() {
			err = err.WithRetryAfter(shortRetryAfter)
		}
	}
	c.edge.metrics.resumed.WithLabelValues(source.String()).Inc()
	logging.Info(c.edge.logger, "stream_taken_up", "id", c.id, "resumes", c.stream.resumes, "after_event", c.stream.resumedAfter, "origin", source, "complete", complete, "pool", c.demand.Pool, "version", string(c.demand.Version), "ms", c.elapsed())
	if err == nil {
		return false
	}
	c.lastErr = err
	c.reject(err)
	return true
}

// originSource is how the origin of a stream was found.
type originSource uint8

const (
	// originUnknown means that nothing shows the origin.
	originUnknown originSource = iota
	// originLocal means that the stream began at this process.
	originLocal
	// originFromHub means that a hub knows the origin.
	originFromHub
	// originSole means that the list of workers has shown a single version for as long as this process
	// can know of the stream.
	originSole
	// originGone means that the origin is known and has no worker.
	originGone
)

// String returns the source as used in logs and metrics.
func (s originSource) String() string {
	return [...]string{"unknown", "local", "hub", "sole", "gone"}[s]
}

// findOrigin finds the origin of a stream that the caller takes up and binds the call to it. complete
// is set if waiting can't make an unknown origin known.
func (c *call) findOrigin() (source originSource, complete bool) {
	found, source, complete := c.lookupOrigin()
	if source != originUnknown {
		if c.routeHasPool(found.Pool) {
			c.demand.Pool = found.Pool
		}
		c.bind(found.Version)
		c.stream.origin = found
		return source, true
	}
	switch version := c.soleVersion(); {
	case version == "":
		return originUnknown, complete
	case !c.edge.listIsCurrent():
		return originUnknown, false
	default:
		c.bind(version)
		return originSole, true
	}
}

// routeHasPool reports whether the route leads to the pool. If an operator has moved the route since
// the stream began, workers of the same version in the route's present pool continue the stream.
func (c *call) routeHasPool(pool string) bool {
	return slices.ContainsFunc(c.route.Parts, func(part routetable.PoolWeight) bool { return part.Pool == pool })
}

// lookupOrigin looks up the stream's origin here and at the hubs.
func (c *call) lookupOrigin() (found origin.Origin, source originSource, complete bool) {
	if c.stream.resumes == "" {
		return origin.Origin{}, originUnknown, true
	}
	key := c.originKey(c.stream.resumes)
	found, known := c.edge.origins.get(key)
	source, complete = originLocal, true
	if !known {
		var row *wire.StreamOrigin
		row, complete = c.edge.loads.LookupOrigin(c.context, uint64(key))
		if row == nil {
			return origin.Origin{}, originUnknown, complete
		}
		found, source = origin.Origin{Pool: row.Pool, Version: incarnation.Version(row.Version)}, originFromHub
	}
	if !found.Known() {
		source = originUnknown
	}
	return found, source, true
}

// maxStreamAge returns how long ago the caller can have begun the stream.
func (c *call) maxStreamAge() time.Duration {
	total := max(c.route.Timeout(), c.stream.callerTime, minCallerTime)
	if c.stream.callerTime >= maxCallerTime {
		return total + callerTimeMargin
	}
	return total + callerTimeMargin - c.stream.callerTime
}

// soleVersion returns the version of all listed workers that the route leads to, if the list has shown
// no other one since the caller can have begun the stream, or since this process first read it.
// Otherwise it returns an empty version.
func (c *call) soleVersion() incarnation.Version {
	e, sole := c.edge, incarnation.Version("")
	for i, part := range c.route.Parts {
		version, since := e.workers.SoleVersion(part.Pool)
		if i > 0 && version != sole || clock.Since(since) < c.maxStreamAge() && since.After(e.gate.satisfiedAt(needsWorkers)) {
			return ""
		}
		sole = version
	}
	return sole
}

// listIsCurrent reports whether the list of workers known here is whole and the leader's present one.
func (e *Edge) listIsCurrent() bool {
	snapshot := e.watcher.Current()
	return snapshot.Fleet.Listed && clock.Since(snapshot.LeaderSeenAt) <= maxListAge
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
