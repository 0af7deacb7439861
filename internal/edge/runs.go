package edge

import (
	"net/http"
	"strconv"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// runs is what the edge knows about whether a worker has run a request. Every send may run it; only a
// proof that it did not, from the connection or the worker, takes a send back.
type runs struct{ unproven int }

// begin records that the request is about to be sent to a worker.
func (r *runs) begin() { r.unproven++ }

// disprove records a proof that the worker of the latest send did not run the request and will not.
func (r *runs) disprove() { r.unproven-- }

// possible reports whether a worker may have run the request.
func (r *runs) possible() bool { return r.unproven > 0 }

// mayAnswer reports whether the caller may get the status, be it the edge's own or a worker's. Every
// answer to a call passes this check, so none promises that nothing ran while that is not known.
func (c *call) mayAnswer(status int) bool {
	return !failure.PromisesNotRun(status) || !c.runs.possible()
}

// answerSource says whose status the caller got.
type answerSource string

const (
	sourceNone   answerSource = "none"
	sourceEdge   answerSource = "edge"
	sourceWorker answerSource = "worker"
)

// recordAnswer records the status that the caller gets and whose it is.
func (c *call) recordAnswer(status int, source answerSource) {
	c.answered, c.answerSource = status, source
	c.edge.countAnswer(status, source, c.runs.possible())
}

// countAnswer counts an answer to a caller.
func (e *Edge) countAnswer(status int, source answerSource, mayHaveRun bool) {
	if status < http.StatusBadRequest {
		return
	}
	e.metrics.refusals.WithLabelValues(strconv.Itoa(status), string(source), strconv.FormatBool(mayHaveRun)).Inc()
}
