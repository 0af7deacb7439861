package edge

import (
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/logging"
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
	// worker is the worker whose events were passed on last.
	worker string
	// bound is set once the stream has an event. The call's demand then names the origin; without a
	// version there, the origin is unknown.
	bound bool
}

// bind binds the stream to its origin in the demand's pool. Unknown versions may differ, so no
// worker can continue a stream with an unknown version.
func (c *call) bind(version incarnation.Version) {
	c.stream.bound, c.demand.Version = true, version
}

// hasLostOrigin reports whether no worker may continue the stream, because its origin is unknown.
func (c *call) hasLostOrigin() bool { return c.stream.bound && c.demand.Version == "" }

// recordStreamWorker records that an event of the worker is about to be passed on.
func (c *call) recordStreamWorker(lease *balance.Lease) {
	s := &c.stream
	if s.worker == lease.Endpoint.ID {
		return
	}
	before, version := s.worker, incarnation.VersionOf(lease.Endpoint.ID)
	s.worker = lease.Endpoint.ID
	by, compared := "edge", "unknown"
	switch {
	case before == "" && !s.resumed:
		c.bind(version)
		return
	case before == "":
		by = "caller"
		c.bind(version)
	case c.demand.Version != "" && version == c.demand.Version:
		compared = "same"
	case c.demand.Version != "" && version != "":
		compared = "other"
	}
	c.edge.metrics.continued.WithLabelValues(by, compared).Inc()
	logging.Info(c.edge.logger, "stream_continued", "id", c.id, "by", by, "resumes", s.resumes, "after_event", c.lastEventID, "before", before, "worker", s.worker, "version", compared)
}
