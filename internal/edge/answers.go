package edge

import (
	"net/http"
	"strconv"
)

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
	c.edge.countAnswer(status, source, c.sends.MayHaveRun())
}

// countAnswer counts an answer to a caller.
func (e *Edge) countAnswer(status int, source answerSource, mayHaveRun bool) {
	if status < http.StatusBadRequest {
		return
	}
	e.metrics.refusals.WithLabelValues(strconv.Itoa(status), string(source), strconv.FormatBool(mayHaveRun)).Inc()
}
