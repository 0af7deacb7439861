package edge

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/upstream"
)

const relayBufferBytes = 8 << 10

// passOver reads an answer that the caller does not get, so that the connection
// can be kept.
func (c *call) passOver(response *upstream.Response, result outcome) outcome {
	buffer := make([]byte, relayBufferBytes)
	for {
		if _, err := response.Read(buffer); err != nil {
			return result
		}
	}
}

// begin writes the head of the answer once.
func (c *call) begin(response *upstream.Response, length int64) {
	if c.started {
		return
	}
	c.started = true
	c.firstAt = time.Now()
	c.countGiven()
	header := c.writer.Header()
	for _, field := range httpheader.Forwardable(response.Header) {
		header.Add(field.Name, field.Value)
	}
	if response.Header.Get("Content-Type") == "" {
		// Without this net/http would guess one.
		header["Content-Type"] = nil
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.writer.WriteHeader(response.Status)
}

// relayStream passes events on as they come. The head waits for the first event,
// so that a worker that fails before it can still be replaced whole.
func (c *call) relayStream(lease *balance.Lease, response *upstream.Response) outcome {
	var parser upstream.EventParser
	buffer := make([]byte, relayBufferBytes)
	for {
		if err := response.SetReadDeadline(c.gapBy()); err != nil {
			return c.streamBroke(lease, err)
		}
		count, err := response.Read(buffer)
		if sendErr := c.passEvents(lease, response, parser.Feed(buffer[:count])); sendErr != nil {
			return c.streamBroke(lease, sendErr)
		}
		if err == io.EOF {
			return c.endStream(response, &parser)
		}
		if err != nil {
			return c.readBroke(lease, err)
		}
	}
}

// readBroke takes in that no more can be read from the worker.
func (c *call) readBroke(lease *balance.Lease, err error) outcome {
	if upstream.Disconnected(err) && c.context.Err() == nil {
		lease.RecordDisconnect()
	}
	return c.streamBroke(lease, err)
}

func (c *call) streamBroke(lease *balance.Lease, err error) outcome {
	c.lastErr = err
	if upstream.TimedOut(err) && c.context.Err() == nil {
		lease.RecordNoAnswer(clock.Now())
	}
	return failed
}

// passEvents writes the events that the caller does not have yet.
func (c *call) passEvents(lease *balance.Lease, response *upstream.Response, events []upstream.Event) error {
	if len(events) == 0 {
		return nil
	}
	lease.RecordPrefill()
	lease.RecordContent()
	c.pace(lease, len(events))
	written := false
	for i := range events {
		event := &events[i]
		if event.HasID {
			if c.hasEvent && event.ID <= c.lastEvent {
				continue
			}
			if c.hasEvent && event.ID != c.lastEvent+1 {
				return failure.New(failure.OutcomeUnknown, "", "event %d came after event %d", event.ID, c.lastEvent)
			}
		}
		if !c.started {
			c.began(lease)
		}
		c.begin(response, -1)
		if _, err := c.writer.Write(event.Raw); err != nil {
			return err
		}
		written = true
		if event.HasID {
			c.lastEvent, c.hasEvent = event.ID, true
		}
	}
	if !written {
		return nil
	}
	return c.controller.Flush()
}

// pace takes in that so many events came now. What came before the first one,
// and all that comes with it, says nothing of the time between events.
func (c *call) pace(lease *balance.Lease, events int) {
	now := time.Now()
	if c.pacedLease == lease {
		lease.RecordPace(events, now.Sub(c.pacedAt))
	}
	c.pacedLease, c.pacedAt = lease, now
}

// endStream ends the answer. What is left over is no whole event; it belongs to
// the worker's body all the same.
func (c *call) endStream(response *upstream.Response, parser *upstream.EventParser) outcome {
	if parser.Buffered() > 0 {
		c.lastErr = failure.Wrap(io.ErrUnexpectedEOF, failure.OutcomeUnknown, "", "the stream ended within an event")
		return failed
	}
	c.begin(response, -1)
	return delivered
}

// relayWhole passes an answer on that is no stream. Its first part is read before
// the head is written, so that a worker that fails early can be replaced.
func (c *call) relayWhole(lease *balance.Lease, response *upstream.Response) outcome {
	buffer := make([]byte, 0, relayBufferBytes)
	for len(buffer) < cap(buffer) {
		if err := response.SetReadDeadline(c.headBy()); err != nil {
			c.lastErr = err
			return failed
		}
		count, err := response.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		if err == io.EOF {
			c.cameWhole(lease, response)
			return c.writeWhole(response, buffer)
		}
		if err != nil {
			return c.readBroke(lease, err)
		}
	}
	lease.RecordPrefill()
	c.begin(response, response.Length)
	if _, err := c.writer.Write(buffer); err != nil {
		return c.brokeOff(err)
	}
	return c.copyRest(lease, response)
}

// cameWhole takes in that the whole body of the answer has come.
func (c *call) cameWhole(lease *balance.Lease, response *upstream.Response) {
	if response.Status < http.StatusInternalServerError {
		lease.RecordContent()
	}
}

func (c *call) writeWhole(response *upstream.Response, body []byte) outcome {
	length := int64(len(body))
	if c.request.Method == http.MethodHead || response.Status == http.StatusNoContent || response.Status == http.StatusNotModified {
		length = response.Length
	}
	c.begin(response, length)
	// A failed write means that the caller has gone.
	_, _ = c.writer.Write(body)
	return delivered
}

func (c *call) copyRest(lease *balance.Lease, response *upstream.Response) outcome {
	buffer := make([]byte, relayBufferBytes)
	for {
		if err := response.SetReadDeadline(c.deadline); err != nil {
			return c.brokeOff(err)
		}
		count, err := response.Read(buffer)
		if _, writeErr := c.writer.Write(buffer[:count]); writeErr != nil {
			return c.brokeOff(writeErr)
		}
		if err == io.EOF {
			c.cameWhole(lease, response)
			return delivered
		}
		if err != nil {
			c.readBroke(lease, err)
			return c.brokeOff(err)
		}
		// Writers that can't flush buffer nothing.
		_ = c.controller.Flush()
	}
}

// brokeOff ends an answer that can't go on anywhere else.
func (c *call) brokeOff(err error) outcome {
	c.lastErr = err
	c.attempts = max(c.route.MaxAttempts, 1)
	return failed
}
