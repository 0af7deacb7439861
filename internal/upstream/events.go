package upstream

import (
	"bytes"
	"strconv"
)

// Event is one complete server-sent event of a stream.
type Event struct {
	// Raw holds the bytes of the event as received, with the empty line that ends it.
	Raw []byte
	// ID is the event id; valid only if HasID is set.
	ID    int64
	HasID bool
	// Data is the text of the data fields, joined by line feeds.
	Data string
}

// EventParser splits a stream of bytes into complete events. An incomplete event at the end of the
// stream is never returned. The zero value is ready for use.
type EventParser struct {
	pending []byte
	err     error
}

var eventEnd = []byte("\n\n")

// Feed appends bytes and returns the events that are now complete. Their Raw is valid until the
// next call. After an event that is too long it returns none.
func (p *EventParser) Feed(data []byte) []Event {
	if p.err != nil {
		return nil
	}
	// The bytes before searched hold no end of an event.
	searched := max(0, len(p.pending)-len(eventEnd)+1)
	p.pending = append(p.pending, data...)
	var events []Event
	rest := p.pending
	for {
		end := bytes.Index(rest[searched:], eventEnd)
		if end < 0 {
			break
		}
		end += searched + len(eventEnd)
		events = append(events, parseEvent(rest[:end]))
		rest, searched = rest[end:], 0
	}
	// The returned events still point into the old array, so it must not be overwritten.
	if len(events) > 0 {
		p.pending = append([]byte(nil), rest...)
	}
	if len(p.pending) > maxEventBytes {
		p.err = &LimitError{What: "one event", Bytes: maxEventBytes}
	}
	return events
}

// Err returns a LimitError if an event was too long.
func (p *EventParser) Err() error { return p.err }

// Buffered returns the number of buffered bytes of an incomplete event.
func (p *EventParser) Buffered() int { return len(p.pending) }

func parseEvent(raw []byte) Event {
	event := Event{Raw: raw}
	var data [][]byte
	for _, line := range bytes.Split(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id, err := strconv.ParseInt(string(value), 10, 64)
			event.ID, event.HasID = id, err == nil
		case "data":
			data = append(data, value)
		}
	}
	event.Data = string(bytes.Join(data, []byte("\n")))
	return event
}
