package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/sedgemast/sedgemast/internal/failure"
)

const maxEventBytes = 1 << 20

// Stream reads the events of one attempt. It returns only events of that attempt and only
// tokens not seen before, in order; a gap in the offsets ends the stream with an error.
type Stream struct {
	Sequencer
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Sequencer drops misrouted and duplicate events of a stream and detects gaps.
type Sequencer struct {
	// AttemptID identifies the attempt; Offset is the number of its tokens seen so far.
	AttemptID string
	Offset    int
	// Misrouted counts dropped events of other attempts. Duplicates counts dropped events whose
	// tokens had been seen before.
	Misrouted  int
	Duplicates int
}

func newStream(body io.ReadCloser, attemptID string, offset int) *Stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	return &Stream{Sequencer: Sequencer{AttemptID: attemptID, Offset: offset}, body: body, scanner: scanner}
}

// Close stops reading; the engine continues the attempt until it is cancelled.
func (s *Stream) Close() error { return s.body.Close() }

// Next returns the next event. The error is an OutcomeUnknown failure if the stream ends
// before its end event, breaks, or has a gap in the offsets.
func (s *Stream) Next() (*Event, error) {
	for s.scanner.Scan() {
		data, found := bytes.CutPrefix(s.scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		event := &Event{}
		if err := json.Unmarshal(data, event); err != nil {
			return nil, streamError("an event does not parse: %v", err)
		}
		keep, err := s.Accept(event)
		if err != nil {
			return nil, err
		}
		if keep {
			return event, nil
		}
	}
	if err := s.scanner.Err(); err != nil {
		return nil, streamError("the stream broke: %v", err)
	}
	return nil, streamError("the stream ended without its end event")
}

// Accept reports whether the event is the next one of the attempt; false means that it is to
// be dropped. A gap in the offsets is an OutcomeUnknown failure.
func (s *Sequencer) Accept(event *Event) (bool, error) {
	if event.AttemptID != s.AttemptID {
		s.Misrouted++
		return false, nil
	}
	if event.Type == EventError {
		return true, nil
	}
	if event.Offset < s.Offset {
		s.Duplicates++
		return false, nil
	}
	if event.Offset > s.Offset {
		return false, streamError("%d tokens are missing at offset %d", event.Offset-s.Offset, s.Offset)
	}
	s.Offset += event.Tokens
	return true, nil
}

func streamError(format string, arguments ...any) error {
	return failure.New(failure.OutcomeUnknown, "resume at the offset reached", format, arguments...)
}
