package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/sedgemast/sedgemast/internal/failure"
)

const maxEventBytes = 1 << 20

// Stream reads the events of one attempt. It passes on only events of that
// attempt and only tokens not seen yet, in order; a gap ends the stream as cut.
type Stream struct {
	Sequencer
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Sequencer keeps the events of one attempt in order.
type Sequencer struct {
	// AttemptID is the attempt, Offset the number of tokens seen.
	AttemptID string
	Offset    int
	// Misrouted counts dropped events of other attempts, Repeated dropped events
	// whose tokens had been seen.
	Misrouted  int
	Duplicates int
}

func newStream(body io.ReadCloser, attemptID string, offset int) *Stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	return &Stream{Sequencer: Sequencer{AttemptID: attemptID, Offset: offset}, body: body, scanner: scanner}
}

// Close ends the reading; the engine goes on until cancelled.
func (s *Stream) Close() error { return s.body.Close() }

// Next returns the next event. The error is an OutcomeUnknown failure if the
// stream was cut: before its end, or by a gap in the offsets.
func (s *Stream) Next() (*Event, error) {
	for s.scanner.Scan() {
		data, found := bytes.CutPrefix(s.scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		event := &Event{}
		if err := json.Unmarshal(data, event); err != nil {
			return nil, cut("an event does not parse: %v", err)
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
		return nil, cut("the stream broke: %v", err)
	}
	return nil, cut("the stream ended without its end event")
}

// Accept reports whether the event is the next one of the attempt; a gap is an
// OutcomeUnknown failure.
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
		return false, cut("%d tokens are missing at offset %d", event.Offset-s.Offset, s.Offset)
	}
	s.Offset += event.Tokens
	return true, nil
}

func cut(format string, arguments ...any) error {
	return failure.New(failure.OutcomeUnknown, "resume at the offset reached", format, arguments...)
}
