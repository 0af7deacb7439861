package edge

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/upstream"
)

const relayBufferBytes = 8 << 10

// discardResponse discards an answer that is not passed to the caller.
func (c *call) discardResponse(response *upstream.Response, result outcome) outcome {
	response.Discard()
	return result
}

// writeHead writes the response headers once.
func (c *call) writeHead(response *upstream.Response, length int64) {
	if c.responseStarted {
		return
	}
	c.responseStarted = true
	c.firstByteAt = time.Now()
	c.countStarted()
	c.recordAnswer(response.Status, sourceWorker)
	header := c.writer.Header()
	for _, field := range httpheader.Forwardable(response.Header) {
		header.Add(field.Name, field.Value)
	}
	if response.Header.Get("Content-Type") == "" {
		// A nil value keeps net/http from guessing a content type.
		header["Content-Type"] = nil
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.writer.WriteHeader(response.Status)
}

// relayStream passes events on as they arrive. The response headers are written with the first
// event, so that another worker can still take over completely if this one fails earlier.
func (c *call) relayStream(lease *balance.Lease, response *upstream.Response) outcome {
	var parser upstream.EventParser
	buffer := make([]byte, relayBufferBytes)
	limit := c.answerLimit()
	response.SetLimit(2 * limit)
	deadline := c.gapDeadline()
	for {
		if err := response.SetReadDeadline(deadline); err != nil {
			return c.streamFailed(lease, err)
		}
		count, err := response.Read(buffer)
		progressed, sendErr := c.forwardEvents(lease, response, parser.Feed(buffer[:count]))
		if sendErr != nil {
			return c.streamFailed(lease, sendErr)
		}
		if parser.Err() != nil {
			return c.readFailed(lease, parser.Err())
		}
		if c.relayedBytes > limit || upstream.TooManyEvents(c.relayedEvents, c.tokenCounts()) {
			// The caller has events of no sound answer, so no other worker can continue it.
			err := &upstream.LimitError{What: upstream.PartAnswer, Bytes: limit}
			c.readFailed(lease, err)
			return c.abortResponse(err)
		}
		if progressed {
			// Only events put the deadline off: bytes alone may come without end.
			deadline = c.gapDeadline()
		}
		if err == io.EOF {
			return c.endStream(lease, response, &parser)
		}
		if err != nil {
			return c.readFailed(lease, err)
		}
	}
}

// readFailed handles a failed read from the worker.
func (c *call) readFailed(lease *balance.Lease, err error) outcome {
	if upstream.Disconnected(err) && c.context.Err() == nil {
		lease.RecordDisconnect()
	}
	return c.streamFailed(lease, err)
}

func (c *call) streamFailed(lease *balance.Lease, err error) outcome {
	c.lastErr = err
	c.countExceeded(err)
	if (upstream.TimedOut(err) || upstream.ExceededLimit(err) != "") && c.context.Err() == nil {
		lease.RecordNoAnswer(clock.Now())
	}
	return failed
}

// countExceeded counts a part of an answer that was longer than a sound worker's.
func (c *call) countExceeded(err error) {
	if what := upstream.ExceededLimit(err); what != "" {
		c.edge.metrics.exceeded.WithLabelValues(what).Inc()
	}
}

// tokenCounts returns the request's header that says how many tokens it has and asks for.
func (c *call) tokenCounts() string {
	return httpheader.Value(c.request.Headers, c.edge.headerNames.Tokens)
}

// answerLimit returns the bound in bytes of the answer to the request.
func (c *call) answerLimit() int64 { return upstream.AnswerLimit(c.tokenCounts()) }

// forwardEvents writes the events that the caller does not have yet. It reports whether the stream has
// progressed: comments and repeated events are no progress.
func (c *call) forwardEvents(lease *balance.Lease, response *upstream.Response, events []upstream.Event) (progressed bool, err error) {
	if len(events) == 0 {
		return false, nil
	}
	lease.RecordPrefill()
	lease.RecordContent()
	c.output.Record(clock.Now())
	c.recordPace(lease, len(events))
	written := false
	for i := range events {
		event := &events[i]
		if event.HasID {
			if c.hasLastEvent && event.ID <= c.lastEventID {
				continue
			}
			if c.hasLastEvent && event.ID != c.lastEventID+1 {
				return progressed, failure.New(failure.OutcomeUnknown, "", "event %d came after event %d", event.ID, c.lastEventID)
			}
		}
		if !c.responseStarted {
			c.recordFirstEvent(lease)
		}
		c.recordStreamWorker(lease)
		c.writeHead(response, -1)
		if _, err := c.writer.Write(event.Raw); err != nil {
			return progressed, err
		}
		written = true
		if event.HasID || event.Data != "" {
			progressed = true
			c.relayedBytes += int64(len(event.Raw))
		}
		if event.HasID {
			c.relayedEvents++
		}
		if event.HasID {
			c.lastEventID, c.hasLastEvent = event.ID, true
		}
	}
	if !written {
		return progressed, nil
	}
	return progressed, c.controller.Flush()
}

// recordPace records that the given number of events has just arrived. The first events from a
// worker and the time before them are not counted, because that time is not a time between events.
func (c *call) recordPace(lease *balance.Lease, events int) {
	now := time.Now()
	if c.paceLease == lease {
		lease.RecordPace(events, now.Sub(c.lastEventsAt))
	}
	c.paceLease, c.lastEventsAt = lease, now
}

// endStream ends the answer, unless the worker broke it off: bytes left over in the parser are an
// incomplete event, and a stream has at least one event.
func (c *call) endStream(lease *balance.Lease, response *upstream.Response, parser *upstream.EventParser) outcome {
	if parser.Buffered() > 0 {
		c.lastErr = failure.Wrap(io.ErrUnexpectedEOF, failure.OutcomeUnknown, "", "the stream ended within an event")
		return failed
	}
	if !response.Delimited && !c.output.Received() && !c.hasLastEvent {
		return c.readFailed(lease, failure.Wrap(io.ErrUnexpectedEOF, failure.OutcomeUnknown, "", "the stream ended without an event"))
	}
	if err := response.VerifyEnd(c.context, c.sentAt); err != nil {
		return c.readFailed(lease, err)
	}
	c.writeHead(response, -1)
	return delivered
}

// relayBody relays an answer that is not a stream. It reads the first part before it writes the
// response headers, so that another worker can take over if this one fails early. The answer of a failure
// is read whole before.
func (c *call) relayBody(lease *balance.Lease, response *upstream.Response) outcome {
	size, isFailure := relayBufferBytes, response.Status >= http.StatusBadRequest
	response.SetLimit(c.answerLimit())
	if isFailure {
		size = upstream.MaxFailureBytes
		response.SetLimit(upstream.MaxFailureBytes)
	}
	deadline := c.headDeadline()
	buffer := make([]byte, 0, relayBufferBytes)
	for len(buffer) < size {
		buffer = slices.Grow(buffer, 1)
		if err := response.SetReadDeadline(deadline); err != nil {
			c.lastErr = err
			return failed
		}
		count, err := response.Read(buffer[len(buffer):min(cap(buffer), size)])
		buffer = buffer[:len(buffer)+count]
		if count > 0 {
			c.output.Record(clock.Now())
		}
		if err == io.EOF {
			if err := response.VerifyEnd(c.context, c.sentAt); err != nil {
				return c.readFailed(lease, err)
			}
			c.recordBodyReceived(lease, response)
			return c.writeBody(response, buffer)
		}
		if err != nil {
			return c.readFailed(lease, err)
		}
	}
	if isFailure {
		return c.readFailed(lease, &upstream.LimitError{What: "a failure", Bytes: upstream.MaxFailureBytes})
	}
	lease.RecordPrefill()
	c.writeHead(response, response.Length)
	if _, err := c.writer.Write(buffer); err != nil {
		return c.abortResponse(err)
	}
	return c.copyRest(lease, response)
}

// recordBodyReceived records that the answer's body was received completely.
func (c *call) recordBodyReceived(lease *balance.Lease, response *upstream.Response) {
	if response.Status < http.StatusInternalServerError {
		lease.RecordContent()
	}
}

func (c *call) writeBody(response *upstream.Response, body []byte) outcome {
	length := int64(len(body))
	if c.request.Method == http.MethodHead || response.Status == http.StatusNoContent || response.Status == http.StatusNotModified {
		length = response.Length
	}
	c.writeHead(response, length)
	// A failed write means that the caller has disconnected.
	_, _ = c.writer.Write(body)
	return delivered
}

func (c *call) copyRest(lease *balance.Lease, response *upstream.Response) outcome {
	buffer := make([]byte, relayBufferBytes)
	for {
		if err := response.SetReadDeadline(c.deadline); err != nil {
			return c.abortResponse(err)
		}
		count, err := response.Read(buffer)
		if _, writeErr := c.writer.Write(buffer[:count]); writeErr != nil {
			return c.abortResponse(writeErr)
		}
		if err == io.EOF {
			if err = response.VerifyEnd(c.context, c.sentAt); err == nil {
				c.recordBodyReceived(lease, response)
				return delivered
			}
		}
		if err != nil {
			c.readFailed(lease, err)
			return c.abortResponse(err)
		}
		// Writers that can't flush do not buffer.
		_ = c.controller.Flush()
	}
}

// abortResponse ends a partly written answer that no other worker can continue.
func (c *call) abortResponse(err error) outcome {
	c.lastErr = err
	c.attempts = max(c.route.MaxAttempts, 1)
	return failed
}
