package edge

import (
	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/logging"
)

// streamState is what a call knows about the origin of its stream.
type streamState struct {
	// resumes is the id of the caller's request that brought the first event, empty if the caller
	// named none. resumedAfter is the id of the last event that the caller has from earlier
	// requests; valid if resumed is set.
	resumes      string
	resumedAfter int64
	resumed      bool
	// worker is the worker whose events were passed on last. version is the version of the first
	// such worker.
	worker  string
	version incarnation.Version
}

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
		s.version = version
		return
	case before == "":
		by, s.version = "caller", version
	case s.version != "" && version == s.version:
		compared = "same"
	case s.version != "" && version != "":
		compared = "other"
	}
	c.edge.metrics.continued.WithLabelValues(by, compared).Inc()
	logging.Info(c.edge.logger, "stream_continued", "id", c.id, "by", by, "resumes", s.resumes, "after_event", c.lastEventID, "before", before, "worker", s.worker, "version", compared)
}
